package engine

import (
	"cmp"
	"time"

	"snipegw/internal/workflow"
)

const (
	// remoteFactor is how many times as long a gang that prefers one rack takes on several, as the
	// platform states it.
	remoteFactor = 3
	// maxIdleRackWait is the longest wait for one rack while less than half of the pool is in use,
	// and of long-running gangs, whose estimate does not tell what spreading costs. Callers are
	// promised that no item stays unstarted for 3 s beside ample room; half of that is left for
	// the start.
	maxIdleRackWait = 1500 * time.Millisecond
)

// poolView holds what one decision learns of the whole pool. All copies of its free resources
// share it.
type poolView struct {
	workers []*worker // the usable ones
	// The following cache the results of lastingRoom, by class and worker.index, rackCouldHold and
	// isPoolIdle.
	lastingRoom [classOther + 1][]workflow.Resources
	rackHolds   map[rackShape]bool
	idle        map[idleKey]bool
}

// rackShape holds all properties of a gang that decide the result of rackCouldHold.
type rackShape struct {
	shape        shape
	class        int
	maxPerWorker int
}

// idleKey holds all properties of a unit that decide the result of isPoolIdle.
type idleKey struct {
	service      string
	accelerators bool
}

// prefersOneRack reports whether u is a gang that takes longer on several racks.
func (u *unit) prefersOneRack() bool { return u.count > 1 && u.spec().SameRack }

// spansRacks reports whether the latest run of u is slowed down because it runs on several racks.
func (u *unit) spansRacks() bool {
	if !u.prefersOneRack() {
		return false
	}
	racks := make(map[string]bool)
	for _, m := range u.members {
		if m.worker.announcement != nil {
			racks[m.worker.announcement.Rack] = true
		}
	}
	return len(racks) > 1
}

// placeInRack places a gang in one rack: in the fitting one on whose workers it has met the
// fewest setbacks, then in the preferred one, or else in the one that is fastest and then
// has the fewest free accelerators. It spreads the gang over racks if it does not wait for one
// (awaitsRack).
func (e *Engine) placeInRack(u *unit, r *freeResources, fitting []*worker) []*worker {
	racks := make(map[string][]*worker)
	for _, w := range fitting {
		racks[w.announcement.Rack] = append(racks[w.announcement.Rack], w)
	}
	var best []*worker
	bestFree, bestSlowness, bestSetbacks := int64(-1), 0.0, 0
	for _, rack := range sortedKeys(racks) {
		placement := pack(u, r, e.sortByPreference(u, r, racks[rack]))
		if placement == nil {
			continue
		}
		freeInRack := int64(0)
		for _, w := range racks[rack] {
			freeInRack += r.free[w.index].Accelerators
		}
		setbacks, slowness := u.setbacksOn(placement), slowest(placement)
		if rack == u.spec().PreferredRack {
			slowness = 0 // before all others
		}
		if best == nil || cmp.Or(cmp.Compare(setbacks, bestSetbacks), cmp.Compare(slowness, bestSlowness), cmp.Compare(freeInRack, bestFree)) < 0 {
			best, bestFree, bestSlowness, bestSetbacks = placement, freeInRack, slowness, setbacks
		}
	}
	if best != nil || e.awaitsRack(u, r) {
		return best
	}
	return pack(u, r, e.sortByPreference(u, r, fitting))
}

// setbacksOn returns the sum of the setbacks that u has met on the workers of its items.
func (u *unit) setbacksOn(placement []*worker) int {
	n := 0
	for _, w := range placement {
		n += u.setbacks[w.incarnation]
	}
	return n
}

// awaitsRack reports whether u waits for room in one rack instead of starting on several. It does
// so if a rack could hold it, but no longer than maxRackWait after the moment from which it could
// have started on several.
func (e *Engine) awaitsRack(u *unit, r *freeResources) bool {
	if !u.prefersOneRack() || u.rackGivenUp {
		return false
	}
	if !u.rackWaitSince.IsZero() {
		waited := r.now.Sub(u.rackWaitSince)
		if waited >= min(e.spreadCost(u), maxIdleRackWait) && waited >= e.maxRackWait(u, r) {
			return false
		}
	}
	return e.workersSettling(r.now) || e.rackCouldHold(u, r)
}

