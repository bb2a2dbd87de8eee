package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

const (
	// drainMargin is the time by which a run must be expected to end before its
	// draining worker leaves; otherwise it is stopped at once.
	drainMargin = 300 * time.Millisecond
	// minHangTimeout is the time without progress after which a run is taken to hang.
	// Progress is listed in whole percent; a run of 30 s advances one in 0.3 s.
	minHangTimeout = 3 * time.Second
	// maxReservations is the number of waiting units for which resources are
	// kept free against units that come after them.
	maxReservations = 2
	// maxLatenessFactor times a job's objective is the time after which its completion
	// no longer helps the caller.
	maxLatenessFactor = 3
	// preemptionOverhead is the time from the decision to stop a run until another runs in
	// its place, beside the worker's own time to stop it.
	preemptionOverhead = 200 * time.Millisecond
	// reclaimDivisor divides the time in which a guaranteed job must have started
	// into waiting, and stopping others after the wait was in vain.
	reclaimDivisor = 2
	// workerSettleTime is the time in which the workers that are there have announced
	// themselves to agents that have restarted.
	workerSettleTime = 2 * time.Second
)

// Placement is a decision to run a unit, with the reason in terms of its queue.
type Placement struct {
	Unit    workflow.Ref
	Count   int
	Run     int
	Workers []string
	Waited  time.Duration // since the job was accepted
	Class   string
}

// StopDecision is a decision to stop a run, with its reason.
type StopDecision struct {
	Unit   workflow.Ref
	Run    int
	Reason string
}

// Decide starts what should run now and stops what should not. The changes are
// to be stored before Orders are sent.
func (e *Engine) Decide(now time.Time) ([]Placement, []StopDecision) {
	var stops []StopDecision
	stops = e.stopRunsOnDrainingWorkers(now, stops)
	stops = e.stopHungRuns(now, stops)
	var starts []Placement
	r := e.freeResources(now)
	reserved := 0 // units without claim to preemption that wait
	for _, c := range e.candidates(now) {
		for _, u := range c.units {
			if r.fits[e.shape(u)] && e.mustLeaveHeadroom(u, c, r, now) {
				break // as for an equal unit before
			}
			placement := e.placeCached(u, r)
			if placement != nil && e.mustLeaveHeadroom(u, c, r, now) {
				break // the next units of the job are as large
			}
			if placement != nil {
				starts = append(starts, e.startRun(u, placement, c, now))
				r.allocate(u, placement)
				continue
			}
			if c.class == classOther && reserved >= maxReservations {
				break // equal units of the job do not fit either
			}
			placement, moreStops := e.reserveOrPreempt(u, c, r, now)
			if placement == nil {
				break
			}
			stops = append(stops, moreStops...)
			r.allocate(u, placement)
			if c.class == classOther {
				reserved++
			}
		}
	}
	return starts, stops
}

// reserveOrPreempt returns the workers to keep free for a unit that cannot start now. It
// preempts others where the unit may do so and would otherwise start too late.
func (e *Engine) reserveOrPreempt(u *unit, c *candidate, r *freeResources, now time.Time) ([]*worker, []StopDecision) {
	placement, delay := e.soonestPlacement(u, r, now)
	if c.class == classOther || placement != nil && now.Add(delay).Before(e.latestStart(c)) {
		if u.count == 1 && u.spec().Accelerators <= 1 {
			return nil, nil // starts as soon as anything ends
		}
		return placement, nil
	}
	if e.workersSettling(now) {
		return placement, nil
	}
	if afterPreemption, stops := e.preempt(u, c, r, now); afterPreemption != nil {
		return afterPreemption, stops
	}
	return placement, nil
}

// workersSettling reports whether workers may still turn up after a change of planner,
// which make it needless to stop others.
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

// latestStart is the time up to which a candidate can wait for room to become
// free by itself.
func (e *Engine) latestStart(c *candidate) time.Time {
	latest := c.startBy.Add(-e.settings.StopTimeout - preemptionOverhead)
	if c.lateness > 0 {
		latest = time.Time{}
	}
	if c.class == classGuaranteed {
		reclaim := time.UnixMilli(c.job.rec.AcceptedMS).Add(e.settings.Reclaim / reclaimDivisor)
		if reclaim.Before(latest) {
			latest = reclaim
		}
	}
	return latest
}

// Classes of candidates, in order.
const (
	classGuaranteed = iota // within its team's guarantee
	classUrgent            // priority 0 beyond the guarantee
	classOther
)

var classNames = []string{"guaranteed", "first", "other"}

// candidate is a job with units that could start.
type candidate struct {
	job      *job
	units    []*unit
	class    int
	startBy  time.Time // latest start in time; later for those past their objective
	lateness int       // 0: can meet its objective, 1: late, 2: past use
}

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
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *candidate) int {
		if compare := e.policy.compare; compare != nil {
			return cmp.Or(cmp.Compare(min(a.class, classUrgent), min(b.class, classUrgent)), compare(e, now, a, b))
		}
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(e.config.PriorityOf(a.job.rec), e.config.PriorityOf(b.job.rec)),
			a.startBy.Compare(b.startBy),
		)
	})
	return out
}

// readyUnits returns the units whose turn has come.
func (e *Engine) readyUnits(j *job, now time.Time) []*unit {
	var out []*unit
	for k, stages := range j.stages {
		if now.UnixMilli() < j.dueMS(k) {
			break
		}
		for s := range stages {
			if stages[s].unitsLeft == 0 || !j.dependenciesDone(k, s) {
				continue
			}
			for _, u := range stages[s].units {
				if !u.done && !u.isActive() && !now.Before(u.notBefore) {
					out = append(out, u)
				}
			}
		}
	}
	return out
}

