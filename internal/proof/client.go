package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"time"

	"snipegw/internal/config"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Header fields of the HTTP API.
const (
	headerTicket     = "Snipegw-Ticket"
	headerIdempotent = "Snipegw-Idempotent"
	headerTimeout    = "Snipegw-Timeout-Ms"
	headerCode       = "Snipegw-Code"
)

// maxBody bounds a response that a proof reads.
const maxBody = 32 << 20

// Response is the outcome of one call, as the caller sees it.
type Response struct {
	Status int
	// Code is the result code if the entry itself answered, 0 if the response comes from
	// the backend server.
	Code   result.Code
	Ticket string
	Header http.Header
	Body   []byte
	// Err is set if the connection failed or the response was incomplete.
	Err error
}

// Complete reports whether r is a complete response of the backend server.
func (r Response) Complete() bool { return r.Err == nil && r.Code == 0 }

// NotRun reports whether r has a result code that says that the request was not run.
func (r Response) NotRun() bool { return r.Err == nil && r.Code != 0 && r.Code.NotRun() }

// Client calls the HTTP API of entries.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client that sends token as its bearer token and has a connection pool
// of its own.
func NewClient(token string) *Client {
	return &Client{token: token, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
}

// Call sends one request to an entry.
func (c *Client) Call(ctx context.Context, method, url string, header map[string]string, body []byte) Response {
	var out Response
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if t := h.Get(headerTicket); t != "" {
			out.Ticket = t
		}
		return nil
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		out.Err = err
		return out
	}
	// Without GetBody the transport never sends a request a second time.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		out.Err = err
		return out
	}
	defer httpResp.Body.Close()
	out.Status, out.Header = httpResp.StatusCode, httpResp.Header
	if t := httpResp.Header.Get(headerTicket); t != "" {
		out.Ticket = t
	}
	out.Body, out.Err = io.ReadAll(io.LimitReader(httpResp.Body, maxBody))
	if out.Err == nil {
		out.Code = resultCode(httpResp.Header)
	}
	return out
}

// resultCode returns the result code in the header of an entry's answer, 0 if there is none.
// The header field holds the number and the name of the code.
func resultCode(h http.Header) result.Code {
	text := h.Get(headerCode)
	if text == "" {
		return 0
	}
	number, _, _ := strings.Cut(text, " ")
	code, err := strconv.Atoi(number)
	if err != nil {
		return result.Internal
	}
	return result.Code(code)
}

// JSON sends request as JSON and decodes the response into out; both may be nil. A refusal
// is returned as a *result.Error with its code.
func (c *Client) JSON(ctx context.Context, method, url string, request, out any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return err
		}
	}
	resp := c.Call(ctx, method, url, map[string]string{"Content-Type": "application/json"}, body)
	if resp.Err != nil {
		return resp.Err
	}
	if resp.Status >= 300 {
		var problem struct {
			Code    result.Code `json:"code"`
			Message string      `json:"message"`
		}
		if err := json.Unmarshal(resp.Body, &problem); err != nil || problem.Code == 0 {
			return fmt.Errorf("%s %s: status %d: %s", method, url, resp.Status, strings.TrimSpace(string(resp.Body)))
		}
		return &result.Error{Code: problem.Code, Message: problem.Message}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body, out)
}

// Submit submits a job through the first of the entries that accepts it.
func (c *Client) Submit(ctx context.Context, entries []*Node, job model.Job) (model.JobStatus, error) {
	var st model.JobStatus
	err := firstSuccess(entries, func(e *Node) error { return c.JSON(ctx, http.MethodPost, e.URL()+"/v1/jobs", job, &st) })
	return st, err
}

// Job returns the status of a job from the first entry that knows it.
func (c *Client) Job(ctx context.Context, entries []*Node, id string) (model.JobStatus, error) {
	var st model.JobStatus
	err := firstSuccess(entries, func(e *Node) error { return c.JSON(ctx, http.MethodGet, e.URL()+"/v1/jobs/"+id, nil, &st) })
	return st, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, entries []*Node, id string) error {
	return firstSuccess(entries, func(e *Node) error { return c.JSON(ctx, http.MethodDelete, e.URL()+"/v1/jobs/"+id, nil, nil) })
}

// firstSuccess calls f for each running entry until one call succeeds.
func firstSuccess(entries []*Node, f func(*Node) error) error {
	var errs []error
	for _, e := range entries {
		if !e.Running() {
			continue
		}
		err := f(e)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", e.ID, err))
	}
	return errors.Join(append(errs, errors.New("no running entry accepted the call"))...)
}

// Patch sends a configuration patch to an entry.
func (c *Client) Patch(ctx context.Context, e *Node, p config.PatchRequest) (config.PatchResult, error) {
	var r config.PatchResult
	err := c.JSON(ctx, http.MethodPost, e.URL()+"/v1/config/patch", p, &r)
	return r, err
}

// Config returns the configuration document in force at an entry.
func (c *Client) Config(ctx context.Context, e *Node) (model.Config, error) {
	var doc model.Config
	err := c.JSON(ctx, http.MethodGet, e.URL()+"/v1/config", nil, &doc)
	return doc, err
}

// AwaitJob polls a job until isDone returns true for its status or ctx ends.
func (c *Client) AwaitJob(ctx context.Context, entries []*Node, id string, isDone func(model.JobStatus) bool) (model.JobStatus, error) {
	var last model.JobStatus
	var lastErr error
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		st, err := c.Job(callCtx, entries, id)
		cancel()
		if err == nil {
			last = st
			if isDone(st) {
				return st, nil
			}
		}
		lastErr = err
		select {
		case <-ctx.Done():
			return last, fmt.Errorf("job %s is %s (%s): %w", id, last.State, last.Reason.Sentence, errors.Join(ctx.Err(), lastErr))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// SetFaults sets the fault switches of a stand-in; faults is encoded as JSON.
func SetFaults(n *Node, faults any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	// A stand-in may break its connections as a fault, so none is reused.
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(n.URL()+"/standin/faults", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s refused the fault switches: %s", n.ID, text)
	}
	return nil
}

// isConnRefused reports whether the server refused the connection, so that nothing was sent.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
