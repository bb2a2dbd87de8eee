// Package engine decides which items of which jobs run on which workers. It is a
// state machine without I/O: it takes events and the current time, and returns
// orders for agents and changed progress records. It is not safe for concurrent
// use.
package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

// Settings are the properties of the platform that decisions depend on.
type Settings struct {
	// LeaseDuration is the duration of a lease on a worker.
	LeaseDuration time.Duration
	// MaxStoreOutage limits how long a planner that cannot reach the store keeps
	// extending leases.
	MaxStoreOutage time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// ReclaimTimeout is the start deadline of a job within its team's guarantee, counted
	// from its acceptance.
	ReclaimTimeout time.Duration
	// ResumeCost is the run time lost when a run with checkpoints is stopped and resumed;
	// DefaultResumeCost if 0.
	ResumeCost time.Duration
	// NewPlugins makes the scheduling plug-ins of a term; nil for none.
	NewPlugins func() framework.Set
}

// DefaultResumeCost is the usual ResumeCost of platforms that do not state theirs.
const DefaultResumeCost = 600 * time.Millisecond

const (
	// startWindow limits how late a start order may take effect. It leaves the
	// agent time for some retries, and ends well before the other members of a
	// gang stop waiting.
	startWindow = 1500 * time.Millisecond
	// maxClockDrift is the largest relative error of the rate of a worker's clock.
	maxClockDrift = 0.02
	// expiryMargin is added to the computed expiry of a lease, because timers may
	// fire late.
	expiryMargin = 400 * time.Millisecond
	// reportTimeout is the age of its latest report at which a worker is no longer
	// usable for new starts.
	reportTimeout = 2500 * time.Millisecond
	// stopRetryInterval is the interval at which stop orders are repeated.
	stopRetryInterval = 400 * time.Millisecond
	// startRetryDelay is the delay before a unit whose start did not take effect
	// is started again.
	startRetryDelay = 100 * time.Millisecond
	// failureRestartDelay is the delay before a failed long-running item is
	// started again. It prevents a tight restart loop.
	failureRestartDelay = 500 * time.Millisecond
)

// Engine holds the state of one planner's term: the jobs, the workers and their
// runs.
type Engine struct {
	settings  Settings
	epoch     uint64
	termStart time.Time
	// retentionBase is the reading of the retention clock at termStart.
	retentionBase time.Duration
	// earlierEndedAt is the time from which no earlier planner extends leases, zero if not known.
	earlierEndedAt time.Time
	config         *workflow.Config
	configured     bool // SetConfig has been called
	jobs           map[string]*job
	openJobs       []*job // jobs that have not ended, see addOpenJob for their order
	// guaranteed holds the jobs that were within their teams' guarantees at the
	// latest decision.
	guaranteed    map[*job]bool
	workers       map[string]*worker
	sortedWorkers []*worker       // all workers, by node name
	cacheDisabled bool            // disables the placement cache; set by tests only
	policy        policy          // zero except in tests that compare policies
	dirty         map[string]*job // jobs whose progress differs from the stored record
	estimates     durationEstimates
	endEvents     []EndEvent
	massRestart   bool // see updateMassRestart
	// unexplainedCrashAt is the time of the latest crash of a worker without a recent start.
	unexplainedCrashAt time.Time
	plugins            plugins
	costs              *decisionCosts                 // of the latest decision; nil without a cost model
	demandAt           time.Time                      // of the latest decision that counted the demand of teams
	evacuations        map[string]workflow.Evacuation // by failure domain
	headroomUse        HeadroomUse                    // in the latest decision
	lastHeadroom       map[string]workflow.Resources  // kept for each service when it last mattered
	// begunUnrecorded holds the jobs that have begun since their latest change. They become
	// changes of their own at begunRecordDue.
	begunUnrecorded map[string]*job
	begunRecordDue  time.Time
}

// policy switches off parts of the scheduling policy, or replaces the order of
// jobs. Tests use it to compare policies on recorded loads.
type policy struct {
	// compare replaces the engine's order of candidates, except that guaranteed jobs
	// stay first. Nil keeps the engine's order.
	compare                  func(e *Engine, now time.Time, a, b *candidate) int
	noHeadroom               bool
	preemptForGuaranteesOnly bool
	ignoreLostWork           bool // an urgent job may preempt more work than it has itself
}

