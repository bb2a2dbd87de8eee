package engine

import (
	"time"

	"snipegw/internal/workflow"
)

// The retention clock measures across planners how long ago a job ended. It counts the steady clocks
// of the terms, of which each goes on from the latest reading in the records that it loads: the time
// from that reading to the term is left out. So it never advances faster than real time, and a change
// of the planner delays removals only. Times of day are no measure: they differ between entries, and
// are stepped.
func (e *Engine) retentionClock(now time.Time) time.Duration {
	return e.retentionBase + now.Sub(e.termStart)
}

// restoreEnd restores when a job ended.
func (e *Engine) restoreEnd(j *job, p *workflow.Progress) {
	j.endInherited = p.State.Terminal()
	j.endedClock = max(0, time.Duration(p.EndedClockMS)*time.Millisecond)
	e.retentionBase = max(e.retentionBase, j.endedClock)
}

// endAge returns how long the end of j has been stored at least. The reading of an inherited end is
// that of the decision; its planner may have stored it up to MaxStoreOutage later. A record of an earlier
// version has no reading, so its end counts from the begin of the term.
func (e *Engine) endAge(j *job, now time.Time) time.Duration {
	switch {
	case !j.endInherited:
		return e.retentionClock(now) - j.endedClock
	case j.endedClock == 0:
		return now.Sub(e.termStart)
	}
	return e.retentionClock(now) - j.endedClock - e.settings.MaxStoreOutage
}

// OutdatedJob is an ended job whose records are to be removed.
type OutdatedJob struct {
	ID       string
	Revision uint64 // of the progress record
	// Age is the time for which the end has been stored at least, by the retention clock.
	Age time.Duration
	// TimeOfDayAge is the difference of the times of day of the decision and of now.
	TimeOfDayAge time.Duration
	Inherited    bool // an earlier planner stored the end
}

// OutdatedJobs returns up to limit jobs whose end has been stored for the retention and that have
// neither active units nor changes to store.
func (e *Engine) OutdatedJobs(now time.Time, retention time.Duration, limit int) []OutdatedJob {
	var outdated []OutdatedJob
	for id, j := range e.jobs {
		if len(outdated) == limit {
			break
		}
		if age := e.endAge(j, now); e.isSettled(j) && j.revision > 0 && age >= retention {
			outdated = append(outdated, OutdatedJob{
				ID: id, Revision: j.revision, Age: age, TimeOfDayAge: now.Sub(time.UnixMilli(j.endedMS)), Inherited: j.endInherited,
			})
		}
	}
	return outdated
}

// isSettled reports whether j has ended, with neither active units nor changes to store.
func (e *Engine) isSettled(j *job) bool {
	return j.state.Terminal() && e.dirty[j.id] == nil && !j.isActive()
}

// RemoveEndedJob drops a job whose record is no longer in the store, if it has ended and has
// neither active units nor changes to store.
func (e *Engine) RemoveEndedJob(id string) {
	if j := e.jobs[id]; j != nil && e.isSettled(j) {
		e.RemoveJob(id)
	}
}
