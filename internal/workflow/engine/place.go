package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// freeResources holds the free resources of the usable workers during one
// decision.
type freeResources struct {
	workers []*worker            // the usable ones, by node name
	free    []workflow.Resources // by worker.index
	// doNotFit holds the shapes that could not be placed. Free resources only
	// shrink within a decision, so further units of such a shape need no search.
	doNotFit map[shape]bool
	// fits holds a placement for each shape that could be placed. It is cleared by each
	// allocation.
	fits map[shape][]*worker
	now  time.Time
	// started holds the workers on which units start in this decision, and closed those on
	// which no further ones may, because of a suspect unit.
	started, closed map[*worker]bool
	anyCold         bool // some usable worker is cold
	// cachedTotals caches the results of totals by service, until an allocation there.
	cachedTotals map[string]totals
	headroom     map[string]*headroom // by service, as keptHeadroom has returned them
	held         bool                 // a unit has to wait for the headroom
	pool         *poolView
	sharing
}

// shape holds all properties of a unit without a spread limit that decide whether
// it can be placed.
type shape struct {
	service, label string
	needs          workflow.Resources // of one item
	count          int
	oneRack        bool // whether a gang waits for one rack, see awaitsRack
	sameRack       bool
	fills, serves  bool // whether the items use spare processor time (Fills), or serve requests (TargetMS)
}

// freeResources returns the free resources of the workers that are usable at now.
func (e *Engine) freeResources(now time.Time) *freeResources {
	r := &freeResources{
		free: make([]workflow.Resources, len(e.sortedWorkers)), doNotFit: make(map[shape]bool), fits: make(map[shape][]*worker),
		now: now, started: make(map[*worker]bool), closed: make(map[*worker]bool), sharing: newSharing(),
		cachedTotals: make(map[string]totals), headroom: make(map[string]*headroom),
	}
	for _, w := range e.sortedWorkers {
		if e.usable(w, now) {
			r.workers = append(r.workers, w)
			r.free[w.index] = w.free()
			r.anyCold = r.anyCold || w.isCold(now)
			if e.hostsSuspect(w) {
				r.closed[w] = true
			}
		}
	}
	r.pool = &poolView{workers: r.workers, rackHolds: make(map[rackShape]bool), idle: make(map[idleKey]bool)}
	return r
}

// placeCached is like place, but searches only once for units of one shape. Use it
// only on free resources to which nothing is released.
func (e *Engine) placeCached(u *unit, r *freeResources) []*worker {
	if e.cacheDisabled || u.spec().MaxPerWorker > 0 || e.risksWorker(u) {
		return e.place(u, r) // a spread limit depends on where the step's other items run
	}
	s := e.shapeNow(u, r)
	if r.doNotFit[s] {
		return nil
	}
	placement := e.place(u, r)
	if placement == nil {
		r.doNotFit[s] = true
	} else {
		r.fits[s] = placement
	}
	return placement
}

// shapeNow returns the key of u in the placement cache.
func (e *Engine) shapeNow(u *unit, r *freeResources) shape {
	s := e.shape(u)
	s.oneRack = e.awaitsRack(u, r)
	return s
}

// shape returns the properties of u that do not change while it waits.
func (e *Engine) shape(u *unit) shape {
	s := u.spec()
	return shape{
		service: e.config.ServiceOf(u.job.rec), label: s.Label, needs: s.Needs(), count: u.count, sameRack: s.SameRack,
		fills: u.fills(), serves: u.serves(),
	}
}

// totals holds the sums of the free accelerators and processors, and of the capacity, over the usable
// workers of one service. Overcommitted workers count as 0 free.
type totals struct{ free, capacity workflow.Resources }

// totals returns the sums for a service.
func (r *freeResources) totals(service string) totals {
	t, known := r.cachedTotals[service]
	if known {
		return t
	}
	for _, w := range r.workers {
		if w.announcement.Service != service {
			continue
		}
		f := r.free[w.index]
		f.Accelerators, f.MilliCPU = max(f.Accelerators, 0), max(f.MilliCPU, 0)
		t.free, t.capacity = t.free.Add(f, 1), t.capacity.Add(w.announcement.Capacity, 1)
	}
	r.cachedTotals[service] = t
	return t
}

// clone returns a copy, without the caches, for trial releases.
func (r *freeResources) clone() *freeResources {
	return &freeResources{workers: r.workers, free: slices.Clone(r.free), now: r.now, anyCold: r.anyCold, started: maps.Clone(r.started), closed: maps.Clone(r.closed), pool: r.pool, sharing: r.sharing.clone()}
}

// allocate subtracts the needs of u's items from the free resources of their
// workers. No further units may start there if u is under suspicion (suspect).
func (r *freeResources) allocate(u *unit, placement []*worker, suspect bool) {
	for _, w := range placement {
		r.free[w.index] = r.free[w.index].Add(u.spec().Needs(), -1)
		delete(r.cachedTotals, w.announcement.Service)
		if h := r.headroom[w.announcement.Service]; h != nil {
			h.room = nil
		}
		r.started[w] = true
		r.keepFor(u, w)
		if suspect {
			r.closed[w] = true
		}
		clear(r.fits)
	}
}