// New returns an Engine for a planner's term with the given epoch that begins at
// now.
func New(s Settings, epoch uint64, now time.Time) *Engine {
	s.ResumeCost = cmp.Or(s.ResumeCost, DefaultResumeCost)
	return &Engine{
		settings: s, epoch: epoch, termStart: now, config: &workflow.Config{},
		jobs: make(map[string]*job), workers: make(map[string]*worker), dirty: make(map[string]*job),
		estimates: make(durationEstimates), plugins: newPlugins(s.NewPlugins), evacuations: make(map[string]workflow.Evacuation),
		begunUnrecorded: make(map[string]*job), lastHeadroom: make(map[string]workflow.Resources),
	}
}

// job is an accepted job, open or ended, until its records are deleted.
type job struct {
	id         string
	rec        *workflow.JobRecord
	revision   uint64 // of the stored progress record, 0 if there is none
	seq        uint64 // makes every version of the progress record different
	state      workflow.State
	endedMS    int64     // Unix time, 0 while the job is open
	acceptedAt time.Time // by the term's clock, see noteAcceptances; zero before the first decision
	// endedClock is the reading of the retention clock from which the end has been stored, that of the decision
	// until then; 0 while the job is open.
	endedClock   time.Duration
	endInherited bool // an earlier planner stored the end
	endStored    bool // the stored progress record has a final state
	cancelled    bool
	hasStarted   bool // a start of an item has been decided, also if it never took effect
	begun        bool // a worker has begun an item
	units        []*unit
	stages       [][]stage // by occurrence and step
	unitsLeft    int       // units that are not done
	// unitsByFailures holds how many units, of those that are neither done nor long-running, have failed
	// once, twice and so on.
	unitsByFailures []int
	hasCrashes      bool // some unit has crash counts
	givenUp         bool // an item has crashed too many workers
	costObserved    bool // the cost model knows the job's work
}

// stage is one step of one occurrence of a job.
type stage struct {
	units     []*unit
	unitsLeft int // units that are not done
}

// unit is a set of items that start together: a whole gang, or a single item.
type unit struct {
	job        *job
	occurrence int
	step       int
	first      int // index of the first item within the step
	count      int // number of items
	run        int // number of the latest run; runs count from 1
	failedRuns int
	done       bool
	checkpoint string    // latest checkpoint that a worker reported
	members    []*member // of the latest run; nil once all have ended
	stopping   bool      // the latest run is to be stopped
	stopReason string
	// preemptions is how often a run of this term was stopped for a job of priority 0.
	preemptions int
	notBefore   time.Time // earliest start of the next run
	// rackWaitSince is when the next run could have started on several racks and waited for one;
	// rackGivenUp reports that it no longer waits.
	rackWaitSince time.Time
	rackGivenUp   bool
	idleSince     time.Time          // end of the latest run of this term, zero if there was none
	setbacks      map[string]int     // failed runs and starts without effect in this term, by worker incarnation
	crashes       map[int]crashCount // by item index, nil if there were none
	// lostInherited reports that a crash has ended a run of another planner, and no run has
	// outlived crashProbation since.
	lostInherited bool
	// crashReportedAt is the latest report of the worker before its latest crash or lapse under an
	// item of u, zero if there was none in this term.
	crashReportedAt time.Time
}

// member is one item of a run of a unit, on the worker that it is assigned to.
type member struct {
	unit   *unit
	run    int
	index  int // of the item within its step
	worker *worker
	// failureDomain is that of the worker when the run was decided.
	failureDomain string
	incarnation   string       // key of the worker's incarnation, see workflow.WorkerKey
	end           workflow.End // empty until the member has ended

	inherited        bool      // recorded by an earlier planner
	startSent        bool      // a start order has been handed out and may have been sent
	startDeadlineMS  int64     // on the worker's clock; the start has no effect later
	startConfirmedMS int64     // worker's clock when the start was confirmed, 0 before that
	stopConfirmedMS  int64     // worker's clock when a stop was confirmed, 0 before that
	endPending       bool      // the run goes on no longer, and the latest report was truncated before its end
	listed           bool      // the worker has reported the run
	moved            bool      // the worker restarted under its id after the order, see startIncarnation
	crashed          bool      // that restart was a crash
	crashedAtStart   bool      // the run may still have been starting at that restart
	crashReportedAt  time.Time // latest report of the worker before that restart
	startedAt        time.Time // first report of the run; before that, the decision or the order, or the term's start if inherited
	firstPercent     float64   // progress in the first report of the run
	resumed          bool      // the start order carried a checkpoint
	percent          float64   // progress in the latest report, 0 to 100
	percentChangedAt time.Time
	lastStopSent     time.Time
}

