package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipegw/internal/result"
)

// Limit returns s with at most perSecond calls a second after a burst. Calls
// beyond that wait; a waiting call ends with its context. After an outage this
// keeps the entries of a region from calling the service all at once.
func Limit(s Store, perSecond, burst int) Store {
	return &limited{Store: s, interval: time.Second / time.Duration(perSecond), burst: time.Duration(burst)}
}

type priorityKey struct{}

// WithPriority marks calls that Limit counts but does not delay, such as the
// renewal of a lease: behind a queue of other calls the lease would lapse.
func WithPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, priorityKey{}, true)
}

type limited struct {
	Store
	interval time.Duration
	burst    time.Duration // in calls

	mu sync.Mutex
	// next is the time at which a call without any burst could go out.
	next time.Time
}

// wait blocks until the call may go out.
func (l *limited) wait(ctx context.Context) error {
	l.mu.Lock()
	now := time.Now()
	if floor := now.Add(-l.burst * l.interval); l.next.Before(floor) {
		l.next = floor
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
		return result.Errorf(result.StoreUnavailable, "the call waited for the rate limit of this process: %w", ctx.Err())
	}
}

// Get implements Store.
func (l *limited) Get(ctx context.Context, key string) (Entry, error) {
	if err := l.wait(ctx); err != nil {
		return Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

// CompareAndSwap implements Store.
func (l *limited) CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error) {
	if err := l.wait(ctx); err != nil {
		return false, err
	}
	return l.Store.CompareAndSwap(ctx, key, rev, value)
}

// Watch implements Store.
func (l *limited) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (Entry, error) {
	if err := l.wait(ctx); err != nil {
		return Entry{}, err
	}
	return l.Store.Watch(ctx, key, rev, wait)
}
