// Package striped provides counters that many threads can change without writing to
// the same cache line.
package striped

import (
	"sync"
	"sync/atomic"
)

// Stripes is the number of stripes of a counter. If there are more processors than
// stripes, some processors share a stripe.
const Stripes = 16

// Index is the index of a stripe, from 0 to Stripes-1.
type Index int

// poolToken carries the stripe that sync.Pool keeps for a processor.
type poolToken struct{ index Index }

var (
	nextIndex atomic.Int64
	tokens    = sync.Pool{New: func() any { return &poolToken{index: Index(nextIndex.Add(1) % Stripes)} }}
)

// CurrentStripe returns the stripe of the processor on which the caller runs. It is
// only a hint: every stripe gives correct counts, and a goroutine may move to another
// processor at any time. sync.Pool keeps one token per processor without a lock.
func CurrentStripe() Index {
	t := tokens.Get().(*poolToken)
	i := t.index
	tokens.Put(t)
	return i
}

// stripe is the part of a Counter that one processor changes.
type stripe struct {
	value atomic.Int64
	// refreshedValue is value at the last Refresh.
	refreshedValue atomic.Int64
	_              [48]byte // pads the stripe to one cache line
}

// Counter is a striped counter with an estimate that is cheap to read.
type Counter struct {
	refreshedSum atomic.Int64 // sum at the last Refresh; read often, written rarely
	_            [56]byte
	stripes      [Stripes]stripe
}

// Add adds n to the counter on stripe i.
func (c *Counter) Add(i Index, n int64) { c.stripes[i].value.Add(n) }

// Sum returns the sum of all stripes. It is exact if the counter does not change during
// the call. It reads one cache line for each stripe.
func (c *Counter) Sum() int64 {
	var sum int64
	for i := range c.stripes {
		sum += c.stripes[i].value.Load()
	}
	return sum
}

// Estimate returns the sum at the last Refresh plus the changes since then on stripe i.
// Later changes on other stripes are not counted.
func (c *Counter) Estimate(i Index) int64 {
	own := &c.stripes[i]
	return c.refreshedSum.Load() + own.value.Load() - own.refreshedValue.Load()
}

// Refresh makes the changes on all stripes visible to Estimate. Calls must not overlap.
func (c *Counter) Refresh() {
	var sum int64
	for i := range c.stripes {
		v := c.stripes[i].value.Load()
		if c.stripes[i].refreshedValue.Load() != v {
			c.stripes[i].refreshedValue.Store(v)
		}
		sum += v
	}
	if c.refreshedSum.Load() != sum {
		c.refreshedSum.Store(sum)
	}
}
