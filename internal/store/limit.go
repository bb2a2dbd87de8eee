package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipegw/internal/result"
)

// Limit returns s with a rate limit on Get, CompareAndSwap and Watch: perSecond
// calls per second, and a burst of the given number of calls. Calls beyond that
// wait for their turn, or until their context ends. After an outage this keeps the
// entries of a region from calling the service all at the same time.
func Limit(s Store, perSecond, burst int) Store {
	return &limitedStore{Store: s, interval: time.Second / time.Duration(perSecond), burst: time.Duration(burst)}
}

type priorityKey struct{}

// WithPriority returns a context for calls that Limit counts but does not delay,
// such as the renewal of a lease: the lease would expire behind a queue of other
// calls.
func WithPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, priorityKey{}, true)
}

type limitedStore struct {
	Store
	interval time.Duration
	burst    time.Duration // number of calls, as a factor of interval

	mu sync.Mutex
	// next is the time at which the next call would be due without a burst.
	next time.Time
}

// waitForSlot blocks until the rate limit permits the call. It fails with code
// StoreUnavailable if ctx ends first.
func (l *limitedStore) waitForSlot(ctx context.Context) error {
	l.mu.Lock()
	now := time.Now()
	if earliest := now.Add(-l.burst * l.interval); l.next.Before(earliest) {
		l.next = earliest
	}
	l.next = l.next.Add(l.interval)
	delay := l.next.Sub(now)
	l.mu.Unlock()
	if delay <= 0 || ctx.Value(priorityKey{}) != nil {
		return nil
	}
	t := time.NewTimer(delay + rand.N(l.interval))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.StoreUnavailable, "the call was not made, because it waited for the rate limit of this process: %w", ctx.Err())
	}
}

// Get implements Store.
func (l *limitedStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := l.waitForSlot(ctx); err != nil {
		return Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

// CompareAndSwap implements Store.
func (l *limitedStore) CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error) {
	if err := l.waitForSlot(ctx); err != nil {
		return false, err
	}
	return l.Store.CompareAndSwap(ctx, key, rev, value)
}

// Watch implements Store.
func (l *limitedStore) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error) {
	if err := l.waitForSlot(ctx); err != nil {
		return Entry{}, err
	}
	return l.Store.Watch(ctx, key, rev, wait)
}
