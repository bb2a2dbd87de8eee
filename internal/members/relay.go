package members

import (
	"sync"

	"snipegw/internal/wire"
)

// maxRelayedEvents bounds the events of one worker that wait for the planner;
// the agent repeats the others.
const maxRelayedEvents = 256

// relay passes gang events on to the planner's entry and keeps the
// acknowledgements for the next heartbeat reply. Agents repeat events until
// they are acknowledged, so the relay may drop them at any time.
type relay struct {
	mu      sync.Mutex
	pending map[string]wire.WorkerGangEvents
	acks    map[string]wire.EventAck
}

func newRelay() *relay {
	return &relay{pending: make(map[string]wire.WorkerGangEvents), acks: make(map[string]wire.EventAck)}
}

// Acked returns the sequence number up to which events are recorded.
func (r *relay) Acked(worker, incarnation string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acked(worker, incarnation)
}

func (r *relay) acked(worker, incarnation string) uint64 {
	if a := r.acks[worker]; a.Incarnation == incarnation {
		return a.Seq
	}
	return 0
}

// Add keeps the unacknowledged events of a heartbeat for the planner and
// reports whether there are any.
func (r *relay) Add(worker, incarnation string, events []wire.GangEvent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	acked := r.acked(worker, incarnation)
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

// Take returns and removes all waiting events.
func (r *relay) Take() []wire.WorkerGangEvents {
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

// Ack notes acknowledgements. A lower number of the same incarnation and an
// earlier incarnation are ignored.
func (r *relay) Ack(acks []wire.EventAck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range acks {
		old := r.acks[a.Worker]
		if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.Seq > old.Seq {
			r.acks[a.Worker] = a
		}
	}
}

// Keep drops everything about workers that known does not contain.
func (r *relay) Keep(known map[string]*Worker) {
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
