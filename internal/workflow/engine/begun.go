package engine

import (
	"time"

	"snipegw/internal/workflow"
)

// begunRecordDelay limits how long the record of a job lacks that a worker has begun one of its
// items. Callers' counts of queued jobs may be 2 s old; a second is left for the store and the
// mirrors. The delay saves writes, see recordBegun.
const begunRecordDelay = time.Second

// markBegun notes that a worker has begun an item of j.
func (e *Engine) markBegun(j *job, now time.Time) {
	if j.begun {
		return
	}
	j.begun = true
	if len(e.begunUnrecorded) == 0 {
		e.begunRecordDue = now.Add(begunRecordDelay)
	}
	e.begunUnrecorded[j.id] = j
}

// recordBegun adds the jobs that have begun to the changes, if there are others to store, or if
// begunRecordDelay has passed. A transaction of their own for each would double the writes of
// short jobs.
func (e *Engine) recordBegun(now time.Time) {
	if len(e.dirty) == 0 && now.Before(e.begunRecordDue) {
		return
	}
	for id, j := range e.begunUnrecorded {
		delete(e.begunUnrecorded, id)
		e.markDirty(j)
	}
}

// restoreBegun restores whether a worker has begun an item of j. Records of versions before the
// field show it by units that are done or have failed; other runs are reported again.
func (j *job) restoreBegun(p *workflow.Progress) {
	j.begun = p.Begun
	for i := range p.Units {
		j.begun = j.begun || p.Units[i].Done || p.Units[i].Failed > 0
	}
}
