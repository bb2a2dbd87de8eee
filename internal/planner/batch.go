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

// claimCost is the cost of stopping a gang for a claim.
func claimCost(now time.Time) func(*pool.Gang) float64 {
	return func(g *pool.Gang) float64 {
		if g.Protected {
			return protectedCost + reclaim.Cost(g, now)
		}
		return reclaim.Cost(g, now)
	}
}

// roomCost is the cost of making room for n tasks on a worker.
func (p *Planner) roomCost(w *pool.Worker, s model.Shape, n int, costOf func(*pool.Gang) float64) float64 {
	if pool.Count(w.Free(), s.PerTask(), n) == n {
		return 0
	}
	p.same = p.same[:0]
	for range n {
		p.same = append(p.same, w)
	}
	_, cost, ok := reclaim.Victims(p.same, s.PerTask(), costOf)
	if !ok {
		return impossible
	}
	return cost
}

// remember makes a cost function that asks once per gang; a gang with many tasks
// is met on many workers in one search.
func (p *Planner) remember(costOf func(*pool.Gang) float64) func(*pool.Gang) float64 {
	p.searches++
	stamp := p.searches
	return func(g *pool.Gang) float64 {
		if g.CostStamp != stamp {
			g.CostStamp, g.Cost = stamp, costOf(g)
		}
		return g.Cost
	}
}

// protectedCost is the cost of stopping a gang that holds a guarantee but runs
// outside its slot; it would have to start again at once.
const protectedCost = 1e9

// impossible is the cost of room that no stop can free.
const impossible = 1e12

type ranked struct {
	j            *job
	order, value float64
}

// placeBatch starts waiting jobs as preemptible ones, in room that is free or
// that gangs of lower value give up. Large jobs come first up to their share of
// the pool, then small ones, then the other large ones. What a large job of the
// first group cannot get at once is reserved.
func (p *Planner) placeBatch(now time.Time) {
	p.reservations = p.reservations[:0]
	var large, small []ranked
	for _, r := range p.rank(now) {
		if size(r.j.Shape) >= queue.LargeSize {
			large = append(large, r)
		} else {
			small = append(small, r)
		}
	}
	p.shares(len(small) > 0, len(large) > 0)
	rest := p.placeLarge(now, large)
	p.placeAny(now, small)
	p.placeAny(now, rest)
}

// share is how many accelerators each kind of job holds, and may hold while the
// other kind waits.
type share struct {
	large, small           float64
	largeLimit, smallLimit float64
}

