package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/workflow"
)

const (
	// orderTimeout limits all attempts of the orders of one request together. It
	// is shorter than the validity of a start order.
	orderTimeout = 1200 * time.Millisecond
	// orderRetryDelay is the delay between attempts of an order that got no
	// response.
	orderRetryDelay = 50 * time.Millisecond
	// maxParallelOrders limits the concurrent calls to the worker.
	maxParallelOrders = 8
)

// Order handles the planner's call to start and stop items. It fails with code
// Fenced if a planner with a higher epoch has called, and with Stopping while planners are
// not served. The outcome of each order is in the reply.
func (r *Runner) Order(ctx context.Context, req *workflow.OrderRequest) (*workflow.OrderReply, error) {
	token := workflow.FencingToken(req.Epoch, req.Generation)
	r.mu.Lock()
	if r.refusing {
		r.mu.Unlock()
		return nil, errNotServing
	}
	if req.Epoch >= r.epoch {
		r.token = max(r.token, token)
	}
	epoch, draining := r.epoch, r.announced != nil && r.announced.Instance == req.Instance && r.announced.StartedMS == req.StartedMS && r.announced.Draining
	r.mu.Unlock()
	if req.Epoch < epoch {
		return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", req.Epoch, epoch)
	}
	reply := &workflow.OrderReply{
		Starts: make([]workflow.OrderOutcome, len(req.Starts)),
		Stops:  make([]workflow.OrderOutcome, len(req.Stops)),
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	addressee := func() bool { return r.isPresentIncarnation(ctx, req.Instance, req.StartedMS) }
	always := func() bool { return true }
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelOrders)
	goLimited := func(f func()) {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			// After a panic the outcome in the reply stays unknown.
			_ = kernel.Contain("order to the worker", func() error { f(); return nil })
		}()
	}
	for i, o := range req.Stops {
		goLimited(func() {
			reply.Stops[i] = r.attemptUntilResponse(ctx, always, func(ctx context.Context) (workflow.OrderOutcome, error) {
				return r.api.Stop(ctx, req.Instance, token, o)
			})
			r.logOrder("stop", req, o.Ref, o.Run, reply.Stops[i])
		})
	}
	for i, o := range req.Starts {
		if draining {
			reply.Starts[i] = workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonDraining}
			r.logOrder("start", req, o.Ref, o.Run, reply.Starts[i])
			continue
		}
		goLimited(func() {
			reply.Starts[i] = r.attemptUntilResponse(ctx, addressee, func(ctx context.Context) (workflow.OrderOutcome, error) {
				return r.api.Start(ctx, req.Instance, token, o)
			})
			r.logOrder("start", req, o.Ref, o.Run, reply.Starts[i])
		})
	}
	wg.Wait()
	return reply, nil
}

// isPresentIncarnation reports whether the given incarnation is the latest one that the agent
// knows, and has answered the latest poll. A worker may restart under its id, so the id in a
// call does not keep an order from the next incarnation.
func (r *Runner) isPresentIncarnation(ctx context.Context, instance string, startedMS int64) bool {
	r.mu.Lock()
	outdated := r.isConfirmed() && time.Since(r.answeredAt) > maxAnswerAge
	r.mu.Unlock()
	if outdated {
		r.poll(ctx, 0)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isConfirmed() && time.Since(r.answeredAt) <= maxAnswerAge && startedMS == r.startedMS && (startedMS != 0 || instance == r.instance)
}

// reportedClockMS returns the worker's clock in its latest report, 0 if there is none.
func (r *Runner) reportedClockMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workerReport == nil {
		return 0
	}
	return r.workerReport.ClockMS
}

// doubtIncarnation lets no start pass until the worker has answered another poll.
func (r *Runner) doubtIncarnation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredAt = time.Time{}
}

// attemptUntilResponse repeats an order until an attempt gets a response or ctx
// ends, as long as mayAttempt returns true. A refusal that follows an attempt without
// a response leaves the outcome unknown: the earlier attempt may have taken effect, or
// may still do so. Only a response from another incarnation of the worker rules that
// out. If no process listens at the worker's address, or mayAttempt returns false, an
// order that was not attempted before is refused.
func (r *Runner) attemptUntilResponse(ctx context.Context, mayAttempt func() bool, attempt func(context.Context) (workflow.OrderOutcome, error)) workflow.OrderOutcome {
	outcomeUnknown := false
	for {
		clockBefore := r.reportedClockMS()
		if !mayAttempt() {
			if outcomeUnknown {
				return workflow.OrderOutcome{}
			}
			return workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance}
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err := attempt(callCtx)
		cancel()
		switch {
		case err == nil && out.Verdict == workflow.VerdictRefused && outcomeUnknown && out.Reason != workflow.ReasonInstance:
			return workflow.OrderOutcome{Reason: out.Reason}
		case err == nil && out.ClockMS < clockBefore && out.Verdict == workflow.VerdictDone:
			// The clock starts anew with each incarnation, so another one has carried this out.
			r.doubtIncarnation()
			return workflow.OrderOutcome{}
		case err == nil:
			return out
		case errors.Is(err, ErrNoListener):
			if !outcomeUnknown {
				return workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance}
			}
		default:
			outcomeUnknown = true
		}
		select {
		case <-ctx.Done():
			return workflow.OrderOutcome{}
		case <-time.After(orderRetryDelay):
		}
	}
}

// logOrder logs the outcome of an order, with the birth of the incarnation that the planner
// meant ("born") and of the latest one that the agent knows ("known_born").
func (r *Runner) logOrder(operation string, req *workflow.OrderRequest, ref workflow.ItemRef, run int, out workflow.OrderOutcome) {
	r.mu.Lock()
	knownBorn := r.startedMS
	if c := r.successor(); c != nil {
		knownBorn = c.announcement.StartedMS
	}
	r.mu.Unlock()
	log.WithFields(log.Fields{
		"event": "item_" + operation, "job": ref.Job, "item": ref.String(), "run": run, "epoch": req.Epoch, "worker": req.Instance,
		"born": req.StartedMS, "known_born": knownBorn, "verdict": out.Verdict, "reason": out.Reason, "worker_clock_ms": out.ClockMS,
	}).Info("order to the worker has finished")
}
