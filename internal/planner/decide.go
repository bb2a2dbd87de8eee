package planner

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/score"
)

// Decide implements framework.Scheduler.
func (p *Planner) Decide(now time.Time) []framework.Decision {
	if !p.needsPass && (p.wake.IsZero() || now.Before(p.wake)) {
		return nil
	}
	p.needsPass = false
	p.wake = time.Time{}
	p.runTimers(now)
	if p.plan.Repack() {
		p.pool.RoomVersion++
	}
	if !p.throttledUntil.IsZero() && !now.Before(p.throttledUntil) {
		p.throttledUntil = time.Time{}
		p.pool.RoomVersion++
	}
	p.assignSlots(now)
	p.restorePacking(now)
	p.placeNominated(now)
	p.placeClaims(now)
	p.reduceExposure(now)
	p.placePreemptible(now)
	p.setWake(now)
	p.needsPass = p.needsAnotherPass
	p.needsAnotherPass = false
	out := p.decisions
	p.decisions = nil
	return out
}

// runTimers ends the trials and hold-downs that are over and starts the probes
// that are due.
func (p *Planner) runTimers(now time.Time) {
	p.trials = slices.DeleteFunc(p.trials, func(t trial) bool {
		if now.Before(t.endsAt) {
			return false
		}
		if j := p.jobs[t.gang.ID]; j != nil && j.gang == t.gang {
			p.markProven(t.gang, "")
		}
		return true
	})
	p.probes = slices.DeleteFunc(p.probes, func(b probe) bool {
		if b.worker.Quarantined && !now.Before(b.dueAt) {
			p.startProbe(now, b.worker, explain.New(explain.WorkerProbed, "the backoff has expired; the worker takes one preemptible job"))
		}
		return !b.worker.Quarantined
	})
	p.holdDowns = slices.DeleteFunc(p.holdDowns, func(h holdDown) bool { return p.endHoldDown(now, h) })
}

// endHoldDown returns a worker to use when its hold-down has expired. It reports
// whether the hold-down is over. A worker that was lost again gets a new hold-down
// when it returns.
func (p *Planner) endHoldDown(now time.Time, h holdDown) bool {
	if !h.worker.Up {
		return true
	}
	if now.Before(h.until) {
		return false
	}
	h.worker.HeldDown = false
	p.healthChanged()
	return true
}

// startProbe returns a quarantined worker to use, limited to one preemptible gang at a
// time until one has proven it healthy. There is no limit if the worker is no longer
// suspect.
func (p *Planner) startProbe(now time.Time, w *pool.Worker, reason model.Reason) {
	w.SuspectedAt = now
	w.Quarantined, w.Probing = false, true
	if !w.Suspect { // a faulty job caused its failures
		w.Probing = false
		p.faults.RecordSuccess(w.ID)
	}
	p.healthChanged()
	p.emit(framework.Decision{Kind: framework.Probe, Worker: w.ID, Reason: reason})
}

// setWake sets the time of the next Decide without an event to the earliest timer.
func (p *Planner) setWake(now time.Time) {
	p.wake = earliest(p.wake, p.throttledUntil)
	for _, t := range p.trials {
		p.wake = earliest(p.wake, t.endsAt)
	}
	for _, b := range p.probes {
		p.wake = earliest(p.wake, b.dueAt)
	}
	for _, h := range p.holdDowns {
		p.wake = earliest(p.wake, h.until)
	}
	for _, j := range p.queue {
		if now.Before(j.notBefore) {
			p.wake = earliest(p.wake, j.notBefore)
		}
	}
}

// hasPinnedPlace reports whether the plan has a pinned place for the job.
func (j *job) hasPinnedPlace() bool { return j.slot != nil && (j.slot.Pinned || j.slot.Outside != nil) }

// allocate makes a gang of the job hold room on workers.
func (p *Planner) allocate(now time.Time, j *job, workers []*pool.Worker) {
	j.gang = &pool.Gang{
		ID: j.ID, Team: j.Team, TaskResources: j.Shape.PerTask(), Workers: workers,
		Pinned: j.hasPinnedPlace(), Protected: j.slot != nil && !j.hasPinnedPlace(), PlacedAt: now, Remaining: p.remainingRunTime(j),
		CheckpointInterval: time.Duration(j.CheckpointIntervalMS) * time.Millisecond, Preemptions: j.preemptions,
	}
	p.pool.Allocate(j.gang)
}

