package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

const (
	// drainSlack is the time by which a run must be expected to end before its
	// draining worker leaves; otherwise it is stopped at once.
	drainSlack = 300 * time.Millisecond
	// hangAfter is the time without progress after which a run is taken to hang.
	// Progress is listed in whole percent; a run of 30 s advances one in 0.3 s.
	hangAfter = 3 * time.Second
	// blockedReservations is the number of waiting units for which resources are
	// kept free against units that come after them.
	blockedReservations = 2
	// lateFactor times a job's objective is the time after which its completion
	// no longer helps the caller.
	lateFactor = 3
	// preemptLead is the time from the decision to stop a run until another runs in
	// its place, beside the worker's own time to stop it.
	preemptLead = 200 * time.Millisecond
	// reclaimShare divides the time in which a guaranteed job must have started
	// into waiting, and stopping others after the wait was in vain.
	reclaimShare = 2
	// settleTime is the time in which the workers that are there have announced
	// themselves to agents that have restarted.
	settleTime = 2 * time.Second
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
	stops = e.stopOnDraining(now, stops)
	stops = e.stopHanging(now, stops)
	var starts []Placement
	r := e.room(now)
	blocked := 0 // units without claim to preemption that wait
	for _, c := range e.candidates(now) {
		for _, u := range c.units {
			if r.fit[e.shape(u)] && e.keepsHeadroom(u, c, r, now) {
				break // as for an equal unit before
			}
			on := e.placeOnce(u, r)
			if on != nil && e.keepsHeadroom(u, c, r, now) {
				break // the next units of the job are as large
			}
			if on != nil {
				starts = append(starts, e.start(u, on, c, now))
				r.take(u, on)
				continue
			}
			if c.class == classOther && blocked >= blockedReservations {
				break // equal units of the job do not fit either
			}
			on, more := e.wait(u, c, r, now)
			if on == nil {
				break
			}
			stops = append(stops, more...)
			r.take(u, on)
			if c.class == classOther {
				blocked++
			}
		}
	}
	return starts, stops
}

// wait returns the workers to keep free for a unit that cannot start now. It
// preempts others where the unit may do so and would otherwise start too late.
func (e *Engine) wait(u *unit, c *candidate, r *room, now time.Time) ([]*worker, []StopDecision) {
	on, after := e.reserve(u, r, now)
	if c.class == classOther || on != nil && now.Add(after).Before(e.latestStart(c)) {
		if u.count == 1 && u.spec().Accelerators <= 1 {
			return nil, nil // starts as soon as anything ends
		}
		return on, nil
	}
	if e.settling(now) {
		return on, nil
	}
	if by, stops := e.preempt(u, c, r, now); by != nil {
		return by, stops
	}
	return on, nil
}

// settling reports whether workers may still turn up after a change of planner,
// which make it needless to stop others.
func (e *Engine) settling(now time.Time) bool {
	if now.Sub(e.began) > settleTime {
		return false
	}
	for _, w := range e.workers {
		if w.key == "" || w.announced == nil {
			return true
		}
	}
	return false
}

// latestStart is the time up to which a candidate can wait for room to become
// free by itself.
func (e *Engine) latestStart(c *candidate) time.Time {
	latest := c.urgency.Add(-e.s.StopTimeout - preemptLead)
	if c.tier > 0 {
		latest = time.Time{}
	}
	if c.class == classGuaranteed {
		reclaim := time.UnixMilli(c.job.rec.AcceptedMS).Add(e.s.Reclaim / reclaimShare)
		if reclaim.Before(latest) {
			latest = reclaim
		}
	}
	return latest
}

// Classes of candidates, in order.
const (
	classGuaranteed = iota // within its team's guarantee
	classFirst             // priority 0 beyond the guarantee
	classOther
)

var classNames = []string{"guaranteed", "first", "other"}

// candidate is a job with units that could start.
type candidate struct {
	job     *job
	units   []*unit
	class   int
	urgency time.Time // latest start in time; later for those past their objective
	tier    int       // 0: can meet its objective, 1: late, 2: past use
}

func (e *Engine) candidates(now time.Time) []*candidate {
	e.guaranteed = e.guaranteedJobs()
	var out []*candidate
	for _, j := range e.open {
		if j.cancelled || e.exhausted(j) {
			continue
		}
		if units := e.ready(j, now); len(units) > 0 {
			c := &candidate{job: j, units: units, class: e.classOf(j)}
			e.rate(c, now)
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *candidate) int {
		if order := e.policy.order; order != nil {
			return cmp.Or(cmp.Compare(min(a.class, classFirst), min(b.class, classFirst)), order(e, now, a, b))
		}
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(e.config.PriorityOf(a.job.rec), e.config.PriorityOf(b.job.rec)),
			a.urgency.Compare(b.urgency),
		)
	})
	return out
}

