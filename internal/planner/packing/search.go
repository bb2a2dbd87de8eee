package packing

import (
	"slices"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// searchBudget bounds the gangs placed in one search. The sets of guarantees in
// use pack within a few dozen; a search that reaches the bound counts as failed.
const searchBudget = 400

// search packs shapes into rooms with bounded backtracking over groups.
type search struct {
	pool   *pool.Pool
	rooms  []model.Resources // by worker index
	places [][]int           // by shape
	budget int
	order  []int
}

// run finds a place for every shape; shapes are tried in the given order.
func (s *search) run(shapes []model.Shape) bool {
	s.places = make([][]int, len(shapes))
	return s.place(shapes, 0)
}

func (s *search) place(shapes []model.Shape, at int) bool {
	if at == len(shapes) {
		return true
	}
	shape := shapes[at]
	var tried []group
	for _, g := range s.groups(shape) {
		if slices.ContainsFunc(tried, func(o group) bool { return s.same(o, g) }) {
			continue
		}
		tried = append(tried, g)
		if s.budget--; s.budget < 0 {
			return false
		}
		place := s.fill(shape, g.Range)
		s.take(place, shape.PerTask(), -1)
		s.places[at] = place
		if s.place(shapes, at+1) {
			return true
		}
		s.take(place, shape.PerTask(), 1)
	}
	return false
}

type group struct {
	pool.Range
	free int
	rack string
}

// groups returns the ranges in which a shape fits, the fullest first.
func (s *search) groups(shape model.Shape) []group {
	var ranges []pool.Range
	switch {
	case shape.Adjacent == model.AdjacentHost || shape.Tasks == 1:
		for i := range s.rooms {
			ranges = append(ranges, pool.Range{From: i, To: i + 1})
		}
	case shape.Adjacent == model.AdjacentRack:
		ranges = s.pool.Racks
	case shape.Adjacent == model.AdjacentFailureDomain:
		ranges = s.pool.Domains
	default:
		ranges = []pool.Range{{From: 0, To: len(s.rooms)}}
	}
	var out []group
	for _, r := range ranges {
		n, free := 0, 0
		for i := r.From; i < r.To; i++ {
			n += pool.Count(s.rooms[i], shape.PerTask(), shape.Tasks)
			free += s.rooms[i].Accelerators
		}
		if n >= shape.Tasks {
			out = append(out, group{r, free, s.pool.Workers[r.From].Rack})
		}
	}
	slices.SortStableFunc(out, func(a, b group) int { return a.free - b.free })
	return out
}

// same reports whether two groups offer the same rooms. Single workers of
// different racks differ, since a gang may need the rest of the rack.
func (s *search) same(a, b group) bool {
	if a.To-a.From != b.To-b.From || a.free != b.free || a.To-a.From == 1 && a.rack != b.rack {
		return false
	}
	return slices.Equal(s.rooms[a.From:a.To], s.rooms[b.From:b.To])
}

// fill takes the fullest workers of a group first.
func (s *search) fill(shape model.Shape, r pool.Range) []int {
	s.order = s.order[:0]
	for i := r.From; i < r.To; i++ {
		s.order = append(s.order, i)
	}
	slices.SortStableFunc(s.order, func(a, b int) int {
		return compare(s.rooms[a].Accelerators-s.rooms[b].Accelerators, s.rooms[a].Cores-s.rooms[b].Cores)
	})
	place := make([]int, 0, shape.Tasks)
	for _, i := range s.order {
		for range pool.Count(s.rooms[i], shape.PerTask(), shape.Tasks-len(place)) {
			place = append(place, i)
		}
	}
	return place
}

func (s *search) take(place []int, per model.Resources, sign int) {
	for _, i := range place {
		if sign < 0 {
			s.rooms[i] = s.rooms[i].Sub(per)
		} else {
			s.rooms[i] = s.rooms[i].Add(per)
		}
	}
}

// solve packs the given slots anew into the sound workers beside the pinned
// slots and lays them there. It reports whether all found a place; if not,
// nothing changes.
func (p *Plan) solve(slots []*Slot) bool {
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *Slot) int { return orders[0](a.Shape, b.Shape) })
	shapes := make([]model.Shape, len(sorted))
	for i, s := range sorted {
		shapes[i] = s.Shape
	}
	run := &search{pool: p.pool, rooms: make([]model.Resources, len(p.pool.Workers)), budget: searchBudget}
	for i, w := range p.pool.Workers {
		if w.Sound() {
			run.rooms[i] = w.Capacity.Sub(w.Pinned)
		}
	}
	if !run.run(shapes) {
		return false
	}
	for _, s := range sorted {
		p.lift(s)
	}
	for i, s := range sorted {
		workers := make([]*pool.Worker, 0, s.Shape.Tasks)
		for _, at := range run.places[i] {
			workers = append(workers, p.pool.Workers[at])
		}
		p.put(s, workers)
	}
	return true
}