// spreadCost returns what u loses on several racks against one, and so the longest wait for one
// rack that is worth it.
func (e *Engine) spreadCost(u *unit) time.Duration {
	return (remoteFactor - 1) * e.estimates.duration(u)
}

// maxRackWait returns how long u waits for one rack.
func (e *Engine) maxRackWait(u *unit, r *freeResources) time.Duration {
	if cost := e.spreadCost(u); cost <= maxIdleRackWait || !u.spec().LongRunning && !e.isPoolIdle(u, r) {
		return cost
	}
	return maxIdleRackWait
}

// isPoolIdle reports whether less than half of the accelerators of u's service are in use, or of its
// processors if u needs no accelerators.
func (e *Engine) isPoolIdle(u *unit, r *freeResources) bool {
	key := idleKey{e.config.ServiceOf(u.job.rec), u.spec().Accelerators > 0}
	idle, known := r.pool.idle[key]
	if !known {
		var free, total int64
		for _, w := range r.pool.workers {
			if w.announcement.Service != key.service {
				continue
			}
			f, c := w.free(), w.announcement.Capacity
			if key.accelerators {
				free, total = free+max(f.Accelerators, 0), total+c.Accelerators
			} else {
				free, total = free+max(f.MilliCPU, 0), total+c.MilliCPU
			}
		}
		idle = 2*free > total
		r.pool.idle[key] = idle
	}
	return idle
}

// noteRackWait records that u, which has found no room, could start if it did not wait for one rack.
func (e *Engine) noteRackWait(u *unit, r *freeResources) {
	if u.prefersOneRack() && u.rackWaitSince.IsZero() && e.fitsOnRacks(u, r) {
		u.rackWaitSince = r.now
	}
}

// fitsOnRacks reports whether the free resources hold all items of u, on as many racks as it takes.
func (e *Engine) fitsOnRacks(u *unit, r *freeResources) bool {
	n := 0
	for _, w := range r.workers {
		if !r.closed[w] && e.isEligible(u, w) && r.mayShare(u, w) {
			n += max(0, itemsThatFit(u, w, r.free[w.index]))
		}
		if n >= u.count {
			return true
		}
	}
	return false
}

// rackCouldHold reports whether the usable workers of some rack could hold all of u, without what
// items hold there that last and that u may not preempt.
func (e *Engine) rackCouldHold(u *unit, r *freeResources) bool {
	key := rackShape{shape: e.shape(u), class: e.classOf(u.job), maxPerWorker: u.spec().MaxPerWorker}
	could, known := r.pool.rackHolds[key]
	if known {
		return could
	}
	room := e.lastingRoom(key.class, r)
	itemsByRack := make(map[string]int)
	for _, w := range r.pool.workers {
		if e.isEligible(u, w) && e.mayShareLater(u, key.class, w) {
			rack := w.announcement.Rack
			itemsByRack[rack] += max(0, itemsThatFit(u, w, room[w.index]))
			if itemsByRack[rack] >= u.count {
				could = true
				break
			}
		}
	}
	r.pool.rackHolds[key] = could
	return could
}

// lastingRoom returns the capacity of the usable workers that a unit of the given class can expect
// to have in time: all but what long-running items hold that the class may not preempt.
func (e *Engine) lastingRoom(class int, r *freeResources) []workflow.Resources {
	if r.pool.lastingRoom[class] == nil {
		room := make([]workflow.Resources, len(e.sortedWorkers))
		for _, w := range r.pool.workers {
			room[w.index] = w.announcement.Capacity
			for _, m := range w.members {
				if e.holdsForLong(m.unit, class) {
					room[w.index] = room[w.index].Add(m.unit.spec().Needs(), -1)
				}
			}
		}
		r.pool.lastingRoom[class] = room
	}
	return r.pool.lastingRoom[class]
}

// holdsForLong reports whether a unit holds its room until its job is cancelled, and a unit of the
// given class may not preempt it.
func (e *Engine) holdsForLong(v *unit, class int) bool {
	return v.spec().LongRunning && !e.mayPreempt(&candidate{class: class}, v)
}
