package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

const (
	// headroomShare is the share of the usable accelerators and processors of a service
	// that is kept free for its jobs of priority 0. These arrive at any time and must start at
	// once; without headroom each of them preempts others, whose work is lost.
	headroomShare = 0.12
	// headroomMinUsage is the share in use from which headroom is kept. Below it no
	// job has to wait.
	headroomMinUsage = 0.5
	// headroomMinLead is the least time before its latest start from which a unit
	// may use the headroom.
	headroomMinLead = 2 * time.Second
	// headroomDurationDivisor divides a unit's expected run time; the quotient is
	// how long before its latest start the unit may use the headroom, if that is
	// more than headroomMinLead. Large units get longer, because it takes time
	// until enough resources are free for them.
	headroomDurationDivisor = 2
	// maxLateWait is how long a unit leaves the headroom after its latest start of use to the
	// caller. Callers are promised that no item stays unstarted for 3 s beside ample room; where
	// long-running items hold most of a pool, the room that is left never becomes ample.
	maxLateWait = 3 * time.Second
)

// mustLeaveHeadroom reports whether a unit that could start with the given placement, or
// with that of an equal unit, has to wait, because it can wait and its start would leave
// too little free for jobs of priority 0.
func (e *Engine) mustLeaveHeadroom(u *unit, c *candidate, placement []*worker, r *freeResources, now time.Time) bool {
	if e.policy.noHeadroom || c.class != classOther || u.spec().LongRunning || !now.Before(e.headroomWaitEnd(u, c)) {
		return false
	}
	// Jobs of priority 0 of other services cannot use these workers, nor this unit the others.
	service := e.config.ServiceOf(u.job.rec)
	h := e.keptHeadroom(service, r, now)
	if h == nil {
		return false
	}
	sums := r.totals(service)
	freeSum, totalSum := sums.free, sums.capacity
	leftSum := freeSum.Add(u.spec().Needs(), -int64(u.count))
	if h.forecast {
		freeSum, leftSum = r.roomLeft(h, u, nil), r.roomLeft(h, u, placement)
	}
	kept := [2]float64{h.accelerators, h.milliCPU}
	free, total := [2]int64{freeSum.Accelerators, freeSum.MilliCPU}, [2]int64{totalSum.Accelerators, totalSum.MilliCPU}
	left := [2]int64{leftSum.Accelerators, leftSum.MilliCPU}
	for i := range left {
		used := float64(total[i] - free[i])
		if used >= headroomMinUsage*float64(total[i]) && float64(left[i]) < kept[i] {
			r.held = true
			return true
		}
	}
	return false
}

// canUnitWait is canWait for a unit whose job is not at hand as a candidate.
func (e *Engine) canUnitWait(u *unit, now time.Time) bool {
	c := &candidate{job: u.job, units: []*unit{u}, class: e.classOf(u.job)}
	if c.class != classOther {
		return false
	}
	e.computeUrgency(c, now)
	return e.canWait(u, c, now)
}

// headroom is what is kept free on the workers of a service for jobs of priority 0 during one decision.
type headroom struct {
	service                string
	accelerators, milliCPU float64
	forecast               bool                // by the plug-in, not the fixed share
	item                   workflow.Resources  // see framework.Headroom; only with forecast
	room                   *workflow.Resources // caches roomLeft of no unit, nil after an allocation
}

// String describes the headroom for explanations.
func (h *headroom) String() string {
	text := fmt.Sprintf("%.0f accelerators and %.0f millicores", h.accelerators, h.milliCPU)
	if h.forecast {
		return text + fmt.Sprintf(", by forecast, on workers with room for %d accelerators and %d millicores", h.item.Accelerators, h.item.MilliCPU)
	}
	return text
}

// keptHeadroom returns what is to be kept free of a service in a decision, nil if no queue can hand in
// jobs of priority 0 there. It asks the plug-in once.
func (e *Engine) keptHeadroom(service string, r *freeResources, now time.Time) *headroom {
	h, known := r.headroom[service]
	if known {
		return h
	}
	if !e.config.HasUrgentQueue(service) {
		r.headroom[service] = nil
		return nil
	}
	total := r.totals(service).capacity
	h = &headroom{service: service, accelerators: headroomShare * float64(total.Accelerators), milliCPU: headroomShare * float64(total.MilliCPU)}
	if e.plugins.headroom != nil {
		pool := framework.Pool{Service: service, Total: total, Releases: e.releases(service, r, now)}
		if f, known := e.plugins.headroom.Headroom(now, pool); known {
			*h = headroom{service: service, accelerators: float64(f.Amount.Accelerators), milliCPU: float64(f.Amount.MilliCPU), forecast: true, item: f.Item}
		}
	}
	r.headroom[service] = h
	return h
}

