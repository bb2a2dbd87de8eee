package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// freeResources is the free resources of the usable workers during one decision.
type freeResources struct {
	workers []*worker            // usable, in order of node names
	free    []workflow.Resources // by index of the worker
	// doNotFit holds the shapes that found no place. Within a decision resources only
	// become less, so that further units of the shape need no search.
	doNotFit map[shape]bool
	// fits holds those that found one, until something is taken.
	fits map[shape]bool
	// cachedTotals is that of free and of capacity over the workers, nil after a change.
	cachedTotals *[2]workflow.Resources
}

// shape is all that decides whether a unit fits.
type shape struct {
	service, label string
	needs          workflow.Resources
	count          int
	sameRack       bool
	fills, serves  bool
}

func (e *Engine) freeResources(now time.Time) *freeResources {
	r := &freeResources{free: make([]workflow.Resources, len(e.sortedWorkers)), doNotFit: make(map[shape]bool), fits: make(map[shape]bool)}
	for _, w := range e.sortedWorkers {
		if e.usable(w, now) {
			r.workers = append(r.workers, w)
			r.free[w.index] = w.free()
		}
	}
	return r
}

// placeCached is place for a room from which nothing is released.
func (e *Engine) placeCached(u *unit, r *freeResources) []*worker {
	if e.exhaustive || u.spec().MaxPerWorker > 0 {
		return e.place(u, r) // a spread limit also depends on where the other items run
	}
	s := e.shape(u)
	if r.doNotFit[s] {
		return nil
	}
	placement := e.place(u, r)
	if placement == nil {
		r.doNotFit[s] = true
	} else {
		r.fits[s] = true
	}
	return placement
}

func (e *Engine) shape(u *unit) shape {
	s := u.spec()
	return shape{
		service: e.config.ServiceOf(u.job.rec), label: s.Label, needs: s.Needs(), count: u.count, sameRack: s.SameRack,
		fills: s.Fills, serves: s.TargetMS > 0,
	}
}

// totals returns the resources that are free, and the capacity, of all workers.
func (r *freeResources) totals() (free, total workflow.Resources) {
	if r.cachedTotals == nil {
		r.cachedTotals = new([2]workflow.Resources)
		for _, w := range r.workers {
			f := r.free[w.index]
			f.Accelerators, f.MilliCPU = max(f.Accelerators, 0), max(f.MilliCPU, 0)
			r.cachedTotals[0], r.cachedTotals[1] = r.cachedTotals[0].Add(f, 1), r.cachedTotals[1].Add(w.announcement.Capacity, 1)
		}
	}
	return r.cachedTotals[0], r.cachedTotals[1]
}

// clone returns a copy in which resources can be released on trial.
func (r *freeResources) clone() *freeResources {
	return &freeResources{workers: r.workers, free: slices.Clone(r.free)}
}

// allocate subtracts the needs of u's items from the workers.
func (r *freeResources) allocate(u *unit, placement []*worker) {
	for _, w := range placement {
		r.free[w.index] = r.free[w.index].Add(u.spec().Needs(), -1)
		r.cachedTotals = nil
		clear(r.fits)
	}
}

// isEligible reports whether w may run items of u at all.
func (e *Engine) isEligible(u *unit, w *worker) bool {
	s := u.spec()
	if s.Fills || s.TargetMS > 0 {
		for _, m := range w.members {
			if o := m.unit.spec(); o.Fills && s.TargetMS > 0 || s.Fills && o.TargetMS > 0 {
				return false // the one would disturb the other
			}
		}
	}
	return w.announcement.Service == e.config.ServiceOf(u.job.rec) && (s.Label == "" || slices.Contains(w.announcement.Labels, s.Label))
}

// spreadAllowance returns how many further items of u's stage may run on w under the
// spread limit, -1 for no limit.
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

// itemsThatFit returns how many items of u fit on w with the given free resources.
func itemsThatFit(u *unit, w *worker, free workflow.Resources) int {
	needs, n := u.spec().Needs(), u.count
	for _, resource := range [][2]int64{{needs.MilliCPU, free.MilliCPU}, {needs.MemoryMB, free.MemoryMB}, {needs.Accelerators, free.Accelerators}} {
		if resource[0] > 0 {
			n = min(n, int(max(resource[1], 0)/resource[0]))
		}
	}
	if limit := spreadAllowance(u, w); limit >= 0 {
		n = min(n, limit)
	}
	return n
}

// place returns a worker for each item of u, or nil.
func (e *Engine) place(u *unit, r *freeResources) []*worker {
	var fitting []*worker
	for _, w := range r.workers {
		if itemsThatFit(u, w, r.free[w.index]) > 0 && e.isEligible(u, w) {
			fitting = append(fitting, w)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	if u.count > 1 && u.spec().SameRack {
		return e.placeInRack(u, r, fitting)
	}
	return pack(u, r, e.sortByPreference(u, r, fitting))
}

// placeInRack places a gang in one rack. It spreads the gang only if no rack
// could ever hold it.
func (e *Engine) placeInRack(u *unit, r *freeResources, fitting []*worker) []*worker {
	racks := make(map[string][]*worker)
	for _, w := range fitting {
		racks[w.announcement.Rack] = append(racks[w.announcement.Rack], w)
	}
	var best []*worker
	bestFree := int64(-1)
	for _, rack := range sortedKeys(racks) {
		placement := pack(u, r, e.sortByPreference(u, r, racks[rack]))
		if placement == nil {
			continue
		}
		freeInRack := int64(0)
		for _, w := range racks[rack] {
			freeInRack += r.free[w.index].Accelerators
		}
		if rack == u.spec().PreferredRack {
			return placement
		}
		if bestFree < 0 || freeInRack < bestFree {
			best, bestFree = placement, freeInRack
		}
	}
	if best != nil || e.rackCouldHold(u) {
		return best
	}
	return pack(u, r, e.sortByPreference(u, r, fitting))
}

// rackCouldHold reports whether a rack could hold u if it were empty.
func (e *Engine) rackCouldHold(u *unit) bool {
	itemsByRack := make(map[string]int)
	for _, w := range e.workers {
		if w.announcement != nil && !w.announcement.Draining && e.isEligible(u, w) {
			n := itemsThatFit(u, w, w.announcement.Capacity)
			if limit := u.spec().MaxPerWorker; limit > 0 {
				n = min(n, limit)
			}
			itemsByRack[w.announcement.Rack] += n
		}
	}
	for _, n := range itemsByRack {
		if n >= u.count {
			return true
		}
	}
	return false
}

// sortByPreference orders workers for u: near its data, not one on which it failed, and
// then the tightest, so that whole workers stay free for large items.
func (e *Engine) sortByPreference(u *unit, r *freeResources, workers []*worker) []*worker {
	penalty := func(w *worker) int {
		n := 0
		if u.failedOn[w.incarnation] {
			n += 2
		}
		if p := u.spec().PreferredRack; p != "" && w.announcement.Rack != p {
			n++
		}
		return n
	}
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(penalty(a), penalty(b)),
			cmp.Compare(r.free[a.index].Accelerators, r.free[b.index].Accelerators),
			cmp.Compare(r.free[a.index].MilliCPU, r.free[b.index].MilliCPU),
		)
	})
	return sorted
}

// pack fills the workers in their order.
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

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
