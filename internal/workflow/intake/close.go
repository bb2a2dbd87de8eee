package intake

import (
	"context"
	"math/rand/v2"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// applyJob applies a change of the record of a job. A closing is kept in the mirror only.
func (in *Intake) applyJob(id string, e store.Event) {
	if e.Deleted {
		in.jobs.Delete(id)
		return
	}
	rec, err := workflow.DecodeJob(id, e.Value)
	switch {
	case err != nil:
		workflow.ReportUnreadable(e.Key, err)
	case rec.IsClosing():
		in.jobs.Delete(id)
	default:
		in.jobs.Store(id, rec)
	}
}

// closeID closes an id that has no job. It fails with code JobConflict if a job was
// accepted under it, and otherwise like writeRecord.
//
// A closing that exists already is renewed, because an acceptance that replaces it may be
// under way.
func (in *Intake) closeID(ctx context.Context, id string) error {
	rec := &workflow.JobRecord{ClosedMS: time.Now().UnixMilli(), Nonce: rand.Uint64()}
	return in.writeRecord(ctx, &recordWrite{
		operation: "close", id: id, key: workflow.JobPrefix + id, value: workflow.Encode(rec), revision: in.closingRevision(id),
		onConflict: func(current store.Record) (next uint64, retry bool, err error) {
			if current.Revision == 0 || isClosing(current) {
				return current.Revision, true, nil
			}
			return 0, false, result.Errorf(result.JobConflict, "job %s was accepted before its id was closed", id)
		},
	})
}

// acceptOverRecord decides what follows if an acceptance finds another record than the
// closing that it is to replace, or than none. It does not replace a closing of which this
// entry did not know when the call arrived: the caller may have cancelled after this call.
func acceptOverRecord(current store.Record) (next uint64, retry bool, err error) {
	switch {
	case current.Revision == 0: // the closing was removed after its retention period
		return 0, true, nil
	case isClosing(current):
		return 0, false, result.Errorf(result.JobClosed, "the job id was closed by a cancellation")
	}
	return 0, false, nil // accepted by an earlier attempt or through another entry
}

// closingRevision returns the revision of the closing of an id in the mirror; 0 if there
// is none.
func (in *Intake) closingRevision(id string) uint64 {
	r, ok := in.recordMirror.Get(workflow.JobPrefix + id)
	if !ok || !isClosing(r) {
		return 0
	}
	return r.Revision
}

func isClosing(r store.Record) bool {
	rec, err := workflow.Decode[workflow.JobRecord](r.Value)
	return err == nil && rec.IsClosing()
}
