package engine

import (
	"time"

	"snipegw/internal/workflow"
)

// EndEvent is something that the engine has learned, for the log.
type EndEvent struct {
	Run *RunEnd // one of the two is set
	Job *JobEnd
}

// RunEnd is the end of an item's run.
type RunEnd struct {
	Item             workflow.Ref
	Run              int
	Worker           string // incarnation
	How              workflow.End
	Took             time.Duration // since the worker listed it, or else since the order
	Estimate         time.Duration
	Percent          float64 // last progress seen
	Reason           string  // of the stop, if there was one
	FailedRuns       int     // runs of the unit that failed before
	Cores            int64   // that the run held, with its accelerators as coresPerAccelerator each
	SavesCheckpoints bool    // the run had a checkpoint to go on from
}

// JobEnd is the end of a job.
type JobEnd struct {
	ID        string
	Queue     string
	Team      string
	State     workflow.State
	Took      time.Duration // since acceptance
	Objective time.Duration // in which it should have been complete
}

// TakeEndEvents returns what was learned since the last call.
func (e *Engine) TakeEndEvents() []EndEvent {
	n := e.endEvents
	e.endEvents = nil
	return n
}

func (e *Engine) recordRunEnd(m *member, how workflow.End, now time.Time) {
	e.endEvents = append(e.endEvents, EndEvent{Run: &RunEnd{
		Cores: weightedMilliCores(m.unit.spec().Needs()) / 1000, SavesCheckpoints: m.unit.spec().Checkpoints,
		Item: m.unit.itemRef(m.index), Run: m.run, Worker: m.incarnation, How: how, Took: now.Sub(m.startedAt), Estimate: e.estimates.duration(m.unit),
		Percent: m.percent, Reason: m.unit.stopReason, FailedRuns: m.unit.failedRuns,
	}})
}

func (e *Engine) recordJobEnd(j *job, now time.Time) {
	last := j.rec.Runs() - 1
	begin := time.UnixMilli(max(j.rec.AcceptedMS, j.dueMS(last)))
	e.endEvents = append(e.endEvents, EndEvent{Job: &JobEnd{
		ID: j.id, Queue: j.rec.Queue, Team: j.rec.Team, State: j.state, Took: now.Sub(begin), Objective: e.objective(j, last),
	}})
}
