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
	maxCallAttempts   = 3
	callRetryInterval = 300 * time.Millisecond
	maxErrorBodyBytes = 512
)

// client calls the HTTP API of one entry.
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

// errorResponse is the JSON body of an answer that is not a success.
type errorResponse struct {
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
		return result.Errorf(result.Internal, "the answer of the entry is not valid JSON: %w", err)
	}
	return nil
}

func (c *client) authorize(req *http.Request) {
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}

// noResponseError describes a call without an answer.
func (c *client) noResponseError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Errorf(result.EntryUnreachable, "the entry at %s cannot be reached: %w", c.baseURL, err)
	}
	if method == http.MethodGet {
		return result.Errorf(result.EntryUnreachable, "the entry at %s did not answer: %w", c.baseURL, err)
	}
	return result.Errorf(result.OutcomeUnknown, "the answer of the entry at %s was lost: %w", c.baseURL, err)
}

// responseError returns the error that an answer carries. An answer that is not yet
// final has a code and a status of success.
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
