package planner

import (
	"cmp"
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/estimate"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/faults"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

// claimCost returns the cost function for gangs that are stopped for a claim.
func claimCost(now time.Time) func(*pool.Gang) float64 {
	return func(g *pool.Gang) float64 {
		if g.Protected {
			return protectedCost + reclaim.Cost(g, now)
		}
		return reclaim.Cost(g, now)
	}
}

// evictionCost returns the cost of making room for n tasks on a worker, and
// impossibleCost if no stop can free enough.
func (p *Planner) evictionCost(w *pool.Worker, s model.Shape, n int, costOf func(*pool.Gang) float64) float64 {
	if pool.CountFitting(w.Free(), s.PerTask(), n) == n {
		return 0
	}
	p.workerBuffer = p.workerBuffer[:0]
	for range n {
		p.workerBuffer = append(p.workerBuffer, w)
	}
	_, cost, ok := reclaim.Victims(p.workerBuffer, s.PerTask(), costOf)
	if !ok {
		return impossibleCost
	}
	return cost
}

// cacheCosts returns costOf with its results cached per gang. Without the cache, a
// search would compute the cost of a gang again on each of its workers.
func (p *Planner) cacheCosts(costOf func(*pool.Gang) float64) func(*pool.Gang) float64 {
	p.costStamp++
	stamp := p.costStamp
	return func(g *pool.Gang) float64 {
		if g.CostStamp != stamp {
			g.CostStamp, g.CachedCost = stamp, costOf(g)
		}
		return g.CachedCost
	}
}

// protectedCost is added to the cost of stopping a gang that holds a guarantee but
// runs outside its slot, since it would have to be restarted at once.
const protectedCost = 1e9

// impossibleCost is the cost of room that no stop can free, and of a gang that must not
// be stopped.
const impossibleCost = 1e12

// ranked is a waiting job with its priority in the queue and its value.
type ranked struct {
	j               *job
	priority, value float64
}

// placePreemptible starts waiting jobs as preemptible gangs, in free room or in
// place of gangs of lower value. Large jobs come first, up to their share of the
// pool, then small jobs, then the other large jobs. A large job of the first group
// that cannot start now gets a reservation.
func (p *Planner) placePreemptible(now time.Time) {
	p.reservations = p.reservations[:0]
	var large, small []ranked
	for _, r := range p.rankQueue(now) {
		if weightedSize(r.j.Shape) >= queue.LargeSize {
			large = append(large, r)
		} else {
			small = append(small, r)
		}
	}
	p.updateShares(len(small) > 0, len(large) > 0)
	rest := p.placeLarge(now, large)
	p.placeOrPreempt(now, small)
	p.placeOrPreempt(now, rest)
}

// sizeShares holds how many accelerators large and small jobs hold, and how many
// each kind may hold while jobs of the other kind wait.
type sizeShares struct {
	largeHeld, smallHeld   float64
	largeLimit, smallLimit float64
}

// updateShares counts the accelerators held by large and small jobs and sets their
// limits.
func (p *Planner) updateShares(smallWaits, largeWaits bool) {
	total := 0.0
	s := sizeShares{}
	for _, w := range p.pool.Workers {
		if w.Usable() {
			total += float64(w.Capacity.Accelerators)
		}
		for _, g := range w.Gangs {
			held := float64(g.TaskResources.Accelerators) * float64(tasksOn(g, w))
			if g.Accelerators() >= queue.LargeSize {
				s.largeHeld += held
			} else {
				s.smallHeld += held
			}
		}
	}
	s.largeLimit, s.smallLimit = total, total
	if smallWaits {
		s.largeLimit = total * p.params.LargeShare
	}
	if largeWaits {
		s.smallLimit = total * (1 - p.params.LargeShare)
	}
	p.shares = s
}

func tasksOn(g *pool.Gang, w *pool.Worker) int {
	n := 0
	for _, o := range g.Workers {
		if o == w {
			n++
		}
	}
	return n
}

// placeLarge starts large jobs, or makes reservations for them, up to their share
// of the pool. It returns the jobs beyond that share.
func (p *Planner) placeLarge(now time.Time, large []ranked) (rest []ranked) {
	attempts := 0
	for i, r := range large {
		if len(p.decisions) >= maxDecisionsPerPass {
			p.needsAnotherPass = true
			return nil
		}
		if p.shares.largeHeld >= p.shares.largeLimit {
			return large[i:]
		}
		if p.tryFreeRoom(now, r.j) {
			p.shares.largeHeld += weightedSize(r.j.Shape)
			continue
		}
		if attempts < maxPreemptors && !r.j.parked && !now.Before(r.j.nextVictimSearch) {
			attempts++
			if p.defragmentFor(now, r.j) || p.preemptFor(now, r) {
				p.shares.largeHeld += weightedSize(r.j.Shape)
				continue
			}
		}
		if len(p.reservations) < maxReservations {
			p.reserve(now, r.j)
		}
	}
	return nil
}

// placeOrPreempt starts each job in free room or, if its value suffices, by
// preemption.
func (p *Planner) placeOrPreempt(now time.Time, jobs []ranked) {
	attempts := 0
	for _, r := range jobs {
		if len(p.decisions) >= maxDecisionsPerPass {
			p.needsAnotherPass = true
			return
		}
		if p.tryFreeRoom(now, r.j) {
			continue
		}
		if attempts < maxPreemptors && !r.j.parked && !now.Before(r.j.nextVictimSearch) {
			attempts++
			p.preemptFor(now, r)
		}
	}
}

const (
	// maxPreemptors bounds the searches for victims in one call of placeLarge or
	// placeOrPreempt.
	maxPreemptors = 4
	// maxReservations bounds the large jobs that hold a reservation at a time.
	maxReservations = 4
)

// rankQueue returns the waiting jobs that may start now, highest priority first.
func (p *Planner) rankQueue(now time.Time) []ranked {
	p.params.Backlog = p.backlog()
	order := make([]ranked, 0, len(p.queue))
	for _, j := range p.queue {
		if now.Before(j.notBefore) {
			continue
		}
		it := p.queueItem(now, j)
		order = append(order, ranked{j, p.params.Priority(it), p.params.Value(it)})
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(b.priority, a.priority) })
	return order
}

