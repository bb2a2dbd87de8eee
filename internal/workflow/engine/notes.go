package engine

import (
	"time"

	"snipegw/internal/workflow"
)

// Note is something that the engine has learned, for the log.
type Note struct {
	Run *RunNote // one of the two is set
	Job *JobNote
}

// RunNote is the end of an item's run.
type RunNote struct {
	Item     workflow.Ref
	Run      int
	Worker   string // incarnation
	How      workflow.End
	Took     time.Duration // since the worker listed it, or else since the order
	Estimate time.Duration
	Percent  float64 // last progress seen
	Reason   string  // of the stop, if there was one
	Failed   int     // runs of the unit that failed before
	Cores    int64   // that the run held, with its accelerators as acceleratorCores each
	Saves    bool    // the run had a checkpoint to go on from
}

// JobNote is the end of a job.
type JobNote struct {
	ID        string
	Queue     string
	Team      string
	State     workflow.State
	Took      time.Duration // since acceptance
	Objective time.Duration // in which it should have been complete
}

// Notes returns what was learned since the last call.
func (e *Engine) Notes() []Note {
	n := e.notes
	e.notes = nil
	return n
}

func (e *Engine) noteEnd(m *member, how workflow.End, now time.Time) {
	e.notes = append(e.notes, Note{Run: &RunNote{
		Cores: milliCores(m.unit.spec().Needs()) / 1000, Saves: m.unit.spec().Checkpoints,
		Item: m.unit.ref(m.index), Run: m.run, Worker: m.key, How: how, Took: now.Sub(m.since), Estimate: e.estim.duration(m.unit),
		Percent: m.percent, Reason: m.unit.stopReason, Failed: m.unit.failed,
	}})
}

func (e *Engine) noteJob(j *job, now time.Time) {
	last := j.rec.Runs() - 1
	begin := time.UnixMilli(max(j.rec.AcceptedMS, j.dueMS(last)))
	e.notes = append(e.notes, Note{Job: &JobNote{
		ID: j.id, Queue: j.rec.Queue, Team: j.rec.Team, State: j.state, Took: now.Sub(begin), Objective: e.objective(j, last),
	}})
}