// start stops the victims and places the job. If the room is not free yet, or a worker
// has too many recent starts, it nominates the job: the job holds the room and is
// placed later.
func (p *Planner) start(now time.Time, j *job, workers []*pool.Worker, victims []*pool.Gang, rule string) {
	for _, v := range victims {
		vj := p.jobs[v.ID]
		p.preempt(now, vj, explain.Stopping(rule, j.ID, 0))
	}
	p.dequeue(j)
	j.waited += now.Sub(j.waitingSince)
	p.allocate(now, j, workers)
	j.victimCount = len(victims)
	if pool.HasRoom(j.gang) && p.mayStartNow(now, j.gang) {
		p.emitPlace(j)
		return
	}
	j.gang.Nominated = true
	j.state = nominated
	j.reason = explain.New(explain.WaitingForRoom, "the chosen workers are not ready: jobs on them are being stopped or have just started")
	p.nominations = append(p.nominations, j)
}

// emitPlace emits the decision to start the gang of a job.
func (p *Planner) emitPlace(j *job) {
	j.gang.Nominated = false
	j.state = starting
	j.attempt++
	rule := explain.Placed
	if j.gang.Pinned {
		rule = explain.Claimed
	}
	j.reason = explain.Placement(rule, j.Shape, j.attempt, j.victimCount)
	ids := make([]string, len(j.gang.Workers))
	for i, w := range j.gang.Workers {
		ids[i] = w.ID
	}
	p.emit(framework.Decision{Kind: framework.Place, Job: j.ID, Attempt: j.attempt, Workers: ids,
		Reason: j.reason, Preemptible: !j.gang.Pinned})
}

const (
	// maxStarts bounds the gangs that start on a worker within startWindow. If the
	// worker is faulty, all of them fail before it can be quarantined. The window
	// is longer than a failed start takes and much shorter than
	// model.UrgentStartDeadline.
	maxStarts   = 3
	startWindow = time.Second
)

// mayStartNow reports whether a gang may start without exceeding maxStarts on any
// of its workers.
func (p *Planner) mayStartNow(now time.Time, g *pool.Gang) bool {
	for _, w := range g.Workers {
		n := 0
		for _, o := range w.Gangs {
			if o != g && !o.Nominated && now.Sub(o.PlacedAt) < startWindow {
				n++
			}
		}
		if n >= maxStarts {
			p.throttledUntil = earliest(p.throttledUntil, now.Add(startWindow))
			return false
		}
	}
	return true
}

// placeNominated places the nominated gangs whose room is now free.
func (p *Planner) placeNominated(now time.Time) {
	p.nominations = slices.DeleteFunc(p.nominations, func(j *job) bool {
		if !pool.HasRoom(j.gang) || !p.mayStartNow(now, j.gang) {
			return false
		}
		j.gang.PlacedAt = now
		p.emitPlace(j)
		return true
	})
}

// preempt stops the gang of a job. A nominated job only loses its nomination.
func (p *Planner) preempt(now time.Time, j *job, reason model.Reason) {
	if j.state == nominated {
		p.dropNomination(now, j)
		return
	}
	j.preemptions++
	p.stopGang(now, j, reason)
}

// stopGang emits the decision to stop the gang of a job, unless it is stopping already.
func (p *Planner) stopGang(_ time.Time, j *job, reason model.Reason) {
	if j.state == stopping {
		return
	}
	j.state = stopping
	j.gang.Stopping = true
	j.reason = reason
	p.emit(framework.Decision{Kind: framework.Stop, Job: j.ID, Attempt: j.attempt, Reason: reason,
		Preemptible: !j.gang.Pinned, Grace: Grace})
}

// feasibilityOf returns whether a shape fits the idle pool of all known workers and
// that of the usable ones. The result is cached until the set of usable workers
// changes.
func (p *Planner) feasibilityOf(s model.Shape) feasibility {
	f, ok := p.feasibilities[s]
	if ok && f.healthVersion == p.healthVersion {
		return f
	}
	if len(p.feasibilities) > maxShapes {
		clear(p.feasibilities)
	}
	capacity := func(w *pool.Worker) model.Resources { return w.Capacity }
	f = feasibility{healthVersion: p.healthVersion}
	f.usableWorkers = p.finder.Find(p.pool, score.Request{Shape: s, Room: capacity}) != nil
	f.allWorkers = f.usableWorkers || p.finder.Find(p.pool, score.Request{Shape: s, Room: capacity, IncludeUnusable: true}) != nil
	p.feasibilities[s] = f
	return f
}

// maxShapes bounds the number of shapes with cached search results.
const maxShapes = 4096