// dueMS returns the Unix time in milliseconds of an occurrence.
func (j *job) dueMS(occurrence int) int64 {
	if j.rec.Occurrences == 0 {
		return 0
	}
	return j.rec.FirstAtMS + int64(occurrence)*j.rec.IntervalMS
}

func (j *job) dependenciesDone(occurrence, step int) bool {
	for _, dep := range j.rec.Steps[step].After {
		if j.stages[occurrence][dep].unitsLeft > 0 {
			return false
		}
	}
	return true
}

// criticalPath returns the longest chain of work left in an occurrence.
func (e *Engine) criticalPath(j *job, occurrence int, includeDone bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.rec.Steps))
	for s := range j.rec.Steps {
		for _, dep := range j.rec.Steps[s].After {
			ends[s] = max(ends[s], ends[dep])
		}
		if includeDone || j.stages[occurrence][s].unitsLeft > 0 {
			ends[s] += e.estimates.stepDuration(j.rec.Queue, &j.rec.Steps[s])
		}
		longest = max(longest, ends[s])
	}
	return longest
}

// objective returns the time in which an occurrence of j should be complete.
func (e *Engine) objective(j *job, occurrence int) time.Duration {
	slack := max(j.rec.SlackFactor, 1)
	return time.Duration(slack*float64(e.criticalPath(j, occurrence, true))) + time.Duration(j.rec.TargetMS)*time.Millisecond
}

// computeUrgency computes how urgent a job is.
func (e *Engine) computeUrgency(c *candidate, now time.Time) {
	j := c.job
	k := c.units[0].occurrence
	begin := time.UnixMilli(max(j.rec.AcceptedMS, j.dueMS(k)))
	objective := e.objective(j, k)
	remaining := e.criticalPath(j, k, false)
	c.startBy = begin.Add(objective - remaining)
	if now.After(c.startBy) {
		c.lateness = 1
		c.startBy = begin.Add(maxLatenessFactor*objective - remaining)
	}
	if now.After(c.startBy) {
		c.lateness = 2
	}
}

// guaranteedJobs returns the open jobs of priority 0 that their teams'
// guarantees cover, in order of acceptance.
func (e *Engine) guaranteedJobs() map[*job]bool {
	used := make(map[string]int64)
	covered := make(map[*job]bool)
	for _, j := range e.openJobs {
		if e.config.PriorityOf(j.rec) != 0 || j.cancelled {
			continue
		}
		need := int64(0)
		for s := range j.rec.Steps {
			need = max(need, j.rec.Steps[s].Accelerators*int64(j.rec.Steps[s].Count))
		}
		if used[j.rec.Team]+need <= e.config.Teams[j.rec.Team].Guarantee {
			used[j.rec.Team] += need
			covered[j] = true
		}
	}
	return covered
}

// startRun makes the members of a unit's next run.
func (e *Engine) startRun(u *unit, placement []*worker, c *candidate, now time.Time) Placement {
	u.run++
	u.job.hasStarted = true
	p := Placement{
		Unit: u.itemRef(u.first), Count: u.count, Run: u.run, Class: classNames[c.class],
		Waited: now.Sub(time.UnixMilli(u.job.rec.AcceptedMS)),
	}
	u.members = nil
	for i, w := range placement {
		m := &member{unit: u, run: u.run, index: u.first + i, worker: w, incarnation: w.incarnation, startedAt: now, percentChangedAt: now}
		u.members = append(u.members, m)
		w.members = append(w.members, m)
		p.Workers = append(p.Workers, w.node)
	}
	e.markDirty(u.job)
	return p
}

// stopRunsOnDrainingWorkers stops runs that would not end before their worker leaves.
func (e *Engine) stopRunsOnDrainingWorkers(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.sortedWorkers {
		if w.announcement == nil || !w.announcement.Draining {
			continue
		}
		timeLeft := time.Duration(w.announcement.RemainingMS)*time.Millisecond - drainMargin
		for _, m := range w.members {
			u := m.unit
			if u.stopping || u.done || !m.listed {
				continue
			}
			if u.spec().LongRunning || e.estimates.remaining(u, now) > timeLeft {
				u.stop("worker drains")
				stops = append(stops, StopDecision{Unit: u.itemRef(m.index), Run: m.run, Reason: u.stopReason})
			}
		}
	}
	return stops
}

// stopHungRuns stops runs that make no progress. The silence of an agent is not
// taken for a lack of progress.
func (e *Engine) stopHungRuns(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.sortedWorkers {
		if now.Sub(w.reportedAt) > reportTimeout {
			continue
		}
		for _, m := range w.members {
			u := m.unit
			if u.stopping || u.done || !m.listed || u.spec().LongRunning || w.reportedAt.Sub(m.percentChangedAt) < e.hangTimeout(u) {
				continue
			}
			u.stop("no progress")
			w.health.recordFailure(u.job.id, now)
			w.health.recordFailure(u.job.id+" hangs", now)
			stops = append(stops, StopDecision{Unit: u.itemRef(m.index), Run: m.run, Reason: u.stopReason})
		}
	}
	return stops
}

// hangTimeout is the time without a change of percent that a slow but sound run
// does not reach: one that takes fifty times its estimate still advances a
// percent in half of it.
func (e *Engine) hangTimeout(u *unit) time.Duration {
	return max(minHangTimeout, e.estimates.duration(u)/2)
}
