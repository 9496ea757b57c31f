// Command camphorbank is the command-line tool for operators and callers. Operators check configuration and settings
// files and inspect a running fleet with it; callers send requests and load to entries.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/camphorbank/camphorbank/internal/cli"
)

func main() {
	err := cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "camphorbank:", err)
	}
	os.Exit(cli.ExitCode(err))
}
