package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/settings"
	"github.com/camphorbank/camphorbank/platform"
)

// Values of the flag -kind of check.
const (
	kindAuto          = "auto"
	kindSettings      = "settings"
	kindConfiguration = "configuration"
	kindPlatform      = "platform"
)

func (t *tool) checkCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank check")
	kind := fs.String("kind", kindAuto, "settings, configuration, platform (the settings file of a VM on the platform), or auto: a file with a key named role is settings")
	asJSON := fs.Bool("json", false, "print the findings as JSON")
	return &ffcli.Command{
		Name: "check", ShortUsage: "camphorbank check [FLAGS] FILE...", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "check settings and configuration files and print every finding with its place",
		LongHelp:  exitHelp,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{errors.New("check needs at least one file")}
			}
			findings, err := checkFiles(args, *kind)
			if err != nil {
				return err
			}
			return t.printFindings(findings, *asJSON)
		},
	}
}

// checkFiles returns the findings about all files together.
func checkFiles(paths []string, kind string) (finding.List, error) {
	all := finding.List{}
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, &usageError{err}
		}
		err = checkFile(path, body, kind)
		var found finding.List
		if err != nil && !errors.As(err, &found) {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// checkFile checks one file. Its findings come back as an error of the type finding.List.
func checkFile(path string, body []byte, kind string) error {
	if kind == kindAuto {
		kind = detectKind(body)
	}
	switch kind {
	case kindSettings:
		_, err := settings.Parse(path, body)
		return err
	case kindConfiguration:
		_, err := config.Parse(path, body)
		return err
	case kindPlatform:
		_, err := platform.ParseSettings(path, body)
		return err
	default:
		return &usageError{fmt.Errorf("-kind: %q is not settings, configuration, platform or auto", kind)}
	}
}

// detectKind takes a file with a top-level key named role for settings, and any other for a configuration.
func detectKind(body []byte) string {
	var top map[string]any
	_ = toml.Unmarshal(body, &top)
	if _, ok := top["role"]; ok {
		return kindSettings
	}
	return kindConfiguration
}

// printFindings prints the findings and returns an error if there are any.
func (t *tool) printFindings(findings finding.List, asJSON bool) error {
	if asJSON {
		if err := t.printJSON(findings); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintln(t.stdout, f)
		}
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings", len(findings))
	}
	return nil
}
