package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// preemptionPlan is a way to free resources for a unit by stopping other units.
type preemptionPlan struct {
	victims   []*unit
	placement []*worker
	lostWork  int64 // in weighted millicore-milliseconds
	stops     int64 // see countStops
}

// preempt finds a placement for u on resources that are free, are being freed, or
// are held by units of a lower class, and stops those units. Among the groups of
// workers that could hold u it picks the one with the least total lost work. Jobs
// of priority 0 would miss their objective, so they are stopped only if stopping
// others is not enough. A job beyond its team's guarantee preempts at most as much
// work as it has left itself; more would slow the pool down as a whole. It returns
// the workers to keep free for u, nil if there is no such placement.
func (e *Engine) preempt(u *unit, c *candidate, r *freeResources, now time.Time) ([]*worker, []StopDecision) {
	if e.policy.preemptForGuaranteesOnly && c.class != classGuaranteed {
		return nil, nil
	}
	fast, _ := e.avoidSlow(u, c, r, now)
	best := e.cheapestPreemption(u, fast, func(v *unit) bool {
		return e.mayPreempt(c, v) && e.mayPreemptByCost(c, v, false) && (v.isEnding() || e.classOf(v.job) == classOther)
	}, now)
	if best == nil && c.class < classUrgent {
		best = e.cheapestPreemption(u, r, func(v *unit) bool { return e.mayPreempt(c, v) && e.mayPreemptByCost(c, v, true) }, now)
	}
	if best == nil || !e.policy.ignoreLostWork && c.class == classUrgent && best.lostWork > e.remainingWork(u.job) {
		return nil, nil
	}
	return best.placement, e.stopVictims(u, best.victims, now)
}

// stopVictims stops the units that are preempted for u.
func (e *Engine) stopVictims(u *unit, victims []*unit, now time.Time) []StopDecision {
	var stops []StopDecision
	for _, v := range victims {
		if v.isEnding() {
			continue
		}
		loss := 0.0
		if e.costs != nil {
			loss = e.lossByStop(v, now)
		}
		v.stop("preempted for " + u.job.id)
		v.preemptions++
		stops = append(stops, StopDecision{
			Unit: v.itemRef(v.first), Run: v.run, Reason: v.stopReason, Preempted: true,
			Class: classNames[e.classOf(v.job)], Team: v.job.rec.Team, Preemptions: v.preemptions, Loss: loss,
		})
	}
	return stops
}

// cheapestPreemption returns the plan for u with the least lost work that stops
// only units for which mayStop holds, nil if there is none.
func (e *Engine) cheapestPreemption(u *unit, r *freeResources, mayStop func(*unit) bool, now time.Time) *preemptionPlan {
	var best *preemptionPlan
	for _, group := range e.preemptionGroups(u, r) {
		if plan := e.planPreemption(u, mayStop, group, now); plan != nil && (best == nil || cmp.Or(cmp.Compare(plan.lostWork, best.lostWork), cmp.Compare(plan.stops, best.stops)) < 0) {
			best = plan
		}
	}
	return best
}

// preemptionGroups returns the groups of workers in which u may be placed as a
// whole: each rack for a gang that waits for one, else one group of all usable workers.
func (e *Engine) preemptionGroups(u *unit, r *freeResources) []*freeResources {
	if !e.awaitsRack(u, r) {
		return []*freeResources{r}
	}
	racks := make(map[string]*freeResources)
	for _, w := range r.workers {
		rack := racks[w.announcement.Rack]
		if rack == nil {
			rack = &freeResources{free: r.free, now: r.now, anyCold: r.anyCold, started: r.started, closed: r.closed, pool: r.pool, sharing: r.sharing}
			racks[w.announcement.Rack] = rack
		}
		rack.workers = append(rack.workers, w)
	}
	var out []*freeResources
	for _, name := range sortedKeys(racks) {
		out = append(out, racks[name])
	}
	return out
}

