package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

const (
	// drainMargin is how long before its draining worker leaves a run must be
	// expected to end. Otherwise it is stopped at once.
	drainMargin = 300 * time.Millisecond
	// minHangTimeout is the least time without progress after which a run counts
	// as hung. Progress is reported in whole percent; a run of 30 s gains one
	// percent in 0.3 s.
	minHangTimeout = 3 * time.Second
	// maxReservations limits the waiting units of class other for which resources
	// of a service are reserved. Further units behind them may only use what is left (backfill).
	maxReservations = 2
	// maxLatenessFactor times a job's objective is the time after which its
	// completion is of no more use to the caller.
	maxLatenessFactor = framework.MaxLatenessFactor
	// preemptionOverhead is the time from the decision to stop a run until another
	// one runs in its place, without the worker's own stop timeout.
	preemptionOverhead = 200 * time.Millisecond
	// reclaimDivisor divides Settings.ReclaimTimeout; the quotient is how long a
	// guaranteed job waits for free resources. The rest is left for preemption.
	reclaimDivisor = 2
	// workerSettleTime is the time from the start of a term within which all live
	// workers have announced themselves, even to agents that restarted with the
	// planner.
	workerSettleTime = 2 * time.Second
)

// Placement is a decision to run a unit on certain workers.
type Placement struct {
	Unit    workflow.ItemRef // of the first item
	Count   int              // number of items
	Run     int              // number of the run, from 1
	Workers []string         // node name for each item
	Waited  time.Duration    // since the job was accepted
	Class   string           // one of classNames
	Team    string
	// Cost is the cost of a further delay of the job; zero without a cost model.
	Cost framework.Cost
}

// StopDecision is a decision to stop a run, with its reason.
type StopDecision struct {
	Unit   workflow.ItemRef // of the unit's first item, or of the item that gave the reason
	Run    int
	Reason string
	// Preempted reports that the run is stopped for another job. Class and Team are those
	// of the job that it belongs to. Preemptions counts the unit's in this term.
	Preempted   bool
	Class, Team string
	Preemptions int
	// Loss is the value that the stop loses; 0 without a cost model.
	Loss float64
}

// Decide starts the units that should run now and stops the runs that should
// not. The caller must store the changes (TakeChanges) before it sends the start
// orders (StartOrders).
func (e *Engine) Decide(now time.Time) ([]Placement, []StopDecision) {
	var stops []StopDecision
	e.noteAcceptances(now)
	e.endFinishedJobs(now)
	e.updateSlowness(now)
	stops = e.stopRunsOnDrainingWorkers(now, stops)
	stops = e.stopHungRuns(now, stops)
	var starts []Placement
	e.updateCosts(now)
	r := e.freeResources(now)
	reserved := make(map[string]int) // units of class other that hold a reservation, by service
	for _, c := range e.candidates(now) {
		service := e.config.ServiceOf(c.job.rec)
		for _, u := range c.units {
			if p := r.fits[e.shapeNow(u, r)]; p != nil && e.mustLeaveHeadroom(u, c, p, r, now) {
				break // fits like an equal unit before it, but has to leave the headroom
			}
			placement := e.placeCached(u, r)
			if fast, some := e.avoidSlow(u, c, r, now); some && placement != nil {
				placement = e.place(u, fast)
			}
			if placement != nil && e.mustLeaveHeadroom(u, c, placement, r, now) {
				break // the next units of the job are as large, so they have to wait too
			}
			if placement != nil {
				starts = append(starts, e.startRun(u, placement, c, now))
				r.allocate(u, placement, e.isSuspect(u))
				continue
			}
			e.noteRackWait(u, r)
			if c.class == classOther && reserved[service] >= maxReservations {
				break // no reservation is left, and equal units do not fit either
			}
			placement, moreStops := e.reserveOrPreempt(u, c, r, now)
			if placement == nil {
				break
			}
			stops = append(stops, moreStops...)
			r.allocate(u, placement, e.isSuspect(u))
			if c.class == classOther {
				reserved[service]++
			}
		}
	}
	e.recordHeadroomUse(r, starts)
	e.recordBegun(now)
	return starts, stops
}

