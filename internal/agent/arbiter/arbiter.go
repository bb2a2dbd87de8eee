// Package arbiter allocates the resources of one worker. All reservations go
// through it, so that competing planners cannot overcommit the worker.
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

// States of a hold. A hold in the state Reserved or Armed expires; one in the
// state Running or Stopping lasts until End.
const (
	Reserved State = "reserved"
	Armed    State = "armed"
	Running  State = "running"
	Stopping State = "stopping"
)

const (
	// ArmExtension is the time to expiry that Arm gives a reservation.
	ArmExtension = 3 * time.Second
	// maxExpiry bounds the time to expiry that a planner may request.
	maxExpiry = 30 * time.Second
	// maxRanks bounds the number of tasks of one hold.
	maxRanks = 1024
	// attemptRetention is how long the number of an ended attempt is kept to
	// reject stale messages, far longer than a message can be delayed.
	attemptRetention = 10 * time.Minute
)

// Hold is the set of resources allocated to one attempt of a job.
type Hold struct {
	Job     string          `json:"job"`
	Attempt uint64          `json:"attempt"`
	Ranks   []int           `json:"ranks"`
	PerTask model.Resources `json:"per_task"`
	State   State           `json:"state"`
	// Expires is zero for a hold that does not expire.
	Expires time.Time `json:"expires,omitzero"`
	// Probe marks the hold of a probe, which a quarantined worker accepts.
	Probe bool `json:"probe,omitempty"`
}

func (h *Hold) total() model.Resources {
	n := len(h.Ranks)
	return model.Resources{Accelerators: n * h.PerTask.Accelerators, Cores: n * h.PerTask.Cores, MemoryGB: n * h.PerTask.MemoryGB}
}

func (h *Hold) started() bool { return h.State == Running || h.State == Stopping }

// attemptRecord is the highest attempt of a job that the arbiter has seen.
type attemptRecord struct {
	number    uint64
	closed    bool // released or ended; it cannot be reserved again
	updatedAt time.Time
}

// Arbiter reserves and frees the resources of one worker and fences orders of
// superseded planners. It is safe for concurrent use.
type Arbiter struct {
	incarnation string
	now         func() time.Time

	mu          sync.Mutex
	capacity    model.Resources
	epoch       uint64
	holds       map[string]*Hold
	attempts    map[string]attemptRecord
	draining    bool
	quarantined bool
	stopping    bool
}

// New returns an arbiter without holds for a worker of the given capacity. It
// accepts orders for the given incarnation of the agent only.
func New(incarnation string, capacity model.Resources, now func() time.Time) *Arbiter {
	return &Arbiter{
		incarnation: incarnation,
		now:         now,
		capacity:    capacity,
		holds:       make(map[string]*Hold),
		attempts:    make(map[string]attemptRecord),
	}
}

// CheckOrder rejects an order for another incarnation or with an epoch lower
// than the highest one seen, and records its epoch otherwise. The error has the
// code StaleIncarnation or Fenced.
func (a *Arbiter) CheckOrder(o wire.Order) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.checkOrder(o)
}