// spec returns the step that u belongs to, as the job describes it.
func (u *unit) spec() *workflow.Step { return &u.job.rec.Steps[u.step] }

// isActive reports whether u has a run of which some members have not ended.
func (u *unit) isActive() bool { return len(u.members) > 0 }

// isEnding reports whether what u holds is about to become free: it is done or being stopped, or
// all its members have ended and the worker's truncated reports do not list their ends yet.
func (u *unit) isEnding() bool {
	if u.stopping || u.done {
		return true
	}
	return u.isActive() && !slices.ContainsFunc(u.members, func(m *member) bool { return m.end == "" && !m.endPending })
}

// itemRef names the item of u's stage with the given index.
func (u *unit) itemRef(index int) workflow.ItemRef {
	return workflow.ItemRef{Job: u.job.id, Occurrence: u.occurrence, Step: u.step, Index: index}
}

// SetConfig replaces the configuration.
func (e *Engine) SetConfig(c *workflow.Config) { e.config, e.configured = c, true }

// AddJob adds an accepted job with its progress record p, nil if it has none, and
// the revision of that record. It does nothing if the job is known already. A settled job
// of an earlier acceptance under the same id is dropped: its records are no longer in the
// store.
func (e *Engine) AddJob(id string, rec *workflow.JobRecord, p *workflow.Progress, revision uint64) {
	if old := e.jobs[id]; old != nil {
		if old.rec.Nonce == rec.Nonce || !e.isSettled(old) {
			return
		}
		e.RemoveJob(id)
	}
	j := &job{id: id, rec: rec, state: workflow.StatePending, revision: revision}
	e.jobs[id] = j
	j.buildUnits()
	e.observeArrival(j)
	if p != nil {
		e.restoreProgress(j, p)
	}
	if !j.state.Terminal() {
		e.addOpenJob(j)
	}
}

// addOpenJob adds a job to the open jobs, in the order of their acceptance. Which jobs a
// guarantee covers depends on this order, so it must be the same in every term, also
// when the records are listed by id.
func (e *Engine) addOpenJob(j *job) {
	at, _ := slices.BinarySearchFunc(e.openJobs, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.rec.AcceptedMS, b.rec.AcceptedMS), cmp.Compare(a.id, b.id))
	})
	e.openJobs = slices.Insert(e.openJobs, at, j)
}

// buildUnits creates the units and stages of all occurrences of a job.
func (j *job) buildUnits() {
	for occurrenceIndex := range j.rec.OccurrenceCount() {
		stages := make([]stage, len(j.rec.Steps))
		for s := range j.rec.Steps {
			step := &j.rec.Steps[s]
			size := 1
			if step.Gang {
				size = step.Count
			}
			for first := 0; first < step.Count; first += size {
				u := &unit{job: j, occurrence: occurrenceIndex, step: s, first: first, count: size}
				j.units = append(j.units, u)
				stages[s].units = append(stages[s].units, u)
			}
			stages[s].unitsLeft = len(stages[s].units)
		}
		j.stages = append(j.stages, stages)
	}
	j.unitsLeft = len(j.units)
}

// CancelJob cancels an open job and stops its runs. It ignores unknown and ended
// jobs.
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

// RemoveJob drops a job whose records were deleted from the store.
func (e *Engine) RemoveJob(id string) {
	delete(e.jobs, id)
	delete(e.dirty, id)
	delete(e.begunUnrecorded, id)
}

// stop requests that the latest run of u be stopped. The first reason is kept.
func (u *unit) stop(reason string) {
	if !u.stopping {
		u.stopping, u.stopReason = true, reason
	}
}

// markDirty adds j to the jobs that the next call of TakeChanges returns.
func (e *Engine) markDirty(j *job) { e.dirty[j.id] = j }

// endJob moves a job to the final state s and removes it from the open jobs.
func (e *Engine) endJob(j *job, s workflow.State, now time.Time) {
	j.state, j.endedMS, j.endedClock = s, now.UnixMilli(), e.retentionClock(now)
	e.recordJobEnd(j, now)
	e.markDirty(j)
	for i, o := range e.openJobs {
		if o == j {
			e.openJobs = append(e.openJobs[:i:i], e.openJobs[i+1:]...)
			break
		}
	}
}

