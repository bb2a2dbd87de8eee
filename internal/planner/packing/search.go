package packing

import (
	"slices"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// maxSearchSteps bounds the placements tried in one search. The sets of guarantees
// in use pack within a few dozen steps. A search that reaches the bound fails.
const maxSearchSteps = 400

// packSearch packs shapes into the room of workers by bounded backtracking over
// groups of workers.
type packSearch struct {
	pool      *pool.Pool
	rooms     []model.Resources // by worker index
	places    [][]int           // worker indices, by shape
	stepsLeft int
	order     []int
}

// packAll finds a place for every shape, in the given order of shapes. It reports
// whether all were placed.
func (s *packSearch) packAll(shapes []model.Shape) bool {
	s.places = make([][]int, len(shapes))
	return s.packFrom(shapes, 0)
}

// packFrom places the shapes from index at on. It tries only one of several equivalent
// groups, and reports false if a shape finds no place or the steps are used up.
func (s *packSearch) packFrom(shapes []model.Shape, at int) bool {
	if at == len(shapes) {
		return true
	}
	shape := shapes[at]
	var tried []group
	for _, g := range s.feasibleGroups(shape) {
		if slices.ContainsFunc(tried, func(o group) bool { return s.isEquivalent(o, g) }) {
			continue
		}
		tried = append(tried, g)
		if s.stepsLeft--; s.stepsLeft < 0 {
			return false
		}
		place := s.fillFullestFirst(shape, g.Range)
		s.adjustRooms(place, shape.PerTask(), -1)
		s.places[at] = place
		if s.packFrom(shapes, at+1) {
			return true
		}
		s.adjustRooms(place, shape.PerTask(), 1)
	}
	return false
}

// group is a range of workers: one worker, a rack, a failure domain or the pool.
type group struct {
	pool.Range
	freeAccelerators int
	rack             string
}

// feasibleGroups returns the groups in which a shape fits, those with the fewest free
// accelerators first.
func (s *packSearch) feasibleGroups(shape model.Shape) []group {
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
			n += pool.CountFitting(s.rooms[i], shape.PerTask(), shape.Tasks)
			free += s.rooms[i].Accelerators
		}
		if n >= shape.Tasks {
			out = append(out, group{r, free, s.pool.Workers[r.From].Rack})
		}
	}
	slices.SortStableFunc(out, func(a, b group) int { return a.freeAccelerators - b.freeAccelerators })
	return out
}

// isEquivalent reports whether two groups offer the same room. Single workers of
// different racks differ, since a gang may need the rest of the rack.
func (s *packSearch) isEquivalent(a, b group) bool {
	if a.To-a.From != b.To-b.From || a.freeAccelerators != b.freeAccelerators || a.To-a.From == 1 && a.rack != b.rack {
		return false
	}
	return slices.Equal(s.rooms[a.From:a.To], s.rooms[b.From:b.To])
}

// fillFullestFirst returns a place for a shape in a group, on the workers with the
// fewest free accelerators first.
func (s *packSearch) fillFullestFirst(shape model.Shape, r pool.Range) []int {
	s.order = s.order[:0]
	for i := r.From; i < r.To; i++ {
		s.order = append(s.order, i)
	}
	slices.SortStableFunc(s.order, func(a, b int) int {
		return firstNonZero(s.rooms[a].Accelerators-s.rooms[b].Accelerators, s.rooms[a].Cores-s.rooms[b].Cores)
	})
	place := make([]int, 0, shape.Tasks)
	for _, i := range s.order {
		for range pool.CountFitting(s.rooms[i], shape.PerTask(), shape.Tasks-len(place)) {
			place = append(place, i)
		}
	}
	return place
}

// adjustRooms subtracts a task of size per from the room of each worker of a place if
// sign is negative, and adds it otherwise.
func (s *packSearch) adjustRooms(place []int, per model.Resources, sign int) {
	for _, i := range place {
		if sign < 0 {
			s.rooms[i] = s.rooms[i].Sub(per)
		} else {
			s.rooms[i] = s.rooms[i].Add(per)
		}
	}
}

// searchPlaces packs the given slots again into the room that the pinned slots leave
// on the workers that accept slots, and moves them there. It reports whether all
// found a place; if not, nothing changes.
func (p *Plan) searchPlaces(slots []*Slot) bool {
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *Slot) int { return packingOrders[0](a.Shape, b.Shape) })
	shapes := make([]model.Shape, len(sorted))
	for i, s := range sorted {
		shapes[i] = s.Shape
	}
	search := &packSearch{pool: p.pool, rooms: make([]model.Resources, len(p.pool.Workers)), stepsLeft: maxSearchSteps}
	for i, w := range p.pool.Workers {
		if w.AcceptsSlots() {
			search.rooms[i] = w.Capacity.Sub(w.Pinned)
		}
	}
	if !search.packAll(shapes) {
		return false
	}
	for _, s := range sorted {
		p.unplace(s)
	}
	for i, s := range sorted {
		workers := make([]*pool.Worker, 0, s.Shape.Tasks)
		for _, at := range search.places[i] {
			workers = append(workers, p.pool.Workers[at])
		}
		p.setPlace(s, workers)
	}
	return true
}