// reserveOrPreempt returns the workers to keep free for a unit that cannot start
// now, so that units after it do not take their resources; nil for none. It stops
// other runs if the unit may preempt them and would otherwise start too late.
func (e *Engine) reserveOrPreempt(u *unit, c *candidate, r *freeResources, now time.Time) ([]*worker, []StopDecision) {
	fast, _ := e.avoidSlow(u, c, r, now)
	placement, delay := e.soonestPlacement(u, fast, now)
	if c.class == classOther || placement != nil && now.Add(delay).Before(e.latestStart(c)) {
		if u.count == 1 && u.spec().Accelerators <= 1 && !u.serves() {
			return nil, nil // small enough to start as soon as any run ends
		}
		return placement, nil
	}
	if e.workersSettling(now) {
		return placement, nil
	}
	if afterPreemption, stops := e.preempt(u, c, r, now); afterPreemption != nil {
		return afterPreemption, stops
	}
	if c.class == classGuaranteed {
		u.rackGivenUp = true // it must start in time, and no rack can be cleared for it
	}
	return placement, nil
}

// workersSettling reports whether some known worker has yet to announce itself
// after the start of the term. Its resources may make preemption unnecessary.
func (e *Engine) workersSettling(now time.Time) bool {
	if now.Sub(e.termStart) > workerSettleTime {
		return false
	}
	for _, w := range e.workers {
		if w.incarnation == "" || w.announcement == nil {
			return true
		}
	}
	return false
}

// latestStart returns the time until which a candidate can wait for running units
// to end by themselves; after that it has to preempt. It is the zero time for a
// candidate that is late already.
func (e *Engine) latestStart(c *candidate) time.Time {
	latest := c.startBy.Add(-e.settings.StopTimeout - preemptionOverhead)
	if c.lateness > 0 {
		latest = time.Time{}
	}
	if c.class == classGuaranteed {
		if reclaim := e.reclaimAt(c.job); reclaim.Before(latest) {
			latest = reclaim
		}
	}
	return latest
}

// reclaimAt returns the time from which a job within its team's guarantee no longer waits for running
// units to end by themselves.
func (e *Engine) reclaimAt(j *job) time.Time {
	return j.acceptance().Add(e.settings.ReclaimTimeout / reclaimDivisor)
}

// Classes of candidates, in the order in which they are served.
const (
	classGuaranteed = workflow.ClassGuaranteed
	classUrgent     = workflow.ClassUrgent
	classOther      = workflow.ClassOther
)

// classNames holds the name of each class in logs, metrics and the dump.
var classNames = workflow.ClassNames

// candidate is an open job with units that are ready to start.
type candidate struct {
	job   *job
	units []*unit
	class int
	// startBy is the latest start with which the job still meets its objective or,
	// once that is missed, with which its completion is still of use.
	startBy  time.Time
	lateness int            // 0: can meet its objective, 1: late but of use, 2: too late to be of use
	cost     framework.Cost // zero without a cost model
}

// candidates returns the jobs with units that are ready, in the order in which
// they are served. It updates e.guaranteed first.
func (e *Engine) candidates(now time.Time) []*candidate {
	e.guaranteed = e.guaranteedJobs()
	var out []*candidate
	for _, j := range e.openJobs {
		if j.cancelled || e.attemptsExhausted(j) {
			continue
		}
		if units := e.readyUnits(j, now); len(units) > 0 {
			c := &candidate{job: j, units: units, class: e.classOf(j)}
			e.computeUrgency(c, now)
			e.setCost(c, now)
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *candidate) int {
		if compare := e.policy.compare; compare != nil {
			return cmp.Or(cmp.Compare(min(a.class, classUrgent), min(b.class, classUrgent)), compare(e, now, a, b))
		}
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			e.compareOverdue(a, b),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(e.config.PriorityOf(a.job.rec), e.config.PriorityOf(b.job.rec)),
			e.compareByCost(a, b),
			a.startBy.Compare(b.startBy),
		)
	})
	return out
}

