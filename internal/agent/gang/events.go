package gang

import (
	"sync"
	"time"

	"snipegw/internal/wire"
)

const (
	// maxEvents bounds the events kept while no planner acknowledges them.
	maxEvents = 4096
	// maxEventsPerHeartbeat bounds the events of one heartbeat.
	maxEventsPerHeartbeat = 256
)

// eventLog keeps events in order until they are acknowledged.
type eventLog struct {
	now            func() time.Time
	mu             sync.Mutex
	seq            uint64
	unacknowledged []wire.GangEvent
	dropped        uint64
}

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

// dropOne drops the oldest event that is not final, else the oldest. A planner
// also sees from the worker states which gangs run.
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
