package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The measurement beside cases 11 and 12: for how long the listener of a killed process accepts connections after its connections
// have ended. Usage: stand3 question CONNECTIONS DELAY.

const (
	questionRounds  = 20
	questionAnswers = 10 // connections whose end is followed by a question, those that were opened last
)

// runQuestion kills a process with open connections again and again, and opens a connection to its address a delay after the end of
// one of them has arrived. It prints how many were accepted.
func runQuestion(args []string) int {
	if len(args) != 2 {
		return exitNotRun
	}
	conns, err := strconv.Atoi(args[0])
	if err != nil || conns < questionAnswers || conns > 418 {
		return exitNotRun
	}
	delay, err := time.ParseDuration(args[1])
	if err != nil {
		return exitNotRun
	}
	var accepted atomic.Int64
	for range questionRounds {
		if err := askKilled(conns, delay, &accepted); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	fmt.Printf("%d connections, %v after the end: %d of %d questions accepted\n", conns, delay, accepted.Load(), questionRounds*questionAnswers)
	return exitHeld
}

// askKilled makes one round.
func askKilled(conns int, delay time.Duration, accepted *atomic.Int64) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "listen")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("the listener does not start")
	}
	addr := lines.Text()
	var asked sync.WaitGroup
	for i := range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		defer c.Close()
		if i < conns-questionAnswers {
			continue
		}
		asked.Go(func() {
			_, _ = c.Read(make([]byte, 1))
			for end := time.Now().Add(delay); time.Now().Before(end); { // a timer is too coarse
			}
			if d, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
				accepted.Add(1)
				_ = d.Close()
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // until all are accepted
	_ = cmd.Process.Signal(syscall.SIGKILL)
	asked.Wait()
	return nil
}

// runListen accepts connections until the process is killed. It prints its address.
func runListen() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}
