// Package connlimit bounds the memory that the clients of HTTP servers hold together with requests that have not
// arrived completely. The limits of single requests don't bound it, since clients may send any
// number of requests at once and stop before their end.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
)

// ReasonMemory is the reason for which a Limiter refuses a request.
const ReasonMemory = "memory"

// Limiter bounds the memory of the clients of all servers that share it. It is safe for concurrent
// use.
type Limiter struct {
	maxBytes    int64
	report      func(server, reason string)
	bytes       atomic.Int64
	mu          sync.Mutex
	connections map[*conn]struct{}
	refused     map[string]uint64 // by reason
}

// New returns a Limiter for maxBytes of memory, as estimated from what clients send.
// It calls report, if it isn't nil, for each request that it refuses and each connection that it closes.
func New(maxBytes int64, report func(server, reason string)) *Limiter {
	if report == nil {
		report = func(string, string) {}
	}
	return &Limiter{maxBytes: maxBytes, report: report, connections: make(map[*conn]struct{}), refused: make(map[string]uint64)}
}

// State is the state of a Limiter for the state dump.
type State struct {
	Bytes       int64             `json:"bytes"`
	MaxBytes    int64             `json:"max_bytes"`
	Connections int               `json:"connections"`
	Refused     map[string]uint64 `json:"refused"`
}

// State returns the state of l.
func (l *Limiter) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := make(map[string]uint64, len(l.refused))
	for reason, n := range l.refused {
		refused[reason] = n
	}
	return State{Bytes: l.bytes.Load(), MaxBytes: l.maxBytes, Connections: len(l.connections), Refused: refused}
}

// admit returns the connection of a new client.
func (l *Limiter) admit(raw net.Conn, server string) *conn {
	c := &conn{Conn: raw, limiter: l, server: server}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = struct{}{}
	return c
}

// count records a refusal. The caller holds l.mu.
func (l *Limiter) count(server, reason string) {
	l.refused[reason]++
	l.report(server, reason)
}

// relieve refuses requests that have not arrived completely, the one that holds most memory first, until the
// clients hold no more than maxBytes or no such request is left.
func (l *Limiter) relieve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.bytes.Load() > l.maxBytes {
		var heaviest *conn
		for c := range l.connections {
			if c.phase.Load() <= receivingBody && (heaviest == nil || c.bytes.Load() > heaviest.bytes.Load()) {
				heaviest = c
			}
		}
		if heaviest == nil || heaviest.bytes.Load() == 0 {
			return
		}
		if heaviest.refuse() {
			l.count(heaviest.server, ReasonMemory)
		}
	}
}

// remove forgets a connection that is closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	c.release()
}