// isEligible reports whether w may run items of u once nothing else runs there: it has the service
// and the label.
func (e *Engine) isEligible(u *unit, w *worker) bool {
	label := u.spec().Label
	return w.announcement.Service == e.config.ServiceOf(u.job.rec) && (label == "" || slices.Contains(w.announcement.Labels, label))
}

// spreadAllowance returns how many further items of u's stage may run on w under
// MaxPerWorker, -1 if there is no limit.
func spreadAllowance(u *unit, w *worker) int {
	limit := u.spec().MaxPerWorker
	if limit == 0 {
		return -1
	}
	for _, m := range w.members {
		if m.unit.job == u.job && m.unit.occurrence == u.occurrence && m.unit.step == u.step {
			limit--
		}
	}
	return max(limit, 0)
}

// itemsThatFit returns how many items of u, at most all, fit on w with the given free
// resources and the spread limit.
func itemsThatFit(u *unit, w *worker, free workflow.Resources) int {
	n := free.Count(u.spec().Needs(), u.count)
	if limit := spreadAllowance(u, w); limit >= 0 {
		n = min(n, limit)
	}
	return n
}

// place returns a worker for each item of u, or nil if u does not fit.
func (e *Engine) place(u *unit, r *freeResources) []*worker {
	var fitting []*worker
	for _, w := range r.workers {
		if !r.closed[w] && itemsThatFit(u, w, r.free[w.index]) > 0 && e.isEligible(u, w) && r.mayShare(u, w) {
			fitting = append(fitting, w)
		}
	}
	if e.isSuspect(u) {
		fitting = r.workersForSuspect(u, fitting)
	}
	if len(fitting) == 0 {
		return nil
	}
	if u.count > 1 && u.spec().SameRack {
		return e.placeInRack(u, r, fitting)
	}
	return pack(u, r, e.sortByPreference(u, r, fitting))
}

// workersForSuspect returns the workers among fitting without a recent start, so that a crash
// can be attributed. If there are none, it closes the one with the fewest runs to other units
// until its last start is no longer recent. After maxSuspectWait any worker will do.
func (r *freeResources) workersForSuspect(u *unit, fitting []*worker) []*worker {
	if r.now.Sub(u.idleSince) > maxSuspectWait || u.spec().LongRunning && r.now.Sub(u.crashReportedAt) >= maxLastingCrashDelay {
		return fitting
	}
	var out []*worker
	var fewest *worker
	for _, w := range fitting {
		if !r.started[w] && !w.hasRecentStart(r.now) {
			out = append(out, w)
		}
		if fewest == nil || len(w.members) < len(fewest.members) {
			fewest = w
		}
	}
	if len(out) == 0 && fewest != nil {
		r.closed[fewest] = true
		clear(r.fits)
	}
	return out
}

// sortByPreference returns the workers in the order in which u should fill them:
// first those on which it has met the fewest setbacks, then those in its preferred rack,
// where its data is, then warm ones (or cold ones if it can wait), then fast ones, then those
// with the least free resources (best fit), so that whole workers stay free for large
// items. A suspect unit, and one that lasts and under which two workers have crashed, prefers
// those with the fewest runs, which a crash would end.
func (e *Engine) sortByPreference(u *unit, r *freeResources, workers []*worker) []*worker {
	penalty := func(w *worker) int {
		n := 2 * u.setbacks[w.incarnation]
		if p := u.spec().PreferredRack; p != "" && w.announcement.Rack != p {
			n++
		}
		return n
	}
	suspect := e.risksWorker(u)
	runsAtRisk := func(w *worker) int {
		if suspect {
			return len(w.members)
		}
		return 0
	}
	coldRank := func(*worker) int { return 0 }
	if r.anyCold {
		canWait := e.canUnitWait(u, r.now)
		coldRank = func(w *worker) int { return coldPreference(w, canWait, r.now) }
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(runsAtRisk(a), runsAtRisk(b)),
			cmp.Compare(penalty(a), penalty(b)),
			cmp.Compare(coldRank(a), coldRank(b)),
			cmp.Compare(a.relativeSlowness(), b.relativeSlowness()),
			cmp.Compare(r.free[a.index].Accelerators, r.free[b.index].Accelerators),
			cmp.Compare(r.free[a.index].MilliCPU, r.free[b.index].MilliCPU),
		)
	})
	return sorted
}

// pack places the items of u by filling the workers in the given order. It returns
// nil if they do not hold all items.
func pack(u *unit, r *freeResources, workers []*worker) []*worker {
	placement := make([]*worker, 0, u.count)
	for _, w := range workers {
		for range min(itemsThatFit(u, w, r.free[w.index]), u.count-len(placement)) {
			placement = append(placement, w)
		}
		if len(placement) == u.count {
			return placement
		}
	}
	return nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
