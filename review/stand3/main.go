package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenarios are the plays of the cases, by the number of the case.
var scenarios = map[string]func(*env) error{"11": playCrashes(&drafts), "12": playCrashes(&bookings)}

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay is below the 120 s that a script may take.
const longestPlay = 110 * time.Second

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) > 0 {
		switch args[0] {
		case "runner":
			return runRunner(args[1:])
		case "question":
			return runQuestion(args[1:])
		case "listen":
			return runListen()
		}
	}
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return exitNotRun
	}
	e, err := newEnv(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	played := make(chan error, 1)
	go func() { played <- scenarios[args[0]](e) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case err = <-played:
	case <-time.After(longestPlay):
		err = errors.New("the scenario does not end")
	case <-interrupted:
		err = errors.New("interrupted")
	}
	var broken *brokenRule
	switch {
	case err == nil:
		e.notef("the rule held")
		return exitHeld
	case errors.As(err, &broken):
		e.notef("broken: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	}
	e.notef("could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
