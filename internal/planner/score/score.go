// Package score finds the workers of a gang by direct search over the counts of
// tasks that fit on each worker and in each rack or failure domain.
//
// A group (worker, rack, failure domain or the pool, as the adjacency asks) is
// feasible if the counts of its workers reach the number of tasks. Among the
// feasible groups the one with the lowest sum of worker costs wins; ties go to
// the group that keeps the least room, so that whole racks stay free, and then
// to the order of the ids. Within a group, tasks go to the cheapest workers
// first: to those that are already in part used, and to workers without
// accelerators if the task needs none.
package score

import (
	"cmp"
	"slices"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// Request is one search.
type Request struct {
	Shape model.Shape
	// Room returns what the gang may take on a worker.
	Room func(w *pool.Worker) model.Resources
	// Cost returns the cost of a task on a worker in addition to that of the
	// room left over; nil is none.
	Cost func(w *pool.Worker, tasks int) float64
	// Exclude forbids workers; nil forbids none.
	Exclude func(w *pool.Worker) bool
	// Unusable also considers workers that are out of use.
	Unusable bool
}

// Finder holds buffers between searches.
type Finder struct {
	counts []int
	order  []choice
	best   []choice
}

type choice struct {
	w     *pool.Worker
	count int
	cost  float64
}

// Find returns the workers by rank, nil if there is no room.
func (f *Finder) Find(p *pool.Pool, r Request) []*pool.Worker {
	f.count(p, r)
	bestCost, bestLeft, found := 0.0, 0, false
	try := func(from, to int) {
		total := 0
		for i := from; i < to; i++ {
			total += f.counts[i]
		}
		if total < r.Shape.Tasks {
			return
		}
		cost := f.pick(p, r, from, to)
		left := freeAccelerators(p, from, to)
		if found && (cost > bestCost || cost == bestCost && left >= bestLeft) {
			return
		}
		bestCost, bestLeft, found = cost, left, true
		f.best = append(f.best[:0], f.order...)
	}
	switch r.Shape.Adjacent {
	case model.AdjacentHost:
		for i, n := range f.counts {
			if n >= r.Shape.Tasks {
				try(i, i+1)
			}
		}
	case model.AdjacentRack:
		for _, g := range p.Racks {
			try(g.From, g.To)
		}
	case model.AdjacentFailureDomain:
		for _, g := range p.Domains {
			try(g.From, g.To)
		}
	default:
		try(0, len(p.Workers))
	}
	if !found {
		return nil
	}
	return expand(f.best, r.Shape.Tasks)
}

func (f *Finder) count(p *pool.Pool, r Request) {
	per := r.Shape.PerTask()
	f.counts = slices.Grow(f.counts[:0], len(p.Workers))[:len(p.Workers)]
	for i, w := range p.Workers {
		f.counts[i] = 0
		if per.Accelerators > w.Capacity.Accelerators || !r.Unusable && !w.Usable() {
			continue
		}
		if r.Exclude != nil && r.Exclude(w) {
			continue
		}
		f.counts[i] = pool.CountFitting(r.Room(w), per, r.Shape.Tasks)
	}
}

// pick chooses workers within a group into f.order and returns their cost.
func (f *Finder) pick(p *pool.Pool, r Request, from, to int) float64 {
	f.order = f.order[:0]
	for i := from; i < to; i++ {
		n := f.counts[i]
		if n == 0 {
			continue
		}
		w := p.Workers[i]
		cost := leftover(w, r, n)
		if r.Cost != nil {
			cost += r.Cost(w, n)
		}
		f.order = append(f.order, choice{w, n, cost})
	}
	slices.SortFunc(f.order, func(a, b choice) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return a.w.Index - b.w.Index
	})
	need, sum := r.Shape.Tasks, 0.0
	for i := range f.order {
		c := &f.order[i]
		c.count = min(c.count, need)
		need -= c.count
		sum += c.cost
		if need == 0 {
			f.order = f.order[:i+1]
			break
		}
	}
	return sum
}

// leftover is the cost of the accelerators that stay free beside the tasks. A
// task without accelerators costs the accelerators that it may cut off.
func leftover(w *pool.Worker, r Request, tasks int) float64 {
	room := r.Room(w)
	if r.Shape.AcceleratorsPerTask == 0 {
		return float64(w.Capacity.Accelerators) + 0.001*float64(room.Cores)
	}
	left := room.Accelerators - tasks*r.Shape.AcceleratorsPerTask
	cost := float64(left)
	if room.Accelerators == w.Capacity.Accelerators && left > 0 {
		cost += float64(left) // breaks a whole host
	}
	return cost
}

func freeAccelerators(p *pool.Pool, from, to int) int {
	sum := 0
	for i := from; i < to; i++ {
		sum += max(p.Workers[i].Free().Accelerators, 0)
	}
	return sum
}

func expand(order []choice, tasks int) []*pool.Worker {
	out := make([]*pool.Worker, 0, tasks)
	for _, c := range order {
		for i := 0; i < c.count && len(out) < tasks; i++ {
			out = append(out, c.w)
		}
	}
	return out
}
