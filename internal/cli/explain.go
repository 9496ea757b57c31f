package cli

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/status"
)

func (t *tool) explainCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank explain")
	var p processClient
	p.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "camphorbank explain [FLAGS] REQUEST-ID", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "show how a recent request was placed, and why it was refused or slow",
		LongHelp:  "Asks one process, which asks all entries of its VM list. An entry keeps its latest 1,024 records.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &usageError{errors.New("explain needs one request id")}
			}
			var e status.Explanation
			if err := p.get(ctx, "/fleet/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			return t.printExplanation(&e, args[0], *asJSON)
		},
	}
}

func (t *tool) printExplanation(e *status.Explanation, id string, asJSON bool) error {
	switch {
	case !e.Found && len(e.Unreachable) > 0:
		return &reachError{fmt.Errorf("no record of request %s; %d entries could not be asked, the first is %s (%s)",
			id, len(e.Unreachable), e.Unreachable[0].Name, e.Unreachable[0].Error)}
	case !e.Found:
		return fmt.Errorf("no entry has a record of request %s", id)
	case asJSON:
		return t.printJSON(e)
	}
	t.printRecord(e.Entry, &e.Record)
	return t.printAttempts(e.Record.Attempts)
}

func (t *tool) printRecord(entry string, r *decision.Record) {
	fmt.Fprintf(t.stdout, "request %s: %s\n", r.RequestID, joinReason(string(r.Outcome), string(r.Reason), r.Message))
	fmt.Fprintf(t.stdout, "received %s by %s from client account %s\n", r.Received.Format(time.RFC3339Nano), entry, r.ClientAccount)
	fmt.Fprintf(t.stdout, "%s of %s under revision %d, preset %s; answered after %s\n",
		r.Kind, r.Serves, r.Revision, r.Preset, r.Duration.Round(10*time.Microsecond))
}

func (t *tool) printAttempts(attempts []decision.Attempt) error {
	if len(attempts) == 0 {
		_, err := fmt.Fprintln(t.stdout, "no attempt was made")
		return err
	}
	rows := make([][]string, 0, len(attempts))
	for _, a := range attempts {
		rows = append(rows, []string{
			strconv.Itoa(a.Number), a.Target, a.FirstFrame.Round(10 * time.Microsecond).String(),
			a.Duration.Round(10 * time.Microsecond).String(), strconv.Itoa(a.Resumes),
			joinReason(string(a.Outcome), string(a.Reason), a.Message), formatCandidates(a),
		})
	}
	return t.printTable([]string{"ATTEMPT", "TARGET", "FIRST-FRAME", "TOOK", "RESUMES", "OUTCOME", "CONSIDERED"}, rows)
}

// joinReason joins the parts that are not empty with colons. The first part is always there.
func joinReason(parts ...string) string {
	out := parts[0]
	for _, p := range parts[1:] {
		if p != "" {
			out += ": " + p
		}
	}
	return out
}

// formatCandidates lists the targets that were considered for an attempt with their scores, which are predicted waits,
// and the number of eligible targets. The chosen target comes first.
func formatCandidates(a decision.Attempt) string {
	names := make([]string, 0, len(a.Considered))
	for _, c := range a.Considered {
		name := fmt.Sprintf("%s=%s", c.Target, c.Score.Round(100*time.Microsecond))
		if c.Probe {
			name += "(probe)"
		}
		names = append(names, name)
	}
	out := fmt.Sprintf("%s of %d", strings.Join(names, " "), a.Eligible)
	if a.KeptTokens > 0 {
		out += fmt.Sprintf(", %d prompt tokens expected in its cache", a.KeptTokens)
	}
	if a.Spilled {
		out += ", another target held more of the prompt"
	}
	return out
}
