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

// lateTable is a memoryTable whose next commits have no answer. They are carried out when late is called.
type lateTable struct {
	*memoryTable
	unanswered int
	late       func()
}

// Commit implements store.Table.
func (l *lateTable) Commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	if l.unanswered > 0 {
		l.unanswered--
		l.late = func() { _, _ = l.memoryTable.Commit(ctx, t) }
		return store.Outcome{}, result.Errorf(result.StoreUnavailable, "no answer")
	}
	return l.memoryTable.Commit(ctx, t)
}

// suspensionTerm is a term with a worker that runs an item.
type suspensionTerm struct {
	*GomegaWithT
	*term
	table   *lateTable
	clockMS int64
}

const suspensionNode = "n0"

func newSuspensionTerm(t *testing.T) *suspensionTerm {
	log.SetHandler(discard.New())
	ctx, endTerm := context.WithCancelCause(t.Context())
	table := &lateTable{memoryTable: &memoryTable{revision: 100, records: map[string]store.Record{workflow.PlannerKey: {Key: workflow.PlannerKey, Revision: testEpoch}}}}
	host := New(Options{Table: table, Records: mirror.New(table, workflow.Prefix), Engine: engine.Settings{LeaseDuration: 5 * time.Second}})
	host.knewHolder, host.formerKept = true, true
	s := &suspensionTerm{GomegaWithT: NewWithT(t), term: newTerm(host, 1, testEpoch, endTerm), table: table, clockMS: 1000}
	s.ctx = ctx
	s.engine.AddJob("j", &workflow.JobRecord{
		Job: workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1, EstimateMS: 5000}}}, Queue: "q", Service: "s", MaxAttempts: 3,
	}, &workflow.Progress{
		State: workflow.StateActive, Seq: 1, Units: []workflow.UnitProgress{{Run: 1, Members: []workflow.MemberProgress{{Worker: workflow.WorkerKey(suspensionNode, "i", 1000)}}}},
	}, 1)
	s.engine.EndEarlierPlanners(time.Now())
	s.report()
	return s
}

// report passes a report of the worker to the engine.
func (s *suspensionTerm) report() {
	s.clockMS += 100
	s.engine.HandleReport(suspensionNode, &workflow.SyncReply{Report: &workflow.WorkerReport{
		Instance: "i", StartedMS: 1000, ClockMS: s.clockMS, Running: []workflow.RunningItem{{Ref: workflow.ItemRef{Job: "j"}, Run: 1}},
	}}, time.Now())
}

// suspend lets the agent not answer for so long that the lease is to be suspended.
func (s *suspensionTerm) suspend() {
	s.noteUnanswered(suspensionNode, time.Now().Add(-suspendAfter-time.Millisecond))
	s.selectSuspensions(time.Now(), 0)
}

// extends reports whether the next call to the agent extends the lease.
func (s *suspensionTerm) extends() bool {
	return s.engine.NextSyncRequest(suspensionNode, 0).LeaseUntilMS > 0
}

// stored reports whether the store says that the lease is suspended.
func (s *suspensionTerm) stored() bool {
	l, err := workflow.Decode[workflow.LeaseRecord](s.table.records[workflow.LeasePrefix+suspensionNode].Value)
	return err == nil && l.Suspended
}

// Guards against a lease that is extended while the store may say that it is suspended: a successor would take
// the runs for ended while they go on.
func TestSuspendedLeaseIsExtendedOnlyAfterTheWithdrawalIsStored(t *testing.T) {
	t.Run("all writes are answered", func(t *testing.T) {
		s := newSuspensionTerm(t)
		s.Expect(s.extends()).To(BeTrue())
		s.suspend()
		s.Expect(s.extends()).To(BeFalse(), "before it is stored")
		s.storeSuspensions(s.ctx)
		s.Expect(s.stored()).To(BeTrue())
		s.report()
		s.Expect(s.extends()).To(BeFalse())
		s.selectSuspensions(time.Now(), 0)
		s.Expect(s.extends()).To(BeFalse())
		s.storeSuspensions(s.ctx)
		s.Expect(s.stored()).To(BeFalse())
		s.Expect(s.extends()).To(BeTrue())
		commits := len(s.table.commits)
		s.storeSuspensions(s.ctx)
		s.Expect(s.table.commits).To(HaveLen(commits), "nothing is due")
	})
	t.Run("the suspension has no answer and is carried out late", func(t *testing.T) {
		s := newSuspensionTerm(t)
		s.suspend()
		s.table.unanswered = 1
		s.storeSuspensions(s.ctx)
		s.report()
		s.selectSuspensions(time.Now(), 0)
		s.Expect(s.extends()).To(BeFalse())
		s.storeSuspensions(s.ctx)
		s.Expect(s.extends()).To(BeTrue())
		s.table.late()
		s.Expect(s.stored()).To(BeFalse(), "its condition no longer holds")
	})
	t.Run("the withdrawal has no answer and is carried out", func(t *testing.T) {
		s := newSuspensionTerm(t)
		s.suspend()
		s.storeSuspensions(s.ctx)
		s.report()
		s.selectSuspensions(time.Now(), 0)
		s.table.unanswered = 1
		s.storeSuspensions(s.ctx)
		s.Expect(s.extends()).To(BeFalse())
		s.table.late()
		s.storeSuspensions(s.ctx)
		s.Expect(s.extends()).To(BeTrue())
		s.Expect(s.stored()).To(BeFalse())
	})
	t.Run("another planner has taken over", func(t *testing.T) {
		s := newSuspensionTerm(t)
		s.suspend()
		s.storeSuspensions(s.ctx)
		s.table.records[workflow.PlannerKey] = store.Record{Key: workflow.PlannerKey, Revision: testEpoch + 100}
		s.report()
		s.selectSuspensions(time.Now(), 0)
		s.storeSuspensions(s.ctx)
		s.Expect(s.extends()).To(BeFalse())
		s.Expect(context.Cause(s.ctx)).To(MatchError(errReplaced))
	})
}

