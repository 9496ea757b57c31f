package capacity

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/measure/configsim"
	"github.com/camphorbank/camphorbank/internal/status"
)

var fleetSizes = []int{195, 390, 780, Processes}

// fleetProbes lists the probes of the configuration and of membership, which concern every process.
func fleetProbes() []Probe {
	return []Probe{
		{"config_document_bytes", documentBytes},
		{"config_accept_ms", configAcceptMS},
		{"config_snapshot_bytes", snapshotBytes},
		{"config_propagation_s", propagationSeconds},
		{"config_idle_bytes_per_s", idleBytes},
		{"config_change_bytes", changeBytes},
		{"config_service_calls_per_s", serviceCalls},
		{"vm_list_bytes", vmListBytes},
		{"vm_list_gzip_bytes", vmListGzipBytes},
		{"status_bytes", statusBytes},
	}
}

var accountSizes = []int{500, 1000, 2000}

// document returns a valid configuration document with the given number of client accounts.
func document(revision int64, accounts int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\npreset_in_force = \"ordinary\"\n", revision)
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		fmt.Fprintf(&b, "[[presets]]\nname = %q\n", name)
	}
	for i := range accounts {
		fmt.Fprintf(&b, "[[client_accounts]]\nname = \"account-%d\"\nkey_sha256 = \"%064x\"\nweight = %d\n", i, i, 1+i%9)
	}
	for i := range Models {
		fmt.Fprintf(&b, "[[models]]\nname = \"model-%d\"\nversion = \"1\"\n", i)
	}
	return []byte(b.String())
}

func documentBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes", Per: "client accounts", TargetSize: Accounts}
	return sweep(m, accountSizes, func(accounts int) (float64, error) {
		return float64(len(document(1, accounts))), nil
	})
}

func configAcceptMS(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "ms to check a document", Per: "client accounts", TargetSize: Accounts}
	return sweep(m, accountSizes, func(accounts int) (float64, error) {
		body := document(1, accounts)
		var err error
		ns := fastestNanoseconds(1, func(int) { _, err = config.Parse("document", body) })
		return ns / 1e6, err
	})
}

func snapshotBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes", Per: "client accounts", TargetSize: Accounts}
	return sweep(m, accountSizes, func(accounts int) (float64, error) {
		return heapBytes(func() (any, error) { return config.Parse("document", document(1, accounts)) })
	})
}

// newSettledFleet returns a fleet whose processes all have revision 1, with the given number of client accounts.
func newSettledFleet(processes, accounts int) (*configsim.Sim, error) {
	s := configsim.New(processes, DataCentres, 1)
	s.Publish(1, document(1, accounts))
	if _, ok := s.RunUntil(time.Minute, func() bool { return s.AllAt(1) }); !ok {
		return nil, fmt.Errorf("revision 1 is not in force at all %d processes after a minute", processes)
	}
	s.RunUntil(settleTime, func() bool { return false })
	return s, nil
}

// settleTime is the virtual time in which the pushes of the first revision end.
const settleTime = 10 * time.Second

// propagationSeconds measures the time from the publication until the revision is in force everywhere.
func propagationSeconds(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "s", Per: "processes", TargetSize: Processes}
	return sweep(m, fleetSizes, func(processes int) (float64, error) {
		s, err := newSettledFleet(processes, 10)
		if err != nil {
			return 0, err
		}
		s.Publish(2, document(2, 10))
		took, ok := s.RunUntil(time.Minute, func() bool { return s.AllAt(2) })
		if !ok {
			return 0, fmt.Errorf("revision 2 is not in force at all %d processes after a minute", processes)
		}
		return took.Seconds(), nil
	})
}

const observationTime = 60 * time.Second // in virtual time

// idleBytes measures the rate of control bytes sent and received by a process while the configuration does not change.
func idleBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes/s of a process", Per: "processes", TargetSize: Processes}
	return sweep(m, fleetSizes, func(processes int) (float64, error) {
		s, err := newSettledFleet(processes, 10)
		if err != nil {
			return 0, err
		}
		before := controlBytes(s)
		s.RunUntil(observationTime, func() bool { return false })
		return (controlBytes(s) - before) / float64(processes) / observationTime.Seconds(), nil
	})
}

// controlBytes returns the control bytes that all processes have sent and received.
func controlBytes(s *configsim.Sim) (total float64) {
	for _, n := range s.Nodes {
		total += float64(n.ControlBytes)
	}
	return total
}

// changeBytes measures the control bytes of a process from the publication of a change until it is in force at all
// processes.
func changeBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes of a process, one client account changed of 2,000", Per: "processes", TargetSize: Processes}
	return sweep(m, []int{48, 96, 192, 390}, func(processes int) (float64, error) {
		s, err := newSettledFleet(processes, Accounts)
		if err != nil {
			return 0, err
		}
		before := controlBytes(s)
		changed := strings.Replace(string(document(2, Accounts)), "weight = 3\n", "weight = 4\n", 1)
		s.Publish(2, []byte(changed))
		if _, ok := s.RunUntil(time.Minute, func() bool { return s.AllAt(2) }); !ok {
			return 0, fmt.Errorf("revision 2 is not in force at all %d processes after a minute", processes)
		}
		return (controlBytes(s) - before) / float64(processes), nil
	})
}

// serviceCalls measures the rate at which all processes together call the configuration service while the configuration
// does not change.
func serviceCalls(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "calls/s of all processes", Per: "processes", TargetSize: Processes}
	return sweep(m, fleetSizes, func(processes int) (float64, error) {
		s, err := newSettledFleet(processes, 10)
		if err != nil {
			return 0, err
		}
		before := s.Service.Calls
		s.RunUntil(observationTime, func() bool { return false })
		return float64(s.Service.Calls-before) / observationTime.Seconds(), nil
	})
}

// vmListBytes measures the size of the VM list. Processes read it again only after it has changed.
func vmListBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes", Per: "targets, with entries in proportion", TargetSize: Targets}
	return sweep(m, targetSizes, func(targets int) (float64, error) {
		raw, err := json.Marshal(vmList(targets))
		return float64(len(raw)), err
	})
}

// vmListGzipBytes measures the size of the VM list as it is sent to a client that accepts gzip.
func vmListGzipBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes", Per: "targets, with entries in proportion", TargetSize: Targets}
	return sweep(m, targetSizes, func(targets int) (float64, error) {
		raw, err := json.Marshal(vmList(targets))
		if err != nil {
			return 0, err
		}
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		if _, err := w.Write(raw); err != nil {
			return 0, err
		}
		err = w.Close()
		return float64(out.Len()), err
	})
}

// statusBytes measures the size of the status report of the whole fleet, which operators request.
func statusBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "both", Unit: "bytes a reply", Per: "processes", TargetSize: Processes}
	return sweep(m, fleetSizes, func(processes int) (float64, error) {
		f := status.Fleet{Unreachable: []status.Unreachable{}}
		for i := range processes {
			f.Processes = append(f.Processes, status.Process{
				Name: fmt.Sprintf("target-%d", i), Role: "local", DataCentre: "dc-1", Incarnation: fmt.Sprintf("target-%d.%016x", i, i),
				Hash: strings.Repeat("0", 64), Preset: "ordinary", Target: &status.Target{Serves: "model-1"},
			})
		}
		raw, err := json.Marshal(f)
		return float64(len(raw)), err
	})
}