// readyUnits returns the units of j that may start now: their occurrence is due,
// the steps before them are done, and no run or delay holds them back.
func (e *Engine) readyUnits(j *job, now time.Time) []*unit {
	var out []*unit
	for occurrenceIndex, stages := range j.stages {
		if now.UnixMilli() < j.dueMS(occurrenceIndex) {
			break
		}
		for s := range stages {
			if stages[s].unitsLeft == 0 || !j.dependenciesDone(occurrenceIndex, s) {
				continue
			}
			for _, u := range stages[s].units {
				if !u.done && !u.isActive() && !now.Before(u.notBefore) && !u.awaitsLapses() {
					out = append(out, u)
				}
			}
		}
	}
	return e.limitSuspects(j, out)
}

// noteAcceptances notes when open jobs that are new to this term were accepted, by its own clock. A
// job was accepted before the term learned of it, so a time of day of the entry that is ahead counts as
// now; it would otherwise delay the reclaim of a guarantee, and the wait for headroom, without a bound.
func (e *Engine) noteAcceptances(now time.Time) {
	for _, j := range e.openJobs {
		if j.acceptedAt.IsZero() {
			j.acceptedAt = now.Add(min(0, time.UnixMilli(j.rec.AcceptedMS).Sub(now)))
		}
	}
}

// acceptance returns when j was accepted, by the time of day of the entry until a decision has seen j.
func (j *job) acceptance() time.Time {
	if j.acceptedAt.IsZero() {
		return time.UnixMilli(j.rec.AcceptedMS)
	}
	return j.acceptedAt
}

// begin returns the time from which an occurrence of j counts as waiting: when j was accepted or, if later,
// when the occurrence is due.
func (j *job) begin(occurrence int) time.Time {
	if due := time.UnixMilli(j.dueMS(occurrence)); due.After(j.acceptance()) {
		return due
	}
	return j.acceptance()
}

// dueMS returns the Unix time in milliseconds at which an occurrence is due, 0
// for a job without a schedule.
func (j *job) dueMS(occurrence int) int64 {
	if j.rec.Occurrences == 0 {
		return 0
	}
	return j.rec.FirstAtMS + int64(occurrence)*j.rec.IntervalMS
}

// dependenciesDone reports whether all steps that the given step comes after are
// done.
func (j *job) dependenciesDone(occurrence, step int) bool {
	for _, dep := range j.rec.Steps[step].After {
		if j.stages[occurrence][dep].unitsLeft > 0 {
			return false
		}
	}
	return true
}

// criticalPath returns the expected duration of the longest chain of dependent
// steps in an occurrence. Steps that are done count only if includeDone is set.
func (e *Engine) criticalPath(j *job, occurrence int, includeDone bool) time.Duration {
	return workflow.CriticalPath(j.rec.Steps, func(s int) time.Duration {
		if !includeDone && j.stages[occurrence][s].unitsLeft == 0 {
			return 0
		}
		return e.estimates.stepDuration(j.rec.Queue, &j.rec.Steps[s])
	})
}

// objective returns the completion-time objective of an occurrence of j, counted
// from its acceptance or due time, whichever is later: its critical path times the
// slack factor, plus TargetMS.
func (e *Engine) objective(j *job, occurrence int) time.Duration {
	return workflow.Objective(j.rec.SlackFactor, e.criticalPath(j, occurrence, true), j.rec.TargetMS)
}

// computeUrgency sets startBy and lateness of a candidate, by the occurrence of
// its first unit.
func (e *Engine) computeUrgency(c *candidate, now time.Time) {
	j := c.job
	occurrenceIndex := c.units[0].occurrence
	begin := j.begin(occurrenceIndex)
	objective := e.objective(j, occurrenceIndex)
	remaining := e.criticalPath(j, occurrenceIndex, false)
	c.startBy = begin.Add(objective - remaining)
	if now.After(c.startBy) {
		c.lateness = 1
		c.startBy = begin.Add(maxLatenessFactor*objective - remaining)
	}
	if now.After(c.startBy) {
		c.lateness = 2
	}
}

