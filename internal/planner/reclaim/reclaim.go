// Package reclaim selects the preemptible gangs that make room for a claim.
//
// The cost of a gang is the work that its stop loses, in accelerator-seconds:
// the run time since its last whole checkpoint, or all of it without
// checkpoints, plus a fixed cost per stop that grows with the stops that the job
// already had, so that the same job is not stopped again and again. For each
// worker that lacks room the gang with the lowest cost per freed resource goes
// first; gangs that turn out not to be needed are dropped from the set again,
// the most expensive first.
package reclaim

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// stopCost is the cost of one stop beside the work lost, in seconds of run time
// of the whole gang: checkpoint, stop, and start elsewhere.
const stopCost = 3.0

// grace is the time that a stopped gang goes on running.
const grace = time.Second

// Lost returns the run time that a stop at now loses.
func Lost(g *pool.Gang, now time.Time) time.Duration {
	if g.Started.IsZero() {
		return 0
	}
	run := now.Sub(g.Started) + grace
	if g.Checkpoint <= 0 {
		return run
	}
	return run % g.Checkpoint
}

// Cost returns the cost of a stop in accelerator-seconds. A gang without
// accelerators counts a tenth of an accelerator per task.
func Cost(g *pool.Gang, now time.Time) float64 {
	size := float64(g.Accelerators()) + 0.1*float64(len(g.Workers))
	return size * (Lost(g, now).Seconds() + stopCost*float64(1+g.Stops))
}

// Victims returns the gangs to stop so that tasks of size per fit on workers,
// by rank, and their cost by costOf. ok is false if even all preemptible gangs
// free too little. Gangs that already stop count as gone.
func Victims(workers []*pool.Worker, per model.Resources, costOf func(*pool.Gang) float64) (out []*pool.Gang, cost float64, ok bool) {
	need := demand(workers, per)
	for i := range need {
		d := &need[i]
		d.room = d.w.Free()
		for _, g := range d.w.Gangs {
			if g.Stopping || slices.Contains(out, g) {
				d.room = d.room.Add(on(g, d.w))
			}
		}
		for !d.amount.Fits(d.room) {
			g := cheapest(d.w, out, d.amount.Sub(d.room), costOf)
			if g == nil {
				return nil, 0, false
			}
			out = append(out, g)
			d.room = d.room.Add(on(g, d.w))
		}
	}
	out = prune(out, need, costOf)
	for _, g := range out {
		cost += costOf(g)
	}
	return out, cost, true
}

type deficit struct {
	w            *pool.Worker
	amount, room model.Resources
}

func demand(workers []*pool.Worker, per model.Resources) []deficit {
	var need []deficit
	for _, w := range workers {
		if n := len(need); n > 0 && need[n-1].w == w {
			need[n-1].amount = need[n-1].amount.Add(per)
			continue
		}
		need = append(need, deficit{w: w, amount: per})
	}
	return need
}

func on(g *pool.Gang, w *pool.Worker) model.Resources {
	var sum model.Resources
	for _, o := range g.Workers {
		if o == w {
			sum = sum.Add(g.Per)
		}
	}
	return sum
}

func cheapest(w *pool.Worker, out []*pool.Gang, lack model.Resources, costOf func(*pool.Gang) float64) *pool.Gang {
	var best *pool.Gang
	lowest := 0.0
	for _, g := range w.Gangs {
		if g.Fixed || g.Stopping || slices.Contains(out, g) {
			continue
		}
		freed := share(on(g, w), lack)
		if freed == 0 {
			continue
		}
		if c := costOf(g) / freed; best == nil || c < lowest {
			best, lowest = g, c
		}
	}
	return best
}

// share returns which part of the lacking resources a gang frees, summed over
// the kinds.
func share(freed, lack model.Resources) float64 {
	return part(freed.Accelerators, lack.Accelerators) + part(freed.Cores, lack.Cores) +
		part(freed.MemoryGB, lack.MemoryGB)
}

func part(freed, lack int) float64 {
	if lack <= 0 {
		return 0
	}
	return min(float64(freed)/float64(lack), 1)
}

// prune drops gangs without which the room still suffices.
func prune(out []*pool.Gang, need []deficit, costOf func(*pool.Gang) float64) []*pool.Gang {
	if len(out) < 2 {
		return out
	}
	for i := range need {
		need[i].room = need[i].w.Free()
		for _, g := range need[i].w.Gangs {
			if g.Stopping || slices.Contains(out, g) {
				need[i].room = need[i].room.Add(on(g, need[i].w))
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
		if !spare(g, need) {
			continue
		}
		for i := range need {
			need[i].room = need[i].room.Sub(on(g, need[i].w))
		}
		out = slices.DeleteFunc(out, func(o *pool.Gang) bool { return o == g })
	}
	return out
}

func spare(g *pool.Gang, need []deficit) bool {
	for _, d := range need {
		if !d.amount.Fits(d.room.Sub(on(g, d.w))) {
			return false
		}
	}
	return true
}
