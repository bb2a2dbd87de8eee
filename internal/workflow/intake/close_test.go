package intake

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/mirror"
)

// closeBench is a store in memory and two entries, whose mirrors see only what the entries
// themselves read and write.
type closeBench struct {
	*GomegaWithT
	store.Table
	entries [2]*Intake

	mu       sync.Mutex
	records  map[string]store.Record
	revision uint64
	commits  int
	hold     bool        // writes get no answer and are kept in late
	late     []store.Txn // to be carried out by carryOutLate
	refusal  error       // of all writes
	onCommit func()      // called once before the next write
}

func newCloseBench(t *testing.T) *closeBench {
	log.SetHandler(discard.New())
	b := &closeBench{GomegaWithT: NewWithT(t), records: make(map[string]store.Record), revision: 1}
	for i := range b.entries {
		records, config := mirror.New(b, workflow.Prefix), mirror.New(b, "o/")
		b.entries[i] = New(b, records, config, ConfigFormat{Prefix: "o/", Key: "o/config"})
		b.entries[i].Subscribe()
		go records.Run(t.Context())
		b.Eventually(records.Synced).Should(BeTrue())
	}
	return b
}

func (b *closeBench) List(context.Context, string) ([]store.Record, uint64, error) {
	return nil, 1, nil
}

func (b *closeBench) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (b *closeBench) Lookup(_ context.Context, key string) (store.Record, bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, found := b.records[key]
	return r, found, nil
}

func (b *closeBench) Commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	b.mu.Lock()
	hook := b.onCommit
	b.onCommit = nil
	b.mu.Unlock()
	if hook != nil {
		hook()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commits++
	switch {
	case b.refusal != nil:
		return store.Outcome{}, b.refusal
	case b.hold:
		b.late = append(b.late, t)
		return store.Outcome{}, result.Errorf(result.OutcomeUnknown, "no answer")
	}
	return b.commit(t), ctx.Err()
}

// commit carries a transaction of one condition and one put out. b.mu is held.
func (b *closeBench) commit(t store.Txn) store.Outcome {
	key := t.Conditions[0].Key
	current, exists := b.records[key]
	if current.Revision != t.Conditions[0].Revision {
		out := store.Outcome{Current: make(map[string]store.Record)}
		if exists {
			out.Current[key] = current
		}
		return out
	}
	b.revision++
	b.records[key] = store.Record{Key: key, Value: t.Puts[0].Value, Revision: b.revision}
	return store.Outcome{Committed: true, Revision: b.revision}
}

// holdWrites(true) makes the store carry writes out late and without an answer.
func (b *closeBench) holdWrites(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold = on
}

func (b *closeBench) carryOutLate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.late {
		b.commit(t)
	}
	b.late = nil
}

// hasJob reports whether the store has a job under the id of the tests.
func (b *closeBench) hasJob() bool {
	r, found, _ := b.Lookup(context.Background(), workflow.JobPrefix+testJobID)
	return found && !isClosing(r)
}

// written returns the number of writes since the latest call.
func (b *closeBench) written() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.commits
	b.commits = 0
	return n
}

const testJobID = "00000000000000a1"

func (b *closeBench) submit(entry int) result.Code {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	job := &workflow.Job{Steps: []workflow.Step{{Count: 1}}}
	return result.CodeOf(b.entries[entry].Submit(ctx, &workflow.Queue{Name: "q", Service: "svc"}, "t1", testJobID, job))
}

func (b *closeBench) cancel(entry int, team string) result.Code {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	return result.CodeOf(b.entries[entry].Cancel(ctx, team, testJobID))
}

