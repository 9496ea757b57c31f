package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/traffic"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	idleEntries     = 8
	idleLocals      = 16
	idleDataCentres = 3
	// idleWindow is the length of each of the two measured windows: one without a change of the configuration, one in
	// which a new revision is published.
	idleWindow = 10 * time.Second
	// changesPerSecond is the rate of configuration changes that is expected in two years.
	changesPerSecond = 1500.0 / 86400
	// idleSettleTime is the time in which the traffic of the start-up ends.
	idleSettleTime = 6 * time.Second
	// idleAccounts is the number of client accounts that is expected in two years. With their keys they make a document
	// of about 0.3 MB.
	idleAccounts = 2000
	naiveWindow  = 4 * time.Second

	controlBytesPerSecondBound = 2000 // of each process
	controlRSSBoundMB          = 32
	controlCPUBoundPercent     = 3.9 // of a core
)

// idleMeasurement holds the results of one run of idle processes. All figures of controlFigures share this run.
type idleMeasurement struct {
	once                sync.Once
	bytesPerSecond      float64 // mean of all processes
	naiveBytesPerSecond float64
	rssMB               float64 // largest of all processes
	err                 error
	cpuShare            float64 // mean share of a core
}

func (f *idleMeasurement) measureOnce(ctx context.Context) error {
	f.once.Do(func() { f.err = f.measure(ctx) })
	return f.err
}

// controlFigures lists the figures of the resources that idle processes use.
func controlFigures() []Figure {
	f := &idleMeasurement{}
	return []Figure{
		{"control_bytes_per_s", func(ctx context.Context, _ int64) (Result, error) {
			err := f.measureOnce(ctx)
			return Result{Ours: f.bytesPerSecond, Naive: f.naiveBytesPerSecond, Bound: controlBytesPerSecondBound}, err
		}},
		{"control_rss_mb", func(ctx context.Context, _ int64) (Result, error) {
			err := f.measureOnce(ctx)
			return Result{Ours: f.rssMB, Bound: controlRSSBoundMB}, err
		}},
		{"control_cpu_percent", func(ctx context.Context, _ int64) (Result, error) {
			err := f.measureOnce(ctx)
			return Result{Ours: 100 * f.cpuShare, Bound: controlCPUBoundPercent}, err
		}},
	}
}

// measure starts processes that serve no requests, with TLS between them, and measures them before and after it
// publishes one change of a large document.
func (f *idleMeasurement) measure(ctx context.Context) (err error) {
	dir, err := os.MkdirTemp("", "camphorbank-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fleet := &localfleet.Fleet{Dir: dir, Bin: dir}
	defer func() {
		if stopErr := fleet.Stop(); err == nil {
			err = stopErr
		}
	}()
	nodes, err := startIdle(fleet)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleSettleTime); err != nil {
		return err
	}
	idle, err := f.measureWindow(ctx, fleet, nodes)
	if err != nil {
		return err
	}
	if err := fleet.PublishConfig(2, idleDocument(2)); err != nil {
		return err
	}
	changed, err := f.measureWindow(ctx, fleet, nodes)
	if err != nil {
		return err
	}
	perSecond := idle.bytes / idleWindow.Seconds()
	f.bytesPerSecond = perSecond + (changed.bytes-idle.bytes)*changesPerSecond
	f.cpuShare, f.rssMB = idle.cpuSeconds/idleWindow.Seconds(), changed.rssMB
	f.naiveBytesPerSecond, err = naivePollBytesPerSecond(ctx, fleet)
	return err
}

// measureWindow returns the mean bytes and processor time that the processes other than watchers use in one window, and
// the largest resident memory of all processes. Watchers do not count in the means, because a watcher reads the whole
// document from the service at each change, but only 33 of 1,560 processes are watchers.
func (f *idleMeasurement) measureWindow(ctx context.Context, fleet *localfleet.Fleet, nodes []*localfleet.Node) (resourceUse, error) {
	before, err := readResourceUse(fleet, nodes)
	if err != nil {
		return resourceUse{}, err
	}
	if err := sleep(ctx, idleWindow); err != nil {
		return resourceUse{}, err
	}
	after, err := readResourceUse(fleet, nodes)
	if err != nil {
		return resourceUse{}, err
	}
	var sum resourceUse
	others := 0.0
	for i := range after {
		sum.rssMB = max(sum.rssMB, after[i].rssMB)
		if !after[i].watcher {
			sum.bytes += after[i].bytes - before[i].bytes
			sum.cpuSeconds += after[i].cpuSeconds - before[i].cpuSeconds
			others++
		}
	}
	sum.bytes, sum.cpuSeconds = sum.bytes/others, sum.cpuSeconds/others
	return sum, nil
}

