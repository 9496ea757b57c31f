// Command camphorbank-measure runs the figures of package measure, which compare camphorbank with a naive version, and
// prints one line for each. Its arguments are the names of the figures to run; without any it runs all.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/camphorbank/camphorbank/internal/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "camphorbank-measure:", err)
		os.Exit(1)
	}
}

func run() error {
	log.SetHandler(discard.Default) // the figures run product code, whose log lines would mix with the results
	seed := flag.Int64("seed", 1, "seed of the workloads")
	limit := flag.Duration("timeout", 3*time.Minute, "time for all figures")
	list := flag.Bool("list", false, "print the names of the figures and exit")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: camphorbank-measure [flags] [FIGURE...]")
		flag.PrintDefaults()
	}
	flag.Parse()
	figures, err := measure.Select(measure.Figures(), flag.Args())
	if err != nil {
		return err
	}
	if *list {
		for _, f := range figures {
			fmt.Println(f.Name)
		}
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	return measure.Run(ctx, os.Stdout, figures, *seed)
}
