package engine

import (
	"cmp"
	"slices"
	"time"
)

// preempt finds a placement for u on the resources that are free, are being
// freed, or are held by units of a lower class, and stops the latter. It returns
// the workers to keep free for u, nil if there is no such placement.
func (e *Engine) preempt(u *unit, c *candidate, r *room, now time.Time) ([]*worker, []StopDecision) {
	trial := r.clone()
	var victims []*unit
	seen := make(map[*unit]bool)
	for _, w := range r.workers {
		for _, m := range w.members {
			v := m.unit
			if seen[v] || !e.mayPreempt(c, v) {
				continue
			}
			seen[v] = true
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b *unit) int {
		return cmp.Or(
			cmp.Compare(e.loss(a, now), e.loss(b, now)),
			cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.step, b.step), cmp.Compare(a.first, b.first),
		)
	})
	var released []*unit
	for _, v := range victims {
		trial.release(v)
		released = append(released, v)
		if on := e.place(u, trial); on != nil {
			return e.spare(u, on, released, r)
		}
	}
	return nil, nil
}

// spare keeps those of the released units that a placement of u does not need, and
// stops the others. It returns the placement.
func (e *Engine) spare(u *unit, on []*worker, released []*unit, r *room) ([]*worker, []StopDecision) {
	needed := slices.Clone(released)
	// The most expensive victims were released last; try to spare them first.
	for i := len(needed) - 1; i >= 0; i-- {
		without := slices.Delete(slices.Clone(needed), i, i+1)
		t := r.clone()
		for _, v := range without {
			t.release(v)
		}
		if alt := e.place(u, t); alt != nil {
			needed, on = without, alt
		}
	}
	var stops []StopDecision
	for _, v := range needed {
		if !v.stopping && !v.done {
			v.stop("preempted for " + u.job.id)
			stops = append(stops, StopDecision{Unit: v.ref(v.first), Run: v.run, Reason: v.stopReason})
		}
	}
	return on, stops
}

// release gives back the resources that v's members hold.
func (r *room) release(v *unit) {
	for _, m := range v.members {
		if _, ok := r.free[m.worker]; ok && m.end == "" {
			r.free[m.worker] = r.free[m.worker].Add(v.spec().Needs(), 1)
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
	case e.priority(j) != 0:
		return classOther
	case e.guaranteedJobs()[j]:
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
	needs := v.spec().Needs()
	return int64(v.count) * (needs.MilliCPU + 1000*acceleratorCores*needs.Accelerators) * lost.Milliseconds()
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
