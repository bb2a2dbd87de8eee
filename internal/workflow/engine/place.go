package engine

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// room is the free resources of the usable workers during one decision.
type room struct {
	workers []*worker            // usable, in order of node names
	free    []workflow.Resources // by index of the worker
	// full holds the shapes that found no place. Within a decision resources only
	// become less, so that further units of the shape need no search.
	full map[shape]bool
	// fit holds those that found one, until something is taken.
	fit map[shape]bool
	// sums is that of free and of capacity over the workers, nil after a change.
	sums *[2]workflow.Resources
}

// shape is all that decides whether a unit fits.
type shape struct {
	service, label string
	needs          workflow.Resources
	count          int
	sameRack       bool
	fills, serves  bool
}

func (e *Engine) room(now time.Time) *room {
	r := &room{free: make([]workflow.Resources, len(e.ordered)), full: make(map[shape]bool), fit: make(map[shape]bool)}
	for _, w := range e.ordered {
		if e.usable(w, now) {
			r.workers = append(r.workers, w)
			r.free[w.index] = w.free()
		}
	}
	return r
}

// placeOnce is place for a room from which nothing is released.
func (e *Engine) placeOnce(u *unit, r *room) []*worker {
	if e.exhaustive || u.spec().MaxPerWorker > 0 {
		return e.place(u, r) // a spread limit also depends on where the other items run
	}
	s := e.shape(u)
	if r.full[s] {
		return nil
	}
	on := e.place(u, r)
	if on == nil {
		r.full[s] = true
	} else {
		r.fit[s] = true
	}
	return on
}

func (e *Engine) shape(u *unit) shape {
	s := u.spec()
	return shape{
		service: e.config.ServiceOf(u.job.rec), label: s.Label, needs: s.Needs(), count: u.count, sameRack: s.SameRack,
		fills: s.Fills, serves: s.TargetMS > 0,
	}
}

// sum returns the resources that are free, and the capacity, of all workers.
func (r *room) sum() (free, total workflow.Resources) {
	if r.sums == nil {
		r.sums = new([2]workflow.Resources)
		for _, w := range r.workers {
			f := r.free[w.index]
			f.Accelerators, f.MilliCPU = max(f.Accelerators, 0), max(f.MilliCPU, 0)
			r.sums[0], r.sums[1] = r.sums[0].Add(f, 1), r.sums[1].Add(w.announced.Capacity, 1)
		}
	}
	return r.sums[0], r.sums[1]
}

// clone returns a copy in which resources can be released on trial.
func (r *room) clone() *room {
	return &room{workers: r.workers, free: slices.Clone(r.free)}
}

// take subtracts the needs of u's items from the workers.
func (r *room) take(u *unit, on []*worker) {
	for _, w := range on {
		r.free[w.index] = r.free[w.index].Add(u.spec().Needs(), -1)
		r.sums = nil
		clear(r.fit)
	}
}

// suits reports whether w may run items of u at all.
func (e *Engine) suits(u *unit, w *worker) bool {
	s := u.spec()
	if s.Fills || s.TargetMS > 0 {
		for _, m := range w.members {
			if o := m.unit.spec(); o.Fills && s.TargetMS > 0 || s.Fills && o.TargetMS > 0 {
				return false // the one would disturb the other
			}
		}
	}
	return w.announced.Service == e.config.ServiceOf(u.job.rec) && (s.Label == "" || slices.Contains(w.announced.Labels, s.Label))
}

// perWorker returns how many further items of u's stage may run on w under the
// spread limit, -1 for no limit.
func perWorker(u *unit, w *worker) int {
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

// holds returns how many items of u fit on w with the given free resources.
func holds(u *unit, w *worker, free workflow.Resources) int {
	needs, n := u.spec().Needs(), u.count
	for _, part := range [][2]int64{{needs.MilliCPU, free.MilliCPU}, {needs.MemoryMB, free.MemoryMB}, {needs.Accelerators, free.Accelerators}} {
		if part[0] > 0 {
			n = min(n, int(max(part[1], 0)/part[0]))
		}
	}
	if limit := perWorker(u, w); limit >= 0 {
		n = min(n, limit)
	}
	return n
}

// place returns a worker for each item of u, or nil.
func (e *Engine) place(u *unit, r *room) []*worker {
	var fit []*worker
	for _, w := range r.workers {
		if holds(u, w, r.free[w.index]) > 0 && e.suits(u, w) {
			fit = append(fit, w)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	if u.count > 1 && u.spec().SameRack {
		return e.placeInRack(u, r, fit)
	}
	return pack(u, r, e.prefer(u, r, fit))
}

// placeInRack places a gang in one rack. It spreads the gang only if no rack
// could ever hold it.
func (e *Engine) placeInRack(u *unit, r *room, fit []*worker) []*worker {
	racks := make(map[string][]*worker)
	for _, w := range fit {
		racks[w.announced.Rack] = append(racks[w.announced.Rack], w)
	}
	var best []*worker
	bestLeft := int64(-1)
	for _, rack := range sortedKeys(racks) {
		on := pack(u, r, e.prefer(u, r, racks[rack]))
		if on == nil {
			continue
		}
		left := int64(0)
		for _, w := range racks[rack] {
			left += r.free[w.index].Accelerators
		}
		if rack == u.spec().PreferredRack {
			return on
		}
		if bestLeft < 0 || left < bestLeft {
			best, bestLeft = on, left
		}
	}
	if best != nil || e.rackCouldHold(u) {
		return best
	}
	return pack(u, r, e.prefer(u, r, fit))
}

// rackCouldHold reports whether a rack could hold u if it were empty.
func (e *Engine) rackCouldHold(u *unit) bool {
	sum := make(map[string]int)
	for _, w := range e.workers {
		if w.announced != nil && !w.announced.Draining && e.suits(u, w) {
			n := holds(u, w, w.announced.Capacity)
			if limit := u.spec().MaxPerWorker; limit > 0 {
				n = min(n, limit)
			}
			sum[w.announced.Rack] += n
		}
	}
	for _, n := range sum {
		if n >= u.count {
			return true
		}
	}
	return false
}

// prefer orders workers for u: near its data, not one on which it failed, and
// then the tightest, so that whole workers stay free for large items.
func (e *Engine) prefer(u *unit, r *room, workers []*worker) []*worker {
	rank := func(w *worker) int {
		n := 0
		if u.failedOn[w.key] {
			n += 2
		}
		if p := u.spec().PreferredRack; p != "" && w.announced.Rack != p {
			n++
		}
		return n
	}
	out := slices.Clone(workers)
	slices.SortStableFunc(out, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(r.free[a.index].Accelerators, r.free[b.index].Accelerators),
			cmp.Compare(r.free[a.index].MilliCPU, r.free[b.index].MilliCPU),
		)
	})
	return out
}

// pack fills the workers in their order.
func pack(u *unit, r *room, workers []*worker) []*worker {
	on := make([]*worker, 0, u.count)
	for _, w := range workers {
		for range min(holds(u, w, r.free[w.index]), u.count-len(on)) {
			on = append(on, w)
		}
		if len(on) == u.count {
			return on
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
