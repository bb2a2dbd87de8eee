// Package striped provides counters that many threads change without sharing
// cache lines.
package striped

import (
	"sync"
	"sync/atomic"
)

// Stripes is the number of stripes of a counter. Threads beyond it share them.
const Stripes = 16

// Index names a stripe.
type Index int

type token struct{ index Index }

var (
	next   atomic.Int64
	tokens = sync.Pool{New: func() any { return &token{index: Index(next.Add(1) % Stripes)} }}
)

// Here returns the stripe of the processor that the caller runs on. It is a hint:
// any stripe may be used, and a goroutine may move on at any time. sync.Pool
// keeps one token for each processor without a lock.
func Here() Index {
	t := tokens.Get().(*token)
	i := t.index
	tokens.Put(t)
	return i
}

type cell struct {
	value atomic.Int64
	// seen is the value at the last Refresh.
	seen atomic.Int64
	_    [48]byte // one cache line for each cell
}

// Counter is a counter with an estimate that is cheap to read.
type Counter struct {
	total atomic.Int64 // sum at the last Refresh; read often, written rarely
	_     [56]byte
	cells [Stripes]cell
}

// Add adds n on stripe i.
func (c *Counter) Add(i Index, n int64) { c.cells[i].value.Add(n) }

// Sum returns the exact value at some time during the call. It reads the cache
// lines of all stripes.
func (c *Counter) Sum() int64 {
	var sum int64
	for i := range c.cells {
		sum += c.cells[i].value.Load()
	}
	return sum
}

// Estimate returns the sum at the last Refresh with the changes since then of
// stripe i alone.
func (c *Counter) Estimate(i Index) int64 {
	own := &c.cells[i]
	return c.total.Load() + own.value.Load() - own.seen.Load()
}

// Refresh makes the changes of all stripes visible to Estimate. Calls must not
// overlap.
func (c *Counter) Refresh() {
	var sum int64
	for i := range c.cells {
		v := c.cells[i].value.Load()
		if c.cells[i].seen.Load() != v {
			c.cells[i].seen.Store(v)
		}
		sum += v
	}
	if c.total.Load() != sum {
		c.total.Store(sum)
	}
}
