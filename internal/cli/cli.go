// Package cli implements the commands of the command-line tool camphorbank. Operators use it to check files and to
// inspect a running fleet, and callers use it to send requests to entries.
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

// environmentPrefix is the prefix of the environment variables that set flags, such as CAMPHORBANK_PROCESS.
const environmentPrefix = "CAMPHORBANK"

// usageError is the error of a wrong command line, or of an unreadable file that it names.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// reachError is the error of a process that could not be reached.
type reachError struct{ err error }

func (e *reachError) Error() string { return e.err.Error() }
func (e *reachError) Unwrap() error { return e.err }

// ExitCode returns the exit code of the tool for an error that Run returned.
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

// tool holds the output streams that all commands use.
type tool struct {
	stdout, stderr io.Writer
	terminal       bool // stdout is a terminal
}

// Run runs the command that the arguments name. They do not include the name of the program.
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

// newFlagSet returns an empty flag set that prints its help and errors to standard error.
func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.stderr)
	return fs
}

// environmentOptions returns the options that let environment variables set the flags of a command.
func environmentOptions() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)} }

// helpOrUnknownCommand returns the function of a command that does nothing but hold subcommands. It shows the help if
// there are no arguments; otherwise, it returns an error that names the first as an unknown subcommand.
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
