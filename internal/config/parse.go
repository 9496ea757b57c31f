package config

import (
	"github.com/camphorbank/camphorbank/internal/tomldoc"
)

// Parse decodes and checks a document. All problems are returned together as a finding.List.
// The result depends on the arguments only, so that every process accepts or rejects alike.
func Parse(file string, body []byte) (*Snapshot, error) {
	var doc Document
	src := tomldoc.Parse(file, body)
	src.Decode(&doc)
	validate(src, &doc)
	if err := src.Findings().Err(); err != nil {
		return nil, err
	}
	return newSnapshot(doc, body), nil
}
