// Package planner is the production scheduling policy. It keeps the jobs and
// turns events into decisions. The rules that it applies are in subpackages: pool
// (resource accounting), packing (guarantees), score (placement), queue (priorities
// and values of jobs), estimate (run times), faults (failed starts and quarantine),
// flap (hold-down of flapping workers), reclaim (choice of preemption victims),
// repair (defragmentation) and explain (reasons).
//
// A claim is a guaranteed or urgent job that holds one of the guarantees of its team.
// The plan keeps a place for every guarantee, claimed or not; preemptible gangs may
// run there until a claim needs the room. When workers fail or are quarantined,
// running claims may occupy the only places left for other guarantees although the
// healthy pool could hold all of them. The
// planner then moves the smallest set of claims that resolves this (relocate.go);
// among sets of the same size it takes the one that loses the least work. A move
// stops a claim, with the grace period Grace for its checkpoint, and restarts it
// at once elsewhere. Cheap moves are made immediately, others when a claim waits
// for the room. In small pools a cheap move is also made if the loss of one more
// worker would leave guarantees without a place (exposure.go).
//
// The planner does no I/O, starts no goroutine and reads no clock, and no decision
// depends on the iteration order of a map.
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

// The two policies differ only in their initial weights: loads favours short completion
// times, casa low fragmentation.
func init() {
	framework.Policies.Register("loads", func() framework.Scheduler {
		return New(model.Weights{CompletionTime: 1, Fragmentation: 0.3})
	})
	framework.Policies.Register("casa", func() framework.Scheduler {
		return New(model.Weights{CompletionTime: 0.3, Fragmentation: 1})
	})
}

// CheckGuarantees returns one sentence for each team and shape whose guarantees
// do not pack into an idle pool of the given workers.
func CheckGuarantees(teams []model.Team, workers []model.Worker) []string {
	return packing.Check(teams, workers)
}

const (
	// Grace is the grace period in which a stopping task writes its checkpoint.
	Grace = time.Second
	// maxDecisionsPerPass is the number of decisions after which a pass starts no more
	// jobs. It bounds the time of one Decide call; the caller repeats the call.
	maxDecisionsPerPass = 32
	// retryDelay is the delay before the next attempt when one did not start for a
	// reason outside the job and the worker, such as a refused reservation.
	retryDelay = 200 * time.Millisecond
)

// state is the state of a job that has not ended.
type state int

const (
	waiting   state = iota // in the queue
	nominated              // holds room that preempted gangs have yet to free
	starting               // placed; its tasks do not all run yet
	running
	stopping // told to stop; still holds its room
)

// job is a job that has not ended.
type job struct {
	model.Job
	seq    uint64
	state  state
	parked bool
	// avoidsFailedWorkers excludes the workers on which the job failed to start.
	avoidsFailedWorkers bool
	cancelled           bool
	attempt             uint64
	preemptions         int
	submitted           time.Time
	// waitingSince is the time at which the job last entered the queue.
	waitingSince time.Time
	// waited is the total waiting time before waitingSince.
	waited       time.Duration
	notBefore    time.Time     // earliest time of the next start
	checkpointed time.Duration // run time preserved by checkpoints
	// nextVictimSearch is the earliest time of the next search for victims.
	nextVictimSearch time.Time
	// expectedRunTime caches the expected total run time as of estimateVersion, a
	// value of estimate.Tracker.Version; 0 until first computed.
	expectedRunTime time.Duration
	estimateVersion uint64
	gang            *pool.Gang
	// reservation is the most recent reservation of the job, nil if it had none.
	reservation *reservation
	slot        *packing.Slot
	reason      model.Reason
	// victimCount is the number of gangs stopped for the current placement.
	victimCount int
}

// Planner implements framework.Scheduler. It is not safe for concurrent use.
type Planner struct {
	params    queue.Params
	pool      *pool.Pool
	plan      *packing.Plan
	estimates *estimate.Tracker
	faults    *faults.Tracker
	flaps     flap.Tracker
	finder    score.Finder

	jobs  map[string]*job
	queue []*job // waiting jobs in order of seq
	seq   uint64
	// claimants are the guaranteed and urgent jobs in order of seq.
	claimants []*job
	// claimedTeams holds the teams whose jobs got a guarantee in this pass.
	claimedTeams []string

	nominations []*job
	decisions   []framework.Decision
	probes      []probe
	holdDowns   []holdDown
	trials      []trial
	// needsPass makes the next Decide run a pass; needsAnotherPass sets needsPass at
	// the end of the present one.
	needsPass, needsAnotherPass bool
	wake                        time.Time // see NextWake
	// throttledUntil is the earliest time at which a delayed start may be retried;
	// zero if no start was delayed.
	throttledUntil time.Time
	// nextExposureCheck is the earliest time of the next search by reduceExposure.
	nextExposureCheck time.Time

	// workerBuffer is reused between searches. costStamp is the number of the last
	// search that caches costs in pool.Gang.CachedCost.
	workerBuffer []*pool.Worker
	costStamp    uint64

	// healthVersion counts the changes to the set of usable workers.
	healthVersion uint64
	// reservations are rebuilt in each pass.
	reservations []*reservation
	shares       sizeShares
	// noRoomAt holds, for each shape that found no room, the value of
	// Pool.RoomVersion at that time.
	noRoomAt      map[model.Shape]uint64
	feasibilities map[model.Shape]feasibility
}

// feasibility tells whether a shape fits the idle pool of all known workers or that of
// the usable ones, as of a healthVersion.
type feasibility struct {
	healthVersion             uint64
	allWorkers, usableWorkers bool
}

// probe is the probe of a quarantined worker that is due at a given time.
type probe struct {
	worker *pool.Worker
	dueAt  time.Time
}

// holdDown keeps a worker out of use until a given time.
type holdDown struct {
	worker *pool.Worker
	until  time.Time
}

// trial is a gang that proves its suspect or probing workers healthy if it still runs
// at a given time.
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

// UnpackedTeams implements framework.Scheduler.
func (p *Planner) UnpackedTeams() []string {
	p.plan.Repack()
	return p.plan.Unpacked()
}

// SetWeights implements framework.Scheduler. If both weights are zero, the
// present ones stay in force.
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

// weightedSize returns the size of a shape in accelerators. Each task adds a tenth
// of an accelerator, so that jobs without accelerators have a size too.
func weightedSize(s model.Shape) float64 {
	return float64(s.Accelerators()) + 0.1*float64(s.Tasks)
}

func declaredRunTime(j *job) time.Duration { return time.Duration(j.DeclaredMS) * time.Millisecond }

// totalRunTime returns the expected run time of a whole job. It is cached until the
// tracker has new observations, since ordering the queue needs it many times.
func (p *Planner) totalRunTime(j *job) time.Duration {
	if v := p.estimates.Version(); j.expectedRunTime == 0 || j.estimateVersion != v {
		j.expectedRunTime = p.estimates.TotalRunTime(j.Team, weightedSize(j.Shape) >= queue.LargeSize, declaredRunTime(j))
		j.estimateVersion = v
	}
	return j.expectedRunTime
}

// remainingRunTime returns the expected run time that a job has left after its last
// preserved checkpoint. queueItem also deducts the run time of the present attempt.
func (p *Planner) remainingRunTime(j *job) time.Duration {
	return estimate.RemainingRunTime(p.totalRunTime(j), j.checkpointed)
}
