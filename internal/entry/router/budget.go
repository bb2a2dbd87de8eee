package router

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tokensPerRetry is the unit of the budget: thousandths of a retry.
	tokensPerRetry = 1000
	// tokensPerRequest is what each request adds: 20% of a retry.
	tokensPerRequest = tokensPerRetry / 5
	// MinRetriesPerSecond is what time adds.
	MinRetriesPerSecond = 10
	// maxTokens bounds what can be saved up for a burst of failures.
	maxTokens = 100 * tokensPerRetry
	// refillInterval is the time between two refills.
	refillInterval = time.Second / MinRetriesPerSecond
)

// RetryBudget bounds retries to 20% of requests, and at least MinRetriesPerSecond,
// so that retries cannot multiply an overload. It takes no lock.
type RetryBudget struct {
	tokens atomic.Int64
}

// NewRetryBudget returns a Budget that holds the retries of one second.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.tokens.Store(MinRetriesPerSecond * tokensPerRetry)
	return b
}

// Run refills the budget by time until ctx ends.
func (b *RetryBudget) Run(ctx context.Context) {
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
func (b *RetryBudget) Refill() { b.addTokens(tokensPerRetry) }

// AddRequest adds the share of one request.
func (b *RetryBudget) AddRequest() { b.addTokens(tokensPerRequest) }

func (b *RetryBudget) addTokens(n int64) {
	if b.tokens.Load() >= maxTokens {
		return // the common case without failures: no write to a shared line
	}
	b.tokens.Add(n)
}

// TryTake uses one retry and reports whether there was one.
func (b *RetryBudget) TryTake() bool {
	if b.tokens.Add(-tokensPerRetry) >= 0 {
		return true
	}
	b.tokens.Add(tokensPerRetry)
	return false
}

// RetriesLeft returns the whole retries left.
func (b *RetryBudget) RetriesLeft() int64 { return b.tokens.Load() / tokensPerRetry }
