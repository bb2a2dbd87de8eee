// Package httpworker implements workerapi.WorkerAPI with JSON over HTTP on
// loopback. It registers itself as plug-in "httpworker".
package httpworker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/workerapi"
)

const (
	// maxResponseBytes limits the size of a response. It is enough for a list of
	// several thousand tasks.
	maxResponseBytes = 4 << 20
	// defaultTimeout is the timeout of a call if timeout_ms is not set.
	defaultTimeout = time.Second
	// maxIdleConns is the number of idle connections to keep, since the leases of
	// all tasks are renewed concurrently.
	maxIdleConns = 16
)

func init() {
	workerapi.Plugins.Register("httpworker", func(s workerapi.Settings) (workerapi.WorkerAPI, error) { return New(s) })
}

// Client calls the worker interface over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

var _ workerapi.WorkerAPI = (*Client)(nil)

// New returns a Client for s. http is assumed for an address without a scheme.
func New(s workerapi.Settings) (*Client, error) {
	baseURL := strings.TrimSuffix(s.Address, "/")
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("worker_api.address: %w", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("worker_api.address: %q is not an http or https URL", s.Address)
	}
	c := &Client{baseURL: baseURL, timeout: time.Duration(s.TimeoutMS) * time.Millisecond}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: c.timeout}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns}}
	return c, nil
}

// Worker implements workerapi.WorkerAPI.
func (c *Client) Worker(ctx context.Context) (model.Worker, error) {
	var w model.Worker
	err := c.call(ctx, http.MethodGet, "/v1/worker", nil, &w)
	return w, err
}

// Tasks implements workerapi.WorkerAPI.
func (c *Client) Tasks(ctx context.Context) ([]workerapi.Task, error) {
	var tasks []workerapi.Task
	err := c.call(ctx, http.MethodGet, "/v1/tasks", nil, &tasks)
	return tasks, err
}

// Usage implements workerapi.WorkerAPI.
func (c *Client) Usage(ctx context.Context) ([]workerapi.Usage, error) {
	var usage []workerapi.Usage
	err := c.call(ctx, http.MethodGet, "/v1/usage", nil, &usage)
	return usage, err
}

// Run implements workerapi.WorkerAPI.
func (c *Client) Run(ctx context.Context, t workerapi.Task, lease time.Duration) (workerapi.Task, error) {
	t.LeaseMS = lease.Milliseconds()
	var state workerapi.Task
	err := c.call(ctx, http.MethodPut, taskPath(t.ID, ""), t, &state)
	return state, err
}

// Renew implements workerapi.WorkerAPI.
func (c *Client) Renew(ctx context.Context, id string, lease time.Duration) (workerapi.Task, error) {
	return c.postTaskAction(ctx, id, "renew", map[string]int64{"lease_ms": lease.Milliseconds()})
}

// Checkpoint implements workerapi.WorkerAPI.
func (c *Client) Checkpoint(ctx context.Context, id string) (workerapi.Task, error) {
	return c.postTaskAction(ctx, id, "checkpoint", struct{}{})
}

// Stop implements workerapi.WorkerAPI.
func (c *Client) Stop(ctx context.Context, id string) (workerapi.Task, error) {
	return c.postTaskAction(ctx, id, "stop", struct{}{})
}

// Throttle implements workerapi.WorkerAPI.
func (c *Client) Throttle(ctx context.Context, id string, share float64) error {
	_, err := c.postTaskAction(ctx, id, "throttle", map[string]float64{"share": share})
	return err
}

// postTaskAction posts an action on a task and returns the state of the task.
func (c *Client) postTaskAction(ctx context.Context, id, action string, body any) (workerapi.Task, error) {
	var state workerapi.Task
	err := c.call(ctx, http.MethodPost, taskPath(id, "/"+action), body, &state)
	return state, err
}

// taskPath returns the URL path of a task followed by action. The slashes of the
// task id are escaped.
func taskPath(id, action string) string { return "/v1/tasks/" + url.PathEscape(id) + action }

// call sends in as JSON, nothing if it is nil, and decodes the response into out.
// Errors are of type *result.Error.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return result.Errorf(result.Internal, "worker %s %s: %w", method, path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return result.Errorf(result.Internal, "worker %s %s: %w", method, path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return result.Errorf(noResponseCode(method, err), "worker %s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return result.Errorf(noResponseCode(method, err), "worker %s %s: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return result.Errorf(statusCode(resp.StatusCode), "worker %s %s: status %d: %s", method, path, resp.StatusCode, excerpt(data))
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(result.OutcomeUnknown, "worker %s %s: malformed response: %w", method, path, err)
	}
	return nil
}

// noResponseCode returns the code for a call without a usable response. A call that
// only reads, or for which no connection could be opened, has had no effect; any
// other may have.
func noResponseCode(method string, err error) result.Code {
	var opErr *net.OpError
	if method == http.MethodGet || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return result.BackendUnavailable
	}
	return result.OutcomeUnknown
}

// statusCode returns the result code for a response with an HTTP status other
// than 200.
func statusCode(status int) result.Code {
	switch status {
	case http.StatusBadRequest:
		return result.BadRequest
	case http.StatusNotFound:
		return result.NotFound
	case http.StatusConflict:
		return result.ReservationConflict
	}
	return result.OutcomeUnknown
}

// excerpt returns the start of a response body for an error message.
func excerpt(body []byte) string {
	const limit = 200
	if len(body) > limit {
		body = body[:limit]
	}
	return strings.TrimSpace(string(body))
}
