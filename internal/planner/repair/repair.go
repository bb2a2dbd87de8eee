// Package repair moves small preemptible gangs together when that frees a place
// for a waiting large job.
//
// After failures, bulk cancellations and the ends of many small jobs, the free
// accelerators may suffice for a large job but lie scattered. A move stops the
// gangs on the chosen workers, which go on elsewhere from their last checkpoint.
// It is made only if all of them fit into the room that is free elsewhere at the
// same time, and if the work that they lose is at most GainShare of the work of
// the large job; otherwise waiting is cheaper.
package repair

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

// GainShare bounds the work lost in a move by a part of the work of the job that
// gains from it.
const GainShare = 0.05

// Worth reports whether the stops cost less than the move gains. work is that of
// the large job in accelerator-seconds.
func Worth(victims []*pool.Gang, now time.Time, work float64) bool {
	lost := 0.0
	for _, g := range victims {
		lost += reclaim.Cost(g, now)
	}
	return lost <= GainShare*work
}

// Fits reports whether all victims fit beside each other into the free room
// outside the given workers. shape returns the shape of a gang.
func Fits(p *pool.Pool, f *score.Finder, victims []*pool.Gang, cleared []*pool.Worker,
	shape func(*pool.Gang) model.Shape) bool {
	var tried []*pool.Gang
	defer func() {
		for _, g := range tried {
			unhold(g)
		}
	}()
	for _, v := range victims {
		workers := f.Find(p, score.Request{
			Shape:   shape(v),
			Room:    (*pool.Worker).Free,
			Exclude: func(w *pool.Worker) bool { return w.Probing || slices.Contains(cleared, w) },
		})
		if workers == nil {
			return false
		}
		g := &pool.Gang{TaskResources: v.TaskResources, Workers: workers}
		for _, w := range workers {
			w.Used = w.Used.Add(g.TaskResources)
		}
		tried = append(tried, g)
	}
	return true
}

// unhold takes a tried gang out of the books. It does not count as a release:
// nothing was held before.
func unhold(g *pool.Gang) {
	for _, w := range g.Workers {
		w.Used = w.Used.Sub(g.TaskResources)
	}
}
