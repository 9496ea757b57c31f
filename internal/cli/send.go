package cli

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/server"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/tlsconf"
)

func (t *tool) sendCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "send", ShortUsage: "camphorbank send draft|call|ticket [FLAGS] [TEXT]", ShortHelp: "send one request to an entry",
		LongHelp: exitHelp, FlagSet: t.newFlagSet("camphorbank send"),
		Subcommands: []*ffcli.Command{t.sendDraftCommand(), t.sendCallCommand(), t.sendTicketCommand()},
		Exec:        helpOrUnknownCommand("send"),
	}
}

// entryFlags are the flags that all send commands have: the entry that gets the request, the key of the client account,
// and the form of the output.
type entryFlags struct {
	entry, key, ca string
	json           bool
}

func (e *entryFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&e.entry, "entry", "http://127.0.0.1:8080", "base URL of an entry")
	fs.StringVar(&e.key, "key", "", "key of the client account; better set by CAMPHORBANK_KEY")
	fs.StringVar(&e.ca, "ca", "", "PEM certificates that the entry's certificate must chain to; default the system's")
	fs.BoolVar(&e.json, "json", false, "print JSON")
}

func (e *entryFlags) client() (*client.Client, error) {
	u, err := url.Parse(e.entry)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{fmt.Errorf("-entry: %q is not a base URL such as http://127.0.0.1:8080", e.entry)}
	}
	transport := httpclient.NewTransport(operatorTimeout)
	transport.Proxy = http.ProxyFromEnvironment
	if e.ca != "" {
		pool, err := tlsconf.LoadPool(e.ca)
		if err != nil {
			return nil, &usageError{fmt.Errorf("-ca: %w", err)}
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return callerclient.New(u, &http.Client{Transport: transport}), nil
}

func (e *entryFlags) bearer() *string {
	b := "Bearer " + e.key
	return &b
}

// optionalString returns nil for an empty string, so that the request omits the attribute.
func optionalString(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// optionalInt returns nil for 0, so that the request omits the attribute.
func optionalInt(n int) *int {
	if n == 0 {
		return nil
	}
	return &n
}

func (t *tool) sendDraftCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank send draft")
	var e entryFlags
	e.register(fs)
	model := fs.String("model", "", "model")
	adapter := fs.String("adapter", "", "adapter of the model")
	maxTokens := fs.Int("max-tokens", 100, "upper bound on generated tokens")
	deadline := fs.Int("deadline-ms", 0, "milliseconds in which the whole answer is useful; 0 takes the preset's")
	stream := fs.Bool("stream", false, "print the text as it comes")
	return &ffcli.Command{
		Name: "draft", ShortUsage: "camphorbank send draft [FLAGS] PROMPT", ShortHelp: "request a draft of a model",
		LongHelp: exitHelp, FlagSet: fs, Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *model == "" {
				return &usageError{errors.New("send draft needs -model and one prompt")}
			}
			cl, err := e.client()
			if err != nil {
				return err
			}
			p := &api.DraftPayload{Authorization: e.bearer(), Model: *model, Adapter: optionalString(*adapter), Prompt: args[0],
				MaxTokens: *maxTokens, DeadlineMs: optionalInt(*deadline)}
			if *stream {
				return t.streamDraft(ctx, cl, p, e.json)
			}
			return t.sendDraft(ctx, cl, p, e.json)
		},
	}
}

// sendDraft requests a draft that is returned in one response, and prints it.
func (t *tool) sendDraft(ctx context.Context, cl *client.Client, p *api.DraftPayload, asJSON bool) error {
	res, err := cl.Draft()(ctx, p)
	if err != nil {
		return sendError(err)
	}
	d := res.(*api.DraftResult)
	if asJSON {
		return t.printJSON(server.NewDraftResponseBody(d))
	}
	_, err = fmt.Fprintf(t.stdout, "%s\nrequest %s: %s, %d tokens from %s\n", d.Text, d.RequestID, d.Outcome, d.Tokens, d.Target)
	return err
}

// streamDraft requests a streamed draft, checks its events and prints them as they arrive.
func (t *tool) streamDraft(ctx context.Context, cl *client.Client, p *api.DraftPayload, asJSON bool) error {
	res, err := cl.DraftStream()(ctx, (*api.DraftStreamPayload)(p))
	if err != nil {
		return sendError(err)
	}
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	var answer callerclient.AnswerChecker
	for {
		e, err := events.Recv(ctx)
		if err != nil {
			return sendError(err)
		}
		if e == nil {
			return errors.New("the stream ended before the end of the answer")
		}
		if err := answer.Add(e); err != nil {
			return fmt.Errorf("request %s: %w", e.RequestID, err)
		}
		if last, err := t.printEvent(e, asJSON); last || err != nil {
			return err
		}
	}
}

