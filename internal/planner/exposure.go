package planner

import (
	"time"

	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/packing"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
)

const (
	// maxExposureMoveCost bounds, in accelerator-seconds of lost work, a move that only
	// protects guarantees against the next failure. With 3,000, claims were late on
	// one recorded and one generated trace.
	maxExposureMoveCost = 1000
	// exposureCheckInterval is the interval between searches for such a move.
	exposureCheckInterval = 10 * time.Second
)

// reduceExposure moves one claim if the loss of a worker would leave guarantees
// without a place because of the claim's place, and another place avoids that. The
// place of a claim can become bad when neighbouring claims end or workers return.
func (p *Planner) reduceExposure(now time.Time) {
	if len(p.pool.Workers) > maxWorkersExhaustive || now.Before(p.nextExposureCheck) || p.plan.HasUnplacedSlot(false) {
		return
	}
	p.nextExposureCheck = now.Add(exposureCheckInterval)
	exposed := p.plan.Exposure(func(string) bool { return false })
	if exposed == 0 {
		return
	}
	claims, leaving := p.movableClaims(now)
	if len(leaving) > 0 {
		return
	}
	for _, c := range claims {
		if c.cost > maxExposureMoveCost {
			return
		}
		if c.claimant.state != running || now.Sub(c.claimant.gang.PlacedAt) < minRunBeforePreemption {
			continue
		}
		if p.plan.Exposure(func(id string) bool { return id == c.claimant.ID }) < exposed && p.hasSaferPlace(now, c) {
			p.preempt(now, c.claimant, explain.New(explain.MovedAheadOfFailure,
				"the job is moved so that the loss of a worker leaves the guarantees of all teams claimable",
				"work_lost", reclaim.LostRunTime(c.claimant.gang, now).String()))
			return
		}
	}
}

// hasSaferPlace reports whether a running claim has another place that leaves no
// guarantee exposed. It leaves the plan unchanged. Moves that only reduce the
// exposure do not count: they avoided no further violation on generated traces.
func (p *Planner) hasSaferPlace(now time.Time, c movableClaim) bool {
	j, s := c.claimant, c.claimant.slot
	present := claimOption{slotWorkers: s.Workers, jobWorkers: j.gang.Workers, outsideSlot: s.Outside != nil}
	restore := p.plan.Save()
	p.plan.EndRun(s)
	defer func() {
		restore()
		p.applyOption(s, j, present)
	}()
	for _, o := range p.claimOptions(now, j, s, true) {
		if c.cost+o.cost > maxExposureMoveCost || overlaps(o.jobWorkers, j.gang.Workers) {
			continue
		}
		if p.exposureWith(s, j, o) == 0 {
			return true
		}
	}
	return false
}

// exposureWith returns the exposure that results if a claim runs at an option, and
// impossibleCost if the other slots would lose their places. It leaves the plan
// unchanged.
func (p *Planner) exposureWith(s *packing.Slot, j *job, o claimOption) int {
	restore := p.plan.Save()
	defer restore()
	if !p.applyOption(s, j, o) {
		return impossibleCost
	}
	defer p.plan.EndRun(s)
	return p.plan.Exposure(func(string) bool { return false })
}

// overlaps reports whether two places share a worker.
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
