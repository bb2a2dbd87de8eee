package replay

import (
	"fmt"
	"sort"
	"strings"

	"snipegw/internal/model"
)

// The search for a packing is bounded in placed gangs. On a large pool each
// placement looks at every worker, so that the bound shrinks with the pool; a
// search that reaches it counts as unknown and never as a violation.
const (
	maxPackBudget = 20_000
	maxPackWork   = 500_000 // placements times workers
)

// packResult is the result of a search.
type packResult int

const (
	packs packResult = iota
	doesNotPack
	packUnknown // the search ran out of its budget
)

// packAll reports whether all shapes fit into free at the same time. Large
// tasks and tight adjacency come first; for gangs every group is tried, and
// groups with the same free resources only once.
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

var adjacencyScope = map[model.Adjacency]int{
	model.AdjacentHost: 0, model.AdjacentRack: 1, model.AdjacentFailureDomain: 2, model.AdjacentAny: 3,
}

// isHarderToPlace orders shapes for the search: the size of a task, then gangs before
// single tasks, then tight adjacency, then the number of tasks.
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

type packSearch struct {
	pool   *pool
	free   []model.Resources
	budget int
}

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

// feasibleGroups returns the candidate groups with enough free accelerators, those with
// the least first.
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

// groupSignature describes the free resources of a group, for a host also those of
// its rack, since a later gang may need the rest of the rack.
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