// printEvent prints an event of a streamed draft. It returns whether the event is the last one, and the error that the
// event reports, if any.
func (t *tool) printEvent(e *api.DraftEvent, asJSON bool) (last bool, err error) {
	last = e.Kind == "end" || e.Kind == "error"
	if asJSON {
		err = t.printJSON(server.NewDraftStreamResponseBody(e))
	}
	switch {
	case e.Kind == "error":
		return true, fmt.Errorf("request %s: %s: %s", e.RequestID, *e.Outcome, *e.Reason)
	case asJSON:
	case e.Kind == "text":
		_, err = fmt.Fprint(t.stdout, *e.Text)
	case e.Kind == "restart":
		_, err = fmt.Fprintln(t.stdout, "\n(restarted)")
	case e.Kind == "end":
		_, err = fmt.Fprintf(t.stdout, "\nrequest %s: %s, %d tokens\n", e.RequestID, *e.Outcome, *e.Tokens)
	}
	return last, err
}

func (t *tool) sendCallCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank send call")
	var e entryFlags
	e.register(fs)
	service := fs.String("service", "", "plain service")
	operation := fs.String("operation", "", "operation of the service")
	ticket := fs.String("ticket", "", "ticket for an operation that must not run twice")
	deadline := fs.Int("deadline-ms", 0, "milliseconds in which the answer is useful; 0 takes the preset's")
	return &ffcli.Command{
		Name: "call", ShortUsage: "camphorbank send call [FLAGS] BODY", ShortHelp: "call an operation of a plain service",
		LongHelp: exitHelp, FlagSet: fs, Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *service == "" || *operation == "" {
				return &usageError{errors.New("send call needs -service, -operation and one body")}
			}
			cl, err := e.client()
			if err != nil {
				return err
			}
			res, err := cl.Call()(ctx, &api.CallPayload{Authorization: e.bearer(), Service: *service, Operation: *operation,
				Body: args[0], Ticket: optionalString(*ticket), DeadlineMs: optionalInt(*deadline)})
			if err != nil {
				return sendError(err)
			}
			return t.printCall(res.(*api.CallResult), e.json)
		},
	}
}

func (t *tool) printCall(r *api.CallResult, asJSON bool) error {
	if asJSON {
		return t.printJSON(server.NewCallResponseBody(r))
	}
	repeated := ""
	if r.Repeated {
		repeated = ", stored answer of an earlier request"
	}
	_, err := fmt.Fprintf(t.stdout, "%s\nrequest %s: %s, status %d from %s%s\n", r.Body, r.RequestID, r.Outcome, r.Status, r.Target, repeated)
	return err
}

func (t *tool) sendTicketCommand() *ffcli.Command {
	fs := t.newFlagSet("camphorbank send ticket")
	var e entryFlags
	e.register(fs)
	service := fs.String("service", "", "plain service")
	return &ffcli.Command{
		Name: "ticket", ShortUsage: "camphorbank send ticket [FLAGS]", ShortHelp: "get a ticket for one run of an operation",
		LongHelp: exitHelp, FlagSet: fs, Options: environmentOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 || *service == "" {
				return &usageError{errors.New("send ticket needs -service and no argument")}
			}
			cl, err := e.client()
			if err != nil {
				return err
			}
			res, err := cl.Ticket()(ctx, &api.TicketPayload{Authorization: e.bearer(), Service: *service})
			if err != nil {
				return sendError(err)
			}
			r := res.(*api.TicketResult)
			if e.json {
				return t.printJSON(server.NewTicketResponseBody(r))
			}
			_, err = fmt.Fprintln(t.stdout, r.Ticket)
			return err
		},
	}
}

// sendError returns the error to print for a failed request. For a refusal it states the outcome, the reason, the
// message and the retry-after time; any other failure becomes a reachError.
func sendError(err error) error {
	var r *api.Refusal
	if !errors.As(err, &r) {
		return &reachError{unwrapURL(err)}
	}
	hint := ""
	if r.RetryAfterS != nil {
		hint = fmt.Sprintf("; retry after %d s", *r.RetryAfterS)
	}
	return fmt.Errorf("request %s: %s: %s: %s%s", r.RequestID, r.Outcome, r.Reason, r.Message, hint)
}
