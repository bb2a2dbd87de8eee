// Package forward sends callers' requests to workers and passes the responses back.
// It decides which requests are retried after a failure.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"snipegw/internal/entry/limits"
	"snipegw/internal/entry/router"
	"snipegw/internal/entry/striped"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// maxFailedWorkers bounds the attempts of one request that fail for another
	// reason than a full worker.
	maxFailedWorkers = 4
	// maxFullWorkers bounds the attempts of one request at full workers, so that it
	// cannot exhaust the retry budget that all requests share.
	maxFullWorkers = 8
	// fullWorkersPerRound is the number of attempts at full workers between two
	// backoffs. The first retry is immediate, since two random workers may be full
	// by chance.
	fullWorkersPerRound = 2
	// minFullBackoff is the minimum backoff after the first round. The backoff is
	// random between one and two times its minimum, which doubles with each round.
	// It starts short since an agent frees a slot just after the end of the response,
	// so that the next request may arrive before the slot is free.
	minFullBackoff = 500 * time.Microsecond
)

// ErrResponseAborted is returned when the response ended early after a part of it
// was passed on. The caller's connection must then be aborted.
var ErrResponseAborted = errors.New("forward: the response ended early")

// Request is a request of a caller. The deadline is that of the context.
type Request struct {
	ID         string
	Team       *limits.Team
	Stripe     striped.Index // as returned by Team.Begin
	Service    string
	Method     string
	Target     string // path and query
	Header     []wire.HeaderField
	Idempotent bool
	// Ticket is the ticket issued in advance for the request; empty if there is none.
	Ticket string
	Body   io.Reader
	// BodyBytes is the length of Body, or -1 if unknown.
	BodyBytes int64
	// MaxBodyBytes is the maximum length of Body.
	MaxBodyBytes int64
	// BeforeSend, unless nil, is called before the request is first sent to a worker. An error ends the request.
	BeforeSend func() error
}

// Responder receives the response to a request and passes it on to the caller.
type Responder interface {
	// SendTicket is called when a worker has admitted a non-idempotent request and
	// before the request runs.
	SendTicket(ticket string) error
	// SendHead is called once, before the body is written.
	SendHead(h *wire.ResponseHead) error
	io.Writer
	// Flush sends buffered data to the caller.
	Flush()
}

// Forwarder sends requests to workers. It is safe for concurrent use.
type Forwarder struct {
	Router *router.Router
	Pool   *transport.Pool
	Budget *router.RetryBudget
}

// call is the state of one request.
type call struct {
	f    *Forwarder
	req  *Request
	resp Responder
	svc  *router.Service
	body *body
	// ambiguous is set once the request may have run at some worker. No later error
	// may then state that it did not run.
	ambiguous     bool
	ticket        string
	tried         []*router.Target
	failedWorkers int
	fullWorkers   int
	backoff       time.Duration
}

// Do runs a request. A nil error means that the complete response was passed on.
// Otherwise the error is a *result.Error if no part of a response was passed on,
// ErrResponseAborted, or ErrCallerDisconnected. Do returns the ticket of the request
// if there is one.
func (f *Forwarder) Do(ctx context.Context, req *Request, resp Responder) (ticket string, err error) {
	svc, err := f.Router.Service(req.Service)
	if err != nil && req.Ticket == "" {
		return "", err
	}
	b, err := readBody(req.Body, req.BodyBytes, req.MaxBodyBytes)
	if err != nil {
		return "", err
	}
	c := &call{f: f, req: req, resp: resp, svc: svc, body: b, ticket: req.Ticket, backoff: minFullBackoff}
	defer c.releaseBody()
	f.Budget.AddRequest()
	if req.Ticket != "" {
		return c.ticket, c.runTicket(ctx)
	}
	if err := svc.Limiter.Acquire(ctx, req.Stripe, req.Team); err != nil {
		return "", callerError(ctx, err)
	}
	begin := time.Now()
	err = c.runWithRetries(ctx)
	ran := time.Since(begin)
	if err != nil {
		ran = 0
	}
	svc.Limiter.Release(req.Stripe, ran)
	return c.ticket, err
}

// releaseBody returns the buffer of the body to its pool. The buffer of a streamed
// body is left to the garbage collector, since the upload may still use it.
func (c *call) releaseBody() {
	if c.body.rest == nil {
		c.body.returnBuffer()
	}
}

func (c *call) beforeSend() error {
	if c.req.BeforeSend == nil {
		return nil
	}
	return c.req.BeforeSend()
}

