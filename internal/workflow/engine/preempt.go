package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// clearance is a way to make room for a unit: what to stop, and where the unit
// runs then.
type clearance struct {
	victims []*unit
	on      []*worker
	loss    int64
}

// preempt finds a placement for u on the resources that are free, are being
// freed, or are held by units of a lower class, and stops the latter. Of all
// groups of workers that could hold u it clears the one that loses the least
// work in all. Jobs of priority 0, which would come late, are stopped only if
// nothing else makes room. A job beyond its team's guarantee stops others only if
// they lose less work than it has: the pool would else be slower for all. It
// returns the workers to keep free for u, nil if there is no such placement.
func (e *Engine) preempt(u *unit, c *candidate, r *room, now time.Time) ([]*worker, []StopDecision) {
	if e.policy.stopForGuaranteesOnly && c.class != classGuaranteed {
		return nil, nil
	}
	best := e.cheapestClearance(u, r, func(v *unit) bool {
		return e.mayPreempt(c, v) && (v.stopping || v.done || e.classOf(v.job) == classOther)
	}, now)
	if best == nil && c.class < classFirst {
		best = e.cheapestClearance(u, r, func(v *unit) bool { return e.mayPreempt(c, v) }, now)
	}
	if best == nil || !e.policy.anyLoss && c.class == classFirst && best.loss > e.work(u.job) {
		return nil, nil
	}
	var stops []StopDecision
	for _, v := range best.victims {
		if !v.stopping && !v.done {
			v.stop("preempted for " + u.job.id)
			stops = append(stops, StopDecision{Unit: v.ref(v.first), Run: v.run, Reason: v.stopReason})
		}
	}
	return best.on, stops
}

// cheapestClearance returns the way to make room for u that loses the least work
// among the units that may be stopped, nil if there is none.
func (e *Engine) cheapestClearance(u *unit, r *room, may func(*unit) bool, now time.Time) *clearance {
	var best *clearance
	for _, group := range e.groups(u, r) {
		if p := e.clear(u, may, group, now); p != nil && (best == nil || p.loss < best.loss) {
			best = p
		}
	}
	return best
}

// groups returns the parts of the room that are cleared as a whole: racks for a
// gang that belongs in one and finds one that is large enough, else all workers.
func (e *Engine) groups(u *unit, r *room) []*room {
	if u.count == 1 || !u.spec().SameRack || !e.rackCouldHold(u) {
		return []*room{r}
	}
	racks := make(map[string]*room)
	for _, w := range r.workers {
		rack := racks[w.announced.Rack]
		if rack == nil {
			rack = &room{free: r.free}
			racks[w.announced.Rack] = rack
		}
		rack.workers = append(rack.workers, w)
	}
	var out []*room
	for _, name := range sortedKeys(racks) {
		out = append(out, racks[name])
	}
	return out
}

// clear makes room for u in a group, worker by worker, each time where an item
// costs the least. It returns nil if there is not enough that may be stopped.
func (e *Engine) clear(u *unit, may func(*unit) bool, group *room, now time.Time) *clearance {
	trial := group.clone()
	losses := make(map[*unit]int64)
	for _, w := range group.workers {
		for _, m := range w.members {
			if _, ok := losses[m.unit]; !ok && may(m.unit) {
				losses[m.unit] = e.loss(m.unit, now)
			}
		}
	}
	var released []*unit
	for {
		if on := e.place(u, trial); on != nil {
			return e.spare(u, on, released, group, losses)
		}
		victims := e.cheapestItem(u, trial, losses, released)
		if victims == nil {
			return nil
		}
		for _, v := range victims {
			trial.release(v)
		}
		released = append(released, victims...)
	}
}

// cheapestItem returns the units whose stop makes room for further items of u on
// one worker at the least loss an item.
func (e *Engine) cheapestItem(u *unit, trial *room, losses map[*unit]int64, released []*unit) []*unit {
	var best []*unit
	bestLoss, bestItems := int64(0), int64(0)
	for _, w := range trial.workers {
		if !e.suits(u, w) {
			continue
		}
		victims, loss, items := freeItems(u, w, trial, losses, released)
		if items > 0 && (best == nil || loss*bestItems < bestLoss*items) {
			best, bestLoss, bestItems = victims, loss, items
		}
	}
	return best
}

