package members

import (
	"sync"

	"snipegw/internal/wire"
)

// maxRelayedEvents is the maximum number of events of one worker that wait for the
// planner. The agent repeats the others.
const maxRelayedEvents = 256

// eventRelay holds gang events until they are sent to the planner's entry, and
// acknowledgements until the next heartbeat reply. Agents repeat events until they are
// acknowledged, so the relay may drop events at any time.
type eventRelay struct {
	mu      sync.Mutex
	pending map[string]wire.WorkerGangEvents
	acks    map[string]wire.EventAck
}

func newEventRelay() *eventRelay {
	return &eventRelay{pending: make(map[string]wire.WorkerGangEvents), acks: make(map[string]wire.EventAck)}
}

// AckedSeq returns the sequence number up to which the planner has recorded the events of
// an incarnation; 0 if it is not known.
func (r *eventRelay) AckedSeq(worker, incarnation string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ackedSeqLocked(worker, incarnation)
}

func (r *eventRelay) ackedSeqLocked(worker, incarnation string) uint64 {
	if a := r.acks[worker]; a.Incarnation == incarnation {
		return a.Seq
	}
	return 0
}

// AddPending replaces the pending events of the worker by the unacknowledged ones of a
// heartbeat, and reports whether there are any.
func (r *eventRelay) AddPending(worker, incarnation string, events []wire.GangEvent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	acked := r.ackedSeqLocked(worker, incarnation)
	var open []wire.GangEvent
	for _, e := range events {
		if e.Seq > acked && len(open) < maxRelayedEvents {
			open = append(open, e)
		}
	}
	if len(open) == 0 {
		delete(r.pending, worker)
		return false
	}
	r.pending[worker] = wire.WorkerGangEvents{Worker: worker, Incarnation: incarnation, Events: open}
	return true
}

// TakePending removes and returns all pending events.
func (r *eventRelay) TakePending() []wire.WorkerGangEvents {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		return nil
	}
	list := make([]wire.WorkerGangEvents, 0, len(r.pending))
	for _, e := range r.pending {
		list = append(list, e)
	}
	clear(r.pending)
	return list
}

// RecordAcks stores acknowledgements. It ignores a lower sequence number of the same
// incarnation, and every acknowledgement of an earlier incarnation.
func (r *eventRelay) RecordAcks(acks []wire.EventAck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range acks {
		old := r.acks[a.Worker]
		if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.Seq > old.Seq {
			r.acks[a.Worker] = a
		}
	}
}

// RetainWorkers drops the events and acknowledgements of workers that are not in known.
func (r *eventRelay) RetainWorkers(known map[string]*Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.acks {
		if known[w] == nil {
			delete(r.acks, w)
		}
	}
	for w := range r.pending {
		if known[w] == nil {
			delete(r.pending, w)
		}
	}
}