// The store does not answer. Guards against a suspension that cannot be withdrawn when the agent answers again: the
// worker would lose its runs in an outage that its planner outlasts.
func TestNothingIsSuspendedWhileTheStoreIsAway(t *testing.T) {
	s := newSuspensionTerm(t)
	s.noteUnanswered(suspensionNode, time.Now().Add(-time.Minute))
	s.selectSuspensions(time.Now(), maxStoreSilence+time.Millisecond)
	s.Expect(s.extends()).To(BeTrue())
}

// Guards against a suspension that a planner of an earlier version has not kept: it may have extended the
// lease since.
func TestSuspensionsBesideAnEarlierVersionAreWithdrawn(t *testing.T) {
	key := workflow.LeasePrefix + suspensionNode
	suspended := store.Record{Key: key, Revision: 50, Value: workflow.Encode(workflow.LeaseRecord{Suspended: true})}
	holder := func(keeps bool) store.Record {
		return store.Record{Key: workflow.HolderPrefix + "127.0.0.1:1", Revision: 40, Value: workflow.Encode(workflow.PlannerRecord{Entry: "e", Address: "127.0.0.1:1", KeepsSuspensions: keeps})}
	}
	inherit := func(s *suspensionTerm, holders ...store.Record) {
		s.table.records[key] = suspended
		s.inheritSuspensions(append(holders, suspended), time.Now())
	}
	s := newSuspensionTerm(t)
	inherit(s, holder(true))
	s.Expect(s.suspensions[suspensionNode].isDue()).To(BeFalse())
	s.Expect(s.withdrawalsStored()).To(BeTrue())
	s.Expect(s.extends()).To(BeFalse())

	for name, prepare := range map[string]func(*suspensionTerm){
		"another entry":   func(s *suspensionTerm) { inherit(s, holder(true), holder(false)) },
		"this address":    func(s *suspensionTerm) { s.formerKept = false; inherit(s, holder(true)) },
		"no known holder": func(s *suspensionTerm) { s.knewHolder = false; inherit(s) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSuspensionTerm(t)
			prepare(s)
			s.Expect(s.extends()).To(BeFalse())
			s.Expect(s.withdrawalsStored()).To(BeFalse(), "the record of the earlier version stays until then")
			s.storeSuspensions(s.ctx)
			s.Expect(s.stored()).To(BeFalse())
			s.Expect(s.withdrawalsStored()).To(BeTrue())
			s.Expect(s.extends()).To(BeTrue())
		})
	}
}

// Guards against a wait that each successor begins anew, and against one that counts from the sight of an
// earlier version of the record.
func TestSuspensionCountsFromItsFirstSight(t *testing.T) {
	g := NewWithT(t)
	h := New(Options{})
	record := store.Record{Key: workflow.LeasePrefix + suspensionNode, Revision: 50}
	before := time.Now()
	h.enqueueEvents([]store.Event{{Record: record}})
	later := time.Now().Add(time.Hour)
	g.Expect(h.recordSeen(record, later)).To(And(BeTemporally(">=", before), BeTemporally("<", before.Add(time.Minute))))
	record.Revision = 51
	g.Expect(h.recordSeen(record, later)).To(Equal(later))
}

// Guards against suspensions that exceed a transaction, and against unreadable records that keep others from
// being read.
func TestManySuspensionsAreStored(t *testing.T) {
	s := newSuspensionTerm(t)
	records := []store.Record{{Key: workflow.LeasePrefix + "odd", Value: []byte("odd")}, {Key: workflow.LeasePrefix + "x/odd", Value: workflow.Encode(workflow.LeaseRecord{Suspended: true})}}
	for i := range 40 {
		records = append(records, store.Record{Key: workflow.LeasePrefix + string(rune('A'+i)), Value: workflow.Encode(workflow.LeaseRecord{Suspended: true})})
	}
	s.formerKept = false
	s.inheritSuspensions(records, time.Now())
	s.Expect(s.suspensions).To(HaveLen(40))
	s.storeSuspensions(s.ctx)
	s.Expect(s.withdrawalsStored()).To(BeTrue())
	s.Expect(s.table.commits).To(HaveLen(3))
}
