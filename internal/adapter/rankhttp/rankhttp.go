// Package rankhttp is the HTTP client of the control interface of a model engine that is one rank of a group. It reads
// the rank's state, expert map and popularity report, and sends the commands that change the expert map. The paths and
// the body of the commands are exported for servers of the interface.
package rankhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/jsonsize"
	"github.com/camphorbank/camphorbank/internal/port"
)

const (
	// maxReplyBytes bounds a reply. A map of 128 ranks, 60 layers and 3 slots has about 100 KB.
	maxReplyBytes = 16 << 20
	// maxDecodedBytes bounds the memory that a decoded reply takes. A map of 128 ranks, 1,024 layers and 3 slots is charged 18 MB.
	maxDecodedBytes = 32 << 20
	// maxCommandReplyBytes bounds the reply to a command, which holds a reason at most.
	maxCommandReplyBytes = 64 << 10
	// maxReasonBytes bounds the part of the engine's reason for a refused command that goes into the error.
	maxReasonBytes = 1024
	// dialTimeout bounds connecting to the engine, which runs on the same VM.
	dialTimeout = time.Second
)

// Paths of the engine's control interface. State, map and popularity are read with GET. The other paths are commands,
// sent with POST and a Command as the body.
const (
	PathState      = "/rank/state"
	PathMap        = "/rank/map"
	PathPopularity = "/rank/popularity"
	PathFence      = "/rank/fence"
	PathStage      = "/rank/stage"
	PathHold       = "/rank/hold"
	PathCommit     = "/rank/commit"
	PathAbort      = "/rank/abort"
)

// Command is the body of a command. An engine that refuses it responds with status 409 and the reason as plain text.
type Command struct {
	FencingNumber int64           `json:"fence"` // fencing number of the sender
	Epoch         int64           `json:"epoch,omitempty"`
	Step          int64           `json:"step,omitempty"`
	Map           *port.ExpertMap `json:"map,omitempty"`
}

// Client implements port.RankEngine. Apart from dialTimeout it sets no timeout: the engine may still carry out a
// command that its sender stopped waiting for, so the participant waits until the command ends.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at the base URL.
func New(base string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: httpclient.NewSingleUseTransport(dialTimeout)}}
}

// State reads the state of the rank.
func (c *Client) State(ctx context.Context) (s port.RankState, err error) {
	return s, c.call(ctx, http.MethodGet, PathState, nil, &s)
}

// Map reads the expert map that is in use, or the one that is committed for a later step.
func (c *Client) Map(ctx context.Context) (m port.ExpertMap, err error) {
	return m, c.call(ctx, http.MethodGet, PathMap, nil, &m)
}

// Popularity reads the latest report of the tokens routed to each expert.
func (c *Client) Popularity(ctx context.Context) (p port.Popularity, err error) {
	return p, c.call(ctx, http.MethodGet, PathPopularity, nil, &p)
}

// Fence raises the engine's fencing number, so that the engine refuses commands with older ones.
func (c *Client) Fence(ctx context.Context, fence int64) error {
	return c.command(ctx, PathFence, Command{FencingNumber: fence})
}

// Stage starts to load the experts of a map while the map in use stays in use.
func (c *Client) Stage(ctx context.Context, fence int64, m port.ExpertMap) error {
	return c.command(ctx, PathStage, Command{FencingNumber: fence, Epoch: m.Epoch, Map: &m})
}

// Hold keeps the rank from starting the step until the epoch is committed or aborted.
func (c *Client) Hold(ctx context.Context, fence, epoch, step int64) error {
	return c.command(ctx, PathHold, Command{FencingNumber: fence, Epoch: epoch, Step: step})
}

// Commit puts the map of the epoch into use from the held step on and ends the hold.
func (c *Client) Commit(ctx context.Context, fence, epoch int64) error {
	return c.command(ctx, PathCommit, Command{FencingNumber: fence, Epoch: epoch})
}

// Abort discards the staged map of an epoch that is not committed and ends its hold.
func (c *Client) Abort(ctx context.Context, fence, epoch int64) error {
	return c.command(ctx, PathAbort, Command{FencingNumber: fence, Epoch: epoch})
}

func (c *Client) command(ctx context.Context, path string, body Command) error {
	return c.call(ctx, http.MethodPost, path, body, nil)
}

func (c *Client) call(ctx context.Context, method, path string, request, result any) error {
	var body io.Reader
	if request != nil {
		raw, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	switch {
	case res.StatusCode == http.StatusConflict:
		reason, err := httpclient.ReadReply(res.Body, maxCommandReplyBytes)
		if err != nil {
			return err
		}
		return &port.RankRefusedError{Reason: strings.TrimSpace(string(reason[:min(maxReasonBytes, len(reason))]))}
	case res.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%s %s: %s", method, path, res.Status)
	case result == nil:
		_, err := httpclient.ReadReply(res.Body, maxCommandReplyBytes)
		return err
	}
	return json.NewDecoder(jsonsize.LimitReader(io.LimitReader(res.Body, maxReplyBytes), maxDecodedBytes)).Decode(result)
}