// freeItems releases units on w on trial, the cheapest first, until more items of
// u fit, and leaves out those that were not needed for it.
func freeItems(u *unit, w *worker, trial *room, losses map[*unit]int64, released []*unit) (victims []*unit, loss, items int64) {
	var all []*unit
	for _, m := range w.members {
		if _, ok := losses[m.unit]; ok && !slices.Contains(released, m.unit) && !slices.Contains(all, m.unit) {
			all = append(all, m.unit)
		}
	}
	slices.SortStableFunc(all, func(a, b *unit) int { return cmp.Compare(losses[a], losses[b]) })
	before, free := holds(u, w, trial.free[w.index]), trial.free[w.index]
	for i, v := range all {
		free = free.Add(v.on(w), 1)
		if holds(u, w, free) > before {
			victims = slices.Clone(all[:i+1])
			break
		}
	}
	for i := len(victims) - 2; i >= 0; i-- {
		if without := free.Add(victims[i].on(w), -1); holds(u, w, without) > before {
			free, victims = without, slices.Delete(victims, i, i+1)
		}
	}
	for _, v := range victims {
		loss += losses[v]
	}
	return victims, loss, int64(holds(u, w, free) - before)
}

// on returns the resources that v's members hold on w.
func (v *unit) on(w *worker) workflow.Resources {
	var sum workflow.Resources
	for _, m := range v.members {
		if m.worker == w && m.end == "" {
			sum = sum.Add(v.spec().Needs(), 1)
		}
	}
	return sum
}

// spare leaves out those of the released units that a placement of u in the
// group does not need, the most expensive first.
func (e *Engine) spare(u *unit, on []*worker, released []*unit, group *room, losses map[*unit]int64) *clearance {
	needed := slices.Clone(released)
	slices.SortStableFunc(needed, func(a, b *unit) int { return cmp.Compare(losses[a], losses[b]) })
	for i := len(needed) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(needed), i, i+1)
		t := group.clone()
		for _, v := range without {
			t.release(v)
		}
		if alt := e.place(u, t); alt != nil {
			needed, on = without, alt
		}
	}
	p := &clearance{victims: needed, on: on}
	for _, v := range needed {
		p.loss += losses[v]
	}
	return p
}

// work returns the work of a job that is left, in the unit of loss.
func (e *Engine) work(j *job) int64 {
	sum := int64(0)
	for _, u := range j.units {
		if !u.done {
			sum += u.cores() * e.estim.duration(u).Milliseconds()
		}
	}
	return sum
}

// cores returns what the items of u hold in thousandths of a core, with an
// accelerator counted as acceleratorCores cores.
func (u *unit) cores() int64 { return int64(u.count) * milliCores(u.spec().Needs()) }

func milliCores(r workflow.Resources) int64 { return r.MilliCPU + 1000*acceleratorCores*r.Accelerators }

// release gives back the resources that v's members hold.
func (r *room) release(v *unit) {
	for _, m := range v.members {
		if m.end == "" {
			r.free[m.worker.index] = r.free[m.worker.index].Add(v.spec().Needs(), 1)
		}
	}
}

// mayPreempt reports whether a candidate may take the resources of v. What is
// being stopped or is done is free soon.
func (e *Engine) mayPreempt(c *candidate, v *unit) bool {
	if v.stopping || v.done {
		return true
	}
	if v.spec().LongRunning && v.spec().MaxUnavailable > 0 {
		return false
	}
	return e.classOf(v.job) > c.class
}

func (e *Engine) classOf(j *job) int {
	switch {
	case e.config.PriorityOf(j.rec) != 0:
		return classOther
	case e.guaranteed[j]:
		return classGuaranteed
	}
	return classFirst
}

// loss returns the work that stopping v would lose, in millicore-milliseconds
// with an accelerator counted as acceleratorCores cores. A run that an earlier
// planner started is as old as its progress says.
func (e *Engine) loss(v *unit, now time.Time) int64 {
	if v.stopping || v.done {
		return 0
	}
	lost := time.Duration(0)
	for _, m := range v.members {
		if m.listed {
			lost = max(lost, now.Sub(m.since), time.Duration(m.percent/100*float64(e.estim.duration(v))))
		}
	}
	if v.spec().Checkpoints {
		lost = min(lost, resumeCost)
	}
	return v.cores() * lost.Milliseconds()
}

const (
	// acceleratorCores is what an accelerator is worth in cores when work is
	// compared.
	acceleratorCores = 8
	// resumeCost is the work that a stop with a checkpoint costs.
	resumeCost = 600 * time.Millisecond
)

// reserve returns the workers on which a waiting unit can start soonest, so that
// units after it do not take their resources, and in what time that will be; nil
// if none can be told.
func (e *Engine) reserve(u *unit, r *room, now time.Time) (on []*worker, after time.Duration) {
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
		remaining[v] = e.estim.remaining(v, now)
	}
	slices.SortFunc(active, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(remaining[a], remaining[b]), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.first, b.first))
	})
	trial := r.clone()
	for _, v := range active {
		trial.release(v)
		if on := e.place(u, trial); on != nil {
			return on, remaining[v]
		}
	}
	return nil, 0
}
