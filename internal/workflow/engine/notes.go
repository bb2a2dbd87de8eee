package engine

import (
	"time"

	"snipegw/internal/workflow"
)

// EndEvent is the end of a run or of a job, a run that should have ended, a list of ends that
// is incomplete, a restart that is delayed, a change of the speed of a worker, or the silence
// of one, for logs and metrics. Exactly one of its fields is set.
type EndEvent struct {
	Run        *RunEnd
	Job        *JobEnd
	Unexpected *UnexpectedRun
	Speed      *SpeedChange
	Silence    *WorkerSilence
	Truncated  *TruncatedEnds
	Delay      *RestartDelay
}

// RestartDelay is the delay before the restart of an item that lasts, after its worker crashed.
type RestartDelay struct {
	Item    workflow.ItemRef
	Run     int           // that ended with the worker
	Worker  string        // key of the worker's incarnation
	Crashes int           // under the item, since a run last lasted for lastingProbation
	Delay   time.Duration // from the worker's latest report
}

// TruncatedEnds is the first of a series of truncated lists of ends from a worker.
type TruncatedEnds struct {
	Worker  string // key of the worker's incarnation
	Listed  int    // ends in the report
	Pending int    // runs whose ends the report may have left out
}

// UnexpectedRun is a run that a worker lists although the planner has no record of it,
// or has recorded its end.
type UnexpectedRun struct {
	Item   workflow.ItemRef
	Run    int
	Worker string // key of the worker's incarnation
}

// RunEnd describes the end of one item's run.
type RunEnd struct {
	Item             workflow.ItemRef
	Run              int
	Worker           string // key of the worker's incarnation
	How              workflow.End
	Took             time.Duration // since the worker first reported the run, or else since the order
	Estimate         time.Duration // expected run time
	Percent          float64       // progress in the latest report
	Reason           string        // why the run was to be stopped, empty if it was not
	FailedRuns       int           // earlier failed runs of the unit
	Cores            int64         // held by the item, with an accelerator counted as coresPerAccelerator
	SavesCheckpoints bool          // the item saves checkpoints to resume from
}

// JobEnd describes the end of a job.
type JobEnd struct {
	ID        string
	Queue     string
	Team      string
	State     workflow.State
	Took      time.Duration // since acceptance, or since its last occurrence was due
	Objective time.Duration // completion-time objective, from the same time
}

// TakeEndEvents returns the ends of runs and jobs since the last call.
func (e *Engine) TakeEndEvents() []EndEvent {
	events := e.endEvents
	e.endEvents = nil
	return events
}

func (e *Engine) recordRunEnd(m *member, how workflow.End, now time.Time) {
	e.endEvents = append(e.endEvents, EndEvent{Run: &RunEnd{
		Cores: weightedMilliCores(m.unit.spec().Needs()) / 1000, SavesCheckpoints: m.unit.spec().Checkpoints,
		Item: m.unit.itemRef(m.index), Run: m.run, Worker: m.incarnation, How: how, Took: now.Sub(m.startedAt), Estimate: e.estimates.duration(m.unit),
		Percent: m.percent, Reason: m.unit.stopReason, FailedRuns: m.unit.failedRuns,
	}})
}

func (e *Engine) recordJobEnd(j *job, now time.Time) {
	last := j.rec.OccurrenceCount() - 1
	e.endEvents = append(e.endEvents, EndEvent{Job: &JobEnd{
		ID: j.id, Queue: j.rec.Queue, Team: j.rec.Team, State: j.state, Took: now.Sub(j.begin(last)), Objective: e.objective(j, last),
	}})
}
