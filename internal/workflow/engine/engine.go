// Package engine decides which items of which jobs run on which workers. It is a
// state machine without I/O: events and the time go in, orders and changed
// records come out. It is not safe for concurrent use.
package engine

import (
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// Settings are the properties of the platform that decisions depend on.
type Settings struct {
	// Lease is the time for which a lease on a worker is granted.
	Lease time.Duration
	// MaxStoreOutage is the time for which a planner that lost touch with the store
	// may go on extending leases.
	MaxStoreOutage time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// Reclaim is the time in which a guaranteed job must have started.
	Reclaim time.Duration
}

const (
	// startWindow is the time in which a start may take effect. It covers some
	// retries of the agent, and ends well before a gang's other members give up.
	startWindow = 1500 * time.Millisecond
	// maxClockDrift is the largest error of a worker's clock.
	maxClockDrift = 0.02
	// expiryMargin is added to the computed expiry of a lease for timers that
	// fire late.
	expiryMargin = 400 * time.Millisecond
	// reportTimeout excludes a worker from new starts when its reports stay away.
	reportTimeout = 2500 * time.Millisecond
	// stopRetryInterval is the pause between two attempts to stop a run.
	stopRetryInterval = 400 * time.Millisecond
	// startRetryDelay keeps a unit whose start did not take effect from starting again
	// at once.
	startRetryDelay = 100 * time.Millisecond
	// failureRestartDelay keeps a long-running item that fails from restarting all the
	// time.
	failureRestartDelay = 500 * time.Millisecond
)

// Engine holds the jobs, the workers and what runs.
type Engine struct {
	settings  Settings
	epoch     uint64
	termStart time.Time // of this planner's term
	config    *workflow.Config
	jobs      map[string]*job
	openJobs  []*job // not ended, in order of acceptance
	// guaranteed holds the jobs that are within their teams' guarantees, as of the
	// latest decision.
	guaranteed    map[*job]bool
	workers       map[string]*worker
	sortedWorkers []*worker // in order of node names
	exhaustive    bool      // search a place for every unit; set by tests only
	policy        policy    // other than zero in comparisons only
	dirty         map[string]*job
	estimates     durationEstimates
	endEvents     []EndEvent
}

// policy leaves out parts of the decisions, or replaces the order of jobs within
// a class, to compare them on recorded loads.
type policy struct {
	compare                  func(e *Engine, now time.Time, a, b *candidate) int
	noHeadroom               bool
	preemptForGuaranteesOnly bool
	ignoreLostWork           bool // an urgent job may throw more work away than it has
}

// New returns an Engine for a term with the given epoch that begins now.
func New(s Settings, epoch uint64, now time.Time) *Engine {
	return &Engine{
		settings: s, epoch: epoch, termStart: now, config: &workflow.Config{},
		jobs: make(map[string]*job), workers: make(map[string]*worker), dirty: make(map[string]*job),
		estimates: make(durationEstimates),
	}
}

// job is a job that has not been removed.
type job struct {
	id            string
	rec           *workflow.JobRecord
	revision      uint64 // of the progress record
	seq           uint64
	state         workflow.State
	endedMS       int64
	cancelled     bool
	hasStarted    bool // some item was started
	units         []*unit
	stages        [][]stage // by occurrence and step
	unitsLeft     int       // units that are not done
	maxFailedRuns int       // most failed runs of a unit that is not done
}

// stage is a step of one occurrence.
type stage struct {
	units     []*unit
	unitsLeft int // units that are not done
}

// unit is what starts together: a gang, or a single item.
type unit struct {
	job        *job
	occurrence int
	step       int
	first      int
	count      int
	run        int
	failedRuns int
	done       bool
	checkpoint string
	members    []*member // of the latest run, until all have ended
	stopping   bool
	stopReason string
	notBefore  time.Time       // of the next run
	failedOn   map[string]bool // worker keys
}

// member is one item of a run.
type member struct {
	unit        *unit
	run         int
	index       int
	worker      *worker
	incarnation string // of the worker's incarnation
	end         workflow.End

	inherited        bool  // recorded by an earlier planner
	startSent        bool  // an order was, or may have been, sent
	startDeadlineMS  int64 // limit of the order on the worker's clock
	startConfirmedMS int64 // worker's clock when the start was confirmed
	stopConfirmedMS  int64 // worker's clock when a stop was confirmed
	listed           bool
	startedAt        time.Time // of the order, or of the first listing
	firstPercent     float64   // at the first listing
	percent          float64
	percentChangedAt time.Time // of the latest change of percent
	lastStopSent     time.Time
}

func (u *unit) spec() *workflow.Step { return &u.job.rec.Steps[u.step] }

func (u *unit) isActive() bool { return len(u.members) > 0 }

func (u *unit) itemRef(index int) workflow.Ref {
	return workflow.Ref{Job: u.job.id, Occurrence: u.occurrence, Step: u.step, Index: index}
}

// SetConfig replaces the configuration.
func (e *Engine) SetConfig(c *workflow.Config) { e.config = c }

// AddJob adds an accepted job with its progress record, nil if it has none. A
// job that is known already is left as it is.
func (e *Engine) AddJob(id string, rec *workflow.JobRecord, p *workflow.Progress, revision uint64) {
	if _, ok := e.jobs[id]; ok {
		return
	}
	j := &job{id: id, rec: rec, state: workflow.StatePending, revision: revision}
	e.jobs[id] = j
	j.buildUnits()
	if p != nil {
		e.restoreProgress(j, p)
	}
	if !j.state.Terminal() {
		e.openJobs = append(e.openJobs, j)
	}
}

// buildUnits makes the units of a job.
func (j *job) buildUnits() {
	for k := range j.rec.Runs() {
		stages := make([]stage, len(j.rec.Steps))
		for s := range j.rec.Steps {
			step := &j.rec.Steps[s]
			size := 1
			if step.Gang {
				size = step.Count
			}
			for first := 0; first < step.Count; first += size {
				u := &unit{job: j, occurrence: k, step: s, first: first, count: size}
				j.units = append(j.units, u)
				stages[s].units = append(stages[s].units, u)
			}
			stages[s].unitsLeft = len(stages[s].units)
		}
		j.stages = append(j.stages, stages)
	}
	j.unitsLeft = len(j.units)
}

// CancelJob marks a job as cancelled.
func (e *Engine) CancelJob(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.cancelled || j.state.Terminal() {
		return
	}
	j.cancelled = true
	for _, u := range j.units {
		if u.isActive() {
			u.stop("cancelled")
		}
	}
	e.endJobIfFinished(j, now)
}

// RemoveJob forgets a job whose records were deleted.
func (e *Engine) RemoveJob(id string) {
	delete(e.jobs, id)
	delete(e.dirty, id)
}

func (u *unit) stop(reason string) {
	if !u.stopping {
		u.stopping, u.stopReason = true, reason
	}
}

func (e *Engine) markDirty(j *job) { e.dirty[j.id] = j }

// endJob gives a job its final state.
func (e *Engine) endJob(j *job, s workflow.State, now time.Time) {
	j.state, j.endedMS = s, now.UnixMilli()
	e.recordJobEnd(j, now)
	e.markDirty(j)
	for i, o := range e.openJobs {
		if o == j {
			e.openJobs = append(e.openJobs[:i:i], e.openJobs[i+1:]...)
			break
		}
	}
}

// endJobIfFinished ends a job that has nothing left to do and nothing running.
func (e *Engine) endJobIfFinished(j *job, now time.Time) {
	if j.state.Terminal() {
		return
	}
	if !j.cancelled && j.unitsLeft == 0 {
		e.endJob(j, workflow.StateComplete, now)
		return
	}
	if j.isActive() {
		return
	}
	switch {
	case j.cancelled:
		e.endJob(j, workflow.StateCanceled, now)
	case e.attemptsExhausted(j):
		e.endJob(j, workflow.StateFailed, now)
	}
}

// attemptsExhausted reports whether a unit of the job has used all its attempts.
func (e *Engine) attemptsExhausted(j *job) bool {
	return j.maxFailedRuns >= e.config.AttemptsOf(j.rec)
}

// endMember records the end of a member. The unit is settled when all members have
// ended.
func (e *Engine) endMember(m *member, how workflow.End, checkpoint string, now time.Time) {
	if m.end != "" {
		return
	}
	m.end = how
	m.worker.members = slices.DeleteFunc(m.worker.members, func(o *member) bool { return o == m })
	u := m.unit
	e.recordRunEnd(m, how, now)
	e.markDirty(u.job)
	if checkpoint != "" {
		u.checkpoint = checkpoint
	}
	e.observeEnd(m, how, now)
	switch {
	case how == workflow.EndDone && !u.done && !u.spec().LongRunning:
		e.markUnitDone(u)
	case how != workflow.EndDone && !u.done && u.count > 1:
		u.stop("gang broken")
	}
	for _, other := range u.members {
		if other.end == "" {
			e.endJobIfFinished(u.job, now)
			return
		}
	}
	e.finishRun(u, now)
}

func (e *Engine) markUnitDone(u *unit) {
	u.done = true
	j := u.job
	j.unitsLeft--
	j.stages[u.occurrence][u.step].unitsLeft--
	u.stopping = false
}

// finishRun ends the run of a unit.
func (e *Engine) finishRun(u *unit, now time.Time) {
	anyFailed, noneStarted := false, true
	for _, m := range u.members {
		anyFailed = anyFailed || m.end == workflow.EndFailed
		noneStarted = noneStarted && m.end == workflow.EndNever
	}
	u.members, u.stopping, u.stopReason = nil, false, ""
	if anyFailed && !u.done {
		u.failedRuns++
		if !u.spec().LongRunning {
			u.job.maxFailedRuns = max(u.job.maxFailedRuns, u.failedRuns)
		}
	}
	switch {
	case noneStarted:
		u.notBefore = now.Add(startRetryDelay)
	case anyFailed && u.spec().LongRunning:
		u.notBefore = now.Add(failureRestartDelay)
	}
	if !u.done && e.attemptsExhausted(u.job) {
		for _, o := range u.job.units {
			if o.isActive() {
				o.stop("job failed")
			}
		}
	}
	e.endJobIfFinished(u.job, now)
}
