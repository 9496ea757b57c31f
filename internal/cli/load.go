package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/camphorbank/camphorbank/internal/finding"
	"github.com/camphorbank/camphorbank/internal/loadgen"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

// loadFlags holds the values of the flags of load. Those outside opt need parsing or affect the output only.
type loadFlags struct {
	opt           loadgen.Options
	entries, keys string
	peak, mix, ca string
	json          bool
}

func (f *loadFlags) register(fs *flag.FlagSet) {
	f.opt = loadgen.Defaults()
	o := &f.opt
	fs.StringVar(&f.entries, "entries", strings.Join(o.Entries, ","), "base URLs of entries, separated by commas, used in turn")
	fs.StringVar(&f.keys, "keys", "", "keys of client accounts, separated by commas; better set by CAMPHORBANK_KEYS")
	fs.StringVar(&f.ca, "ca", "", "PEM certificates that the entries' certificates must chain to; default the system's")
	fs.BoolVar(&o.AllowRemote, "allow-remote", false, "send to addresses that are not loopback")
	fs.Float64Var(&o.Rate, "rate", o.Rate, "mean arrivals a second")
	fs.StringVar(&f.peak, "peak", "", "another rate during a part of the run, such as 200@5s+3s: 200 a second for 3 s after 5 s")
	fs.DurationVar(&o.Duration, "duration", o.Duration, "how long requests arrive")
	fs.StringVar(&f.mix, "mix", formatMix(o.Mix), "weights of the classes short, long, call and booking")
	fs.Float64Var(&o.Streamed, "streamed", o.Streamed, "share of the drafts that are streamed")
	fs.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the arrivals")
	fs.IntVar(&o.MaxInFlight, "max-in-flight", o.MaxInFlight, "arrivals beyond this many requests in flight are dropped and counted")
	fs.DurationVar(&o.Timeout, "timeout", o.Timeout, "time in which an answer must end")
	fs.DurationVar(&o.Deadline, "deadline", 0, "deadline that requests state; 0 takes the preset's")
	fs.StringVar(&o.Model, "model", "", "model of the drafts")
	fs.IntVar(&o.ShortTokens, "short-tokens", o.ShortTokens, "highest number of tokens of a short draft")
	fs.IntVar(&o.MinLongTokens, "long-tokens", o.MinLongTokens, "lowest number of tokens of a long draft")
	fs.IntVar(&o.LongestTokens, "longest-tokens", o.LongestTokens, "highest number of tokens of a long draft")
	fs.StringVar(&o.Service, "service", "", "plain service of calls and bookings")
	fs.StringVar(&o.Operation, "operation", "", "idempotent operation, for calls")
	fs.StringVar(&o.BookingOperation, "booking-operation", "", "operation that must not run twice, for bookings")
	fs.BoolVar(&f.json, "json", false, "print JSON, with times in microseconds")
}