func (a *Arbiter) checkOrder(o wire.Order) error {
	if o.Incarnation != a.incarnation {
		return result.Errorf(result.StaleIncarnation, "order for incarnation %s, but this agent is incarnation %s", o.Incarnation, a.incarnation)
	}
	if o.Epoch < a.epoch {
		return result.Errorf(result.Fenced, "order of epoch %d is fenced: the agent has seen epoch %d", o.Epoch, a.epoch)
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

// Reserve reserves resources for an attempt of a job until they expire. A
// repeat of the same request is idempotent and renews the expiry.
func (a *Arbiter) Reserve(r *wire.Reserve) error {
	if err := validateReserve(r); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkOrder(r.Order); err != nil {
		return err
	}
	now := a.now()
	a.dropExpired(now)
	if err := a.checkAttempt(r); err != nil {
		return err
	}
	h := &Hold{Job: r.Job, Attempt: r.Attempt, Ranks: slices.Clone(r.Ranks), PerTask: r.PerTask, State: Reserved, Probe: r.Probe}
	h.Expires = now.Add(min(time.Duration(r.TTLMS)*time.Millisecond, maxExpiry))
	old := a.holds[r.Job]
	if old != nil && old.Attempt == r.Attempt {
		return a.renewReservation(old, h)
	}
	if err := a.checkAvailability(r.Probe); err != nil {
		return err
	}
	free := a.free()
	if old != nil {
		free = free.Add(old.total()) // the new attempt replaces the old one
	}
	if !h.total().Fits(free) {
		return result.Errorf(result.ReservationConflict, "requested resources %+v exceed the free resources %+v", h.total(), free)
	}
	a.holds[r.Job] = h
	a.attempts[r.Job] = attemptRecord{number: r.Attempt, updatedAt: now}
	return nil
}

func validateReserve(r *wire.Reserve) error {
	switch {
	case r.Job == "" || r.Attempt == 0:
		return result.Errorf(result.BadRequest, "reservation needs a job id and an attempt of at least 1")
	case len(r.Ranks) == 0 || len(r.Ranks) > maxRanks:
		return result.Errorf(result.BadRequest, "reservation has %d ranks, must have 1 to %d", len(r.Ranks), maxRanks)
	case r.PerTask.Accelerators < 0 || r.PerTask.Cores < 0 || r.PerTask.MemoryGB < 0:
		return result.Errorf(result.BadRequest, "resources per task must not be negative")
	case r.TTLMS <= 0:
		return result.Errorf(result.BadRequest, "the TTL of a reservation must be at least 1 ms")
	}
	seen := make(map[int]bool, len(r.Ranks))
	for _, rank := range r.Ranks {
		if rank < 0 || seen[rank] {
			return result.Errorf(result.BadRequest, "rank %d is negative or listed twice", rank)
		}
		seen[rank] = true
	}
	return nil
}

// checkAttempt rejects an attempt that is lower than the highest one seen or is
// closed, and a new attempt while tasks of another one run.
func (a *Arbiter) checkAttempt(r *wire.Reserve) error {
	latest := a.attempts[r.Job]
	if r.Attempt < latest.number || r.Attempt == latest.number && latest.closed {
		return result.Errorf(result.StaleAttempt, "job %s: the attempt is superseded or closed, the latest one is %d", r.Job, latest.number)
	}
	if old := a.holds[r.Job]; old != nil && old.Attempt != r.Attempt && old.started() {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s is still running", old.Attempt, r.Job)
	}
	return nil
}

// renewReservation extends a reservation that has been requested again. The
// expiry never moves back.
func (a *Arbiter) renewReservation(old, h *Hold) error {
	if !slices.Equal(old.Ranks, h.Ranks) || old.PerTask != h.PerTask {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s is already reserved with other ranks or resources", h.Attempt, h.Job)
	}
	if old.State == Reserved && h.Expires.After(old.Expires) {
		old.Expires = h.Expires
	}
	return nil
}

// checkAvailability returns an error with the code Draining if the worker accepts
// no new reservation. A quarantined worker accepts probes only.
func (a *Arbiter) checkAvailability(probe bool) error {
	switch {
	case a.stopping || a.draining:
		return result.Errorf(result.Draining, "the worker is draining or its agent is stopping, and accepts no new tasks")
	case a.quarantined && !probe:
		return result.Errorf(result.Draining, "the worker is quarantined and accepts probes only")
	}
	return nil
}

// Release drops a reservation that has not been started. It closes an attempt
// that is not reserved as well, so that a delayed Reserve cannot revive it.
func (a *Arbiter) Release(r *wire.Release) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkOrder(r.Order); err != nil {
		return err
	}
	if r.Attempt < a.attempts[r.Job].number {
		return nil
	}
	if h := a.holds[r.Job]; h != nil && h.Attempt == r.Attempt && h.started() {
		return result.Errorf(result.ReservationConflict, "attempt %d of job %s has started", r.Attempt, r.Job)
	}
	a.dropReservation(r.Job)
	a.attempts[r.Job] = attemptRecord{number: r.Attempt, closed: true, updatedAt: a.now()}
	return nil
}

// Arm confirms that the attempt is still reserved and lets the reservation
// expire ArmExtension from now. A repeat is idempotent.
func (a *Arbiter) Arm(job string, number uint64) (Hold, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.findHold(job, number)
	if err != nil {
		return Hold{}, err
	}
	if !h.started() {
		h.State = Armed
		h.Expires = a.now().Add(ArmExtension)
	}
	return *h, nil
}

// Start turns an armed reservation into a running hold, which does not expire.
func (a *Arbiter) Start(job string, number uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, err := a.findHold(job, number)
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

// findHold returns the hold of an attempt. The error has the code StaleAttempt
// or ReservationExpired.
func (a *Arbiter) findHold(job string, number uint64) (*Hold, error) {
	a.dropExpired(a.now())
	if latest := a.attempts[job]; latest.number > number || latest.number == number && latest.closed {
		return nil, result.Errorf(result.StaleAttempt, "job %s: the attempt is superseded or closed, the latest one is %d", job, latest.number)
	}
	h := a.holds[job]
	if h == nil || h.Attempt != number {
		return nil, result.Errorf(result.ReservationExpired, "attempt %d of job %s is not reserved", number, job)
	}
	return h, nil
}

// SetHoldStopping records that the tasks of a running hold are being stopped.
func (a *Arbiter) SetHoldStopping(job string, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holds[job]; h != nil && h.Attempt == number && h.State == Running {
		h.State = Stopping
	}
}

// End frees the resources of an attempt and closes it. It must be called only
// after the worker has ended all tasks of the attempt.
func (a *Arbiter) End(job string, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holds[job]; h != nil && h.Attempt == number {
		delete(a.holds, job)
	}
	if a.attempts[job].number <= number {
		a.dropReservation(job)
		a.attempts[job] = attemptRecord{number: number, closed: true, updatedAt: a.now()}
	}
}

// dropReservation drops the hold of a job unless its tasks have started. Running
// tasks keep their resources until End, even if a later attempt is known.
func (a *Arbiter) dropReservation(job string) {
	if h := a.holds[job]; h != nil && !h.started() {
		delete(a.holds, job)
	}
}

// Adopt records a hold for tasks that the worker already runs. It does not check
// the capacity, because the tasks use the resources in any case.
func (a *Arbiter) Adopt(h Hold) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.State = Running
	h.Expires = time.Time{}
	a.holds[h.Job] = &h
	a.attempts[h.Job] = attemptRecord{number: h.Attempt, updatedAt: a.now()}
}

// HasHold reports whether an attempt has a hold that has not expired.
func (a *Arbiter) HasHold(job string, number uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired(a.now())
	h := a.holds[job]
	return h != nil && h.Attempt == number
}

// dropExpired drops expired holds, and attempts past attemptRetention.
func (a *Arbiter) dropExpired(now time.Time) {
	for job, h := range a.holds {
		if !h.Expires.IsZero() && !now.Before(h.Expires) {
			delete(a.holds, job)
		}
	}
	for job, latest := range a.attempts {
		if a.holds[job] == nil && now.Sub(latest.updatedAt) > attemptRetention {
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
	a.dropExpired(a.now())
	return a.free()
}

// Holds returns copies of all holds, ordered by job id.
func (a *Arbiter) Holds() []Hold {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpired(a.now())
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
