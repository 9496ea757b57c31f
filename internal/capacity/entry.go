package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/membership"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

var targetSizes = []int{300, 600, 1200}

// entryProbes lists the probes of the memory, time and messages of an entry.
func entryProbes() []Probe {
	return []Probe{
		{"entry_view_bytes", entryViewBytes},
		{"entry_route_ns", entryRouteNS},
		{"entry_frame_ns", entryFrameNS},
		{"entry_decision_bytes", entryDecisionBytes},
		{"entry_recorder_bytes", entryRecorderBytes},
		{"entry_report_bytes", entryReportBytes},
	}
}

// vmList returns the VM list of a fleet with the given number of targets and entries in proportion.
func vmList(targets int) []wire.VM {
	var out []wire.VM
	for i := range targets {
		out = append(out, wire.VM{
			Name: fmt.Sprintf("target-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%DataCentres), Role: wire.RoleTarget,
			State: wire.StateLive, Serves: fmt.Sprintf("model-%d", i%Models), Kind: wire.KindDraft,
			Data: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), Control: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
		})
	}
	for i := range targets * Entries / Targets {
		out = append(out, wire.VM{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%DataCentres), Role: wire.RoleEntry,
			State: wire.StateLive, Control: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250),
		})
	}
	return out
}

// staticVMList is a VM list that does not change.
type staticVMList []wire.VM

// List returns all VMs.
func (l staticVMList) List(context.Context) ([]wire.VM, error) { return l, nil }

// entryViewBytes measures the memory of the membership view and of a router that has routed to the targets of each
// model.
func entryViewBytes(ctx context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "bytes", Per: "targets, with entries in proportion", TargetSize: Targets}
	return sweep(m, targetSizes, func(targets int) (float64, error) {
		return heapBytes(func() (any, error) {
			view := membership.New(staticVMList(vmList(targets)))
			if err := view.Refresh(ctx); err != nil {
				return nil, err
			}
			router := routing.New(routing.Options{DataCentre: "dc-0", Clock: port.SystemClock{}, Seed: 1})
			for i := range Models {
				serves := fmt.Sprintf("model-%d", i)
				q := &routing.Query{Kind: wire.KindDraft, Serves: serves, Targets: view.Targets(wire.KindDraft, serves)}
				if c := router.Pick(q); c != nil {
					c.Done(routing.NoFailure)
				}
			}
			return []any{view, router}, nil
		})
	})
}

// entryRouteNS measures the time of a routing decision when all targets serve one model, which is the slowest case.
func entryRouteNS(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "ns a decision", Per: "targets of the model", TargetSize: Targets}
	return sweep(m, targetSizes, func(targets int) (float64, error) {
		list := vmList(targets)[:targets]
		router := routing.New(routing.Options{DataCentre: "dc-0", Clock: port.SystemClock{}, Seed: 1})
		return fastestNanoseconds(500, func(i int) {
			c := router.Pick(&routing.Query{Kind: wire.KindDraft, Serves: "m", Targets: list, Tokens: 100, Prompt: promptcache.Prompt{
				Tokens: 900, Prefixes: []promptcache.Prefix{{Hash: uint64(i) + 1, Tokens: 600}}}})
			c.Report(&wire.Load{Slots: 8, Running: i % 8, WaitLong: time.Duration(i%5) * time.Millisecond, TokensPerS: 2000})
			c.Done(routing.NoFailure)
		}), nil
	})
}

// entryFrameNS measures the time to decode and check the frames of one answer, without reading them from a socket.
func entryFrameNS(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "ns an answer", Per: "text frames of the answer", TargetSize: TokensPerSecond / RequestsPerSecond}
	return sweep(m, []int{100, 200, 400}, func(frames int) (float64, error) {
		raw, err := encodedAnswer(frames)
		if err != nil {
			return 0, err
		}
		return fastestNanoseconds(20, func(int) {
			dec := json.NewDecoder(bytes.NewReader(raw))
			asm := stream.NewAssembler(answerID)
			for dec.More() {
				var f wire.Frame
				if err = dec.Decode(&f); err == nil {
					err = asm.Add(f)
				}
			}
		}), err
	})
}

var answerID = wire.AttemptID{Request: "00112233445566778899aabbccddeeff", Number: 1}

func encodedAnswer(frames int) ([]byte, error) {
	var raw bytes.Buffer
	enc := json.NewEncoder(&raw)
	text := ""
	for i := range frames {
		word := fmt.Sprintf("%04x ", i)
		text += word
		if err := enc.Encode(wire.Frame{ID: answerID, Seq: i, Kind: wire.FrameText, Text: word}); err != nil {
			return nil, err
		}
	}
	err := enc.Encode(wire.Frame{ID: answerID, Seq: frames, Kind: wire.FrameEnd, Frames: frames, TextHash: stream.Hash(text)})
	return raw.Bytes(), err
}

// entryDecisionBytes measures the memory of the decision records of requests with one attempt.
func entryDecisionBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "bytes", Per: "decision records", TargetSize: 1024}
	return sweep(m, []int{256, 512, 1024}, func(records int) (float64, error) {
		return heapBytes(func() (any, error) {
			ring := decision.NewRing(1024)
			for i := range records {
				ring.Add(decision.Record{
					RequestID: fmt.Sprintf("%032x", i), ClientAccount: "account", Outcome: outcome.Completed,
					Attempts: []decision.Attempt{{Number: 1, Target: "target", Considered: make([]decision.Candidate, 4)}},
				})
			}
			return ring, nil
		})
	})
}

// entryRecorderBytes measures the memory of the recorder of the service that callers received, with requests of all
// classes in 300 s.
func entryRecorderBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "bytes", Per: "client accounts with requests at the entry", TargetSize: 256}
	return sweep(m, []int{64, 128, 256}, func(accounts int) (float64, error) {
		return heapBytes(func() (any, error) {
			clock := &manualClock{now: time.Unix(1_000_000, 0)}
			r := report.NewRecorder(clock)
			for clock.now.Unix() < 1_000_300 {
				for i := range accounts {
					r.RecordRequest(report.Observation{Class: report.Classes()[i%3], Account: fmt.Sprintf("account-%d", i), Outcome: outcome.Completed})
				}
				clock.now = clock.now.Add(5 * time.Second)
			}
			return r, nil
		})
	})
}

// entryReportBytes measures the reply to a report query. Its size is bounded by the number of client accounts that are
// counted under their own name.
func entryReportBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "bytes a reply", Per: "client accounts with requests at the entry", TargetSize: Accounts}
	return sweep(m, []int{64, 128, 256}, func(accounts int) (float64, error) {
		r := report.NewRecorder(port.SystemClock{})
		for i := range accounts * 8 {
			r.RecordRequest(report.Observation{
				Class: report.Classes()[i%3], Account: fmt.Sprintf("account-%d", i%accounts), Outcome: outcome.Completed,
				Attempts: 1, FirstToken: time.Duration(i) * time.Millisecond, Total: time.Duration(i) * time.Second,
			})
		}
		raw, err := json.Marshal(r.Report(report.MaxWindow))
		return float64(len(raw)), err
	})
}
