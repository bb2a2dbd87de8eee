package engine

import (
	"slices"
	"time"

	"snipegw/internal/workflow/framework"
)

const (
	// slowFrom is the slowness from which a worker counts as slow, and 1/slowFrom that
	// from which it counts as fast. An urgent job may take 1.5 times its own time.
	slowFrom = 1.4
	// maxHangSlowness limits the slowness that prolongs the hang timeout, so that a run
	// that stands still is found on any worker.
	maxHangSlowness = 4
)

// observeProgress passes the progress of a run to the speed model.
func (e *Engine) observeProgress(m *member, now time.Time) {
	if e.plugins.speed == nil || m.unit.spec().LongRunning {
		return
	}
	e.plugins.speed.ObserveProgress(framework.Progress{
		Worker: m.worker.node, Run: m.runID(), Away: m.unit.isAway(m), Clock: time.Duration(m.worker.clockMS) * time.Millisecond,
		At: now, Percent: m.percent, Expected: e.estimates.duration(m.unit),
	})
}

// runID returns the name of the run for the speed model.
func (m *member) runID() framework.Run {
	return framework.Run{Item: m.unit.itemRef(m.index), Number: m.run}
}

// isAway reports whether m runs in another rack than its data, or in a gang that slows
// down because it is spread over racks.
func (u *unit) isAway(m *member) bool {
	rack := func(m *member) string {
		if m.worker.announcement == nil {
			return ""
		}
		return m.worker.announcement.Rack
	}
	if p := u.spec().PreferredRack; p != "" && rack(m) != p {
		return true
	}
	return u.spec().SameRack && slices.ContainsFunc(u.members, func(o *member) bool { return rack(o) != rack(m) })
}

// updateSlowness takes the slowness of all workers from the speed model for one
// decision, and records which have turned slow or fast or are so no longer.
func (e *Engine) updateSlowness(now time.Time) {
	if e.plugins.speed == nil {
		return
	}
	for _, w := range e.sortedWorkers {
		before := w.speed()
		w.slowness = e.plugins.speed.Slowness(w.node, now)
		if w.speed() == "typical" {
			w.slowness = 1 // best fit counts for more than a small difference
		}
		if after := w.speed(); after != before {
			e.endEvents = append(e.endEvents, EndEvent{Speed: &SpeedChange{Node: w.node, From: before, To: after, Slowness: w.slowness}})
		}
	}
}

// SpeedChange is a change of the speed of a worker, as learned.
type SpeedChange struct {
	Node     string
	From, To string // slow, fast or typical
	Slowness float64
}

// relativeSlowness returns the slowness of w, 1 if it is not known.
func (w *worker) relativeSlowness() float64 {
	if w.slowness == 0 {
		return 1
	}
	return w.slowness
}

func (w *worker) isSlow() bool { return w.relativeSlowness() >= slowFrom }

// speed names the speed of w for logs and metrics.
func (w *worker) speed() string {
	switch s := w.relativeSlowness(); {
	case s >= slowFrom:
		return "slow"
	case s <= 1/slowFrom:
		return "fast"
	}
	return "typical"
}

// slowest returns the slowness of the slowest worker of a placement, on which a unit takes
// that much longer than on typical ones.
func slowest(placement []*worker) float64 {
	s := 0.0
	for _, w := range placement {
		s = max(s, w.relativeSlowness())
	}
	return s
}

// slowness returns the slowness of the slowest worker of u's run.
func (u *unit) slowness() float64 {
	s := 0.0
	for _, m := range u.members {
		s = max(s, m.worker.relativeSlowness())
	}
	return s
}

// hangTimeoutOf returns the hang timeout of a run, longer on a slow worker.
func (e *Engine) hangTimeoutOf(m *member) time.Duration {
	return scale(e.hangTimeout(m.unit), max(1, min(m.worker.relativeSlowness(), maxHangSlowness)))
}

// remaining returns the expected time until all members of an active unit have ended. It
// takes the present speed of a run whose worker has changed speed meanwhile, and the
// slowness of the worker for a run that has made too little progress to tell.
func (e *Engine) remaining(u *unit, now time.Time) time.Duration {
	if e.plugins.speed == nil {
		return e.estimates.remaining(u, now)
	}
	longest := time.Duration(0)
	for _, m := range u.members {
		if m.end != "" {
			continue
		}
		timeLeft := m.remaining(scale(e.estimates.duration(u), m.worker.relativeSlowness()), now)
		if whole, changed := e.plugins.speed.RunTime(m.worker.node, m.runID()); changed {
			timeLeft = scale(whole, (100-m.percent)/100) - now.Sub(m.percentChangedAt)
		}
		longest = max(longest, timeLeft, minRemaining)
	}
	return longest
}

// scale multiplies d, exactly so by 1.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// avoidSlow returns the free resources without the workers that are too slow for an urgent
// candidate to meet its objective, and whether there are such workers. A candidate that is
// late anyway takes any worker, and so does one whose team is owed its guarantee soon.
func (e *Engine) avoidSlow(u *unit, c *candidate, r *freeResources, now time.Time) (*freeResources, bool) {
	if e.plugins.speed == nil || c.class == classOther || c.lateness > 0 {
		return r, false
	}
	if c.class == classGuaranteed && now.After(e.reclaimAt(c.job)) {
		return r, false
	}
	duration, timeLeft := e.estimates.duration(u), c.startBy.Sub(now)
	tooSlow := func(w *worker) bool {
		return w.isSlow() && scale(duration, w.relativeSlowness())-duration > timeLeft
	}
	if !slices.ContainsFunc(r.workers, tooSlow) {
		return r, false
	}
	fast := *r
	fast.workers = slices.DeleteFunc(slices.Clone(r.workers), tooSlow)
	fast.doNotFit, fast.fits = nil, nil
	return &fast, true
}
