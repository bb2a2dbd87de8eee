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
	// avoidsFailedWorkers jobs keep off the workers on which they failed.
	avoidsFailedWorkers bool
	cancelled           bool
	attempt             uint64
	preemptions         int
	submitted           time.Time
	// waitingSince is when the job last began to wait.
	waitingSince time.Time
	// waited is the time waited before since.
	waited       time.Duration
	notBefore    time.Time
	checkpointed time.Duration
	// nextVictimSearch is when the job may look for victims again.
	nextVictimSearch time.Time
	// expectedRunTime is the run time estimated with version estimateVersion of the tracker.
	expectedRunTime time.Duration
	estimateVersion uint64
	gang            *pool.Gang
	// reservation is the last one of the job.
	reservation *reservation
	slot        *packing.Slot
	reason      model.Reason
	// victimCount counts the gangs stopped for this job while it is nominated.
	victimCount int
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
	// claimedTeams holds the teams whose guarantees were claimed in this pass.
	claimedTeams []string

	nominations []*job
	decisions   []framework.Decision
	probes      []probe
	holdDowns   []holdDown
	trials      []trial
	// needsPass asks for a pass of Decide, more for another one after it.
	needsPass, needsAnotherPass bool
	wake                        time.Time
	// throttledUntil is when a worker takes starts again that were held back.
	throttledUntil time.Time
	// nextExposureCheck is when reduceExposure may search again.
	nextExposureCheck time.Time

	// workerBuffer and searches serve repeated searches.
	workerBuffer []*pool.Worker
	costStamp    uint64

	// healthVersion counts changes of the set of usable workers.
	healthVersion uint64
	// reservations are made anew in each pass.
	reservations []*reservation
	shares       sizeShares
	// noRoomAt holds, per shape, the state of the pool in which it found no room.
	noRoomAt      map[model.Shape]uint64
	feasibilities map[model.Shape]feasibility
}

type feasibility struct {
	healthVersion             uint64
	allWorkers, usableWorkers bool
}

type probe struct {
	worker *pool.Worker
	dueAt  time.Time
}

// holdDown is a worker that is held out of use until a time.
type holdDown struct {
	worker *pool.Worker
	until  time.Time
}

type trial struct {
	gang   *pool.Gang
	endsAt time.Time
}

// New returns a planner with the given weights.
func New(w model.Weights) *Planner {
	p := pool.New()
	return &Planner{
		params:        queue.ParamsOf(w),
		pool:          p,
		plan:          packing.New(p),
		estimates:     estimate.New(),
		faults:        faults.New(),
		jobs:          make(map[string]*job),
		noRoomAt:      make(map[model.Shape]uint64),
		feasibilities: make(map[model.Shape]feasibility),
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
	p.needsPass = true
}

// Explain implements framework.Scheduler.
func (p *Planner) Explain(id string) (model.Reason, bool) {
	j := p.jobs[id]
	if j == nil {
		return model.Reason{}, false
	}
	return j.reason, true
}

// weightedSize is the weight of a job in accelerators; a task without accelerators
// counts as a tenth of one.
func weightedSize(s model.Shape) float64 {
	return float64(s.Accelerators()) + 0.1*float64(s.Tasks)
}

func declaredRunTime(j *job) time.Duration { return time.Duration(j.DeclaredMS) * time.Millisecond }

// totalRunTime returns the expected run time of a job. It is kept until the tracker has
// learned more, since the order of the queue asks for it again and again.
func (p *Planner) totalRunTime(j *job) time.Duration {
	if v := p.estimates.Version(); j.expectedRunTime == 0 || j.estimateVersion != v {
		j.expectedRunTime = p.estimates.Total(j.Team, weightedSize(j.Shape) >= queue.LargeSize, declaredRunTime(j))
		j.estimateVersion = v
	}
	return j.expectedRunTime
}

// remainingRunTime returns the expected rest of a waiting job.
func (p *Planner) remainingRunTime(j *job) time.Duration {
	return estimate.Remaining(p.totalRunTime(j), j.checkpointed)
}
