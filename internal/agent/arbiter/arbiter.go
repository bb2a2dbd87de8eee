// Package arbiter holds the record of the resources of one worker. It is the
// only place where resources are reserved, so that competing planners can
// never overcommit the worker.
package arbiter

import (
	"slices"
	"sync"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// State is the state of a hold.
type State string

// States of a hold. Reserved and Armed expire; the others end by End.
const (
	Reserved State = "reserved"
	Armed    State = "armed"
	Running  State = "running"
	Stopping State = "stopping"
)

const (
	// ArmExtension is the time by which Arm extends a reservation.
	ArmExtension = 3 * time.Second
	// maxExpiry bounds the expiry that a planner may ask for.
	maxExpiry = 30 * time.Second
	// maxRanks bounds the tasks of one hold.
	maxRanks = 1024
	// attemptMemory is the time for which an ended attempt is remembered, far
	// longer than a delayed message can take to arrive.
	attemptMemory = 10 * time.Minute
)

// Hold is an amount of resources that belongs to one attempt of a job.
type Hold struct {
	Job     string          `json:"job"`
	Attempt uint64          `json:"attempt"`
	Ranks   []int           `json:"ranks"`
	PerTask model.Resources `json:"per_task"`
	State   State           `json:"state"`
	// Expires is zero for a hold that does not expire.
	Expires time.Time `json:"expires,omitzero"`
	Probe   bool      `json:"probe,omitempty"`
}

func (h *Hold) total() model.Resources {
	n := len(h.Ranks)
	return model.Resources{Accelerators: n * h.PerTask.Accelerators, Cores: n * h.PerTask.Cores, MemoryGB: n * h.PerTask.MemoryGB}
}

func (h *Hold) started() bool { return h.State == Running || h.State == Stopping }

// attempt is the memory of the highest attempt of a job.
type attempt struct {
	number uint64
	closed bool // released or ended; it is never reserved again
	seen   time.Time
}

// Arbiter is safe for concurrent use.
type Arbiter struct {
	incarnation string
	now         func() time.Time

	mu          sync.Mutex
	capacity    model.Resources
	epoch       uint64
	holds       map[string]*Hold
	attempts    map[string]attempt
	draining    bool
	quarantined bool
	stopping    bool
}

// New returns an arbiter of capacity for the agent of the given incarnation.
func New(incarnation string, capacity model.Resources, now func() time.Time) *Arbiter {
	return &Arbiter{
		incarnation: incarnation,
		now:         now,
		capacity:    capacity,
		holds:       make(map[string]*Hold),
		attempts:    make(map[string]attempt),
	}
}

// Check applies the fencing rules to an order and remembers its epoch. The
// error is Fenced or StaleIncarnation.
func (a *Arbiter) Check(o wire.Order) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.check(o)
}

func (a *Arbiter) check(o wire.Order) error {
	if o.Incarnation != a.incarnation {
		return result.Errorf(result.StaleIncarnation, "the order is for incarnation %s, this is %s", o.Incarnation, a.incarnation)
	}
	if o.Epoch < a.epoch {
		return result.Errorf(result.Fenced, "the order has epoch %d, the agent has seen %d", o.Epoch, a.epoch)
	}
	a.epoch = o.Epoch
	return nil
}

// Epoch returns the highest epoch seen.
func (a *Arbiter) Epoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// Reserve holds resources until the expiry. A repeat of the same request is
// idempotent and renews the expiry.
func (a *Arbiter) Reserve(r *wire.Reserve) error {
	if err := validate(r); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(r.Order); err != nil {
		return err
	}
	now := a.now()
	a.expire(now)
	if err := a.checkAttempt(r); err != nil {
		return err
	}
	h := &Hold{Job: r.Job, Attempt: r.Attempt, Ranks: slices.Clone(r.Ranks), PerTask: r.PerTask, State: Reserved, Probe: r.Probe}
	h.Expires = now.Add(min(time.Duration(r.ExpiryMS)*time.Millisecond, maxExpiry))
	old := a.holds[r.Job]
	if old != nil && old.Attempt == r.Attempt {
		return a.repeat(old, h)
	}
	if err := a.checkUse(r.Probe); err != nil {
		return err
	}
	free := a.free()
	if old != nil {
		free = free.Add(old.total())
	}
	if !h.total().Fits(free) {
		return result.Errorf(result.ReservationConflict, "%+v do not fit into the free %+v", h.total(), free)
	}
	a.holds[r.Job] = h
	a.attempts[r.Job] = attempt{number: r.Attempt, seen: now}
	return nil
}

func validate(r *wire.Reserve) error {
	switch {
	case r.Job == "" || r.Attempt == 0:
		return result.Errorf(result.BadRequest, "a reservation needs a job and an attempt")
	case len(r.Ranks) == 0 || len(r.Ranks) > maxRanks:
		return result.Errorf(result.BadRequest, "%d ranks, must be 1 to %d", len(r.Ranks), maxRanks)
	case r.PerTask.Accelerators < 0 || r.PerTask.Cores < 0 || r.PerTask.MemoryGB < 0:
		return result.Errorf(result.BadRequest, "resources must not be negative")
	case r.ExpiryMS <= 0:
		return result.Errorf(result.BadRequest, "expiry_ms must be positive")
	}
	seen := make(map[int]bool, len(r.Ranks))
	for _, rank := range r.Ranks {
		if rank < 0 || seen[rank] {
			return result.Errorf(result.BadRequest, "rank %d is negative or occurs twice", rank)
		}
		seen[rank] = true
	}
	return nil
}

