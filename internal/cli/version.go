package cli

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/version"
)

func (t *tool) versionCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank version")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "version", ShortUsage: "camphorbank version [FLAGS]", ShortHelp: "print the version", FlagSet: fs, Options: environmentOptions(),
		Exec: func(context.Context, []string) error {
			if *asJSON {
				return t.printJSON(map[string]string{"version": version.Version, "go": runtime.Version()})
			}
			_, err := fmt.Fprintf(t.stdout, "camphorbank %s (%s)\n", version.Version, runtime.Version())
			return err
		},
	}
}
