package router

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// milli is the unit of the budget: thousandths of a retry.
	milli = 1000
	// requestShare is what each request adds: 20% of a retry.
	requestShare = milli / 5
	// MinRetriesPerSecond is what time adds.
	MinRetriesPerSecond = 10
	// maxBudget bounds what can be saved up for a burst of failures.
	maxBudget = 100 * milli
	// refillInterval is the time between two refills.
	refillInterval = time.Second / MinRetriesPerSecond
)

// Budget bounds retries to 20% of requests, and at least MinRetriesPerSecond,
// so that retries cannot multiply an overload. It takes no lock.
type Budget struct {
	tokens atomic.Int64
}

// NewBudget returns a Budget that holds the retries of one second.
func NewBudget() *Budget {
	b := &Budget{}
	b.tokens.Store(MinRetriesPerSecond * milli)
	return b
}

// Run refills the budget by time until ctx ends.
func (b *Budget) Run(ctx context.Context) {
	t := time.NewTicker(refillInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			b.Refill()
		}
	}
}

// Refill adds one retry, for refillInterval.
func (b *Budget) Refill() { b.add(milli) }

// Request adds the share of one request.
func (b *Budget) Request() { b.add(requestShare) }

func (b *Budget) add(n int64) {
	if b.tokens.Load() >= maxBudget {
		return // the common case without failures: no write to a shared line
	}
	b.tokens.Add(n)
}

// Take uses one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens.Add(-milli) >= 0 {
		return true
	}
	b.tokens.Add(milli)
	return false
}

// Left returns the whole retries left.
func (b *Budget) Left() int64 { return b.tokens.Load() / milli }
