package limits

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/entry/striped"
	"snipegw/internal/result"
)

const (
	// DefaultMaxQueued is the maximum number of queued requests of a service if
	// the configuration sets none.
	DefaultMaxQueued = 256
	// decreaseInterval is the minimum interval between two decreases of the
	// limit: answers that were sent before a decrease took effect say nothing new.
	decreaseInterval = 50 * time.Millisecond
	// decreaseFactor multiplies the limit when a worker turns out to be full.
	decreaseFactor = 0.9
	// minLimitShare is the minimum limit as a fraction of the slots.
	minLimitShare = 1.0 / 16
	// sampleWeight is the weight of a new sample in the exponential moving
	// average of the run time.
	sampleWeight = 1.0 / 16
	// completionsPerSample is the number of completions on a stripe of which one
	// is sampled for the average run time.
	completionsPerSample = 16
	// permitBatch is the number of permits that a stripe takes at once, and the
	// maximum number of free permits in its cache.
	permitBatch = 4
	// minLimitForCaching is the minimum limit at which stripes cache permits.
	// Below it the cached permits would be a large part of the limit.
	minLimitForCaching = 4 * permitBatch * striped.Stripes
)

// Limiter bounds the concurrent requests of an entry to one service by the
// slots of the service's workers. While there is capacity, Acquire takes a
// permit without a lock. Otherwise requests wait in a bounded weighted fair
// queue.
//
// Each stripe caches a few free permits, so that threads do not write the same
// cache line for every request. Cached permits return to the shared pool as soon
// as a request waits.
//
// Other entries use the same slots. OnWorkerFull decreases the limit when a
// worker turns out to be full, and completed requests raise it again.
type Limiter struct {
	clock                    func() time.Time
	limit                    atomic.Int64
	slots                    atomic.Int64
	waiting                  atomic.Int64
	maxQueued                atomic.Int64
	lastDecreaseNS           atomic.Int64 // Unix nanoseconds of the last decrease of the limit
	completionsSinceIncrease atomic.Int64 // counted while the limit is below the slots
	averageRunNS             atomic.Int64 // average run time in nanoseconds
	_                        [64]byte     // keeps takenPermits on its own cache line
	takenPermits             atomic.Int64 // permits in use or in a cache
	_                        [56]byte
	caches                   [striped.Stripes]permitCache

	mu    sync.Mutex
	queue fairQueue
}

// permitCache holds the free permits of one stripe.
type permitCache struct {
	free atomic.Int64
	// completions counts the completed requests, of which one in
	// completionsPerSample updates the average run time.
	completions atomic.Int64
	_           [48]byte
}

// NewLimiter returns a Limiter without slots. A nil clock means time.Now.
func NewLimiter(clock func() time.Time) *Limiter {
	if clock == nil {
		clock = time.Now
	}
	l := &Limiter{clock: clock, queue: newFairQueue()}
	l.maxQueued.Store(DefaultMaxQueued)
	return l
}

// SetSlots sets the total number of slots of the workers. The limit becomes n unless
// OnWorkerFull has decreased it below both the old number of slots and n.
func (l *Limiter) SetSlots(n int) {
	old := l.slots.Swap(int64(n))
	if limit := l.limit.Load(); limit >= old || limit > int64(n) {
		l.limit.Store(int64(n))
	}
	l.dispatch()
}

// SetMaxQueued sets the maximum number of queued requests. 0 or less means
// DefaultMaxQueued.
func (l *Limiter) SetMaxQueued(n int) {
	if n <= 0 {
		n = DefaultMaxQueued
	}
	l.maxQueued.Store(int64(n))
}

// Acquire takes a permit for a request of team t and waits for one if there is
// none. It fails with result.Overloaded if the request is evicted from a full
// queue or its expected wait ends after the deadline of ctx, with
// result.DeadlineNotRun at the deadline, and with the error of ctx if ctx is
// canceled.
func (l *Limiter) Acquire(ctx context.Context, i striped.Index, t *Team) error {
	if l.waiting.Load() == 0 && l.tryAcquire(i) {
		return nil
	}
	w, err := l.enqueueWaiter(ctx, t)
	if err != nil {
		return err
	}
	select {
	case granted := <-w.granted:
		if granted {
			return nil
		}
		return overloadedError("the waiting requests of team %s exceed its share of the queue of this entry", t.ID)
	case <-ctx.Done():
	}
	if l.removeWaiter(w) {
		return waitError(ctx)
	}
	if <-w.granted {
		l.returnPermit(i)
	}
	return waitError(ctx)
}

// tryAcquire takes a permit from the cache of the stripe, or else from the shared
// pool, without waiting. It reports whether it got one.
func (l *Limiter) tryAcquire(i striped.Index) bool {
	free := &l.caches[i].free
	for n := free.Load(); n > 0; n = free.Load() {
		if free.CompareAndSwap(n, n-1) {
			return true
		}
	}
	want := int64(1)
	if l.limit.Load() >= minLimitForCaching {
		want = permitBatch
	}
	got := l.takePermits(want)
	if got > 1 {
		free.Add(got - 1)
		l.dispatchIfWaiting()
	}
	return got > 0
}

// takePermits takes up to want permits from the shared pool and returns how many
// it took.
func (l *Limiter) takePermits(want int64) int64 {
	for {
		n := l.takenPermits.Load()
		got := min(want, l.limit.Load()-n)
		if got <= 0 {
			return 0
		}
		if l.takenPermits.CompareAndSwap(n, n+got) {
			return got
		}
	}
}

// waitError returns the error for a request whose ctx ended while it was queued.
func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Errorf(result.DeadlineNotRun, "the deadline passed while the request waited for a free slot")
	}
	return ctx.Err()
}

