package engine

import (
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// Order is what to send to one agent. Starts and stops that the agent answers
// with an outcome are reported back by Outcome.
type Order struct {
	Node    string
	Request workflow.OrderRequest
	starts  []*member
	stops   []*member
}

// StartOrders returns the starts that are due. Their records must have been
// stored.
func (e *Engine) StartOrders(now time.Time) []*Order {
	return e.orders(func(m *member, o func() *Order) {
		switch {
		case m.ordered || m.inherited:
		case m.unit.stopping:
			e.ended(m, workflow.EndNever, "", now)
		default:
			e.orderStart(o(), m, now)
		}
	})
}

// StopOrders returns the stops that are due. They are repeated until the worker
// lists the end.
func (e *Engine) StopOrders(now time.Time) []*Order {
	return e.orders(func(m *member, o func() *Order) {
		if !m.unit.stopping || !m.ordered && !m.inherited || now.Sub(m.lastStop) < repeatStop {
			return
		}
		m.lastStop = now
		order := o()
		order.Request.Stops = append(order.Request.Stops, workflow.StopOrder{Ref: m.unit.ref(m.index), Run: m.run})
		order.stops = append(order.stops, m)
	})
}

// orders visits the members that may be running and collects orders by node.
func (e *Engine) orders(visit func(m *member, order func() *Order)) []*Order {
	byNode := make(map[string]*Order)
	for _, w := range e.ordered {
		for _, m := range slices.Clone(w.members) {
			if m.key == w.key && m.end == "" {
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

func (e *Engine) orderFor(byNode map[string]*Order, w *worker) *Order {
	o := byNode[w.node]
	if o == nil {
		o = &Order{Node: w.node, Request: workflow.OrderRequest{Epoch: e.epoch, Instance: w.instance, Born: w.born}}
		byNode[w.node] = o
	}
	return o
}

func (e *Engine) orderStart(o *Order, m *member, now time.Time) {
	w := m.worker
	m.ordered, m.since = true, now
	m.untilMS = w.clockMS + now.Sub(w.seen).Milliseconds() + startWindow.Milliseconds()
	w.maxUntil = max(w.maxUntil, m.untilMS)
	o.Request.Starts = append(o.Request.Starts, workflow.StartOrder{
		Ref: m.unit.ref(m.index), Run: m.run, Payload: m.unit.job.rec.Payload,
		Checkpoint: m.unit.checkpoint, UntilMS: m.untilMS,
	})
	o.starts = append(o.starts, m)
}

// Outcome takes in an agent's answer to an order; reply is nil if none came.
func (e *Engine) Outcome(o *Order, reply *workflow.OrderReply, now time.Time) {
	for i, m := range o.starts {
		out := workflow.OrderOutcome{}
		if reply != nil && i < len(reply.Starts) {
			out = reply.Starts[i]
		}
		e.startOutcome(m, out, now)
	}
	for i, m := range o.stops {
		if reply != nil && i < len(reply.Stops) && reply.Stops[i].Verdict == workflow.VerdictDone {
			m.stoppedMS = reply.Stops[i].ClockMS
		}
	}
}

func (e *Engine) startOutcome(m *member, out workflow.OrderOutcome, now time.Time) {
	if m.end != "" {
		return
	}
	switch out.Verdict {
	case workflow.VerdictDone:
		m.confirmedMS = out.ClockMS
	case workflow.VerdictRefused:
		if out.Reason == workflow.ReasonBusy {
			m.worker.health.failed(m.unit.job.id, now)
		}
		e.ended(m, workflow.EndNever, "", now)
	}
}
