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
	// ZombieLimit is the time for which a planner that lost touch with the store
	// may go on extending leases.
	ZombieLimit time.Duration
	// StopTimeout is the longest time that a worker takes to stop a run.
	StopTimeout time.Duration
	// Reclaim is the time in which a guaranteed job must have started.
	Reclaim time.Duration
}

const (
	// startWindow is the time in which a start may take effect. It covers some
	// retries of the agent, and ends well before a gang's other members give up.
	startWindow = 1500 * time.Millisecond
	// clockDrift is the largest error of a worker's clock.
	clockDrift = 0.02
	// expiryMargin is added to the computed expiry of a lease for timers that
	// fire late.
	expiryMargin = 400 * time.Millisecond
	// silentAfter excludes a worker from new starts when its reports stay away.
	silentAfter = 2500 * time.Millisecond
	// repeatStop is the pause between two attempts to stop a run.
	repeatStop = 400 * time.Millisecond
	// retryPause keeps a unit whose start did not take effect from starting again
	// at once.
	retryPause = 100 * time.Millisecond
	// restartPause keeps a long-running item that fails from restarting all the
	// time.
	restartPause = 500 * time.Millisecond
)

// Engine holds the jobs, the workers and what runs.
type Engine struct {
	s      Settings
	epoch  uint64
	began  time.Time // of this planner's term
	config *workflow.Config
	jobs   map[string]*job
	open   []*job // not ended, in order of acceptance
	// guaranteed holds the jobs that are within their teams' guarantees, as of the
	// latest decision.
	guaranteed map[*job]bool
	workers    map[string]*worker
	ordered    []*worker // in order of node names
	exhaustive bool      // search a place for every unit; set by tests only
	policy     policy    // other than zero in comparisons only
	dirty      map[string]*job
	estim      estimates
	notes      []Note
}

// policy leaves out parts of the decisions, or replaces the order of jobs within
// a class, to compare them on recorded loads.
type policy struct {
	order                 func(e *Engine, now time.Time, a, b *candidate) int
	noHeadroom            bool
	stopForGuaranteesOnly bool
	anyLoss               bool // an urgent job may throw more work away than it has
}

// New returns an Engine for a term with the given epoch that begins now.
func New(s Settings, epoch uint64, now time.Time) *Engine {
	return &Engine{
		s: s, epoch: epoch, began: now, config: &workflow.Config{},
		jobs: make(map[string]*job), workers: make(map[string]*worker), dirty: make(map[string]*job),
		estim: make(estimates),
	}
}

// job is a job that has not been removed.
type job struct {
	id        string
	rec       *workflow.JobRecord
	revision  uint64 // of the progress record
	seq       uint64
	state     workflow.State
	endedMS   int64
	cancelled bool
	begun     bool // some item was started
	units     []*unit
	stages    [][]stage // by occurrence and step
	left      int       // units that are not done
	worst     int       // most failed runs of a unit that is not done
}

// stage is a step of one occurrence.
type stage struct {
	units []*unit
	left  int // units that are not done
}

// unit is what starts together: a gang, or a single item.
type unit struct {
	job        *job
	occurrence int
	step       int
	first      int
	count      int
	run        int
	failed     int
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
	unit   *unit
	run    int
	index  int
	worker *worker
	key    string // of the worker's incarnation
	end    workflow.End

	inherited   bool  // recorded by an earlier planner
	ordered     bool  // an order was, or may have been, sent
	untilMS     int64 // limit of the order on the worker's clock
	confirmedMS int64 // worker's clock when the start was confirmed
	stoppedMS   int64 // worker's clock when a stop was confirmed
	listed      bool
	since       time.Time // of the order, or of the first listing
	percent0    float64   // at the first listing
	percent     float64
	percentAt   time.Time // of the latest change of percent
	lastStop    time.Time
}

func (u *unit) spec() *workflow.Step { return &u.job.rec.Steps[u.step] }

func (u *unit) active() bool { return len(u.members) > 0 }