func (p *Planner) shares(smallWaits, largeWaits bool) {
	total := 0.0
	s := share{}
	for _, w := range p.pool.Workers {
		if w.Usable() {
			total += float64(w.Capacity.Accelerators)
		}
		for _, g := range w.Gangs {
			held := float64(g.Per.Accelerators) * float64(tasksOn(g, w))
			if g.Accelerators() >= queue.LargeSize {
				s.large += held
			} else {
				s.small += held
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
	p.share = s
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

// placeLarge starts or reserves for large jobs up to their share and returns the
// others.
func (p *Planner) placeLarge(now time.Time, large []ranked) (rest []ranked) {
	attempts := 0
	for i, r := range large {
		if len(p.out) >= maxPlacements {
			p.more = true
			return nil
		}
		if p.share.large >= p.share.largeLimit {
			return large[i:]
		}
		if p.tryBatch(now, r.j) {
			p.share.large += size(r.j.Shape)
			continue
		}
		if attempts < maxPreemptors && !r.j.parked && !now.Before(r.j.nextSearch) {
			attempts++
			if p.moveFor(now, r.j) || p.preemptFor(now, r) {
				p.share.large += size(r.j.Shape)
				continue
			}
		}
		if len(p.reservations) < maxReservations {
			p.reserve(now, r.j)
		}
	}
	return nil
}

// placeAny starts jobs where there is room or where value allows preemption.
func (p *Planner) placeAny(now time.Time, order []ranked) {
	attempts := 0
	for _, r := range order {
		if len(p.out) >= maxPlacements {
			p.more = true
			return
		}
		if p.tryBatch(now, r.j) {
			continue
		}
		if attempts < maxPreemptors && !r.j.parked && !now.Before(r.j.nextSearch) {
			attempts++
			p.preemptFor(now, r)
		}
	}
}

const (
	// maxPreemptors bounds the searches for victims in one pass.
	maxPreemptors = 4
	// maxReservations bounds the waiting large jobs that get a reservation.
	maxReservations = 4
)

func (p *Planner) rank(now time.Time) []ranked {
	p.params.Backlog = p.backlog()
	order := make([]ranked, 0, len(p.queue))
	for _, j := range p.queue {
		if now.Before(j.notBefore) {
			continue
		}
		it := p.item(now, j)
		order = append(order, ranked{j, p.params.Order(it), p.params.Value(it)})
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(b.order, a.order) })
	return order
}

// backlog returns the time in which the usable accelerators could work off the
// queue.
func (p *Planner) backlog() time.Duration {
	work := 0.0
	for _, j := range p.queue {
		work += size(j.Shape) * p.remaining(j).Seconds()
	}
	accelerators := 1
	for _, w := range p.pool.Workers {
		if w.Usable() {
			accelerators += w.Capacity.Accelerators
		}
	}
	return time.Duration(work / float64(accelerators) * float64(time.Second))
}

func (p *Planner) item(now time.Time, j *job) queue.Item {
	it := queue.Item{Size: size(j.Shape), Remaining: p.remaining(j), Waited: j.waited}
	if j.state == waiting {
		it.Waited += now.Sub(j.since)
	}
	if g := j.gang; g != nil && !g.Started.IsZero() {
		it.Remaining = estimate.Remaining(p.total(j), j.kept+now.Sub(g.Started))
	}
	return it
}

func (p *Planner) tryBatch(now time.Time, j *job) bool {
	if at, ok := p.blocked[j.Shape]; ok && at == p.pool.Releases {
		return false
	}
	runs := p.remaining(j)
	p.judgePicky(j)
	workers := p.finder.Find(p.pool, score.Request{
		Shape: j.Shape,
		Room:  (*pool.Worker).Free,
		Exclude: func(w *pool.Worker) bool {
			return p.unfit(now, j, w) || !p.mayBackfill(now, j, runs, p.reserved(w))
		},
		Cost: func(w *pool.Worker, n int) float64 {
			cost := suspicion(w, n)
			if r := p.reserved(w); r != nil && now.Add(runs).After(r.start) {
				cost += reservedCost
			}
			return cost
		},
	})
	if workers == nil {
		p.noRoom(j)
		return false
	}
	p.start(now, j, workers, nil, "")
	for _, w := range workers {
		r := p.reserved(w)
		j.gang.Backfilled = j.gang.Backfilled || r != nil && size(j.Shape) < queue.LargeSize
	}
	return true
}

// closed reports whether a worker is closed to a job although it is usable.
func (p *Planner) closed(j *job, w *pool.Worker) bool {
	return w.Probing && onTrial(w) || j.picky && p.faults.Avoid(j.ID, w.ID)
}

// onTrial reports whether a gang on a worker can still prove it. Gangs from before
// its failures cannot; as long as they held the worker closed, nothing could end
// its probe.
func onTrial(w *pool.Worker) bool {
	return slices.ContainsFunc(w.Gangs, func(g *pool.Gang) bool { return !g.Placed.Before(w.Doubted) })
}

// unfit is closed, and bounds the starts on a worker that have not proven
// themselves: if the worker is faulty, each of them fails.
func (p *Planner) unfit(now time.Time, j *job, w *pool.Worker) bool {
	if p.closed(j, w) {
		return true
	}
	limit := maxUnproven
	if w.Suspect {
		limit = 1
	}
	for _, g := range w.Gangs {
		if !g.Nominated && now.Sub(g.Placed) < faults.ProvenAfter {
			limit--
		}
	}
	if limit <= 0 {
		p.throttled = earliest(p.throttled, now.Add(faults.ProvenAfter))
	}
	return limit <= 0
}

// maxUnproven bounds the preemptible gangs that start on a worker within
// faults.ProvenAfter of each other.
const maxUnproven = 2

// judgePicky decides whether a job keeps off the workers on which it failed. It
// does not if its shape fits nowhere else even in an idle pool.
func (p *Planner) judgePicky(j *job) {
	j.picky = p.faults.Failing(j.ID) && p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    func(w *pool.Worker) model.Resources { return w.Capacity },
		Exclude: func(w *pool.Worker) bool { return p.faults.Avoid(j.ID, w.ID) },
	}) != nil
}

// preemptFor stops gangs of lower value if that makes room for a job.
func (p *Planner) preemptFor(now time.Time, r ranked) bool {
	j, runs := r.j, p.remaining(r.j)
	large := size(j.Shape) >= queue.LargeSize
	costOf := p.remember(func(g *pool.Gang) float64 {
		v := p.jobs[g.ID]
		if g.Protected || g.Nominated || now.Sub(g.Placed) < minTenure {
			return impossible
		}
		harm := p.params.Harm(p.item(now, v), reclaim.Lost(g, now), runs)
		isLarge := g.Accelerators() >= queue.LargeSize
		switch {
		case g.Backfilled && large:
			harm /= backfillDiscount
		case large && !isLarge && p.share.small > p.share.smallLimit && g.Stops < maxShareStops:
			// What is beyond a share is not weighed by value, only by the work lost.
			lost := reclaim.Cost(g, now) / (size(j.Shape) * runs.Seconds())
			harm = min(harm, r.value*lost*lossWeight)
		case large && isLarge:
			return impossible
		case !large && isLarge && p.share.large <= p.share.largeLimit:
			return impossible
		}
		return harm
	})
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    movable,
		Exclude: func(w *pool.Worker) bool { return p.unfit(now, j, w) || w.Probing },
		Cost: func(w *pool.Worker, n int) float64 {
			return suspicion(w, n) + harmScale*p.roomCost(w, j.Shape, n, costOf)/r.value
		},
	})
	if workers == nil {
		j.nextSearch = now.Add(searchPause)
		return false
	}
	victims, harm, ok := reclaim.Victims(workers, j.Shape.PerTask(), costOf)
	if !ok || harm*p.params.Margin > r.value {
		j.nextSearch = now.Add(searchPause)
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
	// minTenure is the time for which a gang that was placed is not stopped for
	// another preemptible job. Without it a small and a large job took the same
	// room from each other at every event.
	minTenure = 2 * time.Minute
	// searchPause is the time between two searches for victims by the same job;
	// they took two thirds of the time of a decision at 1,400 workers.
	searchPause = 5 * time.Second
	// backfillDiscount lowers the harm of stopping a gang that was started on
	// reserved room.
	backfillDiscount = 20
	// lossWeight bounds the work that small jobs beyond their share may lose to a
	// large job to a part of its own work. It holds for jobs that were not
	// stopped maxShareStops times yet.
	lossWeight    = 15
	maxShareStops = 3
	// keepReserved favours the workers of the reservation of the last pass.
	keepReserved = 0.7
	// harmScale makes the harm outweigh the leftover of a place.
	harmScale = 1000
)

// movable is the room that preemptible gangs could leave.
func movable(w *pool.Worker) model.Resources {
	room := w.Capacity
	for _, g := range w.Gangs {
		if !g.Fixed {
			continue
		}
		for _, o := range g.Workers {
			if o == w {
				room = room.Sub(g.Per)
			}
		}
	}
	return room
}

// noRoom notes that a job found no place.
func (p *Planner) noRoom(j *job) {
	if len(p.blocked) > maxShapes {
		clear(p.blocked)
	}
	if !p.faults.Failing(j.ID) {
		p.blocked[j.Shape] = p.pool.Releases
	}
	today := p.fits(j.Shape).today
	switch {
	case !today && !j.parked:
		j.parked = true
		j.reason = explain.Parking(j.Shape, p.outOfUse())
		p.emit(framework.Decision{Kind: framework.Park, Job: j.ID, Reason: j.reason})
	case today:
		j.parked = false
		j.reason = explain.Waiting(j.Shape)
	}
}

func (p *Planner) outOfUse() int {
	n := 0
	for _, w := range p.pool.Workers {
		if !w.Usable() {
			n++
		}
	}
	return n
}
