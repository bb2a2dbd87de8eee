package planner

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/reclaim"
)

const (
	// moveSearchBudget divided by the number of workers bounds the sets of claims that
	// one search considers. Each set costs a packing search over the pool.
	moveSearchBudget = 8192
	// minMoveSearchBudget is the bound in large pools.
	minMoveSearchBudget = 8
	// maxExhaustiveMoves is the size of the largest sets that are searched
	// exhaustively. For larger ones the search starts with all claims and drops the
	// most expensive ones that need not move.
	maxExhaustiveMoves = 3
)

// maxEagerMoveCost bounds, in accelerator-seconds of lost work, the moves that are
// made before a claim needs the room. It is the cost of a gang of 2 tasks x 8
// accelerators that loses about 20 minutes.
const maxEagerMoveCost = 20000

// movableClaim is a claim that may be stopped and started at another place.
type movableClaim struct {
	claimant *job
	cost     float64
}

// restorePacking moves claims when unclaimed guarantees have no place although the
// healthy pool could hold all guarantees. If it could not, claims move only to make
// room for waiting claims. Nothing moves if the claims that are already stopping free
// enough room. A moved claim keeps its guarantee. It restarts as soon as it has
// stopped, at a place that Repack finds for all slots together.
func (p *Planner) restorePacking(now time.Time) {
	if !p.plan.HasUnplacedSlot(false) {
		return
	}
	claims, leaving := p.movableClaims(now)
	for _, claimed := range []bool{false, true} {
		if !p.plan.HasUnplacedSlot(claimed) || p.packsAfter(claimed, leaving, nil) {
			return
		}
		if set := p.cheapestMoves(claimed, claims, leaving); set != nil {
			if isCheap(set) || p.plan.HasUnplacedSlot(true) {
				p.moveClaims(now, set)
			}
			return
		}
	}
}

// isCheap reports whether a set of claims is worth moving before a claim needs the
// room.
func isCheap(set []movableClaim) bool {
	sum := 0.0
	for _, c := range set {
		sum += c.cost
	}
	return sum <= maxEagerMoveCost
}

// movableClaims returns the claims with a pinned place that run or are nominated,
// cheapest first, and the ids of those that are already stopping.
func (p *Planner) movableClaims(now time.Time) (claims []movableClaim, leaving []string) {
	for _, j := range p.claimants {
		switch {
		case p.jobs[j.ID] != j || !j.hasPinnedPlace() || j.gang == nil:
		case j.state == stopping:
			leaving = append(leaving, j.ID)
		case j.state == nominated:
			claims = append(claims, movableClaim{j, 0})
		default:
			claims = append(claims, movableClaim{j, reclaim.Cost(j.gang, now)})
		}
	}
	slices.SortStableFunc(claims, func(a, b movableClaim) int { return cmp.Compare(a.cost, b.cost) })
	return claims, leaving
}

// packsAfter reports whether the guarantees pack once the claims in leaving and set
// have given up their places. With claimed set, only claimed guarantees count.
func (p *Planner) packsAfter(claimed bool, leaving []string, set []movableClaim) bool {
	return p.plan.PacksAfter(claimed, func(id string) bool {
		return slices.Contains(leaving, id) ||
			slices.ContainsFunc(set, func(c movableClaim) bool { return c.claimant.ID == id })
	})
}

// cheapestMoves returns the smallest set of claims whose move makes the guarantees
// pack, among sets of the same size the one that loses the least work. It returns
// nil if there is none. The set may be larger than needed if the budget runs out or if
// more than maxExhaustiveMoves claims have to move.
func (p *Planner) cheapestMoves(claimed bool, claims []movableClaim, leaving []string) []movableClaim {
	if len(claims) == 0 || !p.packsAfter(claimed, leaving, claims) {
		return nil
	}
	s := moveSearch{claims: claims, budget: max(minMoveSearchBudget, moveSearchBudget/len(p.pool.Workers)),
		packs: func(set []movableClaim) bool { return p.packsAfter(claimed, leaving, set) }}
	for n := 1; n <= maxExhaustiveMoves && s.best == nil && s.budget > 0; n++ {
		s.extend(0, n, 0, nil)
	}
	if s.best != nil {
		return s.best
	}
	set := slices.Clone(claims)
	for i := len(set) - 1; i >= 0 && s.budget > -minMoveSearchBudget; i-- {
		s.budget--
		if fewer := slices.Delete(slices.Clone(set), i, i+1); s.packs(fewer) {
			set = fewer
		}
	}
	return set
}

// moveSearch searches the sets of claims of a given size for the cheapest one that
// makes the guarantees pack.
type moveSearch struct {
	claims []movableClaim
	packs  func([]movableClaim) bool
	budget int
	best   []movableClaim
	cost   float64
}

// extend adds n claims, taken in order from claims[from:], to set in every possible
// way. It keeps the cheapest of the sets that pack in best. cost is the cost of set.
func (s *moveSearch) extend(from, n int, cost float64, set []movableClaim) {
	if n == 0 {
		s.budget--
		if s.packs(set) {
			s.best, s.cost = slices.Clone(set), cost
		}
		return
	}
	for i := from; i+n <= len(s.claims) && s.budget > 0; i++ {
		c := s.claims[i]
		if s.best != nil && cost+float64(n)*c.cost >= s.cost {
			return // claims are in order of cost: no later set is cheaper
		}
		s.extend(i+1, n-1, cost+c.cost, append(set, c))
	}
}

// moveClaims stops the claims of a set. They restart as soon as their new room is
// free.
func (p *Planner) moveClaims(now time.Time, set []movableClaim) {
	for _, c := range set {
		p.preempt(now, c.claimant, explain.New(explain.MovedForGuarantees,
			"the job is moved so that the guarantees of all teams can be claimed", "work_lost", reclaim.LostRunTime(c.claimant.gang, now).String()))
	}
}