func (u *unit) ref(index int) workflow.Ref {
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
	j.build()
	if p != nil {
		e.restore(j, p)
	}
	if !j.state.Terminal() {
		e.open = append(e.open, j)
	}
}

// build makes the units of a job.
func (j *job) build() {
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
			stages[s].left = len(stages[s].units)
		}
		j.stages = append(j.stages, stages)
	}
	j.left = len(j.units)
}

// Cancel marks a job as cancelled.
func (e *Engine) Cancel(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.cancelled || j.state.Terminal() {
		return
	}
	j.cancelled = true
	for _, u := range j.units {
		if u.active() {
			u.stop("cancelled")
		}
	}
	e.closeIfIdle(j, now)
}

// Remove forgets a job whose records were deleted.
func (e *Engine) Remove(id string) {
	delete(e.jobs, id)
	delete(e.dirty, id)
}

func (u *unit) stop(reason string) {
	if !u.stopping {
		u.stopping, u.stopReason = true, reason
	}
}

func (e *Engine) mark(j *job) { e.dirty[j.id] = j }

// finish gives a job its final state.
func (e *Engine) finish(j *job, s workflow.State, now time.Time) {
	j.state, j.endedMS = s, now.UnixMilli()
	e.noteJob(j, now)
	e.mark(j)
	for i, o := range e.open {
		if o == j {
			e.open = append(e.open[:i:i], e.open[i+1:]...)
			break
		}
	}
}

// closeIfIdle ends a job that has nothing left to do and nothing running.
func (e *Engine) closeIfIdle(j *job, now time.Time) {
	if j.state.Terminal() {
		return
	}
	if !j.cancelled && j.left == 0 {
		e.finish(j, workflow.StateComplete, now)
		return
	}
	if j.active() {
		return
	}
	switch {
	case j.cancelled:
		e.finish(j, workflow.StateCanceled, now)
	case e.exhausted(j):
		e.finish(j, workflow.StateFailed, now)
	}
}

// exhausted reports whether a unit of the job has used all its attempts.
func (e *Engine) exhausted(j *job) bool {
	return j.worst >= e.config.AttemptsOf(j.rec)
}

// ended records the end of a member. The unit is settled when all members have
// ended.
func (e *Engine) ended(m *member, how workflow.End, checkpoint string, now time.Time) {
	if m.end != "" {
		return
	}
	m.end = how
	m.worker.members = slices.DeleteFunc(m.worker.members, func(o *member) bool { return o == m })
	u := m.unit
	e.noteEnd(m, how, now)
	e.mark(u.job)
	if checkpoint != "" {
		u.checkpoint = checkpoint
	}
	e.learn(m, how, now)
	switch {
	case how == workflow.EndDone && !u.done && !u.spec().LongRunning:
		e.unitDone(u)
	case how != workflow.EndDone && !u.done && u.count > 1:
		u.stop("gang broken")
	}
	for _, other := range u.members {
		if other.end == "" {
			e.closeIfIdle(u.job, now)
			return
		}
	}
	e.settle(u, now)
}

func (e *Engine) unitDone(u *unit) {
	u.done = true
	j := u.job
	j.left--
	j.stages[u.occurrence][u.step].left--
	u.stopping = false
}

// settle ends the run of a unit.
func (e *Engine) settle(u *unit, now time.Time) {
	failed, never := false, true
	for _, m := range u.members {
		failed = failed || m.end == workflow.EndFailed
		never = never && m.end == workflow.EndNever
	}
	u.members, u.stopping, u.stopReason = nil, false, ""
	if failed && !u.done {
		u.failed++
		if !u.spec().LongRunning {
			u.job.worst = max(u.job.worst, u.failed)
		}
	}
	switch {
	case never:
		u.notBefore = now.Add(retryPause)
	case failed && u.spec().LongRunning:
		u.notBefore = now.Add(restartPause)
	}
	if !u.done && e.exhausted(u.job) {
		for _, o := range u.job.units {
			if o.active() {
				o.stop("job failed")
			}
		}
	}
	e.closeIfIdle(u.job, now)
}