// options returns the options of the run that the flags describe, or all findings about the flags together.
func (f *loadFlags) options() (*loadgen.Options, error) {
	o := f.opt
	o.Entries, o.Keys = strings.Split(f.entries, ","), nil
	if f.keys != "" {
		o.Keys = strings.Split(f.keys, ",")
	}
	var all finding.List
	addFinding := func(key string, err error) {
		if err != nil {
			all = append(all, finding.Finding{File: "load", Key: key, Message: err.Error()})
		}
	}
	var err error
	o.Peak, err = parsePeak(f.peak)
	addFinding("peak", err)
	o.Mix, err = parseMix(f.mix)
	addFinding("mix", err)
	if f.ca != "" {
		pool, err := tlsconf.LoadPool(f.ca)
		addFinding("ca", err)
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	var list finding.List
	if errors.As(o.Validate(), &list) {
		all = append(all, list...)
	}
	return &o, all.Err()
}

// parsePeak parses the flag -peak, which has the form RATE@START+DURATION. An empty string stands for no peak.
func parsePeak(s string) (p loadgen.Peak, err error) {
	if s == "" {
		return p, nil
	}
	rate, rest, _ := strings.Cut(s, "@")
	start, length, _ := strings.Cut(rest, "+")
	var errs [3]error
	p.Rate, errs[0] = strconv.ParseFloat(rate, 64)
	p.Start, errs[1] = time.ParseDuration(start)
	p.Duration, errs[2] = time.ParseDuration(length)
	if errors.Join(errs[:]...) != nil {
		return loadgen.Peak{}, fmt.Errorf("%q is not of the form RATE@START+DURATION, such as 200@5s+3s", s)
	}
	return p, nil
}

// parseMix parses the flag -mix, which consists of CLASS=WEIGHT pairs separated by commas.
func parseMix(s string) (map[loadgen.Class]float64, error) {
	mix := map[loadgen.Class]float64{}
	for pair := range strings.SplitSeq(s, ",") {
		class, weight, _ := strings.Cut(pair, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if _, twice := mix[loadgen.Class(class)]; err != nil || twice {
			return mix, fmt.Errorf("%q: each class needs one weight, such as short=6,booking=1", pair)
		}
		mix[loadgen.Class(class)] = w
	}
	return mix, nil
}

// formatMix is the inverse of parseMix.
func formatMix(mix map[loadgen.Class]float64) string {
	var out []string
	for _, class := range loadgen.Classes() {
		out = append(out, fmt.Sprintf("%s=%v", class, mix[class]))
	}
	return strings.Join(out, ",")
}

func (t *tool) loadCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank load")
	var f loadFlags
	f.register(fs)
	return &ffcli.Command{
		Name: "load", ShortUsage: "camphorbank load [FLAGS]", FlagSet: fs, Options: environmentOptions(),
		ShortHelp: "send requests at random times to entries and check the answers",
		LongHelp: "The run stops by itself. An interrupt stops it early and still prints what was seen.\n" +
			"Exit status 1 means that an answer was wrong: cut, changed, or that of another request.\n\n" + exitHelp,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{fmt.Errorf("load: unexpected argument %s", args[0])}
			}
			o, err := f.options()
			if err != nil {
				return &usageError{err}
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			res, err := loadgen.Run(ctx, *o)
			if err != nil {
				return err
			}
			return t.printLoad(o, res, f.json)
		},
	}
}

// printLoad prints the result of a run. It returns an error if an answer was wrong, or if no request was answered.
func (t *tool) printLoad(o *loadgen.Options, res *loadgen.Result, asJSON bool) error {
	var err error
	if asJSON {
		err = t.printJSON(newLoadReport(o, res))
	} else {
		err = t.printLoadTable(o, res)
	}
	if err != nil {
		return err
	}
	if n := res.Wrong(); n > 0 {
		return fmt.Errorf("%d wrong answers; the first: %s", n, res.WrongExamples[0])
	}
	if answered, sent := res.Answered(); answered == 0 && sent > 0 {
		return &reachError{fmt.Errorf("none of %d requests was answered", sent)}
	}
	return nil
}

func (t *tool) printLoadTable(o *loadgen.Options, res *loadgen.Result) error {
	fmt.Fprintf(t.stdout, "seed %d, %s, at most %d in flight, sent at most %s late\n", o.Seed,
		res.Elapsed.Round(time.Millisecond), res.MaxInFlight, res.MaxSendDelay.Round(time.Microsecond))
	header := []string{"CLASS", "ARRIVED", "DROPPED", "COMPLETED", "NOT-RUN", "UNKNOWN", "NO-ANSWER", "WRONG",
		"FIRST-TOKEN", "TOKEN-GAP", "DURATION", "REFUSAL", "REASONS"}
	var rows [][]string
	for _, c := range res.Classes {
		row := []string{string(c.Class)}
		for _, n := range []int64{c.Arrived, c.Dropped, c.Completed, c.NotRun, c.Unknown, c.NoAnswer, c.Wrong} {
			row = append(row, strconv.FormatInt(n, 10))
		}
		for _, h := range []*hdrhistogram.Histogram{c.FirstToken, c.TokenGap, c.Duration, c.Refusal} {
			row = append(row, formatHistogram(h))
		}
		rows = append(rows, append(row, formatCounts(c.Reasons)))
	}
	return t.printTable(header, rows)
}
