package engine

import (
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// Order is a request with starts or stops for one agent. Pass the agent's reply to
// HandleOrderReply.
type Order struct {
	Node    string
	Request workflow.OrderRequest
	starts  []*member
	stops   []*member
}

// StartOrders returns the start orders that have not been handed out, one Order
// for each node. The changes that record the runs must have been stored. A
// member whose unit is to be stopped by now, whose failure domain is evacuated, or whose worker's
// lease is suspended, ends without having been started.
func (e *Engine) StartOrders(now time.Time) []*Order {
	e.retractEvacuatedStarts(now)
	return e.collectOrders(func(m *member, nodeOrder func() *Order) {
		switch {
		case m.startSent || m.inherited:
		case m.unit.stopping || m.worker.suspended:
			e.endMember(m, workflow.EndNever, "", now)
		default:
			e.orderStart(nodeOrder(), m, now)
		}
	})
}

// StopOrders returns the stop orders that are due, one Order for each node. A stop
// is repeated every stopRetryInterval until the end of the run is known.
func (e *Engine) StopOrders(now time.Time) []*Order {
	return e.collectOrders(func(m *member, nodeOrder func() *Order) {
		if !m.unit.stopping || !m.startSent && !m.inherited || now.Sub(m.lastStopSent) < stopRetryInterval {
			return
		}
		m.lastStopSent = now
		order := nodeOrder()
		order.Request.Stops = append(order.Request.Stops, workflow.StopOrder{Ref: m.unit.itemRef(m.index), Run: m.run})
		order.stops = append(order.stops, m)
	})
}

// collectOrders visits the members that may be running and returns the orders to
// which visit added something, by node name.
func (e *Engine) collectOrders(visit func(m *member, order func() *Order)) []*Order {
	byNode := make(map[string]*Order)
	for _, w := range e.sortedWorkers {
		for _, m := range slices.Clone(w.members) {
			if m.incarnation == w.incarnation && m.end == "" {
				visit(m, func() *Order { return e.orderFor(byNode, w) })
			}
		}
	}
	out := make([]*Order, 0, len(byNode))
	for _, node := range sortedKeys(byNode) {
		out = append(out, byNode[node])
	}
	return out
}

// orderFor returns the order for w in byNode. It adds an empty one if there is none.
func (e *Engine) orderFor(byNode map[string]*Order, w *worker) *Order {
	o := byNode[w.node]
	if o == nil {
		o = &Order{Node: w.node, Request: workflow.OrderRequest{Epoch: e.epoch, Instance: w.instance, StartedMS: w.startedMS, Generation: w.generation}}
		byNode[w.node] = o
	}
	return o
}

// orderStart adds the start of a member to an order. The start also extends the
// worker's lease to the start deadline.
func (e *Engine) orderStart(o *Order, m *member, now time.Time) {
	w := m.worker
	m.startSent, m.startedAt, m.resumed = true, now, m.unit.checkpoint != ""
	m.startDeadlineMS = w.clockMS + now.Sub(w.reportedAt).Milliseconds() + startWindow.Milliseconds()
	w.maxLeaseUntilMS = max(w.maxLeaseUntilMS, m.startDeadlineMS)
	o.Request.Starts = append(o.Request.Starts, workflow.StartOrder{
		Ref: m.unit.itemRef(m.index), Run: m.run, Payload: m.unit.job.rec.Payload,
		Checkpoint: m.unit.checkpoint, ExpiresMS: m.startDeadlineMS,
	})
	o.starts = append(o.starts, m)
}

// isFor reports whether the order was meant for an incarnation.
func (o *Order) isFor(incarnation string) bool {
	return workflow.WorkerKey(o.Node, o.Request.Instance, o.Request.StartedMS) == incarnation
}

// HandleOrderReply processes an agent's reply to an order. A nil reply means that
// none came; then later reports tell whether a start took effect.
func (e *Engine) HandleOrderReply(o *Order, reply *workflow.OrderReply, now time.Time) {
	for i, m := range o.starts {
		outcome := workflow.OrderOutcome{}
		if reply != nil && i < len(reply.Starts) {
			outcome = reply.Starts[i]
		}
		if outcome.Verdict == workflow.VerdictDone && !o.isFor(m.incarnation) {
			continue // the time of the confirmation is on the clock of either incarnation
		}
		if outcome.Reason == workflow.ReasonInstance && o.isFor(m.worker.incarnation) {
			m.worker.unconfirmed = true
		}
		e.handleStartOutcome(m, outcome, now)
	}
	for i, m := range o.stops {
		// The first confirmation counts: repeated stops would move it past each next report.
		if m.stopConfirmedMS == 0 && reply != nil && i < len(reply.Stops) && reply.Stops[i].Verdict == workflow.VerdictDone && o.isFor(m.incarnation) {
			m.stopConfirmedMS = reply.Stops[i].ClockMS
		}
	}
}

// handleStartOutcome processes the outcome of one start. A refused start ends the
// member. After VerdictUnknown the member stays open until a report decides.
func (e *Engine) handleStartOutcome(m *member, outcome workflow.OrderOutcome, now time.Time) {
	if m.end != "" {
		return
	}
	switch outcome.Verdict {
	case workflow.VerdictDone:
		m.startConfirmedMS = outcome.ClockMS
		e.markBegun(m.unit.job, now)
	case workflow.VerdictRefused:
		if outcome.Reason == workflow.ReasonBusy {
			m.worker.health.recordFailure(m.unit.job.id, now)
		}
		if outcome.Reason != workflow.ReasonOldRun || !m.unit.stopping { // else the stop came first
			m.unit.recordSetback(m.incarnation)
		}
		e.endMember(m, workflow.EndNever, "", now)
	}
}
