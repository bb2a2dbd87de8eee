package gang

import (
	"sync"
	"time"

	"snipegw/internal/wire"
)

const (
	// maxEvents bounds the unacknowledged events that are kept.
	maxEvents = 4096
	// maxEventsPerHeartbeat bounds the events sent in one heartbeat.
	maxEventsPerHeartbeat = 256
)

// eventLog keeps events in order of their sequence numbers until they are
// acknowledged. It is safe for concurrent use.
type eventLog struct {
	now            func() time.Time
	mu             sync.Mutex
	seq            uint64
	unacknowledged []wire.GangEvent
	dropped        uint64
}

// add appends an event and returns it with its sequence number and time.
func (l *eventLog) add(e wire.GangEvent) wire.GangEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Seq = l.seq
	e.AtMS = l.now().UnixMilli()
	if len(l.unacknowledged) >= maxEvents {
		l.dropOne()
	}
	l.unacknowledged = append(l.unacknowledged, e)
	return e
}

// dropOne drops the oldest running event, or the oldest event if there is none.
// Running events are dropped first because a planner also learns from the worker
// states which gangs run.
func (l *eventLog) dropOne() {
	l.dropped++
	for i, e := range l.unacknowledged {
		if e.Outcome == outcomeRunning {
			l.unacknowledged = append(l.unacknowledged[:i], l.unacknowledged[i+1:]...)
			return
		}
	}
	l.unacknowledged = l.unacknowledged[1:]
}

// pending returns the oldest events, at most maxEventsPerHeartbeat.
func (l *eventLog) pending() []wire.GangEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.unacknowledged), maxEventsPerHeartbeat)
	return append([]wire.GangEvent(nil), l.unacknowledged[:n]...)
}

func (l *eventLog) acknowledge(seq uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := 0
	for i < len(l.unacknowledged) && l.unacknowledged[i].Seq <= seq {
		i++
	}
	l.unacknowledged = append([]wire.GangEvent(nil), l.unacknowledged[i:]...)
}
