// Package forward carries a caller's request to a worker and the answer back.
// It decides what is sent again after a failure.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"snipegw/internal/entry/limits"
	"snipegw/internal/entry/router"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// maxUnreachable bounds the workers that one request tries after failures
	// other than a full worker.
	maxUnreachable = 4
	// fullBackoff is the shortest pause after all workers were found full; the
	// pause is random between one and two of it and doubles up to
	// maxFullBackoff.
	fullBackoff    = 5 * time.Millisecond
	maxFullBackoff = 100 * time.Millisecond
)

// ErrAborted is returned when the response broke off after a part of it was
// passed on. The caller's connection must be aborted.
var ErrAborted = errors.New("forward: the response broke off")

// Request is a request of a caller. The deadline is that of the context.
type Request struct {
	ID         string
	Team       *limits.Team
	Service    string
	Method     string
	Target     string // path and query
	Header     []wire.HeaderField
	Idempotent bool
	// Ticket is set for a ticket taken in advance.
	Ticket string
	Body   io.Reader
	// BodyBytes is the length of Body; -1 if unknown.
	BodyBytes int64
	// MaxBodyBytes bounds Body.
	MaxBodyBytes int64
}

// Responder receives the answer to a request.
type Responder interface {
	// Ticket is called when a worker has admitted a non-idempotent request and
	// before the request runs.
	Ticket(ticket string) error
	// Head is called once before the body.
	Head(h *wire.ResponseHead) error
	io.Writer
	// Flush makes what was written visible to the caller.
	Flush()
}

// Forwarder sends requests to workers. It is safe for concurrent use.
type Forwarder struct {
	Router *router.Router
	Pool   *transport.Pool
	Budget *router.Budget
}

// call is the state of one request.
type call struct {
	f    *Forwarder
	req  *Request
	resp Responder
	svc  *router.Service
	body *body
	// ambiguous is set once the request may have run at some worker; no later
	// refusal may then state that it was not run.
	ambiguous bool
	ticket    string
	tried     []*router.Target
	failures  int
	backoff   time.Duration
}

// Do runs a request. A nil error means that the complete response was passed
// on. Errors are *result.Error for a refusal before any byte of a response,
// ErrAborted, and ErrCallerGone. The ticket is returned if there is one.
func (f *Forwarder) Do(ctx context.Context, req *Request, resp Responder) (ticket string, err error) {
	svc, err := f.Router.Service(req.Service)
	if err != nil && req.Ticket == "" {
		return "", err
	}
	b, err := readBody(req.Body, req.BodyBytes, req.MaxBodyBytes)
	if err != nil {
		return "", err
	}
	c := &call{f: f, req: req, resp: resp, svc: svc, body: b, ticket: req.Ticket, backoff: fullBackoff}
	defer c.release()
	f.Budget.Request()
	if req.Ticket != "" {
		return c.ticket, c.runTicket(ctx)
	}
	if err := svc.Limiter.Acquire(ctx, req.Team); err != nil {
		return "", callerError(ctx, err)
	}
	begin := time.Now()
	err = c.run(ctx)
	ran := time.Since(begin)
	if err != nil {
		ran = 0
	}
	svc.Limiter.Release(ran)
	return c.ticket, err
}

// release returns the buffer unless a writer may still use it.
func (c *call) release() {
	if c.body.rest == nil {
		c.body.free()
	}
}

// run tries workers until one answers or the request must not be tried again.
func (c *call) run(ctx context.Context) error {
	for {
		t := c.f.Router.Pick(c.svc, c.tried)
		if t == nil {
			return c.refusal(result.Errorf(result.NoWorker, "no other worker of the service %q is left to try", c.req.Service))
		}
		if err := ctx.Err(); err != nil {
			return c.deadline(ctx)
		}
		out := c.attemptAt(ctx, t)
		if out.err == nil {
			return nil
		}
		retry, err := c.next(ctx, t, out)
		if !retry {
			return err
		}
	}
}

func (c *call) attemptAt(ctx context.Context, t *router.Target) outcome {
	t.Load.Begin()
	out := c.attempt(ctx, t.Address)
	t.Load.End(out.blame, c.f.Router.Now())
	if out.admitted || out.full {
		t.Load.ReportFree(t.Slots, out.free, c.f.Router.Now())
	}
	return out
}

// next decides after a failed attempt at t whether the request is tried again.
func (c *call) next(ctx context.Context, t *router.Target, out outcome) (retry bool, err error) {
	if out.started || errors.Is(out.err, ErrCallerGone) {
		return false, out.err
	}
	if !out.notRun {
		c.ambiguous = true
	}
	if ctx.Err() != nil {
		return false, c.deadline(ctx)
	}
	again := out.notRun && out.otherWorker || !out.notRun && c.req.Idempotent
	if !again || !c.body.replayable() {
		return false, c.refusal(out.err)
	}
	c.tried = append(c.tried, t)
	if out.full {
		c.svc.Limiter.Full()
	} else if c.failures++; c.failures >= maxUnreachable {
		return false, c.refusal(out.err)
	}
	if len(c.tried) >= len(c.svc.Targets) && !out.full {
		return false, c.refusal(out.err)
	}
	if !c.f.Budget.Take() {
		return false, c.refusal(result.Errorf(result.RetryBudgetExhausted, "the last worker answered %s and the retries of this entry are used up", result.CodeOf(out.err)))
	}
	if len(c.tried) >= len(c.svc.Targets) {
		return c.waitFull(ctx)
	}
	return true, nil
}

// waitFull pauses after all workers were found full and lets the request try
// them again.
func (c *call) waitFull(ctx context.Context) (bool, error) {
	pause := c.backoff + rand.N(c.backoff)
	c.backoff = min(2*c.backoff, maxFullBackoff)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, c.deadline(ctx)
	case <-timer.C:
	}
	c.tried = c.tried[:0]
	if svc, err := c.f.Router.Service(c.req.Service); err == nil && svc.Limiter == c.svc.Limiter {
		c.svc = svc
	}
	return true, nil
}

// deadline returns the error for the end of ctx.
func (c *call) deadline(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerGone
	}
	if c.ambiguous {
		return result.Errorf(result.DeadlineRan, "the deadline passed after the request was sent to a worker")
	}
	return result.Errorf(result.DeadlineNotRun, "the deadline passed before a worker admitted the request")
}

// refusal returns err, changed to an ambiguous code if the request may have
// run. A full worker becomes overloaded, since the caller cannot choose one.
func (c *call) refusal(err error) error {
	code := result.CodeOf(err)
	switch {
	case c.ambiguous && code == result.DeadlineRan:
		return err
	case c.ambiguous:
		return &result.Error{Code: result.OutcomeUnknown, Message: "the request was sent to a worker and its outcome is not known: " + result.MessageOf(err), Err: err}
	case code == result.WorkerFull:
		return &result.Error{Code: result.Overloaded, Message: "all workers that were tried are full", Err: err}
	}
	return err
}

// callerError replaces the error of a cancelled context.
func callerError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerGone
	}
	return err
}
