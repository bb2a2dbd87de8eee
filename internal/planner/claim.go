package planner

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/packing"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

// assignSlots assigns unclaimed guarantees to the jobs that may claim them: first to
// those that already run as preemptible, then to those that wait, each in the order
// of submission.
func (p *Planner) assignSlots(now time.Time) {
	p.claimedTeams = p.claimedTeams[:0]
	p.claimants = slices.DeleteFunc(p.claimants, func(j *job) bool { return p.jobs[j.ID] != j })
	for _, waits := range []bool{false, true} {
		for _, j := range p.claimants {
			if j.slot == nil && !j.cancelled && (j.state == waiting) == waits {
				j.slot = p.plan.Assign(j.Team, j.ID, j.Shape)
				if j.slot != nil {
					p.claimedTeams = append(p.claimedTeams, j.Team)
				}
				if j.slot != nil && j.gang != nil {
					j.gang.Protected = true
				}
			}
		}
	}
	// Delay the other jobs of the team: one that started at the same time as
	// preemptible would look like the claimant, since it would run while the claim
	// still waits for its room.
	for _, j := range p.claimants {
		if j.slot == nil && j.state == waiting && slices.Contains(p.claimedTeams, j.Team) {
			j.notBefore = now.Add(retryDelay)
		}
	}
}

// placeClaims starts the jobs that hold a guarantee.
func (p *Planner) placeClaims(now time.Time) {
	p.assignSlots(now)
	for _, j := range p.claimants {
		if j.state != waiting || j.slot == nil || now.Before(j.notBefore) {
			continue
		}
		if len(p.decisions) >= maxDecisionsPerPass {
			p.needsAnotherPass = true
			return
		}
		p.startClaim(now, j)
	}
}

// startClaim starts a job that holds a slot at a place that the plan can pin. If
// there is none, it starts the job anywhere as preemptible. If that fails too, it
// allows workers on which the job failed before.
func (p *Planner) startClaim(now time.Time, j *job) {
	p.updateAvoidance(j)
	if j.slot.Workers != nil && p.startWithSlot(now, j, j.slot, true) {
		return
	}
	if p.startOutsideSlot(now, j) || !j.avoidsFailedWorkers || j.slot.Workers == nil {
		return
	}
	p.startWithSlot(now, j, j.slot, false)
}

// startOutsideSlot starts a claim outside its slot. The workers may be planned for
// unclaimed slots of other teams, so the gang stays preemptible.
func (p *Planner) startOutsideSlot(now time.Time, j *job) bool {
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Exclude: func(w *pool.Worker) bool { return p.isExcluded(j, w) || w.Probing },
		Room:    preemptibleRoom,
		Cost: func(w *pool.Worker, n int) float64 {
			return p.evictionCost(w, j.Shape, n, claimCost(now)) + suspectPenalty(w, n)
		},
	})
	if workers == nil {
		return false
	}
	victims, cost, ok := reclaim.Victims(workers, j.Shape.PerTask(), claimCost(now))
	if !ok || cost >= protectedCost {
		return false
	}
	p.start(now, j, workers, victims, explain.Preempted)
	return true
}

// claimOption is one way to start a claim: a place for the slot and, within it, the
// workers of the job. cost is that of stopping the victims, in accelerator-seconds, plus
// suspectCost for each task on a suspect worker.
type claimOption struct {
	slotWorkers, jobWorkers []*pool.Worker
	victims                 []*pool.Gang
	cost                    float64
	// outsideSlot is set if the job runs on jobWorkers outside the slot, which keeps a
	// place of its own.
	outsideSlot bool
}

const (
	// maxSwaps bounds the places of other unpinned slots that a claim considers.
	maxSwaps = 32
	// maxWorkersExhaustive is the largest pool, in workers, in which a claim of one
	// task considers each worker by itself, and in which reduceExposure moves claims.
	maxWorkersExhaustive = 64
	// maxRacksExhaustive is the largest pool, in racks, in which a claim considers
	// each rack by itself. In larger pools the cheapest place rarely exposes
	// guarantees.
	maxRacksExhaustive = 16
	// suspectCost is the cost in accelerator-seconds of a start on a suspect worker.
	suspectCost = 1000
)

