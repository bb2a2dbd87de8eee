package planner

import (
	"slices"
	"strings"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/explain"
	"snipegw/internal/planner/faults"
	"snipegw/internal/planner/framework"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
)

// SetTeams implements framework.Scheduler. A running job whose guarantee is
// withdrawn becomes preemptible.
func (p *Planner) SetTeams(_ time.Time, teams []model.Team) {
	for _, id := range p.plan.SetTeams(teams) {
		if j := p.jobs[id]; j != nil {
			j.slot = nil
			if j.gang != nil {
				j.gang.Pinned, j.gang.Protected = false, false
			}
			j.reason = explain.New(explain.GuaranteeWithdrawn, "the team's guarantee was withdrawn; the job runs as preemptible")
		}
	}
	p.needsPass = true
}

// AddWorker implements framework.Scheduler.
func (p *Planner) AddWorker(now time.Time, m model.Worker) {
	w, _ := p.pool.Add(m)
	if !w.Up {
		p.startHoldDown(now, w)
	}
	w.Up = true
	p.healthChanged()
}

// startHoldDown keeps a returning worker out of use for a time if it was lost
// repeatedly.
func (p *Planner) startHoldDown(now time.Time, w *pool.Worker) {
	p.holdDowns = slices.DeleteFunc(p.holdDowns, func(h holdDown) bool { return h.worker == w })
	d := p.flaps.HoldDown(now, w.ID)
	w.HeldDown = d > 0
	if w.HeldDown {
		p.holdDowns = append(p.holdDowns, holdDown{w, now.Add(d)})
	}
}

// RemoveWorker implements framework.Scheduler.
func (p *Planner) RemoveWorker(now time.Time, id string) {
	w := p.pool.Get(id)
	if w == nil {
		return
	}
	if w.Up {
		p.flaps.RecordLoss(now, id)
	}
	w.Up = false
	p.dropNominations(now, w)
	p.healthChanged()
}

// DrainWorker implements framework.Scheduler.
func (p *Planner) DrainWorker(now time.Time, id string, on bool) {
	w := p.pool.Get(id)
	if w == nil || w.Draining == on {
		return
	}
	w.Draining = on
	if on {
		p.dropNominations(now, w)
	}
	p.healthChanged()
}

// ReleaseWorker implements framework.Scheduler.
func (p *Planner) ReleaseWorker(_ time.Time, id string) {
	w := p.pool.Get(id)
	if w == nil || !w.Quarantined && !w.Probing && !w.Suspect {
		return
	}
	w.Quarantined, w.Probing, w.Suspect = false, false, false
	p.faults.Reset(id)
	p.healthChanged()
}

// healthChanged invalidates all results that depend on the set of usable workers and
// requests a pass.
func (p *Planner) healthChanged() {
	p.healthVersion++
	p.pool.RoomVersion++
	p.plan.Invalidate()
	p.needsPass = true
}

// dropNominations drops all nominations on a worker that went out of use.
func (p *Planner) dropNominations(now time.Time, w *pool.Worker) {
	for _, g := range slices.Clone(w.Gangs) {
		if g.Nominated {
			p.dropNomination(now, p.jobs[g.ID])
		}
	}
}

// dropNomination returns a nominated job to the queue.
func (p *Planner) dropNomination(now time.Time, j *job) {
	p.nominations = slices.DeleteFunc(p.nominations, func(o *job) bool { return o == j })
	p.releaseRoom(j)
	p.enqueue(now, j)
}

// releaseRoom frees the room of a job. The job keeps its slot until it ends.
func (p *Planner) releaseRoom(j *job) {
	if j.gang != nil {
		p.pool.Release(j.gang)
		j.gang = nil
	}
	if j.slot != nil {
		p.plan.EndRun(j.slot)
	}
	p.needsPass = true
}

// enqueue inserts a job into the queue, which is in order of seq.
func (p *Planner) enqueue(now time.Time, j *job) {
	j.state = waiting
	j.waitingSince = now
	at, _ := slices.BinarySearchFunc(p.queue, j.seq, func(o *job, seq uint64) int {
		return int(int64(o.seq) - int64(seq))
	})
	p.queue = slices.Insert(p.queue, at, j)
	p.needsPass = true
}

