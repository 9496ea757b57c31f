// Command stand2 plays one case of the second review: it starts the project's entry processes with the command of the
// deploy file, with stand-ins for the platform, its store, its runners and its clients, and judges what they saw.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"stop": plannedStop,
	"spot": takenAway,
	"thaw": crashWhileFrozen,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, serveRunner(os.Args[2], os.Args[3]))
		return exitFailed
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	go endEarly(rec)
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return exitFailed
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}

// maxRunTime is less than the time that a case may run.
const maxRunTime = 115 * time.Second

// endEarly ends the case, and the processes that it started, at a signal or after maxRunTime.
func endEarly(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		rec.printf("ended by a signal")
	case <-time.After(maxRunTime):
		rec.printf("not over after %v", maxRunTime)
	}
	started.killAll()
	os.Exit(exitFailed)
}
