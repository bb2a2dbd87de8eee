package engine

import (
	"slices"
	"time"
)

// awaitMargin is the factor by which the expected remaining time of a run that is awaited
// instead of stopped is stretched, because it may end later than expected.
const awaitMargin = 1.2

// preemptByCost is preempt with a cost model. No unit is stopped that is expected to end
// within the time that a stop takes, and a job of no more use stops nothing unless it is
// within its team's guarantee. Units that were stopped often are stopped for guarantees
// only, and only if nothing else makes room.
func (e *Engine) preemptByCost(u *unit, c *candidate, r *freeResources, now time.Time) ([]*worker, []StopDecision) {
	if c.class == classUrgent && c.cost.Useless {
		return nil, nil
	}
	stopTime := e.settings.StopTimeout + preemptionOverhead
	ending := make(map[*unit]bool)
	mayTake := func(v *unit) bool {
		if !v.stopping && !v.done && e.endsWithin(v, stopTime, now) {
			ending[v] = true
			return true
		}
		return e.mayPreempt(c, v)
	}
	loss := func(v *unit, now time.Time) int64 {
		if ending[v] {
			return 0
		}
		return e.lostWork(v, now)
	}
	best := e.cheapestPreemption(u, r, func(v *unit) bool {
		return mayTake(v) && (v.stopping || v.done || ending[v] || e.classOf(v.job) == classOther && v.preemptions < e.costs.model.MaxStops())
	}, loss, now)
	if best == nil && c.class < classUrgent {
		best = e.cheapestPreemption(u, r, mayTake, loss, now)
	}
	if best == nil || c.class == classUrgent && best.lostWork > e.remainingWork(u.job) {
		return nil, nil
	}
	victims := slices.DeleteFunc(slices.Clone(best.victims), func(v *unit) bool { return ending[v] })
	return best.placement, e.stopVictims(u, victims, now)
}

// endsWithin reports whether v is expected to end within d by itself.
func (e *Engine) endsWithin(v *unit, d time.Duration, now time.Time) bool {
	return !v.spec().LongRunning && time.Duration(awaitMargin*float64(e.estimates.remaining(v, now))) <= d
}

// lossByStop returns the value that stopping v loses: what the room is worth in which work
// is repeated or nothing runs, and what its own callers lose because their job ends later.
func (e *Engine) lossByStop(v *unit, now time.Time) float64 {
	if v.stopping || v.done {
		return 0
	}
	lost := e.lostRunTime(v, now)
	idle := e.settings.StopTimeout + preemptionOverhead
	loss := e.costs.roomPrice * float64(v.milliCores()) / 1000 * (lost + idle).Seconds()
	job := e.describeJob(v.job, v.occurrence)
	remaining := e.estimates.remaining(v, now)
	running := job
	running.Remaining = remaining
	if job.WorkLeft > 0 {
		running.Remaining = max(remaining, job.Remaining+e.costs.horizon)
	}
	again := job
	again.Remaining = max(running.Remaining, idle+e.costs.horizon+lost+remaining)
	return loss + max(0, e.costs.model.Value(running, now, 0)-e.costs.model.Value(again, now, 0))
}
