package engine

import (
	"maps"
	"slices"
	"time"

	"snipegw/internal/workflow"
)

// Change is a new version of a job's progress record, to be stored.
type Change struct {
	ID       string
	Revision uint64 // of the record that it replaces, 0 if there is none
	Progress *workflow.Progress
	// DependsOnCancel reports whether the change must not be stored when the store holds a
	// cancellation of the job: the engine knows of none, and the end of the job is not stored. A
	// cancellation after a stored end changes nothing.
	DependsOnCancel bool
	// HasNewRuns reports whether the change records runs whose start orders have not
	// been handed out yet.
	HasNewRuns bool
	// StartDomains are the failure domains in which these runs start items, sorted. The change must
	// not be stored while one of them is evacuated.
	StartDomains []string
}

// TakeChanges returns the changes since the last call, in order of the job ids, and
// marks the jobs as unchanged.
func (e *Engine) TakeChanges() []Change {
	changes := make([]Change, 0, len(e.dirty))
	for _, id := range slices.Sorted(maps.Keys(e.dirty)) {
		changes = append(changes, e.takeChange(e.dirty[id]))
	}
	return changes
}

func (e *Engine) takeChange(j *job) Change {
	delete(e.dirty, j.id)
	delete(e.begunUnrecorded, j.id)
	j.seq++
	return Change{
		ID: j.id, Revision: j.revision, Progress: j.progressRecord(), DependsOnCancel: !j.cancelled && !j.endStored,
		HasNewRuns: j.hasUnsentStarts(), StartDomains: j.startDomains(),
	}
}

// TakeChange returns the change of one job, and false if there is none.
func (e *Engine) TakeChange(id string) (Change, bool) {
	j := e.dirty[id]
	if j == nil {
		return Change{}, false
	}
	return e.takeChange(j), true
}

// MarkStored notes that a change was found to be stored at now, and at which revision.
func (e *Engine) MarkStored(c Change, revision uint64, now time.Time) {
	j := e.jobs[c.ID]
	if j == nil {
		return
	}
	ended := c.Progress.State.Terminal()
	if ended && !j.endStored {
		j.endedClock = e.retentionClock(now) // callers can read the final state from now on
	}
	j.revision, j.endStored = revision, ended
}

// RetractStarts ends the runs of a job that were decided but not stored. No start
// order was sent for them.
func (e *Engine) RetractStarts(id string, now time.Time) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.markDirty(j)
	for _, u := range j.units {
		for _, m := range slices.Clone(u.members) {
			if !m.startSent && !m.inherited {
				e.endMember(m, workflow.EndNever, "", now)
			}
		}
	}
}

// ReopenJob reverts the end of a job if the change that records it was not stored,
// because a cancellation had been stored before.
func (e *Engine) ReopenJob(id string) {
	if j := e.jobs[id]; j != nil && (j.state == workflow.StateComplete || j.state == workflow.StateFailed) {
		j.state, j.endedMS, j.endedClock = workflow.StateActive, 0, 0
		e.addOpenJob(j)
	}
}

// isActive reports whether some unit of the job is active.
func (j *job) isActive() bool {
	return slices.ContainsFunc(j.units, (*unit).isActive)
}

// hasUnsentStarts reports whether some member waits for its start order.
func (j *job) hasUnsentStarts() bool {
	for _, u := range j.units {
		for _, m := range u.members {
			if m.isUnsent() {
				return true
			}
		}
	}
	return false
}

// progressRecord returns the progress of a job as it is to be stored.
func (j *job) progressRecord() *workflow.Progress {
	p := &workflow.Progress{State: j.state, EndedMS: j.endedMS, EndedClockMS: j.endedClock.Milliseconds(), Seq: j.seq, Crashes: j.crashRecords(), GivenUp: j.givenUp, Begun: j.begun}
	if p.State == workflow.StatePending && j.hasStarted {
		p.State = workflow.StateActive
	}
	for _, u := range j.units {
		if u.run == 0 {
			continue
		}
		up := workflow.UnitProgress{
			Occurrence: u.occurrence, Step: u.step, First: u.first,
			Run: u.run, Failed: u.failedRuns, Done: u.done, Checkpoint: u.checkpoint,
		}
		for _, m := range u.members {
			up.Members = append(up.Members, workflow.MemberProgress{Worker: m.incarnation, End: m.end})
		}
		p.Units = append(p.Units, up)
	}
	return p
}

// restoreProgress restores a job from the progress that an earlier planner stored.
func (e *Engine) restoreProgress(j *job, p *workflow.Progress) {
	j.seq, j.endedMS = p.Seq, p.EndedMS
	j.state, j.endStored = p.State, p.State.Terminal()
	e.restoreEnd(j, p)
	units := make(map[[3]int]*unit, len(j.units))
	for _, u := range j.units {
		units[[3]int{u.occurrence, u.step, u.first}] = u
	}
	for i := range p.Units {
		up := &p.Units[i]
		u := units[[3]int{up.Occurrence, up.Step, up.First}]
		if u == nil {
			continue // stored under another job format; the job itself never changes
		}
		j.hasStarted = true
		u.run, u.failedRuns, u.checkpoint = up.Run, up.Failed, up.Checkpoint
		u.countFailures(1)
		if up.Done {
			e.markUnitDone(u)
		}
		e.restoreMembers(u, up.Members)
	}
	j.restoreCrashes(p.Crashes)
	j.givenUp = p.GivenUp
	j.restoreBegun(p)
}

// restoreMembers restores the members of a unit's latest run. Those that have not
// ended may still be running; if another member of their gang has ended, the gang is
// stopped.
func (e *Engine) restoreMembers(u *unit, members []workflow.MemberProgress) {
	open := false
	for i, mp := range members {
		node := workflow.NodeOf(mp.Worker)
		e.AddWorker(node)
		m := &member{unit: u, run: u.run, index: u.first + i, worker: e.workers[node], incarnation: mp.Worker, end: mp.End, inherited: true, startedAt: e.termStart}
		u.members = append(u.members, m)
		if m.end == "" {
			open = true
			m.worker.members = append(m.worker.members, m)
			m.worker.inheritedRuns = true
		} else if !u.done && u.count > 1 {
			u.stop("gang broken")
		}
	}
	if !open {
		u.members, u.stopping = nil, false
	}
}
