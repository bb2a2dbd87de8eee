package replay

import (
	"fmt"
	"sort"
	"strings"

	"snipegw/internal/model"
)

// The budget of a search for a packing is a number of placements. Each placement
// looks at every worker, so the budget shrinks as the pool grows. A search that
// runs out of its budget counts as unknown and never as a violation.
const (
	maxPackBudget = 20_000  // placements
	maxPackWork   = 500_000 // placements times workers
)

// packResult is the result of a search for a packing.
type packResult int

const (
	packs packResult = iota
	doesNotPack
	packUnknown // the search ran out of its budget
)

// packAll searches for a placement of all shapes in free at the same time. Shapes
// that are hard to place come first. For each shape it tries every group, but
// only one of several groups with the same free resources.
func (p *pool) packAll(shapes []model.Shape, free []model.Resources) packResult {
	ordered := append([]model.Shape(nil), shapes...)
	sort.SliceStable(ordered, func(a, b int) bool { return isHarderToPlace(ordered[a], ordered[b]) })
	s := &packSearch{pool: p, free: append([]model.Resources(nil), free...), budget: min(maxPackBudget, maxPackWork/len(p.workers)+len(shapes))}
	if s.placeAll(ordered) {
		return packs
	}
	if s.budget <= 0 {
		return packUnknown
	}
	return doesNotPack
}

// adjacencyScope ranks adjacencies from the tightest scope, one host, to the
// widest, the whole pool.
var adjacencyScope = map[model.Adjacency]int{
	model.AdjacentHost: 0, model.AdjacentRack: 1, model.AdjacentFailureDomain: 2, model.AdjacentAny: 3,
}

// isHarderToPlace reports whether the search places a before b: larger tasks come
// first, then gangs before single tasks, then tighter adjacency, then more tasks.
func isHarderToPlace(a, b model.Shape) bool {
	if a.AcceleratorsPerTask != b.AcceleratorsPerTask {
		return a.AcceleratorsPerTask > b.AcceleratorsPerTask
	}
	if (a.Tasks > 1) != (b.Tasks > 1) {
		return a.Tasks > 1
	}
	if a.Adjacent != b.Adjacent {
		return adjacencyScope[a.Adjacent] < adjacencyScope[b.Adjacent]
	}
	return a.Tasks > b.Tasks
}

// packSearch is a backtracking search for a packing.
type packSearch struct {
	pool   *pool
	free   []model.Resources
	budget int // placements that are left
}

// placeAll reports whether it found a placement for all shapes, which it then
// leaves allocated. It returns false too when the budget is used up.
func (s *packSearch) placeAll(shapes []model.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	shape := shapes[0]
	tried := map[string]bool{}
	for _, group := range s.feasibleGroups(shape) {
		signature := s.groupSignature(group, shape)
		if tried[signature] {
			continue
		}
		tried[signature] = true
		ranks := s.pool.fitGroup(shape, s.free, sortedByFree(group, s.free))
		if ranks == nil {
			continue
		}
		if s.budget--; s.budget <= 0 {
			return false
		}
		allocate(s.free, shape.PerTask(), ranks)
		if s.placeAll(shapes[1:]) {
			return true
		}
		release(s.free, shape.PerTask(), ranks)
	}
	return false
}

// feasibleGroups returns the candidate groups with enough free accelerators for
// shape, those with the fewest first.
func (s *packSearch) feasibleGroups(shape model.Shape) [][]int {
	candidates := s.pool.candidateGroups(shape)
	groups := make([][]int, 0, len(candidates))
	freeByFirstWorker := make(map[int]int, len(candidates))
	for _, g := range candidates {
		n := 0
		for _, w := range g {
			if s.pool.up[w] {
				n += s.free[w].Accelerators
			}
		}
		if n >= shape.Accelerators() {
			groups = append(groups, g)
			freeByFirstWorker[g[0]] = n
		}
	}
	sort.SliceStable(groups, func(a, b int) bool { return freeByFirstWorker[groups[a][0]] < freeByFirstWorker[groups[b][0]] })
	return groups
}

// groupSignature returns a key that is equal for groups with the same free
// resources. For a single host the key also holds its rack: a later gang may need
// the rest of that rack, so that equal hosts of different racks are not
// interchangeable.
func (s *packSearch) groupSignature(group []int, shape model.Shape) string {
	var b strings.Builder
	for _, w := range sortedByFree(group, s.free) {
		if s.pool.up[w] {
			fmt.Fprint(&b, s.free[w], ";")
		}
	}
	if len(group) == 1 && shape.Adjacent == model.AdjacentHost {
		b.WriteString(s.pool.workers[group[0]].Rack)
	}
	return b.String()
}