func (p *Planner) dequeue(j *job) {
	at, ok := slices.BinarySearchFunc(p.queue, j.seq, func(o *job, seq uint64) int {
		return int(int64(o.seq) - int64(seq))
	})
	if ok {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// addJob records a job without putting it into the queue.
func (p *Planner) addJob(now time.Time, m model.Job) *job {
	p.seq++
	m.Command = nil // saves memory; planning does not need it
	j := &job{Job: m, seq: p.seq, submitted: now, waitingSince: now}
	p.jobs[m.ID] = j
	if m.Class != model.ClassPreemptible {
		p.claimants = append(p.claimants, j)
	}
	return j
}

// Submit implements framework.Scheduler.
func (p *Planner) Submit(now time.Time, m model.Job) {
	if p.jobs[m.ID] != nil {
		return
	}
	j := p.addJob(now, m)
	if !isValidShape(m.Shape) || !p.feasibilityOf(m.Shape).allWorkers && len(p.pool.Workers) > 0 {
		delete(p.jobs, m.ID)
		p.emit(framework.Decision{Kind: framework.Refuse, Job: m.ID, Reason: explain.Refusal(m.Shape, p.largestWorker())})
		return
	}
	j.reason = explain.Waiting(j.Shape) // Decide may skip the job if one of the same shape found no room
	p.enqueue(now, j)
}

func isValidShape(s model.Shape) bool {
	return s.Tasks > 0 && s.AcceleratorsPerTask >= 0 && s.CoresPerTask >= 0 && s.MemoryGBPerTask >= 0
}

// largestWorker describes the worker with the most accelerators, among equal ones
// the one with the most cores.
func (p *Planner) largestWorker() string {
	var most model.Resources
	for _, w := range p.pool.Workers {
		if w.Capacity.Accelerators > most.Accelerators || w.Capacity.Accelerators == most.Accelerators && w.Capacity.Cores > most.Cores {
			most = w.Capacity
		}
	}
	return explain.Shape(model.Shape{Tasks: 1, AcceleratorsPerTask: most.Accelerators, CoresPerTask: most.Cores,
		Adjacent: model.AdjacentAny})
}

// emit adds a decision to those that the current or next call of Decide returns.
func (p *Planner) emit(d framework.Decision) {
	p.decisions = append(p.decisions, d)
	p.needsPass = true
}

// Restore implements framework.Scheduler.
func (p *Planner) Restore(now time.Time, m model.Job, attempt uint64, ids []string, started time.Time) {
	if p.jobs[m.ID] != nil {
		return
	}
	j := p.addJob(now, m)
	j.attempt = attempt
	j.submitted = started
	if m.SubmittedMS > 0 {
		j.submitted = time.UnixMilli(m.SubmittedMS)
	}
	workers := make([]*pool.Worker, 0, len(ids))
	for _, id := range ids {
		w := p.pool.Get(id)
		if w == nil { // not reported yet: added as down, without a description
			w, _ = p.pool.Add(model.Worker{ID: id})
		}
		workers = append(workers, w)
	}
	p.allocate(now, j, workers)
	j.state = running
	j.gang.StartedAt = started
	j.gang.PlacedAt = started
	j.reason = explain.New(explain.Running, "the job was running when this planner took over")
	if m.Class != model.ClassPreemptible {
		p.reclaimSlot(j)
	}
}

// reclaimSlot assigns a slot to a restored job and pins it where the job runs. If
// the slot cannot be placed there, the gang stays protected but preemptible.
func (p *Planner) reclaimSlot(j *job) {
	p.plan.Repack()
	j.slot = p.plan.Assign(j.Team, j.ID, j.Shape)
	if j.slot == nil {
		return
	}
	j.gang.Protected = true
	place := p.plan.PlaceCovering(j.slot, j.gang.Workers)
	if place != nil && p.plan.Move(j.slot, place) {
		p.plan.Pin(j.slot)
		j.gang.Pinned, j.gang.Protected = true, false
	}
}

// Cancel implements framework.Scheduler.
func (p *Planner) Cancel(now time.Time, id string) {
	j := p.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	switch j.state {
	case waiting:
		p.dequeue(j)
		p.removeJob(now, j, false)
	case nominated:
		p.nominations = slices.DeleteFunc(p.nominations, func(o *job) bool { return o == j })
		p.releaseRoom(j)
		p.removeJob(now, j, false)
	case starting, running:
		p.stopGang(now, j, explain.New(explain.Cancelled, "the job was cancelled"))
	}
	p.needsPass = true
}

// removeJob removes a job that has ended. If its failures were its own fault, it
// clears the workers on which it failed.
func (p *Planner) removeJob(now time.Time, j *job, atFault bool) {
	if j.slot != nil {
		p.plan.EndRun(j.slot)
		j.slot.Job = ""
		j.slot = nil
	}
	for _, id := range p.faults.RemoveJob(j.ID, atFault) {
		if w := p.pool.Get(id); w != nil {
			w.Suspect = false
			if w.Quarantined {
				p.startProbe(now, w, explain.New(explain.WorkerCleared, "the failures on the worker are explained by job "+j.ID))
			}
		}
	}
	delete(p.jobs, j.ID)
}

// GangStarted implements framework.Scheduler.
func (p *Planner) GangStarted(now time.Time, id string, attempt uint64) {
	j := p.jobs[id]
	if j == nil || j.gang == nil || j.attempt != attempt {
		return
	}
	j.gang.StartedAt = now
	if j.state == starting {
		j.state = running
	}
	for _, w := range j.gang.Workers {
		if w.Suspect || w.Probing {
			p.trials = append(p.trials, trial{j.gang, now.Add(faults.ProvenAfter)})
			p.wake = earliest(p.wake, now.Add(faults.ProvenAfter))
			return
		}
	}
}

// GangEnded implements framework.Scheduler.
func (p *Planner) GangEnded(now time.Time, id string, end framework.AttemptEnd) {
	j := p.jobs[id]
	if j == nil || j.gang == nil || j.attempt != end.Attempt {
		return
	}
	g := j.gang
	if !g.StartedAt.IsZero() && now.Sub(g.StartedAt) >= faults.ProvenAfter && end.Outcome != framework.OutcomeLost {
		p.markProven(g, end.BlamedWorker)
	}
	p.releaseRoom(j)
	j.checkpointed = end.PreservedRunTime
	blamed := p.pool.Get(end.BlamedWorker)
	switch end.Outcome {
	case framework.OutcomeDone:
		p.estimates.Observe(j.Team, weightedSize(j.Shape) >= queue.LargeSize, declaredRunTime(j), end.PreservedRunTime+now.Sub(g.StartedAt))
		p.removeJob(now, j, false)
		return
	case framework.OutcomeOutOfMemory:
		p.removeJob(now, j, false)
		p.emit(framework.Decision{Kind: framework.Fail, Job: id, Attempt: end.Attempt, Reason: explain.New(explain.OutOfMemory,
			"a task used more memory than the job declared", "worker", end.BlamedWorker)})
		return
	case framework.OutcomeStartFailed, framework.OutcomeTaskFailed:
		if blamed != nil {
			p.recordFailure(now, blamed, j)
		}
	case framework.OutcomeNotStarted:
		j.notBefore = now.Add(retryDelay)
	}
	if j.cancelled {
		p.removeJob(now, j, false)
		return
	}
	if workers, fault := p.faults.AtFault(id); fault {
		p.emit(framework.Decision{Kind: framework.Fail, Job: id, Attempt: end.Attempt, Reason: explain.Blame(workers)})
		p.removeJob(now, j, true)
		return
	}
	if j.reason.Rule == explain.Placed || j.reason.Rule == explain.Claimed {
		j.reason = explain.New(explain.WaitingForRetry, "the last attempt ended: "+strings.ReplaceAll(string(end.Outcome), "_", " "))
	}
	p.enqueue(now, j)
}

// markProven clears the suspect and probing workers of a gang that ran well, except
// for one worker and for those suspected after the gang started.
func (p *Planner) markProven(g *pool.Gang, except string) {
	for _, w := range g.Workers {
		if w.ID == except || !w.Suspect && !w.Probing || g.StartedAt.Before(w.SuspectedAt) {
			continue
		}
		p.faults.RecordSuccess(w.ID)
		w.Suspect = false
		if w.Probing {
			w.Probing = false
			p.healthChanged()
		}
	}
}

// maxProofAge is the time after its start in which a running gang proves that new
// gangs can start on its worker. A worker may become faulty for new starts while
// older gangs go on running.
const maxProofAge = 10 * time.Minute

// recordFailure counts a failed start, or a failure of a running task, against a
// worker and a job. It quarantines the worker if the failures suffice or if the worker
// was probing.
func (p *Planner) recordFailure(now time.Time, w *pool.Worker, j *job) {
	proven := false
	for _, g := range w.Gangs {
		ran := now.Sub(g.StartedAt)
		proven = proven || !g.StartedAt.IsZero() && ran >= faults.ProvenAfter && ran <= maxProofAge
	}
	w.Suspect = true
	w.SuspectedAt = now
	quarantine := p.faults.RecordFailure(w.ID, j.ID, proven)
	if w.Quarantined || !quarantine && !w.Probing {
		return
	}
	w.Quarantined, w.Probing = true, false
	p.dropNominations(now, w)
	p.probes = append(p.probes, probe{w, p.faults.StartBackoff(w.ID, now)})
	p.healthChanged()
	p.emit(framework.Decision{Kind: framework.Quarantine, Worker: w.ID, Reason: explain.New(explain.WorkerQuarantined,
		"tasks failed on the worker; it is out of use until its next probe", "last_job", j.ID)})
}

// earliest returns the earlier of two times; the zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
