package cli

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/status"
)

// maxPrintedAccounts bounds the client accounts in the table. With -json, all accounts are printed.
const maxPrintedAccounts = 10

func (t *tool) reportCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank report")
	var p processClient
	p.register(fs)
	window := fs.Duration("window", report.MaxWindow, "how far to look back, at most 5m")
	asJSON := fs.Bool("json", false, "print JSON; histograms are in HdrHistogram's compressed form, in units of 100 µs")
	return &ffcli.Command{
		Name: "report", ShortUsage: "camphorbank report [FLAGS]", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "show the service that callers got lately: outcomes, reasons, times by class",
		LongHelp:  "Asks one process, which joins the reports of all entries of its VM list.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{fmt.Errorf("report: unexpected argument %s", args[0])}
			}
			var s status.Service
			if err := p.get(ctx, "/fleet/report?window="+url.QueryEscape(window.String()), &s); err != nil {
				return err
			}
			return t.printService(&s, *asJSON)
		},
	}
}

func (t *tool) printService(s *status.Service, asJSON bool) error {
	if asJSON {
		if err := t.printJSON(s); err != nil {
			return err
		}
	} else if err := t.printServiceTables(s); err != nil {
		return err
	}
	if n := len(s.Unreachable); n > 0 {
		return &reachError{fmt.Errorf("%d of %d entries could not be reached, the first is %s (%s)",
			n, n+s.Entries, s.Unreachable[0].Name, s.Unreachable[0].Error)}
	}
	return nil
}

func (t *tool) printServiceTables(s *status.Service) error {
	fmt.Fprintf(t.stdout, "last %s at %d entries\n", time.Duration(s.WindowS)*time.Second, s.Entries)
	rows := make([][]string, 0, len(s.Classes))
	for _, c := range s.Classes {
		row, err := classRow(c)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	header := []string{"CLASS", "REQUESTS", "COMPLETED", "NOT-RUN", "UNKNOWN", "ATTEMPTS", "FIRST-TOKEN", "TOKEN-GAP", "DURATION", "REASONS"}
	if err := t.printTable(header, rows); err != nil {
		return err
	}
	accounts := make([][]string, 0, maxPrintedAccounts)
	for _, a := range s.Accounts[:min(len(s.Accounts), maxPrintedAccounts)] {
		accounts = append(accounts, []string{a.Name, strconv.FormatInt(a.Requests, 10), strconv.FormatInt(a.Completed, 10)})
	}
	return t.printTable([]string{"CLIENT-ACCOUNT", "REQUESTS", "COMPLETED"}, accounts)
}

// classRow returns the row of a class in the table.
func classRow(c report.ClassReport) ([]string, error) {
	row := []string{string(c.Class)}
	for _, n := range []int64{c.Requests, c.Completed, c.NotRun, c.Unknown, c.Attempts} {
		row = append(row, strconv.FormatInt(n, 10))
	}
	for _, raw := range [][]byte{c.FirstToken, c.Gap, c.Duration} {
		times, err := report.DecodePercentiles(raw)
		if err != nil {
			return nil, err
		}
		row = append(row, formatPercentiles(times))
	}
	return append(row, formatReasons(c)), nil
}

// formatPercentiles formats the median and the 95th and 99th percentiles.
func formatPercentiles(p report.Percentiles) string {
	if p == (report.Percentiles{}) {
		return "-"
	}
	return fmt.Sprintf("%s/%s/%s", p.P50, p.P95, p.P99)
}

// formatReasons lists the reasons of requests that were not completed with their counts, sorted by name.
func formatReasons(c report.ClassReport) string {
	var out []string
	for reason, n := range c.Reasons {
		out = append(out, fmt.Sprintf("%s=%d", reason, n))
	}
	if out == nil {
		return "-"
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