// startWithSlot starts a job at the option with the lowest exposure (see
// packing.Plan.Exposure), among equal ones at the one with the lowest cost. With
// avoidFailed set, it skips workers that the job avoids. It reports whether the job was
// started.
func (p *Planner) startWithSlot(now time.Time, j *job, s *packing.Slot, avoidFailed bool) bool {
	options := p.claimOptions(now, j, s, avoidFailed)
	slices.SortStableFunc(options, func(a, b claimOption) int { return cmp.Compare(a.cost, b.cost) })
	ends := p.claimsByExpectedEnd(now)
	best, lowestExposure := -1, 0
	for i, o := range options {
		restore := p.plan.Save()
		if !p.applyOption(s, j, o) {
			continue
		}
		exposed := p.weightedExposure(ends)
		p.plan.EndRun(s)
		restore()
		if best < 0 || exposed < lowestExposure || exposed == lowestExposure && p.costWithPins(s, j, o) < p.costWithPins(s, j, options[best]) {
			best, lowestExposure = i, exposed
		}
		if exposed == 0 && len(p.pool.Workers) > maxWorkersExhaustive {
			break // the exposure is always 0 in large pools: take the cheapest option
		}
	}
	if best < 0 || !p.applyOption(s, j, options[best]) {
		return false
	}
	p.start(now, j, options[best].jobWorkers, options[best].victims, explain.Preempted)
	return true
}

// claimsByExpectedEnd returns the jobs that run on a guarantee in the order of their
// expected ends.
func (p *Planner) claimsByExpectedEnd(now time.Time) []string {
	type end struct {
		id   string
		left time.Duration
	}
	var ends []end
	for _, j := range p.claimants {
		if j.gang != nil && j.gang.Pinned {
			ends = append(ends, end{j.ID, p.queueItem(now, j).Remaining})
		}
	}
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.left, b.left) })
	ids := make([]string, len(ends))
	for i, e := range ends {
		ids[i] = e.id
	}
	return ids
}

// weightedExposure returns the present exposure, multiplied by
// currentExposureWeight, plus the exposure after each of the next ends of claims. ends
// holds the ids of the running claims by expected end. A place that is good only
// because of a neighbouring claim gets worse when that claim ends.
func (p *Planner) weightedExposure(ends []string) int {
	sum := 0
	for k := 0; k <= min(len(ends), maxFutureEnds); k++ {
		exposed := p.plan.Exposure(func(job string) bool { return slices.Contains(ends[:k], job) })
		if k == 0 {
			exposed *= currentExposureWeight
		}
		sum += exposed
	}
	return sum
}

const (
	// maxFutureEnds bounds the ends of claims that weightedExposure considers.
	maxFutureEnds         = 8
	currentExposureWeight = 10
)

// costWithPins returns the cost of an option plus firstPinCost for each worker on
// which it would be the first claim to pin accelerators. Claims that share workers
// leave more of the pool to unclaimed guarantees.
func (p *Planner) costWithPins(s *packing.Slot, j *job, o claimOption) float64 {
	workers := o.slotWorkers
	if o.outsideSlot {
		workers = o.jobWorkers
	}
	cost := o.cost
	var last *pool.Worker
	for _, w := range workers {
		if w != last && w.Pinned.Accelerators == 0 {
			cost += firstPinCost
		}
		last = w
	}
	if !o.outsideSlot && j.Shape != s.Shape {
		cost += firstPinCost // the rest of the slot is pinned as well
	}
	return cost
}

// firstPinCost is the cost, in accelerator-seconds, of pinning accelerators on a worker
// on which none were pinned.
const firstPinCost = 5000

// applyOption pins an option in the plan. It reports false, and changes nothing, if
// the other slots would lose their places.
func (p *Planner) applyOption(s *packing.Slot, j *job, o claimOption) bool {
	if o.outsideSlot {
		return p.plan.PinOutside(s, j.Shape, o.jobWorkers)
	}
	if !p.plan.Move(s, o.slotWorkers) {
		return false
	}
	p.plan.Pin(s)
	return true
}

