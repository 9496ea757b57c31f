package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/camphorbank/camphorbank/internal/configcheck"
	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/platform"
)

// configurationPath is the path at which an entry of the platform shows the configuration in force.
const configurationPath = "/fleet/configuration"

// comparedWith states with what a published configuration is compared.
type comparedWith struct {
	file    string // empty for none
	inForce bool   // the configuration in force at process
	process processClient
}

func (c *comparedWith) wanted() bool { return c.file != "" || c.inForce }

// comparisonResult is the output of a comparison.
type comparisonResult struct {
	Findings    finding.List             `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

// checkPublished returns the findings about a published configuration, and the configuration if it can be decoded.
func checkPublished(path string, body []byte) (finding.List, *routetable.Config, error) {
	p, found, err := parsePublished(path, body)
	if p == nil {
		return found, nil, err
	}
	for _, problem := range configcheck.Check(&p.Config) {
		found = append(found, p.Finding(problem))
	}
	_ = found.Err() // called only because it sorts the findings
	return found, &p.Config, nil
}

// parsePublished decodes a published configuration. It returns findings, and no configuration, if that is not possible because
// of them.
func parsePublished(path string, body []byte) (*platform.Published, finding.List, error) {
	p, err := platform.ParsePublished(path, body)
	var found finding.List
	if errors.As(err, &found) {
		return nil, found, nil
	}
	return p, nil, err
}

// compareFile checks the published configuration in a file and prints how it differs from another one.
func (t *tool) compareFile(ctx context.Context, path string, with *comparedWith, asJSON bool) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return &usageError{err}
	}
	out := comparisonResult{Findings: finding.List{}, Differences: []configcheck.Difference{}}
	found, after, err := checkPublished(path, body)
	if err != nil {
		return err
	}
	out.Findings = append(out.Findings, found...)
	before, found, err := with.load(ctx)
	if err != nil {
		return err
	}
	out.Findings = append(out.Findings, found...)
	if after != nil && before != nil {
		out.Differences = append(out.Differences, configcheck.Compare(*before, configcheck.HashKeys(*after))...)
	}
	if asJSON {
		return errors.Join(t.printJSON(out), countErrors(out.Findings))
	}
	for _, d := range out.Differences {
		fmt.Fprintln(t.stdout, d)
	}
	return t.printFindings(out.Findings, false)
}

// load returns the configuration to compare with, with hashed keys. It is nil if the findings say that it cannot be
// decoded.
func (c *comparedWith) load(ctx context.Context) (*routetable.Config, finding.List, error) {
	var out routetable.Config
	if c.inForce {
		err := c.process.get(ctx, configurationPath, &out)
		return &out, nil, err
	}
	body, err := os.ReadFile(c.file)
	if err != nil {
		return nil, nil, &usageError{err}
	}
	p, found, err := parsePublished(c.file, body)
	if p == nil {
		return nil, found, err
	}
	out = configcheck.HashKeys(p.Config)
	return &out, nil, nil
}

// countErrors returns an error if there are findings that are not warnings.
func countErrors(findings finding.List) error {
	n := 0
	for _, f := range findings {
		if !f.Warning {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return fmt.Errorf("%d findings", n)
}
