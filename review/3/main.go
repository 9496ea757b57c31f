// Command 3 shows that the processes beside runners exceed their memory, and are ended for it again and again, when a few
// answers of the runners are header lines without end. See claim.txt.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/review/stand"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

const (
	ranks        = 8
	firstMachine = 10 // machine of rank 0
	memoryMB     = 152
	faultyRanks  = ranks / 2 // share 0.5 of the runners; the others are sound
	spoiltShare  = 0.02      // of the answers of a faulty runner

	pollInterval = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	runTime      = 90 * time.Second
	limit        = 110 * time.Second

	endsOfMachine = 3 // ends of one machine's process in the day
	brokenAt      = 2 // machines: a tenth of the machines in use, two at least
	shiftTime     = 1100 * time.Millisecond
)

func main() { stand.Main("review/3", limit, run) }

// machine is one machine with a runner and the process beside it.
type machine struct {
	rank   int
	system *stand.System
	engine *expertgroup.Rank
	proc   *stand.Process
	ends   int
	peakMB int
	spoilt atomic.Int64
}

func run(ctx context.Context, s *stand.System) (bool, error) {
	g := expertgroup.New(rand.New(rand.NewPCG(rand.Uint64(), 1)), expertgroup.Shape{Ranks: ranks, Layers: 6, Experts: 64,
		StepTime: 30 * time.Millisecond, Load: 148 * time.Millisecond, Popular: 2})
	go g.Run(ctx)
	s.PutConfig(1)
	var all []*machine
	var addrs []string
	for r := range ranks {
		m := &machine{rank: r, system: s, engine: g.Ranks[r]}
		l, err := net.Listen("tcp", s.IP(firstMachine+r)+":0")
		if err != nil {
			return false, err
		}
		go func() { _ = http.Serve(l, m) }()
		all, addrs = append(all, m), append(addrs, l.Addr().String())
		s.PutServer(fmt.Sprintf("i-%d", r), stand.ModelService, l.Addr().String(), "ready", 12, 1)
	}
	if _, err := s.StartEntry(1, ""); err != nil {
		return false, err
	}
	if err := s.AwaitReady(ctx, 1); err != nil {
		return false, err
	}
	for r, m := range all {
		var err error
		if m.proc, err = s.StartRank(firstMachine+r, addrs[r]); err != nil {
			return false, err
		}
	}
	nextShift := time.Now()
	for end := time.Now().Add(runTime); time.Now().Before(end) && machinesEnded(all) < brokenAt; {
		if now := time.Now(); now.After(nextShift) {
			g.SetPopular(rand.IntN(63))
			nextShift = now.Add(shiftTime)
		}
		for _, m := range all {
			m.enforceMemory(ctx)
		}
		if !stand.Sleep(ctx, pollInterval) {
			break
		}
	}
	for _, m := range all {
		s.Logf("machine of rank %d: %d spoilt answers, peak memory %d MB of %d MB, process ended %d times", m.rank, m.spoilt.Load(), m.peakMB, memoryMB, m.ends)
	}
	s.Logf("map switches: %d", g.Switches())
	if g.Switches() == 0 {
		return false, errors.New("the coordinator does not switch maps")
	}
	return machinesEnded(all) >= brokenAt, nil
}

// machinesEnded returns the number of machines whose process has ended endsOfMachine times.
func machinesEnded(all []*machine) (n int) {
	for _, m := range all {
		if m.ends >= endsOfMachine {
			n++
		}
	}
	return n
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory and starts it again.
func (m *machine) enforceMemory(ctx context.Context) {
	mb := residentMB(m.proc.PID())
	m.peakMB = max(m.peakMB, mb)
	if m.proc.Running() && mb <= memoryMB {
		return
	}
	m.ends++
	m.system.Logf("machine of rank %d: the process has %d MB and is killed (%d), after %d spoilt answers", m.rank, mb, m.ends, m.spoilt.Load())
	m.proc.Kill()
	stand.Sleep(ctx, restartDelay)
	if err := m.proc.Start(); err != nil {
		m.system.Logf("the process does not start: %v", err)
	}
}

// residentMB returns the memory of a process, as the kernel counts it, or 0 if it has ended.
func residentMB(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// ServeHTTP serves the runner. A faulty one answers a few reports with header lines until the caller closes.
func (m *machine) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !stand.Disrupted() || m.rank >= faultyRanks || req.URL.Path != "/-/report" || rand.Float64() >= spoiltShare {
		m.engine.ServeHTTP(w, req)
		return
	}
	m.spoilt.Add(1)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	started := time.Now()
	out := bufio.NewWriterSize(c, 64<<10)
	_, err = io.WriteString(out, "HTTP/1.1 200 OK\r\n")
	n := 0
	for ; err == nil; n++ {
		_, err = fmt.Fprintf(out, "%x:\r\n", n)
	}
	m.system.Notef("runner of rank %d: sent %d header lines in %v until the caller closed", m.rank, n, time.Since(started))
}
