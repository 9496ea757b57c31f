package config

import (
	"github.com/camphorbank/camphorbank/internal/tomldoc"
)

// Parse decodes and checks a document. It returns all problems together as a finding.List, in which file is the name of
// the document. The result depends only on the arguments, so that all processes accept or reject the same documents.
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