// planPreemption plans how to free resources for u within a group. It is greedy: in
// each step it releases victims on the worker with the least lost work for each
// item of u gained, until u fits. It returns nil if u does not fit with all
// permitted victims released.
func (e *Engine) planPreemption(u *unit, mayStop func(*unit) bool, group *freeResources, now time.Time) *preemptionPlan {
	trial := group.clone()
	losses := make(map[*unit]int64)
	for _, w := range group.workers {
		for _, m := range w.members {
			if _, ok := losses[m.unit]; !ok && mayStop(m.unit) {
				losses[m.unit] = e.lostWork(m.unit, now)
			}
		}
	}
	var released []*unit
	for {
		if placement := e.place(u, trial); placement != nil {
			return e.dropUnneededVictims(u, placement, released, group, losses)
		}
		victims := e.cheapestVictims(u, trial, losses)
		if victims == nil {
			return nil
		}
		for _, v := range victims {
			trial.release(v)
		}
		released = append(released, victims...)
	}
}

// cheapestVictims returns the units on one worker whose release lets further items
// of u fit there, for the worker with the least lost work per item gained, and then with the least
// by countStops; nil if there is none.
func (e *Engine) cheapestVictims(u *unit, trial *freeResources, losses map[*unit]int64) []*unit {
	var best []*unit
	bestLoss, bestStops, bestItems := int64(0), int64(0), int64(0)
	for _, w := range trial.workers {
		if !e.isEligible(u, w) || trial.isKeptFrom(u, w) {
			continue
		}
		victims, loss, items := victimsOnWorker(u, w, trial, losses)
		if items <= 0 {
			continue
		}
		stops := countStops(u, victims)
		if best == nil || cmp.Or(cmp.Compare(loss*bestItems, bestLoss*items), cmp.Compare(stops*bestItems, bestStops*items)) < 0 {
			best, bestLoss, bestStops, bestItems = victims, loss, stops, items
		}
	}
	return best
}

// countStops returns how many of the units exclude u and still have to be stopped. Items that fill
// reserve no processors, so their lost work does not tell these apart from those that are stopped
// already, and a plan must stay the best one until its victims have ended.
func countStops(u *unit, units []*unit) int64 {
	n := int64(0)
	for _, v := range units {
		if u.excludes(v) && !v.isEnding() {
			n++
		}
	}
	return n
}

// victimsOnWorker selects units on w to release: those beside which u may not run, and then the
// cheapest others until more items of u fit, without those that are not needed for it. It returns
// them with their total lost work and the number of items gained.
func victimsOnWorker(u *unit, w *worker, trial *freeResources, losses map[*unit]int64) (victims []*unit, loss, items int64) {
	var all, others []*unit
	for _, m := range w.members {
		v := m.unit
		_, ok := losses[v]
		switch excludes := u.excludes(v); {
		case trial.released[v]:
		case excludes && !ok:
			return nil, 0, 0
		case excludes && !slices.Contains(all, v):
			all = append(all, v)
		case ok && !excludes && !slices.Contains(others, v):
			others = append(others, v)
		}
	}
	before, free := itemsThatFit(u, w, trial.free[w.index]), trial.free[w.index]
	required := len(all)
	if required > 0 {
		before = 0
	}
	slices.SortStableFunc(others, func(a, b *unit) int { return cmp.Compare(losses[a], losses[b]) })
	all = append(all, others...)
	for i, v := range all {
		free = free.Add(v.resourcesOn(w), 1)
		if i+1 >= required && itemsThatFit(u, w, free) > before {
			victims = slices.Clone(all[:i+1])
			break
		}
	}
	for i := len(victims) - 2; i >= required; i-- {
		if freeWithout := free.Add(victims[i].resourcesOn(w), -1); itemsThatFit(u, w, freeWithout) > before {
			free, victims = freeWithout, slices.Delete(victims, i, i+1)
		}
	}
	for _, v := range victims {
		loss += losses[v]
	}
	return victims, loss, int64(itemsThatFit(u, w, free) - before)
}

// resourcesOn returns the resources that u's members hold on w.
func (u *unit) resourcesOn(w *worker) workflow.Resources {
	var sum workflow.Resources
	for _, m := range u.members {
		if m.worker == w && m.end == "" {
			sum = sum.Add(u.spec().Needs(), 1)
		}
	}
	return sum
}

