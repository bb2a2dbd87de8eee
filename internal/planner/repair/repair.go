// Package repair decides whether to defragment the pool: to move small preemptible
// gangs together when that frees a place for a waiting large job.
//
// After failures, bulk cancellations and the ends of many small jobs, enough
// accelerators for a large job may be free but fragmented over many workers. A move
// stops the gangs on the chosen workers; they resume elsewhere from their last
// checkpoint. It is made only if all of them fit into the free room elsewhere at the
// same time, and if the work that they lose is at most MaxLossShare of the work of the
// large job. Otherwise waiting is cheaper.
package repair

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

// MaxLossShare is the largest work lost in a move as a fraction of the work of the
// large job.
const MaxLossShare = 0.05

// IsWorthwhile reports whether stopping the victims costs at most MaxLossShare of work,
// which is the remaining work of the large job in accelerator-seconds.
func IsWorthwhile(victims []*pool.Gang, now time.Time, work float64) bool {
	lost := 0.0
	for _, g := range victims {
		lost += reclaim.Cost(g, now)
	}
	return lost <= MaxLossShare*work
}

// FitElsewhere reports whether all victims fit at the same time into the free room of
// usable workers that are neither probing nor in cleared, the workers chosen for the large
// job. shape returns the shape of a gang.
func FitElsewhere(p *pool.Pool, f *score.Finder, victims []*pool.Gang, cleared []*pool.Worker,
	shape func(*pool.Gang) model.Shape) bool {
	var tentative []*pool.Gang
	defer func() {
		for _, g := range tentative {
			removeTentative(g)
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
		tentative = append(tentative, g)
	}
	return true
}

// removeTentative frees the room of a gang that was placed only to check whether it
// fits. It does not raise Pool.RoomVersion, since the room was free before.
func removeTentative(g *pool.Gang) {
	for _, w := range g.Workers {
		w.Used = w.Used.Sub(g.TaskResources)
	}
}