// guaranteedJobs returns the open jobs of priority 0 that their teams' guarantees
// cover. A team's guarantee goes to its jobs in the order of their acceptance; each
// takes the accelerators of its largest step.
func (e *Engine) guaranteedJobs() map[*job]bool {
	used := make(map[string]int64)
	covered := make(map[*job]bool)
	for _, j := range e.openJobs {
		if e.config.PriorityOf(j.rec) != 0 || j.cancelled {
			continue
		}
		need := j.rec.GuaranteeNeed()
		if used[j.rec.Team]+need <= e.config.Teams[j.rec.Team].Guarantee {
			used[j.rec.Team] += need
			covered[j] = true
		}
	}
	return covered
}

// startRun assigns the items of a unit's next run to the workers of the placement.
// The start orders follow once the run is stored.
func (e *Engine) startRun(u *unit, placement []*worker, c *candidate, now time.Time) Placement {
	u.run++
	u.job.hasStarted = true
	p := Placement{
		Unit: u.itemRef(u.first), Count: u.count, Run: u.run, Class: classNames[c.class],
		Waited: now.Sub(u.job.acceptance()), Team: u.job.rec.Team, Cost: c.cost,
	}
	u.members = nil
	for i, w := range placement {
		m := &member{unit: u, run: u.run, index: u.first + i, worker: w, failureDomain: w.failureDomain(), incarnation: w.incarnation, startedAt: now, percentChangedAt: now}
		u.members = append(u.members, m)
		w.members = append(w.members, m)
		p.Workers = append(p.Workers, w.node)
	}
	e.markDirty(u.job)
	return p
}

// stopRunsOnDrainingWorkers stops runs that are not expected to end before their
// draining worker leaves, and all long-running ones on it.
func (e *Engine) stopRunsOnDrainingWorkers(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.sortedWorkers {
		if w.announcement == nil || !w.announcement.Draining {
			continue
		}
		timeLeft := time.Duration(w.announcement.RemainingMS)*time.Millisecond - drainMargin
		for _, m := range w.members {
			u := m.unit
			if u.isEnding() || !m.listed {
				continue
			}
			if u.spec().LongRunning || e.remaining(u, now) > timeLeft {
				u.stop("worker drains")
				stops = append(stops, StopDecision{Unit: u.itemRef(m.index), Run: m.run, Reason: u.stopReason})
			}
		}
	}
	return stops
}

// stopHungRuns stops runs that make no progress. The time without progress is
// measured up to the latest report, so that the silence of an agent does not make a
// run count as hung.
func (e *Engine) stopHungRuns(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.sortedWorkers {
		if now.Sub(w.reportedAt) > reportTimeout {
			continue
		}
		for _, m := range w.members {
			u := m.unit
			if u.stopping || u.done || !m.listed || m.endPending || u.spec().LongRunning || m.awaitsGang() || w.reportedAt.Sub(m.percentChangedAt) < e.hangTimeoutOf(m) {
				continue
			}
			u.stop("no progress")
			// A hang counts as failures of two jobs, which excludes the worker at once.
			w.health.recordFailure(u.job.id, now)
			w.health.recordFailure(u.job.id+" hangs", now)
			stops = append(stops, StopDecision{Unit: u.itemRef(m.index), Run: m.run, Reason: u.stopReason})
		}
	}
	return stops
}

// awaitsGang reports whether m has done its part of a gang and another member has not.
// Members of a gang end together, so the fast ones stand at 100 percent until the
// slowest is there.
func (m *member) awaitsGang() bool {
	return m.percent >= 100 && slices.ContainsFunc(m.unit.members, func(o *member) bool { return o.end == "" && o.percent < 100 })
}

// hangTimeout returns the time without progress after which a run of u counts as
// hung. A slow but sound run does not reach it: one that takes fifty times its
// estimate still gains one percent in half the estimate.
func (e *Engine) hangTimeout(u *unit) time.Duration {
	return max(minHangTimeout, e.estimates.duration(u)/2)
}
