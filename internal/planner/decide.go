package planner

import (
	"slices"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/packing"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/reclaim"
	"snipegw/internal/planner/score"
)

// Decide implements framework.Scheduler.
func (p *Planner) Decide(now time.Time) []framework.Decision {
	if !p.dirty && (p.wake.IsZero() || now.Before(p.wake)) {
		return nil
	}
	p.dirty = false
	p.wake = time.Time{}
	p.runTimers(now)
	if p.plan.Repack() {
		p.pool.Releases++
	}
	p.keepPromises(now)
	p.placeClaims(now)
	p.placeBatch(now)
	p.setWake(now)
	p.dirty = p.more
	p.more = false
	out := p.out
	p.out = nil
	return out
}

// runTimers judges trials and starts probes that are due.
func (p *Planner) runTimers(now time.Time) {
	p.trials = slices.DeleteFunc(p.trials, func(t trial) bool {
		if now.Before(t.at) {
			return false
		}
		if j := p.jobs[t.gang.ID]; j != nil && j.gang == t.gang {
			p.proven(t.gang, "")
		}
		return true
	})
	p.probes = slices.DeleteFunc(p.probes, func(b probe) bool {
		if b.worker.Quarantined && !now.Before(b.at) {
			p.probe(b.worker, explain.New(explain.WorkerProbed, "the back-off has passed; the worker takes one preemptible job"))
		}
		return !b.worker.Quarantined
	})
}

// probe returns a quarantined worker to use for one job.
func (p *Planner) probe(w *pool.Worker, reason model.Reason) {
	w.Quarantined, w.Probing = false, true
	if !w.Suspect { // its failures were those of a faulty job
		w.Probing = false
		p.faults.Succeeded(w.ID)
	}
	p.healthChanged()
	p.emit(framework.Decision{Kind: framework.Probe, Worker: w.ID, Reason: reason})
}

func (p *Planner) setWake(now time.Time) {
	for _, t := range p.trials {
		p.wake = earliest(p.wake, t.at)
	}
	for _, b := range p.probes {
		p.wake = earliest(p.wake, b.at)
	}
	for _, j := range p.queue {
		if now.Before(j.notBefore) {
			p.wake = earliest(p.wake, j.notBefore)
		}
	}
}

// hold enters a gang of the job into the books.
func (p *Planner) hold(now time.Time, j *job, workers []*pool.Worker) {
	j.gang = &pool.Gang{
		ID: j.ID, Team: j.Team, Per: j.Shape.PerTask(), Workers: workers,
		Fixed: j.slot != nil, Placed: now, Remaining: p.remaining(j),
		Checkpoint: time.Duration(j.CheckpointMS) * time.Millisecond, Stops: j.stops,
	}
	p.pool.Hold(j.gang)
}

// start places the job, or promises it the room if gangs have to leave first.
func (p *Planner) start(now time.Time, j *job, workers []*pool.Worker, victims []*pool.Gang, rule string) {
	for _, v := range victims {
		vj := p.jobs[v.ID]
		p.preempt(now, vj, explain.Stopping(rule, j.ID, 0))
	}
	p.dequeue(j)
	j.waited += now.Sub(j.since)
	p.hold(now, j, workers)
	j.preempted = len(victims)
	if pool.Ready(j.gang) {
		p.place(j)
		return
	}
	j.gang.Promised = true
	j.state = promised
	j.reason = explain.New(explain.WaitingForRoom, "jobs that run on the chosen workers are being stopped")
	p.promises = append(p.promises, j)
}

func (p *Planner) place(j *job) {
	j.gang.Promised = false
	j.state = starting
	j.attempt++
	rule := explain.Placed
	if j.slot != nil {
		rule = explain.Claimed
	}
	j.reason = explain.Placement(rule, j.Shape, j.attempt, j.preempted)
	ids := make([]string, len(j.gang.Workers))
	for i, w := range j.gang.Workers {
		ids[i] = w.ID
	}
	p.emit(framework.Decision{Kind: framework.Place, Job: j.ID, Attempt: j.attempt, Workers: ids,
		Reason: j.reason, Preemptible: j.slot == nil})
}

// keepPromises places the promised gangs whose room has become free.
func (p *Planner) keepPromises(now time.Time) {
	p.promises = slices.DeleteFunc(p.promises, func(j *job) bool {
		if !pool.Ready(j.gang) {
			return false
		}
		j.gang.Placed = now
		p.place(j)
		return true
	})
}

// preempt makes a gang leave. A promised one only loses its promise.
func (p *Planner) preempt(now time.Time, j *job, reason model.Reason) {
	if j.state == promised {
		p.dropPromise(now, j)
		return
	}
	j.stops++
	p.stop(now, j, reason)
}

func (p *Planner) stop(_ time.Time, j *job, reason model.Reason) {
	if j.state == stopping {
		return
	}
	j.state = stopping
	j.gang.Stopping = true
	j.reason = reason
	p.emit(framework.Decision{Kind: framework.Stop, Job: j.ID, Attempt: j.attempt, Reason: reason,
		Preemptible: j.slot == nil, Grace: Grace})
}

