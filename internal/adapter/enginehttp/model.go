package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/port"
)

// fencingHeader carries the fencing number of a command.
const fencingHeader = "Fencing-Number"

// maxCommandReplyBytes bounds the response to a command, which has no result.
const maxCommandReplyBytes = 64 << 10

// maxReasonBytes bounds the part of the engine's reason for a refused command that goes into the error.
const maxReasonBytes = 200

var _ port.ModelEngine = (*Client)(nil)

// Loaded reads which model version and adapters the engine has loaded.
func (c *Client) Loaded(ctx context.Context) (port.EngineModel, error) {
	var m port.EngineModel
	res, err := c.doModelRequest(ctx, http.MethodGet, "", 0, nil)
	if err != nil {
		return m, err
	}
	defer res.Body.Close()
	return m, json.NewDecoder(io.LimitReader(res.Body, maxEventBytes)).Decode(&m)
}

// LoadVersion replaces the model's weights with those of the version.
func (c *Client) LoadVersion(ctx context.Context, fence int64, version string) error {
	return c.doModelCommand(ctx, http.MethodPut, "/version", fence, map[string]string{"version": version})
}

// LoadAdapter loads an adapter.
func (c *Client) LoadAdapter(ctx context.Context, fence int64, adapter string) error {
	return c.doModelCommand(ctx, http.MethodPut, "/adapters/"+url.PathEscape(adapter), fence, nil)
}

// UnloadAdapter unloads an adapter.
func (c *Client) UnloadAdapter(ctx context.Context, fence int64, adapter string) error {
	return c.doModelCommand(ctx, http.MethodDelete, "/adapters/"+url.PathEscape(adapter), fence, nil)
}

// doModelCommand sends a command that has no result.
func (c *Client) doModelCommand(ctx context.Context, method, path string, fence int64, body any) error {
	res, err := c.doModelRequest(ctx, method, path, fence, body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := httpclient.ReadReply(res.Body, maxCommandReplyBytes); err != nil {
		return fmt.Errorf("engine: command: %w", err)
	}
	return nil
}

// doModelRequest sends a request to the engine's model interface. A status other than 2xx is an error.
func (c *Client) doModelRequest(ctx context.Context, method, path string, fence int64, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/model"+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set(fencingHeader, strconv.FormatInt(fence, 10))
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 == 2 {
		return res, nil
	}
	defer res.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
	return nil, fmt.Errorf("engine: %s %s: %s: %s", method, path, res.Status, strings.TrimSpace(string(reason)))
}
