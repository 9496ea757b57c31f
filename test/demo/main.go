// Command demo starts a fleet on loopback with entries, local processes and stand-in targets, sends drafts and bookings
// through the entries with the camphorbank command, and stops the fleet. It fails if a response is not as expected or a
// booking is not made exactly once.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run() (err error) {
	dir, err := os.MkdirTemp("", "camphorbank-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := &localfleet.Fleet{Dir: dir, Bin: dir}
	if err := localfleet.Build(dir); err != nil {
		return err
	}
	defer func() {
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
		for _, n := range f.Nodes {
			if code := n.ExitCode(); err == nil && code != 0 {
				err = fmt.Errorf("%s exited with %d", n.Name, code)
			}
		}
	}()
	entries, err := startFleet(f)
	if err != nil {
		return err
	}
	return sendRequests(f, entries)
}

func startFleet(f *localfleet.Fleet) ([]*localfleet.Node, error) {
	if err := f.StartPlatform(); err != nil {
		return nil, err
	}
	doc, err := os.ReadFile("examples/etikettwerk.toml")
	if err != nil {
		return nil, err
	}
	if err := f.PublishConfig(1, doc); err != nil {
		return nil, err
	}
	for i := 1; i <= 4; i++ {
		if err := startTarget(f, fmt.Sprintf("wording-%d", i), i, "engine", wire.KindDraft, "wording"); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= 3; i++ {
		if err := startTarget(f, fmt.Sprintf("desk-%d", i), i, "desk", wire.KindCall, "order-desk"); err != nil {
			return nil, err
		}
	}
	var entries []*localfleet.Node
	for i := 1; i <= 2; i++ {
		n, err := f.StartEntry(fmt.Sprintf("entry-%d", i), fmt.Sprintf("zh-%d", i))
		if err != nil {
			return nil, err
		}
		entries = append(entries, n)
	}
	return entries, nil
}

func startTarget(f *localfleet.Fleet, name string, i int, program string, kind wire.Kind, serves string) error {
	addr, _, err := f.StartStandIn(name+"-target", program)
	if err != nil {
		return err
	}
	vm := wire.VM{Name: name, DataCentre: fmt.Sprintf("zh-%d", (i-1)%3+1), Kind: kind, Serves: serves}
	_, err = f.StartLocal(vm, "http://"+addr, 8)
	return err
}

func sendRequests(f *localfleet.Fleet, entries []*localfleet.Node) error {
	firstBooking := "" // output of the first booking
	for i, n := range entries {
		slot, other := fmt.Sprintf("evening-run-slot-%d", i+1), entries[(i+1)%len(entries)]
		ticket, err := send(f, n, "ticket", "-service", "order-desk")
		if err != nil {
			return err
		}
		book := []string{"call", "-service", "order-desk", "-operation", "reserve", "-ticket", ticket, slot}
		for _, c := range []struct {
			entry *localfleet.Node
			want  string // text that the output must contain
			args  []string
		}{
			{n, "12 tokens", []string{"draft", "-model", "wording", "-max-tokens", "12", "Bergkäse, Angebot der Woche"}},
			{n, "8 tokens", []string{"draft", "-stream", "-model", "wording", "-max-tokens", "8", "Fromage de montagne"}},
			{n, "reserve done: " + slot, book},
			{other, "reserve done: " + slot, book}, // a retry through the other entry gets the stored response
			{n, "status done: " + slot, []string{"call", "-service", "order-desk", "-operation", "status", slot}},
		} {
			out, err := send(f, c.entry, c.args...)
			if err != nil {
				return err
			}
			if firstBooking == "" && c.args[0] == "call" {
				firstBooking = out
			}
			if !strings.Contains(out, c.want) {
				return fmt.Errorf("the output of %v lacks %q", c.args, c.want)
			}
		}
		if err := checkReservedOnce(f, slot); err != nil {
			return err
		}
	}
	return checkExplain(f, entries, firstBooking)
}

// checkExplain asks the second entry for the record of a request, whose id is in the output of the send command.
func checkExplain(f *localfleet.Fleet, entries []*localfleet.Node, output string) error {
	m := regexp.MustCompile(`request ([0-9a-f]{32}): completed`).FindStringSubmatch(output)
	if m == nil {
		return fmt.Errorf("no request id in %q", output)
	}
	out, err := camphorbank(f, "explain", "-process", entries[1].Operators, m[1])
	if err == nil && !strings.Contains(out, "order-desk") {
		err = errors.New("the explanation does not name the service")
	}
	return err
}

// checkReservedOnce checks that the desks together ran the reservation of a slot exactly once.
func checkReservedOnce(f *localfleet.Fleet, slot string) error {
	total := 0
	for _, n := range f.Nodes {
		runs := map[string]int{}
		if n.VM.Kind != wire.KindCall {
			continue
		}
		if err := localfleet.GetJSON(n.TargetURL+"/runs", &runs); err != nil {
			return err
		}
		total += runs["reserve "+slot]
	}
	if total != 1 {
		return fmt.Errorf("%s was reserved %d times", slot, total)
	}
	return nil
}

func send(f *localfleet.Fleet, n *localfleet.Node, args ...string) (string, error) {
	full := append([]string{"send", args[0], "-entry", "http://" + n.Callers, "-key", "demo-key"}, args[1:]...)
	return camphorbank(f, full...)
}

func camphorbank(f *localfleet.Fleet, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(f.Bin, "camphorbank"), args...)
	cmd.Stdout, cmd.Stderr = io.MultiWriter(os.Stdout, &out), os.Stderr
	fmt.Println("$ camphorbank", strings.Join(args, " "))
	err := cmd.Run()
	return strings.TrimSpace(out.String()), err
}
