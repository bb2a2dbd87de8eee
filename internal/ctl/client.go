package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"snipegw/internal/result"
)

// maxResponseBytes limits the size of a JSON response.
const maxResponseBytes = 64 << 20

const (
	// maxCallAttempts and callRetryInterval apply to idempotent calls; see client.call.
	maxCallAttempts   = 3
	callRetryInterval = 300 * time.Millisecond
	// maxErrorBodyBytes limits how much of a response without a result code is quoted
	// in the error message.
	maxErrorBodyBytes = 512
)

// client calls the HTTP API of one entry, or of another process that serves
// /debug/state.
type client struct {
	baseURL string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(base, token string, timeout time.Duration) *client {
	return &client{baseURL: base, token: token, timeout: timeout, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// errorResponse is the JSON body of a response that reports an error.
type errorResponse struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

// get decodes the JSON response of GET path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// call makes an idempotent call and decodes the response into out. It retries a call
// whose outcome is unknown, for example since the response to a change was lost, and
// one that failed because no entry is the planner. If the outcome is still unknown
// after the last attempt, the error says so. A read without a response is not retried.
func (c *client) call(ctx context.Context, method, path string, body, out any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var err error
	for i := range maxCallAttempts {
		if i > 0 {
			select {
			case <-time.After(callRetryInterval):
			case <-ctx.Done():
				return err
			}
		}
		err = c.callOnce(ctx, method, path, payload, out)
		if code := result.CodeOf(err); code != result.OutcomeUnknown && code != result.PatchOutcomeUnknown && code != result.NoPlanner {
			return err
		}
	}
	return err
}

func (c *client) callOnce(ctx context.Context, method, path string, payload []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(payload))
	if err != nil {
		return usagef("%v", err)
	}
	c.authorize(req)
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.noResponseError(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.noResponseError(method, err)
	}
	if err := responseError(resp, data); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(result.Internal, "the response of the entry is not valid JSON: %w", err)
	}
	return nil
}

func (c *client) authorize(req *http.Request) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}

// noResponseError returns the error for a call without a complete response. Its
// code says whether the call may have taken effect.
func (c *client) noResponseError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Errorf(result.EntryUnreachable, "the entry at %s cannot be reached: %w", c.baseURL, err)
	}
	if method == http.MethodGet {
		return result.Errorf(result.EntryUnreachable, "the entry at %s did not respond: %w", c.baseURL, err)
	}
	return result.Errorf(result.OutcomeUnknown, "the response of the entry at %s was lost: %w", c.baseURL, err)
}

// responseError returns the error that a response carries, or nil. A response that
// is not yet final has a result code although its HTTP status is a success.
func responseError(resp *http.Response, data []byte) error {
	if resp.StatusCode < http.StatusBadRequest && resp.Header.Get(headerCode) == "" {
		return nil
	}
	var r errorResponse
	if json.Unmarshal(data, &r) == nil && r.Code != 0 {
		return &result.Error{Code: r.Code, Message: r.Message}
	}
	if len(data) > maxErrorBodyBytes {
		data = data[:maxErrorBodyBytes]
	}
	return result.Errorf(result.Internal, "HTTP status %d without a result code: %s", resp.StatusCode, bytes.TrimSpace(data))
}