// claimOptions returns the ways to start a job of slot s: at the present place of
// the slot, in free room, at the places of other unpinned slots of the same shape, and
// at the cheapest place of the pool. In small pools it adds a place on each worker or
// in each rack, since the cheapest place may expose guarantees.
func (p *Planner) claimOptions(now time.Time, j *job, s *packing.Slot, avoidFailed bool) []claimOption {
	var out []claimOption
	outsideSlot := false
	add := func(place []*pool.Worker) {
		if place == nil {
			return
		}
		for _, w := range place {
			if !w.AcceptsSlots() || avoidFailed && j.avoidsFailedWorkers && p.faults.HasFailedOn(j.ID, w.ID) {
				return
			}
		}
		o := claimOption{slotWorkers: place, jobWorkers: p.workersWithin(place, j.Shape), outsideSlot: outsideSlot}
		var ok bool
		o.victims, o.cost, ok = reclaim.Victims(o.jobWorkers, j.Shape.PerTask(), claimCost(now))
		if !ok {
			return
		}
		for _, w := range o.jobWorkers {
			if w.Suspect {
				o.cost += suspectCost
			}
		}
		out = append(out, o)
	}
	add(s.Workers)
	exclude := func(w *pool.Worker) bool {
		return !w.AcceptsSlots() || avoidFailed && j.avoidsFailedWorkers && p.faults.HasFailedOn(j.ID, w.ID)
	}
	free := p.finder.Find(p.pool, score.Request{Shape: s.Shape, Exclude: exclude,
		Room: func(w *pool.Worker) model.Resources { return minResources(w.Free(), w.Capacity.Sub(w.Pinned)) },
		Cost: suspectPenalty,
	})
	add(free)
	swaps := 0
	for _, o := range p.plan.Slots {
		if o != s && !o.Pinned && o.Workers != nil && o.Shape == s.Shape && swaps < maxSwaps {
			swaps++
			add(o.Workers)
		}
	}
	cheapest := func(outside func(*pool.Worker) bool) []*pool.Worker {
		return p.finder.Find(p.pool, score.Request{Shape: s.Shape,
			Exclude: func(w *pool.Worker) bool { return outside(w) || exclude(w) },
			Room:    func(w *pool.Worker) model.Resources { return w.Capacity.Sub(w.Pinned) },
			Cost: func(w *pool.Worker, n int) float64 {
				return p.evictionCost(w, s.Shape, n, claimCost(now)) + suspectPenalty(w, n)
			},
		})
	}
	add(cheapest(func(*pool.Worker) bool { return false }))
	if len(p.pool.Racks) > maxRacksExhaustive {
		return out
	}
	if j.Shape.Tasks == 1 && j.Shape != s.Shape && len(p.pool.Workers) <= maxWorkersExhaustive {
		outsideSlot = true
		for _, w := range p.pool.Workers {
			add([]*pool.Worker{w})
		}
		outsideSlot = false
	}
	if s.Shape.Tasks == 1 && len(p.pool.Workers) <= maxWorkersExhaustive {
		for _, w := range p.pool.Workers {
			if !w.Pinned.Add(s.Shape.PerTask()).Fits(w.Capacity) {
				continue
			}
			add([]*pool.Worker{w})
		}
		return out
	}
	for _, r := range p.pool.Racks {
		add(cheapest(func(w *pool.Worker) bool { return w.Index < r.From || w.Index >= r.To }))
	}
	return out
}

// suspectPenalty returns the extra cost of a start on a worker if it is suspect.
func suspectPenalty(w *pool.Worker, _ int) float64 {
	if w.Suspect {
		return suspectCost
	}
	return 0
}

// minResources returns the smaller amount of each resource.
func minResources(a, b model.Resources) model.Resources {
	return model.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		MemoryGB:     min(a.MemoryGB, b.MemoryGB),
	}
}

// workersWithin chooses the workers of a job from the place of a slot with more
// tasks: those with the most free accelerators first.
func (p *Planner) workersWithin(place []*pool.Worker, s model.Shape) []*pool.Worker {
	if len(place) == s.Tasks {
		return place
	}
	sorted := slices.Clone(place)
	slices.SortStableFunc(sorted, func(a, b *pool.Worker) int {
		if d := b.Free().Accelerators - a.Free().Accelerators; d != 0 {
			return d
		}
		return a.Index - b.Index
	})
	return sorted[:s.Tasks]
}
