package replay

import (
	"sort"

	"snipegw/internal/model"
)

// pool holds the workers by their position in racks and failure domains, and the
// free resources of each. Workers are named by their index. The engine, the
// checker and the baselines each have a pool of their own.
type pool struct {
	workers []model.Worker
	index   map[string]int
	free    []model.Resources
	up      []bool // whether the worker can be used
	// groups holds for each adjacency the groups of workers in each of which a
	// gang of that adjacency may be placed.
	groups map[model.Adjacency][][]int
}

func newPool(workers []model.Worker) *pool {
	p := &pool{
		workers: workers,
		index:   make(map[string]int, len(workers)),
		free:    make([]model.Resources, len(workers)),
		up:      make([]bool, len(workers)),
		groups:  make(map[model.Adjacency][][]int),
	}
	racks := map[string][]int{}
	domains := map[string][]int{}
	all := make([]int, len(workers))
	for i, w := range workers {
		p.index[w.ID] = i
		p.free[i] = w.Capacity
		p.up[i] = true
		racks[w.Rack] = append(racks[w.Rack], i)
		domains[w.FailureDomain] = append(domains[w.FailureDomain], i)
		all[i] = i
		p.groups[model.AdjacentHost] = append(p.groups[model.AdjacentHost], []int{i})
	}
	p.groups[model.AdjacentRack] = sortedGroups(racks)
	p.groups[model.AdjacentFailureDomain] = sortedGroups(domains)
	p.groups[model.AdjacentAny] = [][]int{all}
	return p
}

// sortedGroups returns the groups in order of their names, so that searches are
// deterministic.
func sortedGroups(byName map[string][]int) [][]int {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	groups := make([][]int, len(names))
	for i, name := range names {
		groups[i] = byName[name]
	}
	return groups
}

// candidateGroups returns the groups of workers in each of which a gang of shape s
// may be placed. A single task satisfies every adjacency; for it the groups only
// set the order of the search.
func (p *pool) candidateGroups(s model.Shape) [][]int {
	if g, ok := p.groups[s.Adjacent]; ok {
		return g
	}
	return p.groups[model.AdjacentAny]
}

// tasksThatFit returns how many tasks of the given size fit into free, at most
// limit.
func tasksThatFit(perTask, free model.Resources, limit int) int {
	n := limit
	if perTask.Accelerators > 0 {
		n = min(n, free.Accelerators/perTask.Accelerators)
	}
	if perTask.Cores > 0 {
		n = min(n, free.Cores/perTask.Cores)
	}
	if perTask.MemoryGB > 0 {
		n = min(n, free.MemoryGB/perTask.MemoryGB)
	}
	return max(n, 0)
}

// fitGroup fills the workers of group in order with the tasks of s and returns
// the worker of each rank, or nil if they do not fit. Since all tasks have the
// same size, the order decides where they go but not whether they fit.
func (p *pool) fitGroup(s model.Shape, free []model.Resources, group []int) []int {
	perTask := s.PerTask()
	ranks := make([]int, 0, s.Tasks)
	for _, w := range group {
		if !p.up[w] {
			continue
		}
		for range tasksThatFit(perTask, free[w], s.Tasks-len(ranks)) {
			ranks = append(ranks, w)
		}
		if len(ranks) == s.Tasks {
			return ranks
		}
	}
	return nil
}

// firstFit returns a placement of s in the first group that has room, or nil.
func (p *pool) firstFit(s model.Shape, free []model.Resources) []int {
	for _, group := range p.candidateGroups(s) {
		if ranks := p.fitGroup(s, free, group); ranks != nil {
			return ranks
		}
	}
	return nil
}

// bestFit returns a placement of s in the group with the fewest free
// accelerators, on its fullest workers first, or nil if s fits nowhere.
func (p *pool) bestFit(s model.Shape, free []model.Resources) []int {
	var best []int
	bestLeft := 0
	for _, group := range p.candidateGroups(s) {
		ranks := p.fitGroup(s, free, sortedByFree(group, free))
		if ranks == nil {
			continue
		}
		left := 0
		for _, w := range group {
			if p.up[w] {
				left += free[w].Accelerators
			}
		}
		if best == nil || left < bestLeft {
			best, bestLeft = ranks, left
		}
	}
	return best
}

// sortedByFree returns the workers of group by free accelerators, the fullest
// worker first.
func sortedByFree(group []int, free []model.Resources) []int {
	if len(group) == 1 {
		return group
	}
	sorted := append([]int(nil), group...)
	sort.SliceStable(sorted, func(a, b int) bool {
		return free[sorted[a]].Accelerators < free[sorted[b]].Accelerators
	})
	return sorted
}

// allocate subtracts the resources of a gang from free.
func allocate(free []model.Resources, perTask model.Resources, ranks []int) {
	for _, w := range ranks {
		free[w] = free[w].Sub(perTask)
	}
}

// release adds the resources of a gang back to free.
func release(free []model.Resources, perTask model.Resources, ranks []int) {
	for _, w := range ranks {
		free[w] = free[w].Add(perTask)
	}
}

// fitsEmptyPool reports whether s fits when nothing runs and all workers are up.
func (p *pool) fitsEmptyPool(s model.Shape) bool {
	empty := newPool(p.workers)
	return empty.firstFit(s, empty.free) != nil
}

// usableAccelerators returns how many of the free accelerators can be filled
// with copies of s without moving a running gang.
func (p *pool) usableAccelerators(s model.Shape) int {
	free := append([]model.Resources(nil), p.free...)
	used := 0
	for _, group := range p.candidateGroups(s) {
		sorted := sortedByFree(group, free)
		for {
			ranks := p.fitGroup(s, free, sorted)
			if ranks == nil {
				break
			}
			allocate(free, s.PerTask(), ranks)
			used += s.Accelerators()
		}
	}
	return used
}

// freeAccelerators returns the free accelerators of the workers that are up.
func (p *pool) freeAccelerators() int {
	n := 0
	for i, f := range p.free {
		if p.up[i] {
			n += f.Accelerators
		}
	}
	return n
}
