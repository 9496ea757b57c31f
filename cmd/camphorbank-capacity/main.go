// Command camphorbank-capacity measures how the costs of the processes grow with the size of the fleet, and prints one
// line for each cost.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/camphorbank/camphorbank/internal/capacity"
)

func main() {
	log.SetHandler(discard.Default) // the probes run product code, whose log lines would mix with the results
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := capacity.Run(ctx, os.Stdout, capacity.Probes()); err != nil {
		fmt.Fprintln(os.Stderr, "camphorbank-capacity:", err)
		os.Exit(1)
	}
}
