package planner

import (
	"time"

	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/packing"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
)

const (
	// exposedMoveCost bounds, in accelerator-seconds of lost work, a move that only
	// makes guarantees safe against the next failure. With 3,000, claims were late
	// on one recorded and one generated trace.
	exposedMoveCost = 1000
	// exposedPause is the time between two searches for such a move.
	exposedPause = 10 * time.Second
)

// endExposure moves one claim if its place exposes guarantees to the loss of a
// worker and another place does not. Claims come to lie badly when claims beside
// them end or workers return.
func (p *Planner) endExposure(now time.Time) {
	if len(p.pool.Workers) > maxHosts || now.Before(p.nextExposed) || p.plan.Missing(false) {
		return
	}
	p.nextExposed = now.Add(exposedPause)
	exposed := p.plan.Exposed(func(string) bool { return false })
	if exposed == 0 {
		return
	}
	claims, leaving := p.movableClaims(now)
	if len(leaving) > 0 {
		return
	}
	for _, c := range claims {
		if c.cost > exposedMoveCost {
			return
		}
		if c.j.state != running || now.Sub(c.j.gang.Placed) < minTenure {
			continue
		}
		if p.plan.Exposed(func(id string) bool { return id == c.j.ID }) < exposed && p.saferPlace(now, c) {
			p.preempt(now, c.j, explain.New(explain.MovedAheadOfFailure,
				"the job is moved so that the loss of a worker leaves the guarantees of all teams claimable",
				"work_lost", reclaim.Lost(c.j.gang, now).String()))
			return
		}
	}
}

// saferPlace reports whether a running claim has another place that leaves no
// guarantee exposed. The plan is the same afterwards. Moves that only lessened the
// exposure avoided no further violation on generated traces.
func (p *Planner) saferPlace(now time.Time, c movableClaim) bool {
	j, s := c.j, c.j.slot
	present := option{slot: s.Workers, job: j.gang.Workers, aside: s.Beside != nil}
	restore := p.plan.Save()
	p.plan.Clear(s)
	defer func() {
		restore()
		p.lay(s, j, present)
	}()
	for _, o := range p.options(now, j, s, true) {
		if c.cost+o.cost > exposedMoveCost || overlaps(o.job, j.gang.Workers) {
			continue
		}
		if p.exposedAt(s, j, o) == 0 {
			return true
		}
	}
	return false
}

// exposedAt returns the exposure with a claim at an option.
func (p *Planner) exposedAt(s *packing.Slot, j *job, o option) int {
	restore := p.plan.Save()
	defer restore()
	if !p.lay(s, j, o) {
		return impossible
	}
	defer p.plan.Clear(s)
	return p.plan.Exposed(func(string) bool { return false })
}

func overlaps(a, b []*pool.Worker) bool {
	for _, w := range a {
		for _, o := range b {
			if w == o {
				return true
			}
		}
	}
	return false
}
