package planner

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
)

// removalTable is a store that carries the first transaction out without an answer.
type removalTable struct {
	store.Table
	records map[string]store.Record
	commits int
}

func (r *removalTable) Commit(_ context.Context, t store.Txn) (store.Outcome, error) {
	r.commits++
	out := store.Outcome{Committed: true, Current: make(map[string]store.Record)}
	for _, c := range t.Conditions {
		if record, ok := r.records[c.Key]; ok {
			out.Current[c.Key] = record
		}
		out.Committed = out.Committed && r.records[c.Key].Revision == c.Revision
	}
	if out.Committed {
		for _, key := range t.Deletes {
			delete(r.records, key)
		}
	}
	if r.commits == 1 {
		return store.Outcome{}, result.Errorf(result.OutcomeUnknown, "no answer")
	}
	return out, nil
}

var oneItem = workflow.Job{Steps: []workflow.Step{{Count: 1}}}

// newRemovalTerm returns a term with an epoch of 2 and no retention, and its store.
func newRemovalTerm(t *testing.T) (*term, *removalTable) {
	log.SetHandler(discard.New())
	table := &removalTable{records: map[string]store.Record{workflow.PlannerKey: {Key: workflow.PlannerKey, Revision: 2}}}
	_, endTerm := context.WithCancelCause(t.Context())
	return newTerm(New(Options{Engine: engine.Settings{}, Table: table}), 1, 2, endTerm), table
}

// Guards against a removal without an answer that makes all later ones fail, so that ended jobs
// stay, and after which the planner ignores the next job under the same id.
func TestRemovalOfJobsWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	term, table := newRemovalTerm(t)
	ended := &workflow.Progress{State: workflow.StateComplete, EndedMS: time.Now().Add(-time.Hour).UnixMilli()}
	table.records[workflow.ProgressPrefix+"j"] = store.Record{Key: workflow.ProgressPrefix + "j", Revision: 5}
	term.engine.AddJob("j", &workflow.JobRecord{Job: oneItem}, ended, 5)
	term.removeOutdatedJobs(t.Context())
	g.Expect(table.records).NotTo(HaveKey(workflow.ProgressPrefix + "j"))
	removed := store.Event{Record: store.Record{Key: workflow.JobPrefix + "j", Revision: 6}, Deleted: true}
	next := store.Event{Record: store.Record{Key: workflow.JobPrefix + "j", Revision: 7, Value: workflow.Encode(workflow.JobRecord{Job: oneItem})}}
	term.applyEvents([]store.Event{removed, next})
	g.Expect(term.engine.OutdatedJobs(time.Now(), 0, 1)).To(BeEmpty())
	term.engine.CancelJob("j", time.Now())
	g.Expect(term.engine.TakeChanges()).To(HaveLen(1), "the next job is known")
}

// Guards against a job that nothing runs because its id was used by a job whose removal had no answer, and against
// a removal that fails in each attempt because of it: the copy of the records was listed anew and shows no deletion.
func TestNextJobUnderTheIDOfARemovedOneIsKnown(t *testing.T) {
	g := NewWithT(t)
	term, table := newRemovalTerm(t)
	ended := &workflow.Progress{State: workflow.StateComplete, EndedMS: time.Now().Add(-time.Hour).UnixMilli()}
	for _, id := range []string{"i", "j"} {
		table.records[workflow.ProgressPrefix+id] = store.Record{Key: workflow.ProgressPrefix + id, Revision: 5}
	}
	term.engine.AddJob("j", &workflow.JobRecord{Job: oneItem, Nonce: 1}, ended, 5)
	term.removeOutdatedJobs(t.Context()) // has no answer
	term.engine.AddJob("i", &workflow.JobRecord{Job: oneItem, Nonce: 1}, ended, 5)
	term.removeOutdatedJobs(t.Context()) // fails because of j
	term.removeOutdatedJobs(t.Context())
	g.Expect(table.records).NotTo(HaveKey(workflow.ProgressPrefix + "i"))

	term.engine.AddJob("k", &workflow.JobRecord{Job: oneItem, Nonce: 1}, ended, 5)
	next := workflow.Encode(workflow.JobRecord{Job: oneItem, Nonce: 2})
	term.applyEvents([]store.Event{{Record: store.Record{Key: workflow.JobPrefix + "k", Revision: 7, Value: next}}})
	term.engine.CancelJob("k", time.Now())
	g.Expect(term.engine.TakeChanges()).To(HaveLen(1), "the next job is known")
}

// Guards against a running job that is forgotten, so that its items run unplanned, when its record
// disappears from the store.
func TestOpenJobOutlivesItsRecord(t *testing.T) {
	g := NewWithT(t)
	term, _ := newRemovalTerm(t)
	term.engine.AddJob("j", &workflow.JobRecord{Job: oneItem}, nil, 0)
	term.applyEvents([]store.Event{{Record: store.Record{Key: workflow.JobPrefix + "j", Revision: 6}, Deleted: true}})
	term.engine.CancelJob("j", time.Now())
	g.Expect(term.engine.TakeChanges()).To(HaveLen(1))
}

// Guards against a removal of closings without an answer that is repeated for ever, and against the
// removal of a closing that was replaced.
func TestRemovalOfClosingsWithoutAnAnswer(t *testing.T) {
	g := NewWithT(t)
	term, table := newRemovalTerm(t)
	key := workflow.JobPrefix + "j"
	closingRecord := func(revision uint64) store.Record {
		return store.Record{Key: key, Revision: revision, Value: workflow.Encode(workflow.JobRecord{ClosedMS: 1})}
	}
	table.records[key] = closingRecord(5)
	term.applyRecords([]store.Record{table.records[key]})
	term.removeOutdatedClosings(t.Context())
	g.Expect(table.records).NotTo(HaveKey(key))
	term.removeOutdatedClosings(t.Context())
	g.Expect(term.closings).To(BeEmpty())

	term.applyRecords([]store.Record{closingRecord(7)})
	table.records[key] = store.Record{Key: key, Revision: 8}
	term.removeOutdatedClosings(t.Context())
	g.Expect(table.records).To(HaveKey(key))
	g.Expect(term.closings).To(BeEmpty())
}

// Guards against a closing that goes before its retention, so that a late acceptance of a cancelled id takes effect,
// or that stays, because the time of day of the entry that has stored it is off.
func TestClosingsAreKeptWhateverTheTimesOfDay(t *testing.T) {
	for name, off := range map[string]time.Duration{"back": -time.Hour, "ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			term, _ := newRemovalTerm(t)
			term.host.options.ClosingRetention = time.Minute
			closing := func(id string) store.Record {
				rec := workflow.JobRecord{ClosedMS: time.Now().Add(off).UnixMilli()}
				return store.Record{Key: workflow.JobPrefix + id, Revision: 5, Value: workflow.Encode(rec)}
			}
			before := time.Now()
			term.applyRecords([]store.Record{closing("i")})
			term.applyEvents([]store.Event{{Record: closing("j")}})
			known := term.closings["j"]
			term.applyEvents([]store.Event{{Record: closing("j")}}) // the same record again
			g.Expect(term.closings["j"]).To(Equal(known))
			g.Expect(term.outdatedClosings(before.Add(time.Minute - time.Millisecond))).To(BeEmpty())
			g.Expect(term.outdatedClosings(time.Now().Add(time.Minute))).To(HaveLen(2))
		})
	}
}
