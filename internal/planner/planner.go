// Package planner is the production scheduling policy. The kernel in this
// package keeps the jobs and turns events into decisions; what it decides by is
// in the packages below it: pool (the books), packing (guarantees), score
// (placement), queue (order), estimate (run times), faults (blame and
// quarantine), reclaim (choice of victims), repair (moves) and explain (reasons).
//
// Guarantees that are not claimed keep a place at all times. When workers fail or
// are quarantined and claims that run lie in the way, although the healthy pool
// could hold all guarantees, the smallest set of claims is moved (relocate.go),
// of equal sets the one that loses the least work. A move stops a claim with
// Grace for its checkpoint and starts it again at once. Cheap moves are made at
// once, others when a claim waits for the room. In small pools a cheap move also
// ends the exposure of guarantees to the next failure (exposure.go).
//
// It is pure: no I/O, no goroutine, no clock, and no iteration over maps that
// could change a decision.
package planner

import (
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/estimate"
	"snipegw/internal/planner/faults"
	"snipegw/internal/planner/flap"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/packing"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/score"
)

func init() {
	framework.Policies.Register("loads", func() framework.Scheduler {
		return New(model.Weights{CompletionTime: 1, Fragmentation: 0.3})
	})
	framework.Policies.Register("casa", func() framework.Scheduler {
		return New(model.Weights{CompletionTime: 0.3, Fragmentation: 1})
	})
}

// CheckGuarantees returns one sentence for each team and shape whose guarantees
// do not pack into an idle pool of workers. It needs no Planner.
func CheckGuarantees(teams []model.Team, workers []model.Worker) []string {
	return packing.Check(teams, workers)
}

const (
	// Grace is the time that a stopped task has for its checkpoint.
	Grace = time.Second
	// maxPlacements bounds the work of one Decide call; the host calls again.
	maxPlacements = 32
	// retryDelay spaces attempts that did not start for a reason outside the job
	// and the worker, such as a refused reservation.
	retryDelay = 200 * time.Millisecond
)

type state int

const (
	waiting state = iota
	nominated
	starting
	running
	stopping
)

type job struct {
	model.Job
	seq    uint64
	state  state
	parked bool
	// picky jobs keep off the workers on which they failed.
	picky     bool
	cancelled bool
	attempt   uint64
	stops     int
	submitted time.Time
	// since is when the job last began to wait.
	since time.Time
	// waited is the time waited before since.
	waited    time.Duration
	notBefore time.Time
	kept      time.Duration
	// nextSearch is when the job may look for victims again.
	nextSearch time.Time
	// expected is the run time estimated with version expectedAt of the tracker.
	expected   time.Duration
	expectedAt uint64
	gang       *pool.Gang
	// reservation is the last one of the job.
	reservation *reservation
	slot        *packing.Slot
	reason      model.Reason
	// preempted counts the gangs stopped for this job while it is nominated.
	preempted int
}

// Planner implements framework.Scheduler.
type Planner struct {
	params    queue.Params
	pool      *pool.Pool
	plan      *packing.Plan
	estimates *estimate.Tracker
	faults    *faults.Tracker
	flaps     flap.Tracker
	finder    score.Finder

	jobs  map[string]*job
	queue []*job // waiting, by seq
	seq   uint64
	// claimants are the guaranteed and urgent jobs, by seq.
	claimants []*job
	// claimed holds the teams whose guarantees were claimed in this pass.
	claimed []string

	nominations []*job
	out         []framework.Decision
	probes      []probe
	heldOut     []hold
	trials      []trial
	// dirty asks for a pass of Decide, more for another one after it.
	dirty, more bool
	wake        time.Time
	// throttled is when a worker takes starts again that were held back.
	throttled time.Time
	// nextExposed is when endExposure may search again.
	nextExposed time.Time

	// same and searches serve repeated searches.
	same     []*pool.Worker
	searches uint64

	// health counts changes of the set of usable workers.
	health uint64
	// reservations are made anew in each pass.
	reservations []*reservation
	share        share
	// blocked holds, per shape, the state of the pool in which it found no room.
	blocked  map[model.Shape]uint64
	feasible map[model.Shape]feasibility
}

type feasibility struct {
	health      uint64
	ever, today bool
}

type probe struct {
	worker *pool.Worker
	at     time.Time
}

// hold is a worker that is held out of use until a time.
type hold struct {
	worker *pool.Worker
	until  time.Time
}

type trial struct {
	gang *pool.Gang
	at   time.Time
}

// New returns a planner with the given weights.
func New(w model.Weights) *Planner {
	p := pool.New()
	return &Planner{
		params:    queue.ParamsOf(w),
		pool:      p,
		plan:      packing.New(p),
		estimates: estimate.New(),
		faults:    faults.New(),
		jobs:      make(map[string]*job),
		blocked:   make(map[model.Shape]uint64),
		feasible:  make(map[model.Shape]feasibility),
	}
}

// NextWake implements framework.Scheduler.
func (p *Planner) NextWake() time.Time { return p.wake }

// Unpacked implements framework.Scheduler.
func (p *Planner) Unpacked() []string {
	p.plan.Repack()
	return p.plan.Unpacked()
}

// SetWeights implements framework.Scheduler. Weights of zero keep those of the
// policy.
func (p *Planner) SetWeights(w model.Weights) {
	if w == (model.Weights{}) {
		return
	}
	p.params = queue.ParamsOf(w)
	p.dirty = true
}

// Explain implements framework.Scheduler.
func (p *Planner) Explain(id string) (model.Reason, bool) {
	j := p.jobs[id]
	if j == nil {
		return model.Reason{}, false
	}
	return j.reason, true
}

// size is the weight of a job in accelerators; a task without accelerators
// counts as a tenth of one.
func size(s model.Shape) float64 {
	return float64(s.Accelerators()) + 0.1*float64(s.Tasks)
}

func declared(j *job) time.Duration { return time.Duration(j.DeclaredMS) * time.Millisecond }

// total returns the expected run time of a job. It is kept until the tracker has
// learned more, since the order of the queue asks for it again and again.
func (p *Planner) total(j *job) time.Duration {
	if v := p.estimates.Version(); j.expected == 0 || j.expectedAt != v {
		j.expected = p.estimates.Total(j.Team, size(j.Shape) >= queue.LargeSize, declared(j))
		j.expectedAt = v
	}
	return j.expected
}

// remaining returns the expected rest of a waiting job.
func (p *Planner) remaining(j *job) time.Duration {
	return estimate.Remaining(p.total(j), j.kept)
}