// backlog returns the time that the usable accelerators need to run all waiting
// jobs.
func (p *Planner) backlog() time.Duration {
	work := 0.0
	for _, j := range p.queue {
		work += weightedSize(j.Shape) * p.remainingRunTime(j).Seconds()
	}
	accelerators := 1
	for _, w := range p.pool.Workers {
		if w.Usable() {
			accelerators += w.Capacity.Accelerators
		}
	}
	return time.Duration(work / float64(accelerators) * float64(time.Second))
}

// queueItem returns the properties by which the queue ranks a job.
func (p *Planner) queueItem(now time.Time, j *job) queue.Item {
	it := queue.Item{Size: weightedSize(j.Shape), Remaining: p.remainingRunTime(j), Waited: j.waited}
	if j.state == waiting {
		it.Waited += now.Sub(j.waitingSince)
	}
	if g := j.gang; g != nil && !g.StartedAt.IsZero() {
		it.Remaining = estimate.RemainingRunTime(p.totalRunTime(j), j.checkpointed+now.Sub(g.StartedAt))
	}
	return it
}

// tryFreeRoom starts a job as preemptible in free room, backfilling reservations
// where that is allowed. It reports whether the job was started.
func (p *Planner) tryFreeRoom(now time.Time, j *job) bool {
	if at, ok := p.noRoomAt[j.Shape]; ok && at == p.pool.RoomVersion {
		return false
	}
	runTime := p.remainingRunTime(j)
	p.updateAvoidance(j)
	workers := p.finder.Find(p.pool, score.Request{
		Shape: j.Shape,
		Room:  (*pool.Worker).Free,
		Exclude: func(w *pool.Worker) bool {
			return p.isExcludedOrThrottled(now, j, w) || !p.mayBackfill(now, j, runTime, p.reservationOn(w))
		},
		Cost: func(w *pool.Worker, n int) float64 {
			cost := suspectPenalty(w, n)
			if r := p.reservationOn(w); r != nil && now.Add(runTime).After(r.startsAt) {
				cost += reservedCost
			}
			return cost
		},
	})
	if workers == nil {
		p.recordNoRoom(j)
		return false
	}
	p.start(now, j, workers, nil, "")
	for _, w := range workers {
		r := p.reservationOn(w)
		j.gang.Backfilled = j.gang.Backfilled || r != nil && weightedSize(j.Shape) < queue.LargeSize
	}
	return true
}