func overloadedError(format string, args ...any) error {
	return result.Errorf(result.Overloaded, format, args...)
}

// enqueueWaiter adds a request of team t to the queue. If the queue exceeds its
// maximum, it evicts a waiter, which may be the new one. It fails with
// result.Overloaded if the expected wait ends after the deadline of ctx.
func (l *Limiter) enqueueWaiter(ctx context.Context, t *Team) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkExpectedWait(ctx, t); err != nil {
		return nil, err
	}
	w := l.queue.push(t, t.Weight())
	if l.queue.size > int(l.maxQueued.Load()) {
		evicted := l.queue.evictWaiter()
		evicted.team.refused.Add(1)
		evicted.granted <- false
	}
	l.waiting.Store(int64(l.queue.size))
	// A permit may have become free since tryAcquire failed, and a release that
	// saw no waiter does not dispatch.
	l.dispatchLocked()
	return w, nil
}

// checkExpectedWait refuses a request whose expected wait ends after its
// deadline.
func (l *Limiter) checkExpectedWait(ctx context.Context, t *Team) error {
	deadline, ok := ctx.Deadline()
	average := l.averageRunNS.Load()
	if !ok || average == 0 {
		return nil
	}
	share := l.queue.capacityShare(t) * float64(max(1, l.limit.Load()))
	wait := time.Duration(float64(average) * float64(l.queue.waitingOf(t)+1) / share)
	if left := deadline.Sub(l.clock()); wait > left {
		t.refused.Add(1)
		return overloadedError("the expected wait of %v for a free slot is longer than the %v left to the deadline",
			wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

// removeWaiter removes w from the queue and reports whether it was still waiting.
func (l *Limiter) removeWaiter(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.queue.remove(w)
	l.waiting.Store(int64(l.queue.size))
	return removed
}

// Release returns the permit of a request. The run time ran is 0 for a request
// that did not complete; it then does not count as a completion.
func (l *Limiter) Release(i striped.Index, ran time.Duration) {
	if ran > 0 {
		l.recordCompletion(i, ran)
	}
	l.returnPermit(i)
}

// returnPermit returns a permit to the cache of the stripe, or to the shared pool
// if the cache may not hold it. It reads l.waiting after the change, and
// enqueueWaiter sets l.waiting before it collects the cached permits, so that at
// least one of the two sees the change of the other.
func (l *Limiter) returnPermit(i striped.Index) {
	free := &l.caches[i].free
	limit := l.limit.Load()
	if limit >= minLimitForCaching && free.Load() < permitBatch && l.takenPermits.Load() <= limit {
		free.Add(1)
	} else {
		l.takenPermits.Add(-1)
	}
	l.dispatchIfWaiting()
}

func (l *Limiter) dispatchIfWaiting() {
	if l.waiting.Load() > 0 {
		l.dispatch()
	}
}

// recordCompletion updates the average run time. It raises a decreased limit by
// one each time as many requests as the limit have completed.
func (l *Limiter) recordCompletion(i striped.Index, ran time.Duration) {
	if old := l.averageRunNS.Load(); old == 0 {
		l.averageRunNS.Store(int64(ran))
	} else if l.caches[i].completions.Add(1)%completionsPerSample == 0 {
		l.averageRunNS.Store(old + int64(float64(int64(ran)-old)*sampleWeight))
	}
	limit, slots := l.limit.Load(), l.slots.Load()
	if limit < slots && l.completionsSinceIncrease.Add(1) >= limit {
		l.completionsSinceIncrease.Store(0)
		l.limit.CompareAndSwap(limit, limit+1)
	}
}

// inUse returns the number of permits that requests hold.
func (l *Limiter) inUse() int64 {
	n := l.takenPermits.Load()
	for i := range l.caches {
		n -= l.caches[i].free.Load()
	}
	return max(0, n)
}

// OnWorkerFull decreases the limit after a worker refused a request because it
// had no free slot, at most once in decreaseInterval.
func (l *Limiter) OnWorkerFull() {
	now := l.clock().UnixNano()
	last := l.lastDecreaseNS.Load()
	if now-last < int64(decreaseInterval) || !l.lastDecreaseNS.CompareAndSwap(last, now) {
		return
	}
	limit := min(l.limit.Load(), l.inUse())
	floor := max(1, float64(l.slots.Load())*minLimitShare)
	l.limit.Store(int64(max(floor, float64(limit)*decreaseFactor)))
}

func (l *Limiter) dispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatchLocked()
}

// dispatchLocked returns all cached permits to the shared pool and grants permits
// to waiters while there are any. The caller holds l.mu.
func (l *Limiter) dispatchLocked() {
	for i := range l.caches {
		if n := l.caches[i].free.Swap(0); n > 0 {
			l.takenPermits.Add(-n)
		}
	}
	for l.queue.size > 0 && l.takePermits(1) > 0 {
		l.queue.pop().granted <- true
	}
	l.waiting.Store(int64(l.queue.size))
}

// LimiterCounts is a snapshot of the counters of a Limiter.
type LimiterCounts struct {
	InFlight int64 `json:"in_flight"`
	Limit    int64 `json:"limit"`
	Slots    int64 `json:"slots"`
	Waiting  int64 `json:"waiting"`
	// AverageMS is the average run time in milliseconds.
	AverageMS float64 `json:"average_ms"`
}

// Counts returns the current counters.
func (l *Limiter) Counts() LimiterCounts {
	return LimiterCounts{
		InFlight:  l.inUse(),
		Limit:     l.limit.Load(),
		Slots:     l.slots.Load(),
		Waiting:   l.waiting.Load(),
		AverageMS: float64(l.averageRunNS.Load()) / float64(time.Millisecond),
	}
}
