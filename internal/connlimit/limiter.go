// Package connlimit bounds what the clients of HTTP servers hold together: memory for requests that have not
// arrived completely, and connections. The limits of single requests don't bound it, since clients may send any
// number of requests at once and stop before their end.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Reasons for which a Limiter refuses a request or closes a connection.
const (
	ReasonMemory      = "memory"
	ReasonConnections = "connections"
)

// Limiter bounds the memory and the connections of the clients of all servers that share it. It is safe for concurrent
// use.
type Limiter struct {
	maxBytes       int64
	maxConnections int
	report         func(server, reason string)
	bytes          atomic.Int64
	reserved       atomic.Int64 // memory of the requests in progress
	mu             sync.Mutex
	connections    map[*conn]struct{}
	refused        map[string]uint64 // by reason
}

// New returns a Limiter for maxBytes of memory, as estimated from what clients send, and maxConnections connections.
// It calls report, if it isn't nil, for each request that it refuses and each connection that it closes.
func New(maxBytes int64, maxConnections int, report func(server, reason string)) *Limiter {
	if report == nil {
		report = func(string, string) {}
	}
	return &Limiter{maxBytes: maxBytes, maxConnections: maxConnections, report: report, connections: make(map[*conn]struct{}), refused: make(map[string]uint64)}
}

// State is the state of a Limiter for the state dump.
type State struct {
	Bytes          int64             `json:"bytes"`
	MaxBytes       int64             `json:"max_bytes"`
	Connections    int               `json:"connections"`
	MaxConnections int               `json:"max_connections"`
	Refused        map[string]uint64 `json:"refused"`
}

// State returns the state of l.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := make(map[string]uint64, len(l.refused))
	for reason, n := range l.refused {
		refused[reason] = n
	}
	return State{Bytes: l.bytes.Load(), MaxBytes: l.maxBytes, Connections: len(l.connections), MaxConnections: l.maxConnections, Refused: refused}
}

// admit returns the connection of a new client, or nil if it must be closed: no other one can be.
func (l *Limiter) admit(raw net.Conn, server string) *conn {
	c := &conn{Conn: raw, limiter: l, server: server}
	c.since.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.connections) >= l.maxConnections && !l.closeLongest() {
		l.count(server, ReasonConnections)
		return nil
	}
	l.connections[c] = struct{}{}
	return c
}

// count records a refusal. The caller holds l.mu.
func (l *Limiter) count(server, reason string) {
	l.refused[reason]++
	l.report(server, reason)
}

// closeLongest closes the connection that has been without a request for the longest time, or if there is none,
// the one whose request has been incomplete for the longest time. The caller holds l.mu.
func (l *Limiter) closeLongest() bool {
	for {
		var longest *conn
		var idle bool
		for c := range l.connections {
			p := c.phase.Load()
			if p >= inProgress {
				continue
			}
			if longest == nil || (p == idlePhase) && !idle || (p == idlePhase) == idle && c.since.Load() < longest.since.Load() {
				longest, idle = c, p == idlePhase
			}
		}
		if longest == nil {
			return false
		}
		// A request of which only the rest of the body is missing has its response sent first.
		if longest.phase.Load() == bodyLeft && longest.refuse() || longest.close() {
			delete(l.connections, longest)
			l.count(longest.server, ReasonConnections)
			return true
		}
	}
}

// relieve refuses requests that have not arrived completely until the clients hold no more than maxBytes or no such
// request is left. The first ones are those that hold much and have sent nothing for long, so that a large request that is
// just being sent is not refused for small ones that have stopped.
func (l *Limiter) relieve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bytes.Load() > l.maxBytes {
		var worst *conn
		now, most := time.Now(), 0.0
		for c := range l.connections {
			if stall := c.stall(now); c.phase.Load() < inProgress && stall > most {
				worst, most = c, stall
			}
		}
		if worst == nil {
			return
		}
		if worst.refuse() {
			l.count(worst.server, ReasonMemory)
		}
	}
}

// smallRequest is the memory up to which a request may always be in progress, so that health checks and requests with the usual
// 20 to 60 header lines are served beside others that hold much.
const smallRequest = 16 << 10

// reserve counts c among the requests in progress. It reports false if these would hold more than half of maxBytes, since they
// cannot be refused and would leave no room for others. A single request is always admitted.
func (l *Limiter) reserve(c *conn) bool {
	held := c.bytes.Load()
	if sum := l.reserved.Add(held); sum > l.maxBytes/2 && sum > held && held > smallRequest {
		l.reserved.Add(-held)
		return false
	}
	c.reserved.Store(held)
	return true
}

// refuse refuses the request of c.
func (l *Limiter) refuse(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.refuse() {
		l.count(c.server, ReasonMemory)
	}
}

// remove forgets a connection that is closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	c.release()
}