// dropUnneededVictims returns a plan without the released units that u can do
// without. It tries the most expensive ones first.
func (e *Engine) dropUnneededVictims(u *unit, placement []*worker, released []*unit, group *freeResources, losses map[*unit]int64) *preemptionPlan {
	needed := slices.Clone(released)
	slices.SortStableFunc(needed, func(a, b *unit) int { return cmp.Compare(losses[a], losses[b]) })
	for i := len(needed) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(needed), i, i+1)
		trial := group.clone()
		for _, v := range without {
			trial.release(v)
		}
		if alternative := e.place(u, trial); alternative != nil {
			needed, placement = without, alternative
		}
	}
	plan := &preemptionPlan{victims: needed, placement: placement, stops: countStops(u, needed)}
	for _, v := range needed {
		plan.lostWork += losses[v]
	}
	return plan
}

// remainingWork returns the expected work of the units of j that are not done, in
// the same measure as lostWork.
func (e *Engine) remainingWork(j *job) int64 {
	sum := int64(0)
	for _, u := range j.units {
		if !u.done {
			sum += u.milliCores() * e.estimates.duration(u).Milliseconds()
		}
	}
	return sum
}

// milliCores returns the resources of all items of u in weighted millicores.
func (u *unit) milliCores() int64 { return int64(u.count) * weightedMilliCores(u.spec().Needs()) }

// weightedMilliCores returns the processors in r in thousandths of a core, with an
// accelerator counted as coresPerAccelerator cores.
func weightedMilliCores(r workflow.Resources) int64 {
	return r.MilliCPU + 1000*coresPerAccelerator*r.Accelerators
}

// release takes v for ended: it adds back the resources that its members hold.
func (r *freeResources) release(v *unit) {
	r.released[v] = true
	for _, m := range v.members {
		if m.end == "" {
			r.free[m.worker.index] = r.free[m.worker.index].Add(v.spec().Needs(), 1)
		}
	}
}

// mayPreempt reports whether a candidate may take the resources of v. Those of a
// unit that is ending are about to become free. A long-running unit
// whose step sets MaxUnavailable is never preempted, which is stricter than the limit.
func (e *Engine) mayPreempt(c *candidate, v *unit) bool {
	if v.isEnding() {
		return true
	}
	if v.spec().LongRunning && v.spec().MaxUnavailable > 0 {
		return false
	}
	return e.classOf(v.job) > c.class
}

// classOf returns the class of a job, as of the latest decision.
func (e *Engine) classOf(j *job) int {
	switch {
	case e.config.PriorityOf(j.rec) != 0:
		return classOther
	case e.guaranteed[j]:
		return classGuaranteed
	}
	return classUrgent
}

// lostWork returns the work that stopping v would lose, in weighted
// millicore-milliseconds.
func (e *Engine) lostWork(v *unit, now time.Time) int64 {
	return v.milliCores() * e.lostRunTime(v, now).Milliseconds()
}

// lostRunTime returns the run time that stopping v would lose. The true age of a run that
// an earlier planner started is unknown, so its progress counts as well.
func (e *Engine) lostRunTime(v *unit, now time.Time) time.Duration {
	if v.isEnding() {
		return 0
	}
	lost := time.Duration(0)
	for _, m := range v.members {
		if m.listed {
			lost = max(lost, now.Sub(m.startedAt), time.Duration(m.percent/100*float64(e.estimates.duration(v))))
		}
	}
	if v.spec().Checkpoints {
		lost = min(lost, e.settings.ResumeCost)
	}
	return lost
}

const coresPerAccelerator = workflow.CoresPerAccelerator

// soonestPlacement returns the workers on which a waiting unit can be expected to
// start soonest, and the delay until then. It assumes that active units end in the
// order of their expected remaining times. The placement is nil if u does not fit
// even after all of them; long-running units are not expected to end.
func (e *Engine) soonestPlacement(u *unit, r *freeResources, now time.Time) (placement []*worker, delay time.Duration) {
	var active []*unit
	seen := make(map[*unit]bool)
	for _, w := range r.workers {
		for _, m := range w.members {
			if v := m.unit; !seen[v] && !v.spec().LongRunning {
				seen[v] = true
				active = append(active, v)
			}
		}
	}
	remaining := make(map[*unit]time.Duration, len(active))
	for _, v := range active {
		remaining[v] = e.remaining(v, now)
	}
	slices.SortFunc(active, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(remaining[a], remaining[b]), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.first, b.first))
	})
	trial := r.clone()
	for _, v := range active {
		trial.release(v)
		if placement := e.place(u, trial); placement != nil {
			return placement, remaining[v]
		}
	}
	return nil, 0
}
