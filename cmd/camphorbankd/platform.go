package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/logline"
	"github.com/camphorbank/camphorbank/internal/node"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/upstream"
	"github.com/camphorbank/camphorbank/platform"
)

var errNoPlatform = errors.New("camphorbankd: -platform needs the variable " + platform.SettingsVariable)

// runOnPlatform runs the process with the settings that the platform wrote for its VM. It reloads them on SIGHUP.
func runOnPlatform(metricsPort int) error {
	// Until SIGHUP is handled, it ends the process. One that arrives while the settings are read makes Run read them again.
	reloadSignal := make(chan os.Signal, 1)
	signal.Notify(reloadSignal, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errNoPlatform
	}
	load := func() (*node.Settings, error) {
		s, err := platform.LoadSettings(path)
		if err == nil && metricsPort > 0 {
			s.Listen.Metrics = net.JoinHostPort(s.IP, strconv.Itoa(metricsPort))
		}
		return s, err
	}
	s, err := load()
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	logHandler := logline.New(os.Stdout)
	defer logHandler.Close()
	log.SetHandler(logHandler)
	transport := platform.NewTransport(upstream.DialTimeout)
	store := platform.NewStoreClient(s.Store, transport)
	store.Evacuations = s.Bounds.Evacuation > 0
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx, s, node.Adapters{
		HeaderTranslator: platform.HeaderTranslator{}, Source: store,
		ReadinessHandler: platform.ReadyHandler,
		Reload:           &node.Reloader{Load: load, Signal: reloadSignal},
		Engine:           func(addr string) rankgroup.Engine { return platform.NewEngineClient(addr, transport) },
	})
}
