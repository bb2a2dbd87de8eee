package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/result"
)

const requestHelp = `Sends a request to a backend server of SERVICE and prints the body of the response.
For a request that is not idempotent the ticket is printed to standard error; after
exit status 3, "snipegwctl ticket TICKET" shows the outcome of the request.

Examples:
  snipegwctl request pricing /lots/17
  snipegwctl request booking /orders -X POST -d '{"lot":17}'`

// Headers of the HTTP API.
const (
	headerTicket     = "Snipegw-Ticket"
	headerIdempotent = "Snipegw-Idempotent"
	headerTimeout    = "Snipegw-Timeout-Ms"
	headerTeam       = "Snipegw-Team"
	headerCode       = "Snipegw-Code"
)

type requestCommand struct {
	*app       `no-flag:"true"`
	Method     string        `long:"method" short:"X" description:"HTTP method" default:"GET"`
	Data       string        `long:"data" short:"d" description:"request body; @FILE reads a file, @- standard input"`
	Header     []string      `long:"header" short:"H" description:"header field to send to the backend server, NAME: VALUE"`
	Idempotent string        `long:"idempotent" description:"whether the request may run twice (default: by method)" choice:"true" choice:"false"`
	Deadline   time.Duration `long:"deadline" description:"time limit for the response" default:"30s"`
	Ticket     string        `long:"ticket" description:"ticket obtained in advance"`
	TakeTicket bool          `long:"take-ticket" description:"obtain a ticket first, so that the outcome can be found even if the response is lost"`
	Team       string        `long:"team" description:"team; needed with an operator's token"`
	Args       struct {
		Service string `positional-arg-name:"SERVICE" required:"1"`
		Path    string `positional-arg-name:"PATH"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *requestCommand) Execute([]string) error {
	if c.TakeTicket && c.Ticket == "" {
		if err := c.takeTicket(); err != nil {
			return err
		}
	}
	body, err := c.body()
	if err != nil {
		return err
	}
	path := "/v1/services/" + url.PathEscape(c.Args.Service) + "/request/" + strings.TrimPrefix(c.Args.Path, "/")
	// The entry enforces the deadline. The extra time lets its response arrive.
	ctx, cancel := context.WithTimeout(c.ctx, c.Deadline+2*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { c.printTicket(h.Get(headerTicket)); return nil },
	})
	req, err := http.NewRequestWithContext(ctx, c.Method, c.client.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return usagef("%v", err)
	}
	if err := c.setHeaders(req); err != nil {
		return err
	}
	resp, err := c.client.http.Do(req)
	if err != nil {
		return c.client.noResponseError(http.MethodPost, err) // whatever the method, the request may have run
	}
	defer resp.Body.Close()
	c.printTicket(resp.Header.Get(headerTicket))
	return c.copyResponse(resp)
}

// printTicket prints the ticket of the request, once, and keeps it in c.Ticket.
func (c *requestCommand) printTicket(ticket string) {
	if ticket == "" || ticket == c.Ticket {
		return
	}
	c.Ticket = ticket
	fmt.Fprintln(c.env.Stderr, "ticket", ticket)
}

// takeTicket obtains a ticket for the request before it is sent.
func (c *requestCommand) takeTicket() error {
	var out struct {
		Ticket string `json:"ticket"`
	}
	path := "/v1/services/" + url.PathEscape(c.Args.Service) + "/tickets"
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, c.client.baseURL+path, nil)
	if err != nil {
		return usagef("%v", err)
	}
	c.client.authorize(req)
	if c.Team != "" {
		req.Header.Set(headerTeam, c.Team)
	}
	resp, err := c.client.http.Do(req)
	if err != nil {
		return c.client.noResponseError(http.MethodGet, err) // as for a read: an unused ticket has no effect
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return c.client.noResponseError(http.MethodGet, err)
	}
	if err := responseError(resp, data); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &out); err != nil || out.Ticket == "" {
		return result.Errorf(result.TicketUnavailable, "the entry returned no ticket")
	}
	c.printTicket(out.Ticket)
	return nil
}

func (c *requestCommand) body() ([]byte, error) {
	name, ok := strings.CutPrefix(c.Data, "@")
	if !ok {
		return []byte(c.Data), nil
	}
	return c.readBody(name)
}

func (c *requestCommand) setHeaders(req *http.Request) error {
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return usagef("header: %q must be NAME: VALUE", h)
		}
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	c.client.authorize(req)
	req.Header.Set(headerTimeout, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	for name, value := range map[string]string{headerIdempotent: c.Idempotent, headerTicket: c.Ticket, headerTeam: c.Team} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return nil
}

// copyResponse prints the body of a response, or returns the error that the response
// carries. A truncated body is an error even though its first part has been printed.
func (a *app) copyResponse(resp *http.Response) error {
	if resp.Header.Get(headerCode) != "" {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return result.Errorf(result.BrokenResponse, "the response was truncated: %w", err)
		}
		return responseError(resp, data)
	}
	if _, err := io.Copy(a.env.Stdout, resp.Body); err != nil {
		return result.Errorf(result.BrokenResponse, "the response was truncated: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return result.Errorf(result.TaskFailed, "the backend server responded with HTTP status %d", resp.StatusCode)
	}
	return nil
}

type ticketCommand struct {
	*app `no-flag:"true"`
	Team string `long:"team" description:"team; needed with an operator's token"`
	Args struct {
		Ticket string `positional-arg-name:"TICKET"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *ticketCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.client.baseURL+"/v1/tickets/"+c.Args.Ticket, nil)
	if err != nil {
		return usagef("%v", err)
	}
	c.client.authorize(req)
	if c.Team != "" {
		req.Header.Set(headerTeam, c.Team)
	}
	resp, err := c.client.http.Do(req)
	if err != nil {
		return c.client.noResponseError(http.MethodGet, err)
	}
	defer resp.Body.Close()
	return c.copyResponse(resp)
}

// readBody reads a request body from the named file; "-" is standard input.
func (a *app) readBody(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.env.Stdin)
	}
	return readBodyFile(name)
}

func readBodyFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return data, nil
}