// Guards against a job that runs after its cancel was answered with "no such job", because the
// write of its acceptance had no answer and was carried out late: also when the id had been closed
// before. The next acceptance of the id must succeed.
func TestCancelClosesTheIDOfAnAcceptanceUnderWay(t *testing.T) {
	b := newCloseBench(t)
	for range 2 {
		b.holdWrites(true)
		b.Expect(b.submit(0)).To(Equal(result.DeadlineRan))
		b.holdWrites(false)
		b.Expect(b.cancel(1, "t1")).To(Equal(result.JobGone))
		b.carryOutLate()
		b.Expect(b.hasJob()).To(BeFalse())
		// Entry 0 learns of the closing from the store.
		_, err := b.entries[0].State(t.Context(), "t1", testJobID)
		b.Expect(result.CodeOf(err)).To(Equal(result.JobGone))
	}
	b.Expect(b.entries[0].Queued("q")).To(BeZero())
	b.Expect(b.submit(0)).To(Equal(result.OK))
	b.Expect(b.hasJob()).To(BeTrue())
	b.Expect(b.entries[0].Queued("q")).To(Equal(1))
}

// Guards against an acceptance that replaces the closing of a cancel which came after it, through
// another entry. Its caller is told that the job was not accepted, and may hand it in again.
func TestAcceptanceDoesNotReplaceALaterClosing(t *testing.T) {
	b := newCloseBench(t)
	b.onCommit = func() { b.Expect(b.cancel(1, "t1")).To(Equal(result.JobGone)) }
	b.Expect(b.submit(0)).To(Equal(result.JobClosed))
	b.Expect(result.JobClosed.NotRun()).To(BeTrue())
	b.Expect(b.hasJob()).To(BeFalse())
	b.Expect(b.submit(0)).To(Equal(result.OK))
	b.Expect(b.hasJob()).To(BeTrue())
}

// Guards against the cancel of a job that is accepted while its id is being closed and is then
// neither closed nor cancelled.
func TestJobAcceptedBeforeTheClosingIsCancelled(t *testing.T) {
	b := newCloseBench(t)
	b.onCommit = func() { b.Expect(b.submit(0)).To(Equal(result.OK)) }
	b.Expect(b.cancel(1, "t1")).To(Equal(result.OK))
	_, cancelled, _ := b.Lookup(t.Context(), workflow.CancelPrefix+testJobID)
	b.Expect(cancelled).To(BeTrue())
}

// Guards against an acceptance that fails for ever because the closing that its entry knows was
// removed from the store.
func TestAcceptanceAfterTheClosingWasRemoved(t *testing.T) {
	b := newCloseBench(t)
	b.Expect(b.cancel(0, "t1")).To(Equal(result.JobGone))
	delete(b.records, workflow.JobPrefix+testJobID)
	b.Expect(b.submit(0)).To(Equal(result.OK))
}

// Guards against "no such job" as the answer while the id could not be closed.
func TestCancelTellsThatTheIDIsNotClosed(t *testing.T) {
	b := newCloseBench(t)
	b.holdWrites(true)
	b.Expect(b.cancel(0, "t1")).To(Equal(result.DeadlineRan))
	b.holdWrites(false)
	b.refusal = result.Errorf(result.StoreUnavailable, "refused")
	b.Expect(b.cancel(0, "t1")).To(Equal(result.StoreUnavailable))
}

// Guards against more than one write for a cancel, and against a closing under the id of a job of
// another team.
func TestCancelWritesOnce(t *testing.T) {
	b := newCloseBench(t)
	b.Expect(b.cancel(0, "t1")).To(Equal(result.JobGone))
	b.Expect(b.written()).To(Equal(1))
	b.Expect(b.submit(0)).To(Equal(result.OK))
	b.Expect(b.written()).To(Equal(1))
	b.Expect(b.cancel(1, "other")).To(Equal(result.JobGone))
	b.Expect(b.written()).To(BeZero())
	b.Expect(b.hasJob()).To(BeTrue())
	b.Expect(b.cancel(1, "t1")).To(Equal(result.OK))
	b.Expect(b.cancel(1, "t1")).To(Equal(result.OK))
	b.Expect(b.written()).To(Equal(1))
}
