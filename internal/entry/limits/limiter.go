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
	// DefaultMaxQueued bounds the queue if the configuration sets no bound.
	DefaultMaxQueued = 256
	// decreaseInterval is the shortest time between two reductions of the limit:
	// answers that were sent before a reduction took effect say nothing new.
	decreaseInterval = 50 * time.Millisecond
	// decreaseFactor is applied to the limit when a worker is found full.
	decreaseFactor = 0.9
	// minLimitShare is the smallest limit as a share of the slots.
	minLimitShare = 1.0 / 16
	// sampleWeight is the weight of a new sample in the average run time.
	sampleWeight = 1.0 / 16
	// completionsPerSample is the number of completions of a thread for one sample.
	completionsPerSample = 16
	// permitBatch is the number of permits that a thread takes at once and at most
	// keeps free.
	permitBatch = 4
	// minLimitForCaching is the smallest limit with which threads keep permits: below it
	// the kept ones would be a large part of all.
	minLimitForCaching = 4 * permitBatch * striped.Stripes
)

// Limiter bounds the requests of an entry in progress for one service by the
// slots of its workers. While there is capacity, Acquire takes a permit without
// a lock; else requests wait in a bounded weighted fair queue.
//
// Threads keep a few free permits each, so that they do not share a cache line
// for every request. Permits go back to all as soon as a request waits.
//
// Other entries use the same slots. Full lowers the limit when a worker turns
// out to be full, and completed requests raise it again.
type Limiter struct {
	clock                    func() time.Time
	limit                    atomic.Int64
	slots                    atomic.Int64
	waiting                  atomic.Int64
	maxQueued                atomic.Int64
	lastDecreaseNS           atomic.Int64 // Unix nanoseconds of the latest reduction
	completionsSinceIncrease atomic.Int64 // completions since the last increase
	averageRunNS             atomic.Int64 // average run time
	_                        [64]byte
	takenPermits             atomic.Int64 // permits in use and kept by threads
	_                        [56]byte
	caches                   [striped.Stripes]permitCache

	mu    sync.Mutex
	queue fairQueue
}

// permitCache are the free permits of one stripe.
type permitCache struct {
	free atomic.Int64
	// completions counts completions, of which one in completionsPerSample updates the
	// average.
	completions atomic.Int64
	_           [48]byte
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
		return overloadedError("the requests of team %s that wait exceed its share of the queue", t.ID)
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

// tryAcquire takes a permit that the stripe keeps, or some from all.
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

// takePermits takes up to want permits and returns how many.
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

func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Errorf(result.DeadlineNotRun, "the deadline passed while the request waited for a free slot")
	}
	return ctx.Err()
}

func overloadedError(format string, args ...any) error {
	return result.Errorf(result.Overloaded, format, args...)
}

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
	// Capacity may have come free since the first look; a release that saw no
	// waiter does not dispatch.
	l.dispatchLocked()
	return w, nil
}

// checkExpectedWait refuses a request whose expected wait outlasts its deadline.
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

// removeWaiter removes a waiter and reports whether it was still waiting.
func (l *Limiter) removeWaiter(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := l.queue.remove(w)
	l.waiting.Store(int64(l.queue.size))
	return removed
}

// Release ends a request that ran for the given time; 0 if it did not run.
func (l *Limiter) Release(i striped.Index, ran time.Duration) {
	if ran > 0 {
		l.recordCompletion(i, ran)
	}
	l.returnPermit(i)
}

// returnPermit gives a permit back: to the stripe if it may keep it, else to all. The
// look at waiting comes after the change, and enqueue counts a waiter before it
// collects the kept permits, so that one of both sees the other.
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

// inUse returns the permits that requests hold.
func (l *Limiter) inUse() int64 {
	n := l.takenPermits.Load()
	for i := range l.caches {
		n -= l.caches[i].free.Load()
	}
	return max(0, n)
}

// OnWorkerFull notes that a worker refused a request for want of a free slot.
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
		InFlight:  l.inUse(),
		Limit:     l.limit.Load(),
		Slots:     l.slots.Load(),
		Waiting:   l.waiting.Load(),
		AverageMS: float64(l.averageRunNS.Load()) / float64(time.Millisecond),
	}
}