// ready returns the units whose turn has come.
func (e *Engine) ready(j *job, now time.Time) []*unit {
	var out []*unit
	for k, stages := range j.stages {
		if now.UnixMilli() < j.dueMS(k) {
			break
		}
		for s := range stages {
			if stages[s].left == 0 || !j.unblocked(k, s) {
				continue
			}
			for _, u := range stages[s].units {
				if !u.done && !u.active() && !now.Before(u.notBefore) {
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

func (j *job) unblocked(occurrence, step int) bool {
	for _, dep := range j.rec.Steps[step].After {
		if j.stages[occurrence][dep].left > 0 {
			return false
		}
	}
	return true
}

// chain returns the longest chain of work left in an occurrence.
func (e *Engine) chain(j *job, occurrence int, all bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.rec.Steps))
	for s := range j.rec.Steps {
		for _, dep := range j.rec.Steps[s].After {
			ends[s] = max(ends[s], ends[dep])
		}
		if all || j.stages[occurrence][s].left > 0 {
			ends[s] += e.estim.ofStep(j.rec.Queue, &j.rec.Steps[s])
		}
		longest = max(longest, ends[s])
	}
	return longest
}

// objective returns the time in which an occurrence of j should be complete.
func (e *Engine) objective(j *job, occurrence int) time.Duration {
	slack := max(j.rec.SlackFactor, 1)
	return time.Duration(slack*float64(e.chain(j, occurrence, true))) + time.Duration(j.rec.TargetMS)*time.Millisecond
}

// rate computes how urgent a job is.
func (e *Engine) rate(c *candidate, now time.Time) {
	j := c.job
	k := c.units[0].occurrence
	begin := time.UnixMilli(max(j.rec.AcceptedMS, j.dueMS(k)))
	objective := e.objective(j, k)
	left := e.chain(j, k, false)
	c.urgency = begin.Add(objective - left)
	if now.After(c.urgency) {
		c.tier = 1
		c.urgency = begin.Add(lateFactor*objective - left)
	}
	if now.After(c.urgency) {
		c.tier = 2
	}
}

// guaranteedJobs returns the open jobs of priority 0 that their teams'
// guarantees cover, in order of acceptance.
func (e *Engine) guaranteedJobs() map[*job]bool {
	used := make(map[string]int64)
	out := make(map[*job]bool)
	for _, j := range e.open {
		if e.config.PriorityOf(j.rec) != 0 || j.cancelled {
			continue
		}
		need := int64(0)
		for s := range j.rec.Steps {
			need = max(need, j.rec.Steps[s].Accelerators*int64(j.rec.Steps[s].Count))
		}
		if used[j.rec.Team]+need <= e.config.Teams[j.rec.Team].Guarantee {
			used[j.rec.Team] += need
			out[j] = true
		}
	}
	return out
}

// start makes the members of a unit's next run.
func (e *Engine) start(u *unit, on []*worker, c *candidate, now time.Time) Placement {
	u.run++
	u.job.begun = true
	p := Placement{
		Unit: u.ref(u.first), Count: u.count, Run: u.run, Class: classNames[c.class],
		Waited: now.Sub(time.UnixMilli(u.job.rec.AcceptedMS)),
	}
	u.members = nil
	for i, w := range on {
		m := &member{unit: u, run: u.run, index: u.first + i, worker: w, key: w.key, since: now, percentAt: now}
		u.members = append(u.members, m)
		w.members = append(w.members, m)
		p.Workers = append(p.Workers, w.node)
	}
	e.mark(u.job)
	return p
}

// stopOnDraining stops runs that would not end before their worker leaves.
func (e *Engine) stopOnDraining(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.ordered {
		if w.announced == nil || !w.announced.Draining {
			continue
		}
		left := time.Duration(w.announced.RemainingMS)*time.Millisecond - drainSlack
		for _, m := range w.members {
			u := m.unit
			if u.stopping || u.done || !m.listed {
				continue
			}
			if u.spec().LongRunning || e.estim.remaining(u, now) > left {
				u.stop("worker drains")
				stops = append(stops, StopDecision{Unit: u.ref(m.index), Run: m.run, Reason: u.stopReason})
			}
		}
	}
	return stops
}

// stopHanging stops runs that make no progress. The silence of an agent is not
// taken for a lack of progress.
func (e *Engine) stopHanging(now time.Time, stops []StopDecision) []StopDecision {
	for _, w := range e.ordered {
		if now.Sub(w.seen) > silentAfter {
			continue
		}
		for _, m := range w.members {
			u := m.unit
			if u.stopping || u.done || !m.listed || u.spec().LongRunning || w.seen.Sub(m.percentAt) < e.hangLimit(u) {
				continue
			}
			u.stop("no progress")
			w.health.failed(u.job.id, now)
			w.health.failed(u.job.id+" hangs", now)
			stops = append(stops, StopDecision{Unit: u.ref(m.index), Run: m.run, Reason: u.stopReason})
		}
	}
	return stops
}

// hangLimit is the time without a change of percent that a slow but sound run
// does not reach: one that takes fifty times its estimate still advances a
// percent in half of it.
func (e *Engine) hangLimit(u *unit) time.Duration {
	return max(hangAfter, e.estim.duration(u)/2)
}