func (a *Arbiter) checkAttempt(r *wire.Reserve) error {
	known := a.attempts[r.Job]
	if r.Attempt < known.number || r.Attempt == known.number && known.closed {
		return result.Errorf(result.StaleAttempt, "job %s has seen attempt %d", r.Job, known.number)
	}
	if old := a.holds[r.Job]; old != nil && old.Attempt != r.Attempt && old.started() {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s still runs", old.Attempt, r.Job)
	}
	return nil
}

func (a *Arbiter) repeat(old, h *Hold) error {
	if !slices.Equal(old.Ranks, h.Ranks) || old.PerTask != h.PerTask {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s is reserved with other tasks", h.Attempt, h.Job)
	}
	if old.State == Reserved && h.Expires.After(old.Expires) {
		old.Expires = h.Expires
	}
	return nil
}

func (a *Arbiter) checkUse(probe bool) error {
	switch {
	case a.stopping || a.draining:
		return result.Errorf(result.Draining, "the worker takes no new tasks")
	case a.quarantined && !probe:
		return result.Errorf(result.Draining, "the worker is quarantined")
	}
	return nil
}

// Release drops a reservation that has not been started. Releasing an unknown
// one closes the attempt, so that a delayed Reserve cannot revive it.
func (a *Arbiter) Release(r *wire.Release) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(r.Order); err != nil {
		return err
	}
	if r.Attempt < a.attempts[r.Job].number {
		return nil
	}
	if h := a.holds[r.Job]; h != nil && h.Attempt == r.Attempt && h.started() {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s has started", r.Attempt, r.Job)
	}
	a.dropUnstarted(r.Job)
	a.attempts[r.Job] = attempt{number: r.Attempt, closed: true, seen: a.now()}
	return nil
}

// Arm confirms that the reservation is still held and extends it by
// ArmExtension. Repeats are idempotent.
func (a *Arbiter) Arm(job string, number uint64) (Hold, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.held(job, number)
	if err != nil {
		return Hold{}, err
	}
	if !h.started() {
		h.State = Armed
		h.Expires = a.now().Add(ArmExtension)
	}
	return *h, nil
}

// Start turns an armed reservation into a running one that does not expire.
func (a *Arbiter) Start(job string, number uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.held(job, number)
	if err != nil {
		return err
	}
	if h.State == Reserved {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s is not armed", number, job)
	}
	if h.State == Armed {
		h.State = Running
		h.Expires = time.Time{}
	}
	return nil
}

func (a *Arbiter) held(job string, number uint64) (*Hold, error) {
	a.expire(a.now())
	if known := a.attempts[job]; known.number > number || known.number == number && known.closed {
		return nil, result.Errorf(result.StaleAttempt, "job %s has seen attempt %d", job, known.number)
	}
	h := a.holds[job]
	if h == nil || h.Attempt != number {
		return nil, result.Errorf(result.ReservationExpired, "attempt %d of job %s is not reserved", number, job)
	}
	return h, nil
}

// MarkStopping records that the tasks of a running hold are being stopped.
func (a *Arbiter) MarkStopping(job string, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holds[job]; h != nil && h.Attempt == number && h.State == Running {
		h.State = Stopping
	}
}

// End frees the resources of an attempt. Call it only when the worker holds
// none of its tasks any more.
func (a *Arbiter) End(job string, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holds[job]; h != nil && h.Attempt == number {
		delete(a.holds, job)
	}
	if a.attempts[job].number <= number {
		a.dropUnstarted(job)
		a.attempts[job] = attempt{number: number, closed: true, seen: a.now()}
	}
}

// dropUnstarted drops the reservation of a job. Tasks that run keep their
// resources until End, whatever is known of later attempts.
func (a *Arbiter) dropUnstarted(job string) {
	if h := a.holds[job]; h != nil && !h.started() {
		delete(a.holds, job)
	}
}

// Adopt records tasks that the worker already runs. They count even if they
// exceed the capacity, because they use the resources in any case.
func (a *Arbiter) Adopt(h Hold) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.State = Running
	h.Expires = time.Time{}
	a.holds[h.Job] = &h
	a.attempts[h.Job] = attempt{number: h.Attempt, seen: a.now()}
}

// Held reports whether the attempt holds resources.
func (a *Arbiter) Held(job string, number uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(a.now())
	h := a.holds[job]
	return h != nil && h.Attempt == number
}

func (a *Arbiter) expire(now time.Time) {
	for job, h := range a.holds {
		if !h.Expires.IsZero() && !now.Before(h.Expires) {
			delete(a.holds, job)
		}
	}
	for job, known := range a.attempts {
		if a.holds[job] == nil && now.Sub(known.seen) > attemptMemory {
			delete(a.attempts, job)
		}
	}
}

func (a *Arbiter) free() model.Resources {
	free := a.capacity
	for _, h := range a.holds {
		free = free.Sub(h.total())
	}
	return free
}

// Free returns the resources that no hold uses.
func (a *Arbiter) Free() model.Resources {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(a.now())
	return a.free()
}

// Holds returns the holds in order of job.
func (a *Arbiter) Holds() []Hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(a.now())
	out := make([]Hold, 0, len(a.holds))
	for _, h := range a.holds {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(x, y Hold) int {
		if x.Job < y.Job {
			return -1
		}
		return 1
	})
	return out
}