// isExcluded reports whether a usable worker must not take a job: another gang is
// on trial there, or the job avoids the worker since it failed on it.
func (p *Planner) isExcluded(j *job, w *pool.Worker) bool {
	return w.Probing && hasGangOnTrial(w) || j.avoidsFailedWorkers && p.faults.HasFailedOn(j.ID, w.ID)
}

// hasGangOnTrial reports whether a worker runs a gang that can prove it healthy.
// Gangs placed before its last failure or the start of its probe cannot, and must
// not count: they would keep the gang of the probe out, and the probe would never
// end.
func hasGangOnTrial(w *pool.Worker) bool {
	return slices.ContainsFunc(w.Gangs, func(g *pool.Gang) bool { return !g.PlacedAt.Before(w.SuspectedAt) })
}

// isExcludedOrThrottled also reports workers with too many gangs placed within
// faults.ProvenAfter, which have not yet shown whether their start is good: if the
// worker is faulty, each of them fails.
func (p *Planner) isExcludedOrThrottled(now time.Time, j *job, w *pool.Worker) bool {
	if p.isExcluded(j, w) {
		return true
	}
	limit := maxUnprovenGangs
	if w.Suspect {
		limit = 1
	}
	for _, g := range w.Gangs {
		if !g.Nominated && now.Sub(g.PlacedAt) < faults.ProvenAfter {
			limit--
		}
	}
	if limit <= 0 {
		p.throttledUntil = earliest(p.throttledUntil, now.Add(faults.ProvenAfter))
	}
	return limit <= 0
}

// maxUnprovenGangs bounds the preemptible gangs that start on a worker within
// faults.ProvenAfter of each other.
const maxUnprovenGangs = 2

// updateAvoidance decides whether a job avoids the workers on which it failed. It
// does not if its shape would fit nowhere else even in an idle pool.
func (p *Planner) updateAvoidance(j *job) {
	j.avoidsFailedWorkers = p.faults.HasFailures(j.ID) && p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    func(w *pool.Worker) model.Resources { return w.Capacity },
		Exclude: func(w *pool.Worker) bool { return p.faults.HasFailedOn(j.ID, w.ID) },
	}) != nil
}

