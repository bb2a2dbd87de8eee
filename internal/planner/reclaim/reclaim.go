// Package reclaim chooses the victims of a preemption: the preemptible gangs to stop
// so that another gang fits.
//
// The cost of a victim is the work that stopping it loses, in accelerator-seconds:
// the run time since its last checkpoint, or all of it without checkpoints, plus an
// overhead per stop that grows with the number of earlier preemptions, so that the
// same job is not stopped repeatedly. For each worker that lacks room, the gang with
// the lowest cost per freed resource is chosen first. Victims that turn out not to
// be needed are then dropped from the set, the most expensive first.
package reclaim

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// stopOverheadSeconds is the run time of the whole gang that one stop costs beside the
// work lost: checkpoint, stop, and start elsewhere.
const stopOverheadSeconds = 3.0

// stopGrace is the grace period in which a gang that was told to stop goes on running.
const stopGrace = time.Second

// LostRunTime returns the run time that stopping a gang at now loses.
func LostRunTime(g *pool.Gang, now time.Time) time.Duration {
	if g.StartedAt.IsZero() {
		return 0
	}
	run := now.Sub(g.StartedAt) + stopGrace
	if g.CheckpointInterval <= 0 {
		return run
	}
	return run % g.CheckpointInterval
}

// Cost returns the cost of stopping a gang in accelerator-seconds. Each task counts as
// a tenth of an accelerator more, so that gangs without accelerators have a cost too.
func Cost(g *pool.Gang, now time.Time) float64 {
	size := float64(g.Accelerators()) + 0.1*float64(len(g.Workers))
	return size * (LostRunTime(g, now).Seconds() + stopOverheadSeconds*float64(1+g.Preemptions))
}

// Victims returns the gangs to stop so that one task fits on each entry of workers, and
// the sum of their costs by costOf. per is what one task needs. A worker that takes
// several tasks occurs several times in a row. ok is false if stopping all preemptible
// gangs would not free enough. The room of gangs that are already stopping counts as
// free.
func Victims(workers []*pool.Worker, per model.Resources, costOf func(*pool.Gang) float64) (out []*pool.Gang, cost float64, ok bool) {
	need := neededByWorker(workers, per)
	for i := range need {
		d := &need[i]
		d.room = d.worker.Free()
		for _, g := range d.worker.Gangs {
			if g.Stopping || slices.Contains(out, g) {
				d.room = d.room.Add(heldOn(g, d.worker))
			}
		}
		for !d.needed.Fits(d.room) {
			g := cheapestGang(d.worker, out, d.needed.Sub(d.room), costOf)
			if g == nil {
				return nil, 0, false
			}
			out = append(out, g)
			d.room = d.room.Add(heldOn(g, d.worker))
		}
	}
	out = dropUnneeded(out, need, costOf)
	for _, g := range out {
		cost += costOf(g)
	}
	return out, cost, true
}

// demand is what a gang needs on a worker and the room that it finds there.
type demand struct {
	worker       *pool.Worker
	needed, room model.Resources
}

// neededByWorker sums the resources that the tasks need on each worker.
func neededByWorker(workers []*pool.Worker, per model.Resources) []demand {
	var need []demand
	for _, w := range workers {
		if n := len(need); n > 0 && need[n-1].worker == w {
			need[n-1].needed = need[n-1].needed.Add(per)
			continue
		}
		need = append(need, demand{worker: w, needed: per})
	}
	return need
}

// heldOn returns the resources that a gang holds on a worker.
func heldOn(g *pool.Gang, w *pool.Worker) model.Resources {
	var sum model.Resources
	for _, o := range g.Workers {
		if o == w {
			sum = sum.Add(g.TaskResources)
		}
	}
	return sum
}

// cheapestGang returns the gang on a worker with the lowest cost per share of the
// lacking resources that it frees, nil if none frees any.
func cheapestGang(w *pool.Worker, out []*pool.Gang, lack model.Resources, costOf func(*pool.Gang) float64) *pool.Gang {
	var best *pool.Gang
	lowest := 0.0
	for _, g := range w.Gangs {
		if g.Pinned || g.Stopping || slices.Contains(out, g) {
			continue
		}
		freed := freedShare(heldOn(g, w), lack)
		if freed == 0 {
			continue
		}
		if c := costOf(g) / freed; best == nil || c < lowest {
			best, lowest = g, c
		}
	}
	return best
}

// freedShare returns the fraction of the lacking resources that is freed, summed over
// the kinds of resources.
func freedShare(freed, lack model.Resources) float64 {
	return fraction(freed.Accelerators, lack.Accelerators) + fraction(freed.Cores, lack.Cores) +
		fraction(freed.MemoryGB, lack.MemoryGB)
}

func fraction(freed, lack int) float64 {
	if lack <= 0 {
		return 0
	}
	return min(float64(freed)/float64(lack), 1)
}

// dropUnneeded removes the victims without which the room suffices, the most expensive
// first.
func dropUnneeded(out []*pool.Gang, need []demand, costOf func(*pool.Gang) float64) []*pool.Gang {
	if len(out) < 2 {
		return out
	}
	for i := range need {
		need[i].room = need[i].worker.Free()
		for _, g := range need[i].worker.Gangs {
			if g.Stopping || slices.Contains(out, g) {
				need[i].room = need[i].room.Add(heldOn(g, need[i].worker))
			}
		}
	}
	byCost := slices.Clone(out)
	slices.SortStableFunc(byCost, func(a, b *pool.Gang) int {
		switch ca, cb := costOf(a), costOf(b); {
		case ca > cb:
			return -1
		case ca < cb:
			return 1
		}
		return 0
	})
	for _, g := range byCost {
		if !isUnneeded(g, need) {
			continue
		}
		for i := range need {
			need[i].room = need[i].room.Sub(heldOn(g, need[i].worker))
		}
		out = slices.DeleteFunc(out, func(o *pool.Gang) bool { return o == g })
	}
	return out
}

// isUnneeded reports whether the room on all workers suffices without a victim.
func isUnneeded(g *pool.Gang, need []demand) bool {
	for _, d := range need {
		if !d.needed.Fits(d.room.Sub(heldOn(g, d.worker))) {
			return false
		}
	}
	return true
}