// runWithRetries tries workers until one answers or the request must not be retried.
func (c *call) runWithRetries(ctx context.Context) error {
	if err := c.beforeSend(); err != nil {
		return err
	}
	for {
		if ctx.Err() != nil {
			return c.deadlineError(ctx)
		}
		t := c.f.Router.Begin(c.svc, c.tried)
		if t.Target == nil {
			return c.refusalError(result.Errorf(result.NoWorker, "no other worker of the service %q is left to try", c.req.Service))
		}
		out := c.attemptAt(ctx, t)
		if out.err == nil {
			return nil
		}
		retry, err := c.decideRetry(ctx, t.Target, out)
		if !retry {
			return err
		}
	}
}

// attemptAt makes an attempt at t and updates the load of t by its outcome.
func (c *call) attemptAt(ctx context.Context, t router.Choice) outcome {
	out := c.attempt(ctx, t.Address)
	t.End(out.workerFailed, c.f.Router.NowMS())
	if out.admitted || out.workerFull {
		t.Load.ReportFree(t.Slots, out.freeSlots, c.f.Router.NowMS())
	}
	return out
}

// decideRetry decides after a failed attempt at t whether the request is retried. If
// it is not, err is the error for the caller.
func (c *call) decideRetry(ctx context.Context, t *router.Target, out outcome) (retry bool, err error) {
	if out.started || errors.Is(out.err, ErrCallerDisconnected) {
		return false, out.err
	}
	if !out.notRun {
		c.ambiguous = true
	}
	if ctx.Err() != nil {
		return false, c.deadlineError(ctx)
	}
	again := out.notRun && out.retryElsewhere || !out.notRun && c.req.Idempotent
	if !again || !c.body.replayable() {
		return false, c.refusalError(out.err)
	}
	c.tried = append(c.tried, t)
	if out.workerFull {
		return c.decideRetryAfterFull(ctx, t, out.err)
	}
	if c.failedWorkers++; c.failedWorkers >= maxFailedWorkers || len(c.tried) >= len(c.svc.Targets) {
		return false, c.refusalError(out.err)
	}
	return c.takeRetryFromBudget(out.err)
}

// decideRetryAfterFull decides whether a request is retried after an attempt at t,
// which was full. It backs off after each round of full workers.
func (c *call) decideRetryAfterFull(ctx context.Context, t *router.Target, cause error) (retry bool, err error) {
	if t.Load.InFlight() < int64(t.Slots)-1 {
		// Other entries use the slots: the requests of this entry do not fill them.
		c.svc.Limiter.OnWorkerFull()
	}
	if c.fullWorkers++; c.fullWorkers >= maxFullWorkers {
		return false, c.refusalError(cause)
	}
	if retry, err := c.takeRetryFromBudget(cause); !retry {
		return false, err
	}
	if c.fullWorkers%fullWorkersPerRound != 0 && len(c.tried) < len(c.svc.Targets) {
		return true, nil
	}
	return c.backOff(ctx)
}

// takeRetryFromBudget allows a retry if the retry budget of the entry has one left.
func (c *call) takeRetryFromBudget(cause error) (retry bool, err error) {
	if !c.f.Budget.TryTake() {
		return false, c.refusalError(result.Errorf(result.RetryBudgetExhausted, "the last worker answered %s and the retry budget of this entry is exhausted", result.CodeOf(cause)))
	}
	return true, nil
}

// backOff waits after a round of full workers. The request may then try all workers
// again.
func (c *call) backOff(ctx context.Context) (retry bool, err error) {
	timer := time.NewTimer(c.backoff + rand.N(c.backoff))
	defer timer.Stop()
	c.backoff *= 2
	select {
	case <-ctx.Done():
		return false, c.deadlineError(ctx)
	case <-timer.C:
	}
	c.tried = c.tried[:0]
	if svc, err := c.f.Router.Service(c.req.Service); err == nil {
		// A service keeps its limiter for as long as it has workers.
		c.svc = &router.Service{Name: svc.Name, Targets: svc.Targets, Limiter: c.svc.Limiter}
	}
	return true, nil
}

// deadlineError returns the error for a request whose ctx has ended.
func (c *call) deadlineError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerDisconnected
	}
	if c.ambiguous {
		return result.Errorf(result.DeadlineRan, "the deadline passed after the request was sent to a worker")
	}
	return result.Errorf(result.DeadlineNotRun, "the deadline passed before a worker admitted the request")
}

// refusalError returns err as it is reported to the caller. If the request may have
// run, the code becomes result.OutcomeUnknown. result.WorkerFull becomes
// result.Overloaded, since the caller does not choose the worker.
func (c *call) refusalError(err error) error {
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

// callerError returns ErrCallerDisconnected if ctx is canceled, and err otherwise.
func callerError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerDisconnected
	}
	return err
}
