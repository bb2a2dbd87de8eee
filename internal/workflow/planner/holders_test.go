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
	"snipegw/internal/workflow/mirror"
)

// A new planner recalls an entry whose term it cannot see the end of. Guards against a confirmation
// while a term of that entry goes on or begins later: the leases that it extends would be taken for expired, and the items
// would run twice.
func TestRecallEndsEarlierTerms(t *testing.T) {
	log.SetHandler(discard.New())
	newHost := func() *Host {
		table := &memoryTable{records: make(map[string]store.Record)}
		return New(Options{Entry: "e", Address: "127.0.0.1:1", Table: table, Records: mirror.New(table, workflow.Prefix), LeaseDuration: time.Second})
	}
	t.Run("a term goes on", func(t *testing.T) {
		g := NewWithT(t)
		h := newHost()
		ctx, endTerm := context.WithCancelCause(t.Context())
		h.term = newTerm(h, 1, 5, endTerm)
		_, err := h.recall(t.Context(), &workflow.RecallRequest{Epoch: 7})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(context.Cause(ctx)).To(MatchError(errReplaced))
	})
	t.Run("the call is older than the term", func(t *testing.T) {
		g := NewWithT(t)
		h := newHost()
		ctx, endTerm := context.WithCancelCause(t.Context())
		h.term = newTerm(h, 1, 9, endTerm)
		_, err := h.recall(t.Context(), &workflow.RecallRequest{Epoch: 7})
		g.Expect(result.CodeOf(err)).To(Equal(result.Fenced))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
	})
	t.Run("a term begins late", func(t *testing.T) {
		g := NewWithT(t)
		h := newHost()
		_, err := h.recall(t.Context(), &workflow.RecallRequest{Epoch: 7})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.runTerm(t.Context(), 1, 5)).To(MatchError(errReplaced))
	})
}

// Guards against planners that a successor does not know of, and so does not recall.
func TestEachPlannerIsRecordedAsHolder(t *testing.T) {
	g := NewWithT(t)
	table := &memoryTable{records: make(map[string]store.Record)}
	h := New(Options{Entry: "e", Address: "127.0.0.1:1", Table: grantingTable{table}, Records: mirror.New(table, workflow.Prefix), LeaseDuration: time.Second})
	_, epoch, err := h.acquireTerm(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	var records []store.Record
	for _, r := range table.records {
		records = append(records, r)
	}
	g.Expect(table.records[workflow.PlannerKey].Revision).To(Equal(epoch))
	g.Expect(holderAddresses(records)).To(Equal([]string{"127.0.0.1:1"}))
}

// records for the confirmation that no earlier planner extends leases.
func TestNoHolderRecordsConfirmNothing(t *testing.T) {
	log.SetHandler(discard.New())
	g := NewWithT(t)
	// The earlier planner's key is gone with its lease; the job that it has started is there.
	table := &memoryTable{revision: 100, records: map[string]store.Record{}}
	h := New(Options{
		Entry: "e", Address: "127.0.0.1:1", Table: grantingTable{table}, Records: mirror.New(table, workflow.Prefix), LeaseDuration: time.Second,
		Engine: engine.Settings{LeaseDuration: time.Second},
	})
	_, epoch, err := h.acquireTerm(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, endTerm := context.WithCancelCause(t.Context())
	defer endTerm(nil)
	tm := newTerm(h, 1, epoch, endTerm)
	tm.engine.AddJob("j", &workflow.JobRecord{
		Job: workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1, EstimateMS: 5000}}}, Queue: "q", Service: "s", MaxAttempts: 3,
	}, &workflow.Progress{
		State: workflow.StateActive, Seq: 1,
		Units: []workflow.UnitProgress{{Run: 1, Members: []workflow.MemberProgress{{Worker: workflow.WorkerKey("n0", "i-n0", 1000)}}}},
	}, 1)
	var records []store.Record
	for _, r := range table.records {
		records = append(records, r)
	}
	tm.recallHolders(ctx, holderAddresses(records))
	tm.engine.ExpireLeases(time.Now().Add(MaxStoreOutage))
	for _, end := range tm.engine.TakeEndEvents() {
		if end.Silence != nil {
			g.Expect(end.Silence.Expired).To(BeFalse(), "the lease is taken for expired by %s", end.Silence.Basis)
		}
	}
}

// Another writer leaves records among those of the holders. Guards against a planner that calls
// addresses that cannot exist, and never learns that all earlier planners have ended.
func TestOddHoldersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	log.SetHandler(discard.New())
	record := func(key, address string) store.Record {
		return store.Record{Key: workflow.HolderPrefix + key, Value: workflow.Encode(workflow.PlannerRecord{Entry: "e", Address: address})}
	}
	g.Expect(holderAddresses([]store.Record{
		record("127.0.0.1:70000", "127.0.0.1:70000"), record("127.0.0.1:1", "127.0.0.1:2"), record("x/127.0.0.1:1", "127.0.0.1:1"),
		{Key: workflow.HolderPrefix + "127.0.0.1:3", Value: []byte("odd")}, record("127.0.0.1:4", "127.0.0.1:4"),
	})).To(Equal([]string{"127.0.0.1:4"}))
}

// grantingTable is a memoryTable that grants leases.
type grantingTable struct{ *memoryTable }

// Grant implements store.Table.
func (grantingTable) Grant(context.Context, time.Duration) (uint64, error) { return 1, nil }
