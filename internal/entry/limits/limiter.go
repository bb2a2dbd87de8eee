package limits

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/result"
)

const (
	// DefaultMaxQueued bounds the queue if the configuration sets no bound.
	DefaultMaxQueued = 256
	// shrinkInterval is the shortest time between two reductions of the limit:
	// answers that were sent before a reduction took effect say nothing new.
	shrinkInterval = 50 * time.Millisecond
	// shrinkFactor is applied to the limit when a worker is found full.
	shrinkFactor = 0.9
	// minLimitShare is the smallest limit as a share of the slots.
	minLimitShare = 1.0 / 16
	// averageShare is the weight of a new sample in the average run time.
	averageShare = 1.0 / 16
)

// Limiter bounds the requests of an entry in progress for one service by the
// slots of its workers. While there is capacity, Acquire is two atomic
// operations; else requests wait in a bounded weighted fair queue.
//
// Other entries use the same slots. Full lowers the limit when a worker turns
// out to be full, and completed requests raise it again.
type Limiter struct {
	clock     func() time.Time
	inflight  atomic.Int64
	limit     atomic.Int64
	slots     atomic.Int64
	waiting   atomic.Int64
	maxQueued atomic.Int64
	shrunk    atomic.Int64 // Unix nanoseconds of the latest reduction
	credit    atomic.Int64 // completions since the last increase
	averageNS atomic.Int64 // average run time

	mu    sync.Mutex
	queue fairQueue
}

// NewLimiter returns a Limiter without capacity. A nil clock is time.Now.
func NewLimiter(clock func() time.Time) *Limiter {
	if clock == nil {
		clock = time.Now
	}
	l := &Limiter{clock: clock, queue: newFairQueue()}
	l.maxQueued.Store(DefaultMaxQueued)
	return l
}

// SetSlots sets the slots of the workers. An unreduced limit follows them.
func (l *Limiter) SetSlots(n int) {
	old := l.slots.Swap(int64(n))
	if limit := l.limit.Load(); limit >= old || limit > int64(n) {
		l.limit.Store(int64(n))
	}
	l.dispatch()
}

// SetMaxQueued sets the bound of the queue; 0 takes DefaultMaxQueued.
func (l *Limiter) SetMaxQueued(n int) {
	if n <= 0 {
		n = DefaultMaxQueued
	}
	l.maxQueued.Store(int64(n))
}

// Acquire waits for capacity. Errors are result.Overloaded at once if the queue
// is full or the wait would outlast the deadline of ctx, result.DeadlineNotRun
// at the deadline, and the error of ctx for a caller that is gone.
func (l *Limiter) Acquire(ctx context.Context, t *Team) error {
	if l.waiting.Load() == 0 && l.tryAcquire() {
		return nil
	}
	w, err := l.enqueue(ctx, t)
	if err != nil {
		return err
	}
	select {
	case granted := <-w.granted:
		if granted {
			return nil
		}
		return overloaded("the requests of team %s that wait exceed its share of the queue", t.ID)
	case <-ctx.Done():
	}
	if l.leave(w) {
		return waitError(ctx)
	}
	if <-w.granted {
		l.put()
	}
	return waitError(ctx)
}

func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Errorf(result.DeadlineNotRun, "the deadline passed while the request waited for a free slot")
	}
	return ctx.Err()
}

func overloaded(format string, args ...any) error {
	return result.Errorf(result.Overloaded, format, args...)
}

func (l *Limiter) tryAcquire() bool {
	for {
		n := l.inflight.Load()
		if n >= l.limit.Load() {
			return false
		}
		if l.inflight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (l *Limiter) enqueue(ctx context.Context, t *Team) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkWait(ctx, t); err != nil {
		return nil, err
	}
	w := l.queue.push(t, t.Weight())
	if l.queue.size > int(l.maxQueued.Load()) {
		evicted := l.queue.evict()
		evicted.team.refused.Add(1)
		evicted.granted <- false
	}
	l.waiting.Store(int64(l.queue.size))
	// Capacity may have come free since the first look; a release that saw no
	// waiter does not dispatch.
	l.dispatchLocked()
	return w, nil
}

// checkWait refuses a request whose expected wait outlasts its deadline.
func (l *Limiter) checkWait(ctx context.Context, t *Team) error {
	deadline, ok := ctx.Deadline()
	average := l.averageNS.Load()
	if !ok || average == 0 {
		return nil
	}
	share := l.queue.share(t) * float64(max(1, l.limit.Load()))
	wait := time.Duration(float64(average) * float64(l.queue.queued(t)+1) / share)
	if left := deadline.Sub(l.clock()); wait > left {
		t.refused.Add(1)
		return overloaded("the expected wait of %v for a free slot is longer than the %v left to the deadline",
			wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// leave removes a waiter and reports whether it was still waiting.
func (l *Limiter) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.queue.remove(w)
	l.waiting.Store(int64(l.queue.size))
	return removed
}

// Release ends a request that ran for the given time; 0 if it did not run.
func (l *Limiter) Release(ran time.Duration) {
	if ran > 0 {
		l.completed(ran)
	}
	l.put()
}

func (l *Limiter) put() {
	l.inflight.Add(-1)
	if l.waiting.Load() > 0 {
		l.dispatch()
	}
}

func (l *Limiter) completed(ran time.Duration) {
	old := l.averageNS.Load()
	if old == 0 {
		old = int64(ran)
	}
	l.averageNS.Store(old + int64(float64(int64(ran)-old)*averageShare))
	limit, slots := l.limit.Load(), l.slots.Load()
	if limit < slots && l.credit.Add(1) >= limit {
		l.credit.Store(0)
		l.limit.CompareAndSwap(limit, limit+1)
	}
}

// Full notes that a worker refused a request for want of a free slot.
func (l *Limiter) Full() {
	now := l.clock().UnixNano()
	last := l.shrunk.Load()
	if now-last < int64(shrinkInterval) || !l.shrunk.CompareAndSwap(last, now) {
		return
	}
	limit := min(l.limit.Load(), l.inflight.Load())
	floor := max(1, float64(l.slots.Load())*minLimitShare)
	l.limit.Store(int64(max(floor, float64(limit)*shrinkFactor)))
}

func (l *Limiter) dispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatchLocked()
}

func (l *Limiter) dispatchLocked() {
	for l.queue.size > 0 && l.tryAcquire() {
		l.queue.pop().granted <- true
	}
	l.waiting.Store(int64(l.queue.size))
}

// LimiterCounts describe a Limiter.
type LimiterCounts struct {
	InFlight int64 `json:"in_flight"`
	Limit    int64 `json:"limit"`
	Slots    int64 `json:"slots"`
	Waiting  int64 `json:"waiting"`
	// AverageMS is the average run time in milliseconds.
	AverageMS float64 `json:"average_ms"`
}

// Counts returns the present counts.
func (l *Limiter) Counts() LimiterCounts {
	return LimiterCounts{
		InFlight:  l.inflight.Load(),
		Limit:     l.limit.Load(),
		Slots:     l.slots.Load(),
		Waiting:   l.waiting.Load(),
		AverageMS: float64(l.averageNS.Load()) / float64(time.Millisecond),
	}
}
