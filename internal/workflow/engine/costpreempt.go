package engine

import (
	"time"

	"snipegw/internal/workflow/framework"
)

const (
	// awaitMargin is the factor by which the expected remaining time of a run that is
	// awaited instead of stopped is stretched, because it may end later than expected.
	awaitMargin = 1.2
	// awaitSteps is the number of waits that are compared with stopping at once.
	awaitSteps = 3
	// valueScale is the number of units of a loss in value within a preemptionPlan.
	valueScale = 1e6
)

// preemptByCost is preempt with a cost model. It compares plans that await the runs which
// end within some time and stop the others, and takes the one with the least sum of what
// the callers of u lose by the wait and those of the victims by the stops. A job beyond
// its team's guarantee stops nothing if it gains less than that. Units that were stopped
// often are stopped for guarantees only, and only if nothing else makes room.
func (e *Engine) preemptByCost(u *unit, c *candidate, r *freeResources, now time.Time) ([]*worker, []StopDecision) {
	job := e.describeJob(u.job, u.occurrence)
	atOnce := e.costs.model.Value(job, now, 0)
	best, bestLoss := (*preemptionPlan)(nil), 0.0
	var awaited map[*unit]bool
	for _, wait := range e.waits(c, now) {
		ending := make(map[*unit]bool)
		mayTake := func(hard bool) func(*unit) bool {
			return func(v *unit) bool {
				if !v.stopping && !v.done && e.endsWithin(v, wait, now) {
					ending[v] = true
					return true
				}
				if !e.mayPreempt(c, v) {
					return false
				}
				return hard || v.stopping || v.done || e.classOf(v.job) == classOther && v.preemptions < e.costs.model.MaxStops()
			}
		}
		loss := func(v *unit, now time.Time) int64 {
			if ending[v] {
				return 0
			}
			return int64(valueScale * e.lossByStop(v, now))
		}
		plan := e.cheapestPreemption(u, r, mayTake(false), loss, now)
		if plan == nil && c.class < classUrgent {
			plan = e.cheapestPreemption(u, r, mayTake(true), loss, now)
		}
		if plan == nil {
			continue
		}
		total := float64(plan.lostWork)/valueScale + atOnce - e.costs.model.Value(job, now, wait)
		if best == nil || total < bestLoss {
			best, bestLoss, awaited = plan, total, ending
		}
	}
	if best == nil || c.class == classUrgent && bestLoss > atOnce-e.valueIfNotPreempting(u, job, r, now) {
		return nil, nil
	}
	victims := best.victims[:0:0]
	for _, v := range best.victims {
		if !awaited[v] {
			victims = append(victims, v)
		}
	}
	return best.placement, stopVictims(u, victims)
}

// waits returns the delays of u's start that preemptByCost compares: the time that a stop
// takes, and some up to the latest start of the candidate.
func (e *Engine) waits(c *candidate, now time.Time) []time.Duration {
	shortest := e.settings.StopTimeout + preemptionOverhead
	out := []time.Duration{shortest}
	longest := e.latestStart(c).Sub(now)
	for i := 1; i <= awaitSteps && longest > shortest; i++ {
		out = append(out, shortest+(longest-shortest)*time.Duration(i)/awaitSteps)
	}
	return out
}

// endsWithin reports whether v is expected to end within d by itself.
func (e *Engine) endsWithin(v *unit, d time.Duration, now time.Time) bool {
	return !v.spec().LongRunning && time.Duration(awaitMargin*float64(e.estimates.remaining(v, now))) <= d
}

// valueIfNotPreempting returns the value of a job that waits until running units have made
// room for u by themselves.
func (e *Engine) valueIfNotPreempting(u *unit, job framework.Job, r *freeResources, now time.Time) float64 {
	placement, delay := e.soonestPlacement(u, r, now)
	if placement == nil {
		return 0
	}
	return e.costs.model.Value(job, now, delay)
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
