package planner

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

func reclaimVictims(now time.Time, workers []*pool.Worker, per model.Resources) ([]*pool.Gang, float64, bool) {
	return reclaim.Victims(now, workers, per, func(*pool.Gang) bool { return true })
}

// stopCost is the cost of making room for n tasks on a worker.
func stopCost(now time.Time, w *pool.Worker, s model.Shape, n int) float64 {
	workers := make([]*pool.Worker, n)
	for i := range workers {
		workers[i] = w
	}
	_, cost, ok := reclaimVictims(now, workers, s.PerTask())
	if !ok {
		return 1e9
	}
	return cost
}

type ranked struct {
	j   *job
	key float64
}

// placeBatch starts waiting jobs as preemptible ones where there is room.
func (p *Planner) placeBatch(now time.Time) {
	order := p.rank(now)
	for _, r := range order {
		if len(p.out) >= maxPlacements {
			p.more = true
			return
		}
		p.tryBatch(now, r.j)
	}
}

func (p *Planner) rank(now time.Time) []ranked {
	params := queue.Params{SizePower: 1, Patience: 10 * time.Minute}
	order := make([]ranked, 0, len(p.queue))
	for _, j := range p.queue {
		if now.Before(j.notBefore) {
			continue
		}
		key := queue.Key(queue.Item{Size: size(j.Shape), Remaining: p.remaining(j), Waited: now.Sub(j.submitted)}, params)
		order = append(order, ranked{j, key})
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		switch {
		case a.key < b.key:
			return -1
		case a.key > b.key:
			return 1
		}
		return 0
	})
	return order
}

func (p *Planner) tryBatch(now time.Time, j *job) bool {
	if at, ok := p.blocked[j.Shape]; ok && at == p.pool.Releases {
		return false
	}
	workers := p.finder.Find(p.pool, score.Request{
		Shape: j.Shape,
		Room:  (*pool.Worker).Free,
		Exclude: func(w *pool.Worker) bool {
			return w.Probing && len(w.Gangs) > 0 || p.faults.Avoid(j.ID, w.ID)
		},
		Cost: suspicion,
	})
	if workers == nil {
		p.noRoom(j)
		return false
	}
	p.start(now, j, workers, nil, "")
	return true
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
		j.reason = explain.Waiting(j.Shape, p.freeAccelerators())
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

func (p *Planner) freeAccelerators() int {
	n := 0
	for _, w := range p.pool.Workers {
		if w.Usable() {
			n += max(w.Free().Accelerators, 0)
		}
	}
	return n
}
