package consulkv

import (
	"sync"
	"sync/atomic"
)

// counters counts calls by operation.
type counters struct {
	byOperation sync.Map // operation -> *atomic.Uint64
}

func (c *counters) add(op string) {
	v, ok := c.byOperation.Load(op)
	if !ok {
		v, _ = c.byOperation.LoadOrStore(op, new(atomic.Uint64))
	}
	v.(*atomic.Uint64).Add(1)
}

func (c *counters) snapshot() map[string]uint64 {
	m := make(map[string]uint64)
	c.byOperation.Range(func(op, n any) bool {
		m[op.(string)] = n.(*atomic.Uint64).Load()
		return true
	})
	return m
}

// Calls returns the number of HTTP calls by operation: get, watch, cas, acquire,
// release, session_create, session_renew, session_end. Every attempt at an
// address counts.
func (c *Client) Calls() map[string]uint64 { return c.calls.snapshot() }