// fits reports whether a shape fits the pool of all known workers and that of
// the usable ones, if they were idle.
func (p *Planner) fits(s model.Shape) feasibility {
	f, ok := p.feasible[s]
	if ok && f.health == p.health {
		return f
	}
	if len(p.feasible) > maxShapes {
		clear(p.feasible)
	}
	capacity := func(w *pool.Worker) model.Resources { return w.Capacity }
	f = feasibility{health: p.health}
	f.today = p.finder.Find(p.pool, score.Request{Shape: s, Room: capacity}) != nil
	f.ever = f.today || p.finder.Find(p.pool, score.Request{Shape: s, Room: capacity, Unusable: true}) != nil
	p.feasible[s] = f
	return f
}

// maxShapes bounds the memory of searches by shape.
const maxShapes = 4096

// placeClaims starts the jobs that have a guarantee left, urgent ones first.
func (p *Planner) placeClaims(now time.Time) {
	for _, class := range []model.Class{model.ClassUrgent, model.ClassGuaranteed} {
		for _, j := range slices.Clone(p.queue) {
			if j.Class != class || j.state != waiting || now.Before(j.notBefore) {
				continue
			}
			if len(p.out) >= maxPlacements {
				p.more = true
				return
			}
			p.claim(now, j)
		}
	}
}

// claim starts a job on a slot of its team; it reports whether there was one.
func (p *Planner) claim(now time.Time, j *job) bool {
	var last *packing.Slot
	for _, s := range p.plan.Fitting(j.Team, j.Shape) {
		if last != nil && last.Shape == s.Shape && last.Workers != nil {
			continue
		}
		last = s
		for _, avoid := range []bool{true, false} {
			if p.claimSlot(now, j, s, avoid) {
				return true
			}
		}
	}
	return false
}

// option is one way to start a claim.
type option struct {
	slot, job []*pool.Worker
	victims   []*pool.Gang
	cost      float64
}

const (
	// maxSwaps bounds the places of other slots that a claim considers.
	maxSwaps = 32
	// suspectCost is the cost in accelerator-seconds of a start on a worker on
	// which a job has failed.
	suspectCost = 1000
)

func (p *Planner) claimSlot(now time.Time, j *job, s *packing.Slot, avoid bool) bool {
	options := p.options(now, j, s, avoid)
	slices.SortStableFunc(options, func(a, b option) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	for _, o := range options {
		if !p.plan.Move(s, o.slot) {
			continue
		}
		p.plan.Claim(s, j.ID)
		j.slot = s
		p.start(now, j, o.job, o.victims, explain.Preempted)
		return true
	}
	return false
}

func (p *Planner) options(now time.Time, j *job, s *packing.Slot, avoid bool) []option {
	var out []option
	add := func(place []*pool.Worker) bool {
		if place == nil {
			return false
		}
		for _, w := range place {
			if !w.Sound() || avoid && p.faults.Avoid(j.ID, w.ID) {
				return false
			}
		}
		o := option{slot: place, job: p.within(place, j.Shape)}
		var ok bool
		o.victims, o.cost, ok = reclaim.Victims(o.job, j.Shape.PerTask(), claimCost(now))
		if !ok {
			return false
		}
		for _, w := range o.job {
			if w.Suspect {
				o.cost += suspectCost
			}
		}
		out = append(out, o)
		return o.cost == 0
	}
	if add(s.Workers) {
		return out
	}
	exclude := func(w *pool.Worker) bool {
		return !w.Sound() || avoid && p.faults.Avoid(j.ID, w.ID)
	}
	free := p.finder.Find(p.pool, score.Request{Shape: s.Shape, Exclude: exclude,
		Room: func(w *pool.Worker) model.Resources { return least(w.Free(), w.Capacity.Sub(w.Pinned)) },
		Cost: suspicion,
	})
	if add(free) {
		return out
	}
	swaps := 0
	for _, o := range p.plan.Slots {
		if o != s && o.Job == "" && o.Workers != nil && o.Shape == s.Shape && swaps < maxSwaps {
			swaps++
			if add(o.Workers) {
				return out
			}
		}
	}
	add(p.finder.Find(p.pool, score.Request{Shape: s.Shape, Exclude: exclude,
		Room: func(w *pool.Worker) model.Resources { return w.Capacity.Sub(w.Pinned) },
		Cost: func(w *pool.Worker, n int) float64 { return roomCost(w, s.Shape, n, claimCost(now)) + suspicion(w, n) },
	}))
	return out
}

func suspicion(w *pool.Worker, _ int) float64 {
	if w.Suspect {
		return suspectCost
	}
	return 0
}

func least(a, b model.Resources) model.Resources {
	return model.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		MemoryGB:     min(a.MemoryGB, b.MemoryGB),
	}
}

// within chooses the workers of a job inside a place for a larger slot: those
// with the most free room first.
func (p *Planner) within(place []*pool.Worker, s model.Shape) []*pool.Worker {
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
