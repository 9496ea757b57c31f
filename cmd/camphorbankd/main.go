// Command camphorbankd is the camphorbank daemon, in the role entry or local, or as a process on the platform.
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
	exitFailure  = 1 // a listener could not be opened, or a stop did not end in time
	exitSettings = 2 // wrong flags or settings
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

var errUsage = errors.New("camphorbankd: -config FILE is required")

func exitStatus(err error) int {
	var findings finding.List
	if errors.As(err, &findings) || errors.Is(err, errUsage) || errors.Is(err, errNoPlatform) || errors.Is(err, os.ErrNotExist) {
		return exitSettings
	}
	return exitFailure
}

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
