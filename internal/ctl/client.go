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

// maxResponseBytes bounds a JSON response.
const maxResponseBytes = 64 << 20

// Idempotent calls that had no answer are repeated.
const (
	callTries  = 3
	tryPause   = 300 * time.Millisecond
	maxErrBody = 512
)

// client calls the HTTP API of one entry.
type client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(base, token string, timeout time.Duration) *client {
	return &client{base: base, token: token, timeout: timeout, http: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// refusal is the JSON body of an answer that is not a success.
type refusal struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
}

// get reads path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// call makes an idempotent call. It is repeated after an answer was lost; if the
// outcome of a change stays open, the error says so.
func (c *client) call(ctx context.Context, method, path string, body, out any) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	var err error
	for i := range callTries {
		if i > 0 {
			select {
			case <-time.After(tryPause):
			case <-ctx.Done():
				return err
			}
		}
		err = c.once(ctx, method, path, payload, out)
		if code := result.CodeOf(err); code != result.OutcomeUnknown && code != result.PatchOutcomeUnknown && code != result.NoPlanner {
			return err
		}
	}
	return err
}

func (c *client) once(ctx context.Context, method, path string, payload []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return usagef("%v", err)
	}
	c.authorize(req)
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.lost(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.lost(method, err)
	}
	if err := refusalOf(resp, data); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return result.Errorf(result.Internal, "the answer of the entry is not valid JSON: %w", err)
	}
	return nil
}

func (c *client) authorize(req *http.Request) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}

// lost describes a call without an answer.
func (c *client) lost(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Errorf(result.EntryUnreachable, "the entry at %s cannot be reached: %w", c.base, err)
	}
	if method == http.MethodGet {
		return result.Errorf(result.EntryUnreachable, "the entry at %s did not answer: %w", c.base, err)
	}
	return result.Errorf(result.OutcomeUnknown, "the answer of the entry at %s was lost: %w", c.base, err)
}

// refusalOf returns the error that an answer carries. An answer that is not yet
// final has a code and a status of success.
func refusalOf(resp *http.Response, data []byte) error {
	if resp.StatusCode < http.StatusBadRequest && resp.Header.Get(headerCode) == "" {
		return nil
	}
	var r refusal
	if json.Unmarshal(data, &r) == nil && r.Code != 0 {
		return &result.Error{Code: r.Code, Message: r.Message}
	}
	if len(data) > maxErrBody {
		data = data[:maxErrBody]
	}
	return result.Errorf(result.Internal, "HTTP status %d without a result code: %s", resp.StatusCode, bytes.TrimSpace(data))
}