// absentWeight counts a worker that is out of use more than others: its loss is
// a fact as soon as the other absent workers return.
const absentWeight = 10

// maxSpared bounds the pools for which the loss of each worker is considered.
// In larger pools one worker is a small part of the room that is left over.
const maxSpared = 64

// Exposed counts, by weight, the workers whose loss would leave guarantees that
// do not pack beside the pinned slots, although they would pack into the idle
// rest of the pool. Workers that are out of use at present count as returned,
// since pinned slots may outlast their absence. Slots of jobs for which ended
// reports true count as not claimed.
func (p *Plan) Exposed(ended func(job string) bool) int {
	if len(p.pool.Workers) > maxSpared {
		return 0
	}
	n := 0
	for _, w := range p.pool.Workers {
		if !p.idleFits(w) || p.packsWithout(w, ended) {
			continue
		}
		n++
		if !w.Sound() {
			n += absentWeight
		}
	}
	return n
}

func (p *Plan) idleFits(lost *pool.Worker) bool {
	if p.spare == nil {
		p.spare = make(map[*pool.Worker]bool)
	}
	fits, known := p.spare[lost]
	if !known {
		fits = p.packsWithout(lost, func(string) bool { return true })
		p.spare[lost] = fits
	}
	return fits
}

// packsWithout reports whether the slots pack without a worker, beside those
// that are pinned elsewhere by jobs that have not ended.
func (p *Plan) packsWithout(lost *pool.Worker, ended func(job string) bool) bool {
	run := &search{pool: p.pool, rooms: make([]model.Resources, len(p.pool.Workers)), budget: searchBudget}
	for i, w := range p.pool.Workers {
		if w != lost {
			run.rooms[i] = w.Capacity
		}
	}
	runs := func(s *Slot) bool { return s.Pinned && !ended(s.Job) && !slices.Contains(s.Workers, lost) }
	var shapes []model.Shape
	for _, s := range p.Slots {
		switch {
		case runs(s):
			for _, w := range s.Workers {
				run.rooms[w.Index] = run.rooms[w.Index].Sub(s.Shape.PerTask())
			}
		case s.Team != "" && (s.Beside == nil || !runs(s.Beside)):
			shapes = append(shapes, s.Shape)
		}
	}
	slices.SortStableFunc(shapes, orders[0])
	return run.run(shapes)
}

// orders are the sequences in which shapes are packed, one after the other
// until one packs all. No single sequence packs every set that can be packed.
var orders = []func(a, b model.Shape) int{
	func(a, b model.Shape) int {
		return compare(b.AcceleratorsPerTask-a.AcceleratorsPerTask, width(a.Adjacent)-width(b.Adjacent),
			b.Tasks-a.Tasks, b.CoresPerTask-a.CoresPerTask, b.MemoryGBPerTask-a.MemoryGBPerTask)
	},
	func(a, b model.Shape) int {
		return compare(b.Accelerators()-a.Accelerators(), width(a.Adjacent)-width(b.Adjacent),
			b.Tasks*b.CoresPerTask-a.Tasks*a.CoresPerTask, b.MemoryGBPerTask-a.MemoryGBPerTask)
	},
	func(a, b model.Shape) int {
		return compare(width(a.Adjacent)-width(b.Adjacent), b.Accelerators()-a.Accelerators(),
			b.AcceleratorsPerTask-a.AcceleratorsPerTask, b.Tasks*b.CoresPerTask-a.Tasks*a.CoresPerTask)
	},
}

func compare(differences ...int) int {
	for _, d := range differences {
		if d != 0 {
			return d
		}
	}
	return 0
}