func startIdle(f *localfleet.Fleet) ([]*localfleet.Node, error) {
	if err := localfleet.Build(f.Bin); err != nil {
		return nil, err
	}
	ca, err := localfleet.NewAuthority(f.Dir, "measure")
	if err != nil {
		return nil, err
	}
	files, err := ca.Issue("node", time.Now().Add(time.Hour))
	if err != nil {
		return nil, err
	}
	if err := f.EnableTLS(files); err != nil {
		return nil, err
	}
	if err := f.StartPlatform(); err != nil {
		return nil, err
	}
	if err := f.PublishConfig(1, idleDocument(1)); err != nil {
		return nil, err
	}
	var nodes []*localfleet.Node
	for i := range idleEntries + idleLocals {
		n, err := startIdleNode(f, i)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func startIdleNode(f *localfleet.Fleet, i int) (*localfleet.Node, error) {
	dataCentre := fmt.Sprintf("dc-%d", i%idleDataCentres)
	if i < idleEntries {
		return f.StartEntry(fmt.Sprintf("entry-%d", i), dataCentre)
	}
	vm := wire.VM{Name: fmt.Sprintf("desk-%d", i), DataCentre: dataCentre, Kind: wire.KindCall, Serves: "desk"}
	return f.StartLocal(vm, "http://127.0.0.1:9", 8)
}

// resourceUse holds the resources that a process has used since its start, and its present resident memory.
type resourceUse struct {
	bytes, cpuSeconds, rssMB float64
	watcher                  bool
}

func readResourceUse(f *localfleet.Fleet, nodes []*localfleet.Node) ([]resourceUse, error) {
	var out []resourceUse
	for _, n := range nodes {
		var vars struct {
			Bytes    float64 `json:"control_bytes"`
			Watching int     `json:"config_watching"`
		}
		if err := f.ReadVars(n, &vars); err != nil {
			return nil, err
		}
		u, err := readProcStat(n.PID())
		if err != nil {
			return nil, err
		}
		u.bytes, u.watcher = vars.Bytes, vars.Watching > 0
		out = append(out, u)
	}
	return out, nil
}

// readProcStat reads the processor time and the resident memory of a process from /proc.
func readProcStat(pid int) (resourceUse, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return resourceUse{}, err
	}
	_, rest, _ := bytes.Cut(raw, []byte(") ")) // skips the command name, which may contain spaces
	fields := bytes.Fields(rest)
	if len(fields) < 22 {
		return resourceUse{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	number := func(i int) float64 {
		v, _ := strconv.ParseFloat(string(fields[i]), 64)
		return v
	}
	const ticksPerSecond = 100 // USER_HZ, the same on all Linux systems
	return resourceUse{cpuSeconds: (number(11) + number(12)) / ticksPerSecond, rssMB: number(21) * float64(os.Getpagesize()) / 1e6}, nil
}

// naivePollBytesPerSecond returns the traffic of the naive version: a process that reads the whole document and the
// whole VM list once a second.
func naivePollBytesPerSecond(ctx context.Context, f *localfleet.Fleet) (float64, error) {
	client := &http.Client{Transport: &http.Transport{DialContext: traffic.Dial}}
	defer client.CloseIdleConnections()
	before, start := traffic.Bytes(), time.Now()
	for time.Since(start) < naiveWindow {
		for _, path := range []string{"/config", "/vms"} {
			res, err := client.Get(f.Platform + path)
			if err != nil {
				return 0, err
			}
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if err != nil {
				return 0, err
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return 0, err
		}
	}
	return float64(traffic.Bytes()-before) / time.Since(start).Seconds(), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleDocument returns a document with idleAccounts client accounts, of which one changes with the revision.
func idleDocument(revision int64) []byte {
	b := minimalDocument(revision)
	for i := range idleAccounts {
		weight := int64(1)
		if i == idleAccounts/2 {
			weight = revision
		}
		b = fmt.Appendf(b, "[[client_accounts]]\nname = \"account-%d\"\nkey_sha256 = \"%064x\"\nweight = %d\n", i, i, weight)
	}
	return b
}
