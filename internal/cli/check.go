package cli

import (
	"bytes"
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
	kindPublished     = "published"
)

func (t *tool) checkCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank check")
	kind := fs.String("kind", kindAuto, "settings, configuration, platform (the settings file of a VM on the platform), published (the configuration that the platform publishes), or auto: JSON is published, and a file with a key named role is settings")
	var with comparedWith
	fs.StringVar(&with.file, "against", "", "print how a published configuration differs from the one in this file")
	fs.BoolVar(&with.inForce, "in-force", false, "print how a published configuration differs from the one in force at -process")
	with.process.register(fs)
	asJSON := fs.Bool("json", false, "print the findings as JSON")
	return &ffcli.Command{
		Name: "check", ShortUsage: "camphorbank check [FLAGS] FILE...", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "check settings and configuration files and print every finding with its place",
		LongHelp:  "Warnings do not change the exit status. Keys of client accounts are printed as short hashes.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{errors.New("check needs at least one file")}
			}
			if with.wanted() {
				if len(args) > 1 || with.file != "" && with.inForce || *kind != kindAuto && *kind != kindPublished {
					return &usageError{errors.New("-against or -in-force compares one published configuration with one other")}
				}
				return t.compareFile(ctx, args[0], &with, *asJSON)
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
	case kindPublished:
		found, _, err := checkPublished(path, body)
		return errors.Join(err, found.Err())
	default:
		return &usageError{fmt.Errorf("-kind: %q is not settings, configuration, platform, published or auto", kind)}
	}
}

// detectKind takes JSON for a published configuration, a file with a top-level key named role for settings, and any other
// for a configuration.
func detectKind(body []byte) string {
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return kindPublished
	}
	var top map[string]any
	_ = toml.Unmarshal(body, &top)
	if _, ok := top["role"]; ok {
		return kindSettings
	}
	return kindConfiguration
}

// printFindings prints the findings and returns an error if there are any that are not warnings.
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
	return countErrors(findings)
}
