// Package cli holds the commands of the camphorbank tool.
package cli

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the tool.
const (
	ExitOK      = 0
	ExitFailure = 1 // the request was refused, or a document or the fleet has a problem
	ExitUsage   = 2 // wrong flags or arguments, or an unreadable file
	ExitReach   = 3 // a process could not be reached
)

const exitHelp = `EXIT STATUS
  0  success
  1  the request was refused, or the document or the fleet has a problem
  2  wrong flags or arguments, or an unreadable file
  3  a process could not be reached`

// environmentPrefix starts the environment variables that set flags, such as CAMPHORBANK_PROCESS.
const environmentPrefix = "CAMPHORBANK"

// usageError says that the command line is wrong or that a file it names is unreadable.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// reachError says that a process could not be reached.
type reachError struct{ err error }

func (e *reachError) Error() string { return e.err.Error() }
func (e *reachError) Unwrap() error { return e.err }

// ExitCode returns the exit code for the error of Run.
func ExitCode(err error) int {
	var usage *usageError
	var reach *reachError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &reach):
		return ExitReach
	default:
		return ExitFailure
	}
}

// tool holds what all commands share.
type tool struct {
	stdout, stderr io.Writer
	terminal       bool // stdout is a terminal
}

// Run runs the tool with the arguments after the program's name.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	t := &tool{stdout: stdout, stderr: stderr, terminal: isTerminal(stdout)}
	root := &ffcli.Command{
		Name: "camphorbank", ShortUsage: "camphorbank COMMAND [FLAGS] [ARGUMENTS]",
		LongHelp: "Operates and tries out a camphorbank fleet.\n\n" + exitHelp,
		FlagSet:  t.newFlagSet("camphorbank"),
		Subcommands: []*ffcli.Command{
			t.checkCommand(), t.statusCommand(), t.explainCommand(), t.reportCommand(), t.planCommand(), t.sendCommand(), t.loadCommand(), t.versionCommand(),
		},
		Exec: helpOrUnknownCommand("camphorbank"),
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &usageError{err}
	}
	return root.Run(ctx)
}

// newFlagSet returns an empty flag set that reports to standard error.
func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.stderr)
	return fs
}

// environmentOptions makes the flags of a command readable from the environment.
func environmentOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)} }

// helpOrUnknownCommand shows the help of a command that only has subcommands, and rejects unknown subcommands.
func helpOrUnknownCommand(name string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return &usageError{errors.New(name + ": unknown command " + args[0])}
		}
		return flag.ErrHelp
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
