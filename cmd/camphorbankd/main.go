// Command camphorbankd is the camphorbank daemon. With -config it reads a settings file and runs in the role entry,
// which accepts callers' requests, or local, which runs requests at the target of its VM. With -platform it runs with
// the settings that the platform wrote for its VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/peterbourgon/ff/v3"

	"github.com/camphorbank/camphorbank/internal/daemon"
	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/settings"
)

// Exit statuses of the daemon.
const (
	exitFailure  = 1 // any other failure: a listener could not be opened, or a graceful stop did not end in time
	exitSettings = 2 // wrong flags or settings, or a settings file that doesn't exist
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

var errUsage = errors.New("camphorbankd: -config FILE is required")

// exitStatus returns the exit status for an error of run.
func exitStatus(err error) int {
	var findings finding.List
	if errors.As(err, &findings) || errors.Is(err, errUsage) || errors.Is(err, errNoPlatform) || errors.Is(err, os.ErrNotExist) {
		return exitSettings
	}
	return exitFailure
}

// run parses the flags and runs the daemon until it receives SIGTERM or SIGINT.
func run() error {
	fs := flag.NewFlagSet("camphorbankd", flag.ExitOnError)
	path := fs.String("config", "", "settings file (TOML)")
	onPlatform := fs.Bool("platform", false, "take the settings that the platform wrote for this VM")
	metricsPort := fs.Int("metrics-port", 0, "port on the VM's address that serves metrics on the platform; 0 for none")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarPrefix("CAMPHORBANKD")); err != nil {
		return err
	}
	if *onPlatform {
		return runOnPlatform(*metricsPort)
	}
	if *path == "" {
		return errUsage
	}
	log.SetHandler(logfmt.New(os.Stderr))
	s, err := settings.Load(*path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return daemon.Run(ctx, s)
}
