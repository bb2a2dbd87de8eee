package engine

import "time"

// mayPreemptByCost reports whether the cost model lets a candidate stop v. A job of no more
// use stops nothing unless it is within its team's guarantee. Units that were stopped often
// are stopped for guarantees only; a job within a guarantee does so if it is hard pressed,
// which means that nothing else makes room.
func (e *Engine) mayPreemptByCost(c *candidate, v *unit, hardPressed bool) bool {
	switch {
	case e.costs == nil || hardPressed || v.isEnding():
		return true
	case c.class == classUrgent && c.cost.Useless:
		return false
	}
	return v.preemptions < e.costs.model.MaxStops()
}

// lossByStop returns the value that stopping v loses: what the room is worth in which work
// is repeated or nothing runs, and what its own callers lose because their job ends later.
func (e *Engine) lossByStop(v *unit, now time.Time) float64 {
	if v.isEnding() {
		return 0
	}
	lost := e.lostRunTime(v, now)
	idle := e.settings.StopTimeout + preemptionOverhead
	loss := e.costs.roomPrice * float64(v.milliCores()) / 1000 * (lost + idle).Seconds()
	job := e.describeJob(v.job, v.occurrence)
	remaining := e.remaining(v, now)
	running := job
	running.Remaining = remaining
	if job.WorkLeft > 0 {
		running.Remaining = max(remaining, job.Remaining+e.costs.horizon)
	}
	again := job
	again.Remaining = max(running.Remaining, idle+e.costs.horizon+lost+remaining)
	return loss + max(0, e.costs.model.Value(running, now, 0)-e.costs.model.Value(again, now, 0))
}
