package cli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/status"
)

func (t *tool) planCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank plan")
	var p processClient
	p.register(fs)
	group := fs.String("group", "", "rank group")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "plan", ShortUsage: "camphorbank plan -group GROUP [FLAGS]", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "show the next change of a group's expert map, its gain and its cost, without making it",
		LongHelp:  "Asks one process, which asks the process beside rank 0 of the group.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *group == "" {
				return &usageError{errors.New("plan needs -group and no argument")}
			}
			var plan status.DryRun
			if err := p.get(ctx, "/fleet/plan?group="+url.QueryEscape(*group), &plan); err != nil {
				return err
			}
			if *asJSON {
				return t.printJSON(plan)
			}
			return t.printPlan(&plan)
		},
	}
}

// printPlan prints the change of the expert map that the group would make next, and the experts to load for it.
func (t *tool) printPlan(p *status.DryRun) error {
	fmt.Fprintf(t.stdout, "group %s: %s\n", p.Group, p.Reason)
	fmt.Fprintf(t.stdout, "skew %.3f now, %.3f after, %.3f at best\n", p.SkewBefore, p.SkewAfter, p.Bound)
	fmt.Fprintf(t.stdout, "%d experts to load, %d bytes, %d ms at the group's share of the weight store\n", p.Moves, p.Bytes, p.LoadMS)
	fmt.Fprintf(t.stdout, "step time: %d ms gained over the horizon, %d ms lost by the change\n", p.GainMS, p.CostMS)
	if len(p.Listed) == 0 {
		return nil
	}
	rows := make([][]string, 0, len(p.Listed))
	for _, m := range p.Listed {
		rows = append(rows, []string{strconv.Itoa(m.Layer), strconv.Itoa(m.Rank), strconv.Itoa(m.Expert)})
	}
	return t.printTable([]string{"LAYER", "RANK", "EXPERT"}, rows)
}