// roomLeft returns what is left for items of the needs that h names once u has started with a
// placement: the resources of the service's workers with room for one, with the accelerators rounded
// down to whole items.
func (r *freeResources) roomLeft(h *headroom, u *unit, placement []*worker) workflow.Resources {
	if h.room == nil {
		h.room = new(workflow.Resources)
		for _, w := range r.workers {
			if w.announcement.Service == h.service {
				*h.room = h.room.Add(roomFor(h.item, r.free[w.index]), 1)
			}
		}
	}
	room := *h.room
	items := make(map[*worker]int64)
	for _, w := range placement {
		items[w]++
	}
	for w, n := range items {
		free := r.free[w.index]
		room = room.Add(roomFor(h.item, free), -1).Add(roomFor(h.item, free.Add(u.spec().Needs(), -n)), 1)
	}
	return room
}

// roomFor returns the part of a worker's free resources that items of the given needs
// could use.
func roomFor(item, free workflow.Resources) workflow.Resources {
	if free.Accelerators < item.Accelerators || free.MilliCPU < item.MilliCPU {
		return workflow.Resources{}
	}
	return workflow.Resources{
		MilliCPU:     max(free.MilliCPU, 0),
		Accelerators: max(free.Accelerators-free.Accelerators%max(item.Accelerators, 1), 0),
	}
}

// HeadroomUse tells of the headroom in the latest decision, for metrics.
type HeadroomUse struct {
	// Asked reports that a unit that can wait could have started, so that the headroom
	// mattered, and Held that one had to wait.
	Asked, Held bool
	Forecast    bool // the plug-in had a figure
	// Accelerators and MilliCPU are what was to be kept when it last mattered, summed over the services.
	Accelerators, MilliCPU int64
	// Used counts starts of jobs of priority 0 after which less than that was free in their service.
	Used int
}

// HeadroomUse returns the use of the headroom in the latest decision.
func (e *Engine) HeadroomUse() HeadroomUse { return e.headroomUse }

// recordHeadroomUse updates e.headroomUse after a decision.
func (e *Engine) recordHeadroomUse(r *freeResources, starts []Placement) {
	use := HeadroomUse{Held: r.held}
	for service, h := range r.headroom {
		if h == nil {
			delete(e.lastHeadroom, service)
			continue
		}
		use.Asked, use.Forecast = true, use.Forecast || h.forecast
		e.lastHeadroom[service] = workflow.Resources{Accelerators: int64(h.accelerators), MilliCPU: int64(h.milliCPU)}
	}
	for _, kept := range e.lastHeadroom {
		use.Accelerators, use.MilliCPU = use.Accelerators+kept.Accelerators, use.MilliCPU+kept.MilliCPU
	}
	for _, s := range starts {
		if s.Class == classNames[classOther] {
			continue
		}
		service := e.config.ServiceOf(e.jobs[s.Unit.Job].rec)
		if free, kept := r.totals(service).free, e.lastHeadroom[service]; free.Accelerators < kept.Accelerators || free.MilliCPU < kept.MilliCPU {
			use.Used++
		}
	}
	e.headroomUse = use
}

// releases returns the expected ends of the active runs on usable workers of a service, by time.
// Long-running ones are not expected to end.
func (e *Engine) releases(service string, r *freeResources, now time.Time) []framework.Release {
	var out []framework.Release
	seen := make(map[*unit]bool)
	for _, w := range r.workers {
		if w.announcement.Service != service {
			continue
		}
		for _, m := range w.members {
			u := m.unit
			if seen[u] || u.spec().LongRunning {
				continue
			}
			seen[u] = true
			release := framework.Release{After: e.remaining(u, now)}
			for _, o := range u.members {
				if o.end == "" {
					release.Needs = release.Needs.Add(u.spec().Needs(), 1)
				}
			}
			out = append(out, release)
		}
	}
	slices.SortStableFunc(out, func(a, b framework.Release) int { return cmp.Compare(a.After, b.After) })
	return out
}

// observeArrival tells the plug-in of a job of priority 0. A scheduled job is none that
// arrives without notice.
func (e *Engine) observeArrival(j *job) {
	if e.plugins.headroom == nil || j.rec.Occurrences > 0 || j.rec.LongRunning() || e.config.PriorityOf(j.rec) != 0 {
		return
	}
	a := framework.Arrival{Queue: j.rec.Queue, Service: e.config.ServiceOf(j.rec), At: time.UnixMilli(j.rec.AcceptedMS)}
	for s := range j.rec.Steps {
		step := &j.rec.Steps[s]
		needs := workflow.Resources{}.Add(step.Needs(), int64(step.Count))
		if weightedMilliCores(needs) > weightedMilliCores(a.Needs) {
			a.Needs, a.Item = needs, step.Needs()
		}
	}
	e.plugins.headroom.ObserveArrival(a)
}

// canWait reports whether a unit has time to wait without missing its objective,
// or is so late that its completion is of no more use.
func (e *Engine) canWait(u *unit, c *candidate, now time.Time) bool {
	return c.lateness > 1 || now.Before(e.headroomWaitEnd(u, c))
}

// headroomWaitEnd returns the time until which a unit leaves the headroom, zero if it does not.
func (e *Engine) headroomWaitEnd(u *unit, c *candidate) time.Time {
	switch c.lateness {
	case 0: // can still meet its objective
		return c.startBy.Add(-max(headroomMinLead, e.estimates.duration(u)/headroomDurationDivisor))
	case 1: // late, but its completion is still of use
		return time.Time{}
	}
	return c.startBy.Add(maxLateWait)
}
