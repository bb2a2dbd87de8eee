package router

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// tokensPerRetry is the cost of one retry: a token is a thousandth of a retry.
	tokensPerRetry = 1000
	// tokensPerRequest is what each request adds to the budget: 20% of a retry.
	tokensPerRequest = tokensPerRetry / 5
	// MinRetriesPerSecond is the number of retries per second that the budget
	// allows without any requests.
	MinRetriesPerSecond = 10
	// maxTokens bounds the tokens that can be saved for a burst of failures.
	maxTokens = 100 * tokensPerRetry
	// refillInterval is the interval between two refills of one retry each.
	refillInterval = time.Second / MinRetriesPerSecond
)

// RetryBudget limits retries to 20% of the requests plus MinRetriesPerSecond, so
// that retries cannot amplify an overload. It takes no lock.
type RetryBudget struct {
	tokens atomic.Int64
}

// NewRetryBudget returns a RetryBudget with MinRetriesPerSecond retries.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.tokens.Store(MinRetriesPerSecond * tokensPerRetry)
	return b
}

// Run calls Refill every refillInterval until ctx ends.
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

// Refill adds one retry to the budget.
func (b *RetryBudget) Refill() { b.addTokens(tokensPerRetry) }

// AddRequest adds the tokens that one request earns.
func (b *RetryBudget) AddRequest() { b.addTokens(tokensPerRequest) }

func (b *RetryBudget) addTokens(n int64) {
	if b.tokens.Load() >= maxTokens {
		return // the common case without failures: no write to a shared cache line
	}
	b.tokens.Add(n)
}

// TryTake takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryTake() bool {
	if b.tokens.Add(-tokensPerRetry) >= 0 {
		return true
	}
	b.tokens.Add(tokensPerRetry)
	return false
}

// RetriesLeft returns the number of whole retries in the budget.
func (b *RetryBudget) RetriesLeft() int64 { return b.tokens.Load() / tokensPerRetry }