// endFinishedJobs ends the open jobs that are complete, cancelled or failed. A job gets there without
// an end of one of its runs if a configuration changes the number of its attempts.
func (e *Engine) endFinishedJobs(now time.Time) {
	for _, j := range slices.Clone(e.openJobs) {
		e.stopIfFailed(j)
		e.endJobIfFinished(j, now)
	}
}

// endJobIfFinished ends a job that is complete, or that is cancelled or has failed and has no active
// unit any more.
func (e *Engine) endJobIfFinished(j *job, now time.Time) {
	if j.state.Terminal() {
		return
	}
	if !j.cancelled && j.unitsLeft == 0 {
		e.endJob(j, workflow.StateComplete, now)
		return
	}
	if !j.cancelled && !e.hasFailed(j) || j.isActive() {
		return
	}
	if j.cancelled {
		e.endJob(j, workflow.StateCanceled, now)
	} else {
		e.endJob(j, workflow.StateFailed, now)
	}
}

// hasFailed reports whether j has to end as failed. Until the first configuration the number of attempts
// in force is not known, and a job must not fail by a smaller one that held when it was accepted.
func (e *Engine) hasFailed(j *job) bool {
	return j.givenUp || e.configured && e.attemptsExhausted(j)
}

// attemptsExhausted reports whether a unit of the job that is not done has used all its attempts, or one has
// crashed too many workers. Long-running units have no limit of attempts or crashes.
func (e *Engine) attemptsExhausted(j *job) bool {
	failedRuns := j.maxFailedRuns()
	return j.givenUp || failedRuns > 0 && failedRuns >= e.config.MaxAttemptsOf(j.rec)
}

// endMember records how a member ended. If one member of a gang ends otherwise
// than done, the whole gang is stopped. The run of the unit is finished once all
// its members have ended.
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

// markUnitDone marks a unit as done and withdraws a request to stop it.
func (e *Engine) markUnitDone(u *unit) {
	u.done = true
	j := u.job
	j.unitsLeft--
	j.stages[u.occurrence][u.step].unitsLeft--
	u.stopping = false
	u.countFailures(-1)
}

// countFailures adds n to the number of units in j.unitsByFailures that have failed as often as u.
func (u *unit) countFailures(n int) {
	if u.failedRuns == 0 || u.spec().LongRunning {
		return
	}
	byFailures := &u.job.unitsByFailures
	for len(*byFailures) < u.failedRuns {
		*byFailures = append(*byFailures, 0)
	}
	(*byFailures)[u.failedRuns-1] += n
}

// maxFailedRuns returns the highest number of failed runs of a unit that is neither done nor long-running.
func (j *job) maxFailedRuns() int {
	for n := len(j.unitsByFailures); n > 0; n-- {
		if j.unitsByFailures[n-1] > 0 {
			return n
		}
	}
	return 0
}

// finishRun closes a run of which all members have ended: it counts a failure,
// sets the earliest time of the next run, and stops the other units of a job
// that has used all its attempts.
func (e *Engine) finishRun(u *unit, now time.Time) {
	anyFailed, noneStarted := false, true
	for _, m := range u.members {
		anyFailed = anyFailed || m.end == workflow.EndFailed
		noneStarted = noneStarted && m.end == workflow.EndNever
	}
	u.members, u.stopping, u.stopReason, u.idleSince = nil, false, "", now
	if !noneStarted {
		u.rackWaitSince, u.rackGivenUp = time.Time{}, false
	}
	if anyFailed && !u.done {
		u.countFailures(-1)
		u.failedRuns++
		u.countFailures(1)
	}
	switch {
	case noneStarted:
		u.delayUntil(now.Add(startRetryDelay))
	case anyFailed && u.spec().LongRunning:
		u.delayUntil(now.Add(failureRestartDelay))
	}
	if !u.done {
		e.stopIfFailed(u.job)
	}
	e.endJobIfFinished(u.job, now)
}

// stopIfFailed stops the active units of a job that has failed.
func (e *Engine) stopIfFailed(j *job) {
	if !e.hasFailed(j) {
		return
	}
	for _, u := range j.units {
		if u.isActive() && !u.done {
			u.stop("job failed")
		}
	}
}
