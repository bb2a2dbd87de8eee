package planner

import (
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/repair"
	"snipegw/internal/planner/score"
)

// defragmentFor starts a large job by moving small preemptible gangs elsewhere. It
// reports whether the job was started.
func (p *Planner) defragmentFor(now time.Time, j *job) bool {
	if float64(p.freeAccelerators()) < weightedSize(j.Shape) {
		return false
	}
	costOf := p.cacheCosts(func(g *pool.Gang) float64 {
		if g.Protected || g.Nominated || g.Accelerators() >= queue.LargeSize || now.Sub(g.PlacedAt) < minRunBeforePreemption {
			return impossibleCost
		}
		return reclaim.Cost(g, now)
	})
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    preemptibleRoom,
		Exclude: func(w *pool.Worker) bool { return p.isExcludedOrThrottled(now, j, w) || w.Probing },
		Cost: func(w *pool.Worker, n int) float64 {
			return suspectPenalty(w, n) + p.evictionCost(w, j.Shape, n, costOf)
		},
	})
	if workers == nil {
		return false
	}
	victims, _, ok := reclaim.Victims(workers, j.Shape.PerTask(), costOf)
	if !ok || len(victims) == 0 {
		return false
	}
	work := weightedSize(j.Shape) * p.remainingRunTime(j).Seconds()
	shapeOf := func(g *pool.Gang) model.Shape { return p.jobs[g.ID].Shape }
	for _, v := range victims {
		if costOf(v) >= impossibleCost {
			return false
		}
	}
	if !repair.IsWorthwhile(victims, now, work) || !repair.FitElsewhere(p.pool, &p.finder, victims, workers, shapeOf) {
		return false
	}
	p.start(now, j, workers, victims, explain.Moved)
	return true
}

// freeAccelerators returns the free accelerators of all usable workers.
func (p *Planner) freeAccelerators() int {
	n := 0
	for _, w := range p.pool.Workers {
		if w.Usable() {
			n += max(w.Free().Accelerators, 0)
		}
	}
	return n
}
