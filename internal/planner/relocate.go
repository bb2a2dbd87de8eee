package planner

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/reclaim"
)

const (
	// moveSearchBudget bounds the sets of claims that one pass considers, multiplied by
	// the workers of the pool, since each one costs a packing search.
	moveSearchBudget = 8192
	// minMoveSearchBudget is that bound in large pools.
	minMoveSearchBudget = 8
	// maxExhaustiveMoves bounds the sets that are searched exhaustively. Larger ones start
	// with all claims and spare the most expensive ones.
	maxExhaustiveMoves = 3
)

// maxEagerMoveCost bounds, in accelerator-seconds of lost work, the moves that do not wait
// for a claim: a gang of 2 x 8 that loses about 20 minutes.
const maxEagerMoveCost = 20000

// movableClaim is a claim that may be stopped and started at another place.
type movableClaim struct {
	claimant *job
	cost     float64
}

// restorePacking moves claims when guarantees that are not claimed have no place
// although the healthy pool could hold all of them. If it could not, claims move
// only for the claims that wait. The moved ones keep their guarantee and start
// again as soon as they have stopped, at places that Repack has found for all.
func (p *Planner) restorePacking(now time.Time) {
	if !p.plan.Missing(false) {
		return
	}
	claims, leaving := p.movableClaims(now)
	for _, claimed := range []bool{false, true} {
		if !p.plan.Missing(claimed) || p.packsAfter(claimed, leaving, nil) {
			return
		}
		if set := p.cheapestMoves(claimed, claims, leaving); set != nil {
			if isCheap(set) || p.plan.Missing(true) {
				p.moveClaims(now, set)
			}
			return
		}
	}
}

// isCheap reports whether a move is worth its cost although no claim waits for the
// room yet.
func isCheap(set []movableClaim) bool {
	sum := 0.0
	for _, c := range set {
		sum += c.cost
	}
	return sum <= maxEagerMoveCost
}

// movableClaims returns the claims that run or wait for their room, the cheapest
// first, and those that already stop.
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

func (p *Planner) packsAfter(claimed bool, leaving []string, set []movableClaim) bool {
	return p.plan.PacksAfter(claimed, func(id string) bool {
		return slices.Contains(leaving, id) ||
			slices.ContainsFunc(set, func(c movableClaim) bool { return c.claimant.ID == id })
	})
}

// cheapestMoves returns the smallest set of claims whose move lets the
// guarantees pack, among those of the same size the one that loses the least
// work. It returns nil if there is none.
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

// moveSearch tries sets of claims of one size.
type moveSearch struct {
	claims []movableClaim
	packs  func([]movableClaim) bool
	budget int
	best   []movableClaim
	cost   float64
}

// extend extends set by n of the claims from index from on.
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
			return // the claims are in order of cost
		}
		s.extend(i+1, n-1, cost+c.cost, append(set, c))
	}
}

// moveClaims stops claims; they start again as soon as their room is free.
func (p *Planner) moveClaims(now time.Time, set []movableClaim) {
	for _, c := range set {
		p.preempt(now, c.claimant, explain.New(explain.MovedForGuarantees,
			"the job is moved so that the guarantees of all teams can be claimed", "work_lost", reclaim.Lost(c.claimant.gang, now).String()))
	}
}
