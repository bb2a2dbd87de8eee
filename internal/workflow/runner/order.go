package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/workflow"
)

const (
	// orderTimeout bounds all attempts of one order together. It is below the
	// time limit that a start carries.
	orderTimeout = 1200 * time.Millisecond
	// orderPause separates attempts of an order that got no answer.
	orderPause = 50 * time.Millisecond
	// maxParallelOrders bounds the concurrent calls to the worker.
	maxParallelOrders = 8
)

// Order implements the planner's call to start and stop items.
func (r *Runner) Order(ctx context.Context, q *workflow.OrderRequest) (*workflow.OrderReply, error) {
	r.mu.Lock()
	epoch, draining := r.epoch, r.announced != nil && r.announced.Instance == q.Instance && r.announced.Draining
	r.mu.Unlock()
	if q.Epoch < epoch {
		return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", q.Epoch, epoch)
	}
	reply := &workflow.OrderReply{
		Starts: make([]workflow.OrderOutcome, len(q.Starts)),
		Stops:  make([]workflow.OrderOutcome, len(q.Stops)),
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelOrders)
	run := func(f func()) {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; wg.Done() }()
			f()
		}()
	}
	for i, o := range q.Stops {
		run(func() {
			reply.Stops[i] = r.repeat(ctx, func(ctx context.Context) (workflow.OrderOutcome, error) {
				return r.api.Stop(ctx, q.Instance, q.Epoch, o)
			})
			logOrder("stop", q, o.Ref, o.Run, reply.Stops[i])
		})
	}
	for i, o := range q.Starts {
		if draining {
			reply.Starts[i] = workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonDraining}
			logOrder("start", q, o.Ref, o.Run, reply.Starts[i])
			continue
		}
		run(func() {
			reply.Starts[i] = r.repeat(ctx, func(ctx context.Context) (workflow.OrderOutcome, error) {
				return r.api.Start(ctx, q.Instance, q.Epoch, o)
			})
			logOrder("start", q, o.Ref, o.Run, reply.Starts[i])
		})
	}
	wg.Wait()
	return reply, nil
}

// repeat makes attempts until one is answered. A refusal after an attempt without
// an answer leaves the outcome open: that attempt may have taken effect already,
// or may still do so. Only another incarnation of the worker settles it.
func (r *Runner) repeat(ctx context.Context, attempt func(context.Context) (workflow.OrderOutcome, error)) workflow.OrderOutcome {
	open := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err := attempt(callCtx)
		cancel()
		switch {
		case err == nil && out.Verdict == workflow.VerdictRefused && open && out.Reason != workflow.ReasonInstance:
			return workflow.OrderOutcome{Reason: out.Reason}
		case err == nil:
			return out
		case errors.Is(err, ErrNoListener):
			if !open {
				return workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance}
			}
		default:
			open = true
		}
		select {
		case <-ctx.Done():
			return workflow.OrderOutcome{}
		case <-time.After(orderPause):
		}
	}
}

func logOrder(operation string, q *workflow.OrderRequest, ref workflow.Ref, run int, out workflow.OrderOutcome) {
	log.WithFields(log.Fields{
		"event": "item_" + operation, "job": ref.Job, "item": ref.String(), "run": run, "epoch": q.Epoch, "worker": q.Instance,
		"verdict": out.Verdict, "reason": out.Reason, "worker_clock_ms": out.ClockMS,
	}).Info("order carried out")
}