// preemptFor starts a job by stopping gangs of lower value. It reports false if it finds
// no victims, or if their harm is too high for the value of the job.
func (p *Planner) preemptFor(now time.Time, r ranked) bool {
	j, runTime := r.j, p.remainingRunTime(r.j)
	large := weightedSize(j.Shape) >= queue.LargeSize
	costOf := p.cacheCosts(func(g *pool.Gang) float64 {
		v := p.jobs[g.ID]
		if g.Protected || g.Nominated || now.Sub(g.PlacedAt) < minRunBeforePreemption {
			return impossibleCost
		}
		harm := p.params.Harm(p.queueItem(now, v), reclaim.LostRunTime(g, now), runTime)
		isLarge := g.Accelerators() >= queue.LargeSize
		switch {
		case g.Backfilled && large:
			harm /= backfillDiscount
		case large && !isLarge && p.shares.smallHeld > p.shares.smallLimit && g.Preemptions < maxShareStops:
			// Small gangs beyond their share are weighed by the work lost, not by value.
			lost := reclaim.Cost(g, now) / (weightedSize(j.Shape) * runTime.Seconds())
			harm = min(harm, r.value*lost*lossWeight)
		case large && isLarge:
			return impossibleCost
		case !large && isLarge && p.shares.largeHeld <= p.shares.largeLimit:
			return impossibleCost
		}
		return harm
	})
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    preemptibleRoom,
		Exclude: func(w *pool.Worker) bool { return p.isExcludedOrThrottled(now, j, w) || w.Probing },
		Cost: func(w *pool.Worker, n int) float64 {
			return suspectPenalty(w, n) + harmScale*p.evictionCost(w, j.Shape, n, costOf)/r.value
		},
	})
	if workers == nil {
		j.nextVictimSearch = now.Add(victimSearchInterval)
		return false
	}
	victims, harm, ok := reclaim.Victims(workers, j.Shape.PerTask(), costOf)
	if !ok || harm*p.params.PreemptionMargin > r.value {
		j.nextVictimSearch = now.Add(victimSearchInterval)
		return false
	}
	rule := explain.PreemptedForShort
	if large {
		rule = explain.PreemptedForLarge
	}
	p.start(now, j, workers, victims, rule)
	return true
}

const (
	// minRunBeforePreemption is the time after its placement in which a gang is not
	// stopped for another preemptible job. Without it a small and a large job
	// preempted each other from the same room at every event.
	minRunBeforePreemption = 2 * time.Minute
	// victimSearchInterval is the delay before the next search for victims after one
	// for the same job failed. Without it these searches took two thirds of the time
	// of a decision at 1,400 workers.
	victimSearchInterval = 5 * time.Second
	// backfillDiscount divides the harm of stopping a gang that was backfilled into
	// reserved room.
	backfillDiscount = 20
	// lossWeight bounds the work that small jobs beyond their share may lose to a
	// large job to a fraction of the work of the large job. It applies to jobs that
	// were stopped fewer than maxShareStops times.
	lossWeight    = 15
	maxShareStops = 3
	// sameReservationFactor scales the cost of the workers of the job's previous
	// reservation, so that a reservation rarely changes.
	sameReservationFactor = 0.7
	// harmScale makes the harm outweigh the accelerators that a place leaves unused.
	harmScale = 1000
)

// preemptibleRoom returns the room of a worker that is free or held by preemptible
// gangs.
func preemptibleRoom(w *pool.Worker) model.Resources {
	room := w.Capacity
	for _, g := range w.Gangs {
		if !g.Pinned {
			continue
		}
		for _, o := range g.Workers {
			if o == w {
				room = room.Sub(g.TaskResources)
			}
		}
	}
	return room
}

// recordNoRoom records that a job found no place. It parks the job if the usable
// workers could not hold it even if they were idle.
func (p *Planner) recordNoRoom(j *job) {
	if len(p.noRoomAt) > maxShapes {
		clear(p.noRoomAt)
	}
	if !p.faults.HasFailures(j.ID) {
		p.noRoomAt[j.Shape] = p.pool.RoomVersion
	}
	fitsUsable := p.feasibilityOf(j.Shape).usableWorkers
	switch {
	case !fitsUsable && !j.parked:
		j.parked = true
		j.reason = explain.Parking(j.Shape, p.countUnusable())
		p.emit(framework.Decision{Kind: framework.Park, Job: j.ID, Reason: j.reason})
	case fitsUsable:
		j.parked = false
		j.reason = explain.Waiting(j.Shape)
	}
}

func (p *Planner) countUnusable() int {
	n := 0
	for _, w := range p.pool.Workers {
		if !w.Usable() {
			n++
		}
	}
	return n
}
