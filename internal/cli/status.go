package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/status"
)

func (t *tool) statusCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank status")
	var p processClient
	p.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "status", ShortUsage: "camphorbank status [FLAGS]", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "show every process: revision, preset, load, and what needs attention",
		LongHelp:  "Asks one process, which asks all processes of its VM list.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{fmt.Errorf("status: unexpected argument %s", args[0])}
			}
			var fleet status.Fleet
			if err := p.get(ctx, "/fleet", &fleet); err != nil {
				return err
			}
			return t.printFleet(&fleet, *asJSON)
		},
	}
}

// fleetReport is the JSON form of the output of status.
type fleetReport struct {
	*status.Fleet
	Problems []status.Problem `json:"problems"`
}

// printFleet prints the state of the fleet. It returns an error if a process could not be reached or has a problem.
func (t *tool) printFleet(fleet *status.Fleet, asJSON bool) error {
	problems := fleet.Problems()
	if asJSON {
		if err := t.printJSON(fleetReport{fleet, problems}); err != nil {
			return err
		}
	} else if err := t.printFleetTable(fleet, problems); err != nil {
		return err
	}
	if len(fleet.Unreachable) > 0 {
		return &reachError{fmt.Errorf("%d of %d processes could not be reached", len(fleet.Unreachable), len(fleet.Unreachable)+len(fleet.Processes))}
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems", len(problems))
	}
	return nil
}

func (t *tool) printFleetTable(fleet *status.Fleet, problems []status.Problem) error {
	rows := make([][]string, 0, len(fleet.Processes))
	for _, p := range fleet.Processes {
		rows = append(rows, []string{
			p.Name, p.Role, p.DataCentre, formatState(p), strconv.FormatInt(p.Revision, 10), p.Preset, formatServes(p), formatLoad(p), formatGroup(p),
		})
	}
	err := t.printTable([]string{"PROCESS", "ROLE", "DATA-CENTRE", "STATE", "REVISION", "PRESET", "SERVES", "LOAD", "GROUP"}, rows)
	for _, p := range problems {
		fmt.Fprintf(t.stdout, "problem: %s: %s\n", p.Process, p.Message)
	}
	return err
}

func formatState(p status.Process) string {
	switch {
	case p.Engine != nil && p.Engine.Updating:
		return "updating"
	case p.Draining:
		return "draining"
	case p.Ready:
		return "ready"
	default:
		return "not-ready"
	}
}

// formatServes formats what the target of a process serves as NAME or, if the version is known, as NAME@VERSION.
func formatServes(p status.Process) string {
	if p.Target == nil {
		return "-"
	}
	if p.Engine == nil || p.Engine.Version == "" {
		return p.Target.Serves
	}
	return p.Target.Serves + "@" + p.Engine.Version
}

// formatLoad formats the numbers of running requests, slots and queued requests of a target as RUNNING/SLOTS+QUEUED.
func formatLoad(p status.Process) string {
	if p.Target == nil {
		return "-"
	}
	l := p.Target.Load
	return fmt.Sprintf("%d/%d+%d", l.Running, l.Slots, l.Queued)
}

// formatGroup formats what a process reports about its rank group: the name of the group, the rank, the epoch of the
// expert map, the phase of a change of the map, and the skew.
func formatGroup(p status.Process) string {
	if p.Group == nil {
		return "-"
	}
	parts := []string{fmt.Sprintf("%s[%d]", p.Group.Name, p.Group.Rank), fmt.Sprintf("epoch=%d", p.Group.Epoch)}
	if p.Group.Phase != "" {
		parts = append(parts, p.Group.Phase)
	}
	if p.Group.Skew > 0 {
		parts = append(parts, fmt.Sprintf("skew=%.2f", p.Group.Skew))
	}
	return strings.Join(parts, " ")
}
