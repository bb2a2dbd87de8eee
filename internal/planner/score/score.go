// Package score chooses the workers of a gang by direct search over the number of
// tasks that fit on each worker and in each rack or failure domain.
//
// A group is a worker, a rack, a failure domain or the whole pool, depending on the
// adjacency. It is feasible if enough tasks fit on its workers. Among the feasible
// groups, the one with the lowest sum of worker costs wins. Ties go to the group with
// the fewest free accelerators, so that whole racks stay free, and then to the first
// one in the order of the pool. Within a group, tasks go to the cheapest workers
// first: to those that are partly used, and to workers without accelerators if the
// tasks need none.
package score

import (
	"cmp"
	"slices"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// Request describes one search.
type Request struct {
	Shape model.Shape
	// Room returns the resources that the gang may use on a worker.
	Room func(w *pool.Worker) model.Resources
	// Cost returns the cost of running the given number of tasks on a worker, which is
	// added to the cost of the accelerators that stay unused; nil adds none.
	Cost func(w *pool.Worker, tasks int) float64
	// Exclude reports whether a worker must not be chosen; nil excludes none.
	Exclude func(w *pool.Worker) bool
	// IncludeUnusable also admits workers that are out of use.
	IncludeUnusable bool
}

// Finder runs searches and reuses its buffers between them. Its zero value is ready
// to use.
type Finder struct {
	counts     []int
	candidates []candidate
	best       []candidate
}

// candidate is a worker with the number of tasks that would run on it.
type candidate struct {
	w     *pool.Worker
	count int
	cost  float64
}

// Find returns the worker of each task by rank, nil if the gang does not fit.
func (f *Finder) Find(p *pool.Pool, r Request) []*pool.Worker {
	f.countTasks(p, r)
	bestCost, bestLeft, found := 0.0, 0, false
	try := func(from, to int) {
		total := 0
		for i := from; i < to; i++ {
			total += f.counts[i]
		}
		if total < r.Shape.Tasks {
			return
		}
		cost := f.pickCheapest(p, r, from, to)
		left := freeAccelerators(p, from, to)
		if found && (cost > bestCost || cost == bestCost && left >= bestLeft) {
			return
		}
		bestCost, bestLeft, found = cost, left, true
		f.best = append(f.best[:0], f.candidates...)
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
	return workersByRank(f.best, r.Shape.Tasks)
}

// countTasks sets f.counts to the number of tasks that fit on each worker.
func (f *Finder) countTasks(p *pool.Pool, r Request) {
	per := r.Shape.PerTask()
	f.counts = slices.Grow(f.counts[:0], len(p.Workers))[:len(p.Workers)]
	for i, w := range p.Workers {
		f.counts[i] = 0
		if per.Accelerators > w.Capacity.Accelerators || !r.IncludeUnusable && !w.Usable() {
			continue
		}
		if r.Exclude != nil && r.Exclude(w) {
			continue
		}
		f.counts[i] = pool.CountFitting(r.Room(w), per, r.Shape.Tasks)
	}
}

// pickCheapest sets f.candidates to the cheapest workers of a group that hold all
// tasks, and returns the sum of their costs.
func (f *Finder) pickCheapest(p *pool.Pool, r Request, from, to int) float64 {
	f.candidates = f.candidates[:0]
	for i := from; i < to; i++ {
		n := f.counts[i]
		if n == 0 {
			continue
		}
		w := p.Workers[i]
		cost := leftoverCost(w, r, n)
		if r.Cost != nil {
			cost += r.Cost(w, n)
		}
		f.candidates = append(f.candidates, candidate{w, n, cost})
	}
	slices.SortFunc(f.candidates, func(a, b candidate) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return a.w.Index - b.w.Index
	})
	need, sum := r.Shape.Tasks, 0.0
	for i := range f.candidates {
		c := &f.candidates[i]
		c.count = min(c.count, need)
		need -= c.count
		sum += c.cost
		if need == 0 {
			f.candidates = f.candidates[:i+1]
			break
		}
	}
	return sum
}

// leftoverCost returns the cost of the accelerators that stay unused beside the tasks.
// Tasks without accelerators cost all accelerators of the worker, since they may make
// them unusable by taking its cores or memory.
func leftoverCost(w *pool.Worker, r Request, tasks int) float64 {
	room := r.Room(w)
	if r.Shape.AcceleratorsPerTask == 0 {
		return float64(w.Capacity.Accelerators) + 0.001*float64(room.Cores)
	}
	left := room.Accelerators - tasks*r.Shape.AcceleratorsPerTask
	cost := float64(left)
	if room.Accelerators == w.Capacity.Accelerators && left > 0 {
		cost += float64(left) // would leave a so far idle worker partly used
	}
	return cost
}

// freeAccelerators sums the free accelerators of a range of workers.
func freeAccelerators(p *pool.Pool, from, to int) int {
	sum := 0
	for i := from; i < to; i++ {
		sum += max(p.Workers[i].Free().Accelerators, 0)
	}
	return sum
}

// workersByRank lists the worker of each task.
func workersByRank(order []candidate, tasks int) []*pool.Worker {
	out := make([]*pool.Worker, 0, tasks)
	for _, c := range order {
		for i := 0; i < c.count && len(out) < tasks; i++ {
			out = append(out, c.w)
		}
	}
	return out
}