// outOfUseWeight is the extra weight in Exposure of a worker that is out of use at
// present: when the other absent workers return, it may be the one that is still lost.
const outOfUseWeight = 10

// maxExposureWorkers is the largest pool, in workers, for which Exposure considers the
// loss of each worker. In larger pools one worker is a small part of the room that the
// guarantees leave over.
const maxExposureWorkers = 64

// Exposure returns the weighted number of workers whose loss would leave guarantees
// without a place because of the pinned slots: the guarantees would still pack into
// the rest of the pool if it were idle. Workers that are out of use at present count
// as returned, since pinned slots may outlast their absence. Slots of jobs for which
// ended reports true count as not claimed. In pools of more than maxExposureWorkers
// workers the exposure is 0.
func (p *Plan) Exposure(ended func(job string) bool) int {
	if len(p.pool.Workers) > maxExposureWorkers {
		return 0
	}
	n := 0
	for _, w := range p.pool.Workers {
		if !p.idlePoolPacksWithout(w) || p.packsWithout(w, ended) {
			continue
		}
		n++
		if !w.AcceptsSlots() {
			n += outOfUseWeight
		}
	}
	return n
}

// idlePoolPacksWithout reports whether all slots pack without a worker if no slot is
// pinned.
func (p *Plan) idlePoolPacksWithout(lost *pool.Worker) bool {
	if p.idlePacksWithout == nil {
		p.idlePacksWithout = make(map[*pool.Worker]bool)
	}
	fits, known := p.idlePacksWithout[lost]
	if !known {
		fits = p.packsWithout(lost, func(string) bool { return true })
		p.idlePacksWithout[lost] = fits
	}
	return fits
}

// packsWithout reports whether the slots pack without a worker into the room that is
// not pinned elsewhere by jobs that have not ended.
func (p *Plan) packsWithout(lost *pool.Worker, ended func(job string) bool) bool {
	search := &packSearch{pool: p.pool, rooms: make([]model.Resources, len(p.pool.Workers)), stepsLeft: maxSearchSteps}
	for i, w := range p.pool.Workers {
		if w != lost {
			search.rooms[i] = w.Capacity
		}
	}
	runs := func(s *Slot) bool { return s.Pinned && !ended(s.Job) && !slices.Contains(s.Workers, lost) }
	var shapes []model.Shape
	for _, s := range p.Slots {
		switch {
		case runs(s):
			for _, w := range s.Workers {
				search.rooms[w.Index] = search.rooms[w.Index].Sub(s.Shape.PerTask())
			}
		case s.Team != "" && (s.Outside == nil || !runs(s.Outside)):
			shapes = append(shapes, s.Shape)
		}
	}
	slices.SortStableFunc(shapes, packingOrders[0])
	return search.packAll(shapes)
}

// packingOrders are the orders in which shapes are packed, of which rearrange takes
// the one that places the most. No single order packs every set that can be packed.
var packingOrders = []func(a, b model.Shape) int{
	func(a, b model.Shape) int {
		return firstNonZero(b.AcceleratorsPerTask-a.AcceleratorsPerTask, adjacencyWidth(a.Adjacent)-adjacencyWidth(b.Adjacent),
			b.Tasks-a.Tasks, b.CoresPerTask-a.CoresPerTask, b.MemoryGBPerTask-a.MemoryGBPerTask)
	},
	func(a, b model.Shape) int {
		return firstNonZero(b.Accelerators()-a.Accelerators(), adjacencyWidth(a.Adjacent)-adjacencyWidth(b.Adjacent),
			b.Tasks*b.CoresPerTask-a.Tasks*a.CoresPerTask, b.MemoryGBPerTask-a.MemoryGBPerTask)
	},
	func(a, b model.Shape) int {
		return firstNonZero(adjacencyWidth(a.Adjacent)-adjacencyWidth(b.Adjacent), b.Accelerators()-a.Accelerators(),
			b.AcceleratorsPerTask-a.AcceleratorsPerTask, b.Tasks*b.CoresPerTask-a.Tasks*a.CoresPerTask)
	},
}

func firstNonZero(differences ...int) int {
	for _, d := range differences {
		if d != 0 {
			return d
		}
	}
	return 0
}
