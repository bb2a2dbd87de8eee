package planner

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/mirror"
)

// sharedTable is a memoryTable for concurrent use, with leases that never end. The calls fail by a
// panic as long as failing is set and accepts them.
type sharedTable struct {
	mu      sync.Mutex
	memory  memoryTable
	granted uint64
	failing func(call string, txn store.Txn) bool
	// firstList holds records that only the first list returns. onList is called before each list.
	firstList []store.Record
	onList    func()
}

// begin locks s, and panics instead if the call is to fail.
func (s *sharedTable) begin(call string, txn store.Txn) {
	s.mu.Lock()
	if s.failing != nil && s.failing(call, txn) {
		s.failing = nil
		s.mu.Unlock()
		panic("the call " + call + " has failed")
	}
}

func (s *sharedTable) Commit(ctx context.Context, txn store.Txn) (store.Outcome, error) {
	s.begin("commit", txn)
	defer s.mu.Unlock()
	return s.memory.Commit(ctx, txn)
}

func (s *sharedTable) List(context.Context, string) ([]store.Record, uint64, error) {
	s.onList()
	s.begin("list", store.Txn{})
	defer s.mu.Unlock()
	records := s.firstList
	s.firstList = nil
	for _, r := range s.memory.records {
		records = append(records, r)
	}
	return records, s.memory.revision, nil
}

func (s *sharedTable) Lookup(_ context.Context, key string) (store.Record, bool, error) {
	s.begin("lookup", store.Txn{})
	defer s.mu.Unlock()
	r, ok := s.memory.records[key]
	return r, ok, nil
}

func (s *sharedTable) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	kernel.Sleep(ctx, wait)
	return nil, after, nil
}

func (s *sharedTable) Grant(context.Context, time.Duration) (uint64, error) {
	s.begin("grant", store.Txn{})
	defer s.mu.Unlock()
	s.granted++
	return s.granted, nil
}

func (s *sharedTable) Renew(context.Context, uint64) error {
	s.begin("renew", store.Txn{})
	defer s.mu.Unlock()
	return nil
}

func (s *sharedTable) Revoke(context.Context, uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.memory.records, workflow.PlannerKey)
	return nil
}

func (s *sharedTable) record(key string) (store.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.memory.records[key]
	return r, ok
}

// awaitTerm waits until a term with an epoch above the given one has begun, and returns it.
func awaitTerm(h *Host, above uint64) *term {
	for range 1000 {
		h.mu.Lock()
		t := h.term
		h.mu.Unlock()
		if t != nil && t.epoch > above {
			return t
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Guards against a panic in any goroutine of a term that ends the process, leaves the term going on
// or its lock held, or keeps the next term from planning. The calls to agents and other entries
// fail by a panic, as there is no pool of connections.
func TestPanicInAnyGoroutineEndsTheTermOnly(t *testing.T) {
	log.SetHandler(discard.New())
	writes := func(prefix string) func(string, store.Txn) bool {
		return func(_ string, txn store.Txn) bool {
			for _, p := range txn.Puts {
				if strings.HasPrefix(p.Key, prefix) {
					return true
				}
			}
			return false
		}
	}
	record := func(key string, value any) []store.Record {
		return []store.Record{{Key: key, Value: workflow.Encode(value), Revision: 1}}
	}
	const address = "10.0.0.9:7100"
	for _, c := range []struct {
		scope     string
		failing   func(string, store.Txn) bool
		firstList []store.Record
	}{
		{scope: "planner term", failing: func(call string, _ store.Txn) bool { return call == "list" }},
		{scope: "lease renewal", failing: func(call string, _ store.Txn) bool { return call == "renew" }},
		{scope: "suspensions", failing: writes(workflow.LeasePrefix), firstList: record(workflow.LeasePrefix+"node-1", workflow.LeaseRecord{Suspended: true})},
		{scope: "planner recall", firstList: record(workflow.HolderPrefix+address, workflow.PlannerRecord{Entry: "f", Address: address})},
		{scope: "worker report", firstList: record(workflow.AgentPrefix+"node-1", workflow.ProcessRecord{Address: address})},
	} {
		t.Run(c.scope, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				before := containedPanics()[c.scope]
				table := &sharedTable{failing: c.failing, firstList: c.firstList, memory: memoryTable{records: make(map[string]store.Record)}}
				m := mirror.New(table, workflow.Prefix)
				h := New(Options{
					Entry: "e", Address: "127.0.0.1:1", Table: table, Records: m, LeaseDuration: DefaultLeaseDuration, EndedJobRetention: time.Minute,
					Engine: engine.Settings{LeaseDuration: 5 * time.Second},
				})
				var first *term
				table.onList = func() {
					h.mu.Lock()
					defer h.mu.Unlock()
					if first == nil {
						first = h.term
					}
				}
				lease, epoch, err := h.acquireTerm(t.Context(), 0)
				g.Expect(err).NotTo(HaveOccurred())
				err = h.runTerm(t.Context(), lease, epoch)
				m.Apply([]store.Event{{Record: store.Record{Key: workflow.PlannerKey, Revision: epoch + 1}, Deleted: true}})
				h.revokeLease(t.Context(), lease)
				g.Expect(err).To(MatchError(errPanicked))
				provokedPanics[c.scope]++
				g.Expect(containedPanics()[c.scope]).To(Equal(before + 1))
				synctest.Wait()
				g.Expect(first.mu.TryLock()).To(BeTrue(), "the lock of the term is still held")

				ctx, cancel := context.WithCancel(t.Context())
				h.cancel = cancel
				var wg sync.WaitGroup
				wg.Go(func() { h.run(ctx) })
				wg.Go(func() { m.Run(ctx) })
				next := awaitTerm(h, first.epoch)
				g.Expect(next).NotTo(BeNil(), "no term has followed")
				time.Sleep(2 * time.Second) // renewals and passes of the next term
				h.enqueueEvents([]store.Event{
					{Record: store.Record{Key: workflow.JobPrefix + "a1", Revision: 900, Value: workflow.Encode(workflow.JobRecord{Queue: "q", Service: "s", MaxAttempts: 3, Job: workflow.Job{Steps: []workflow.Step{{Count: 1, EstimateMS: 100}}}})}},
					{Record: store.Record{Key: workflow.CancelPrefix + "a1", Revision: 901, Value: []byte{1}}},
				})
				time.Sleep(time.Second)
				_, stored := table.record(workflow.ProgressPrefix + "a1")
				g.Expect(stored).To(BeTrue(), "the next term has not stored the cancellation of a job")
				g.Expect(awaitTerm(h, first.epoch)).To(BeIdenticalTo(next), "the next term has ended")
				close(h.stopping)
				<-h.done
				cancel()
				wg.Wait()
			})
		})
	}
}

// Guards against a panic in the loops that need orders, waiting work or stopped agents which ends
// the process or leaves the lock of the term held. An engine that is nil fails every call.
func TestPanicInTheLoopsOfATermReleasesItsLock(t *testing.T) {
	log.SetHandler(discard.New())
	for scope, run := range map[string]func(context.Context, *term){
		"stop orders": func(ctx context.Context, tm *term) { tm.sendStopOrders(ctx) },
		"backlog":     func(ctx context.Context, tm *term) { tm.publishBacklog(ctx) },
		"order": func(ctx context.Context, tm *term) {
			tm.sendOrder(ctx, &engine.Order{Node: "node-1"}) // there is no pool of connections
		},
		"suspensions":   func(ctx context.Context, tm *term) { tm.confirmStoppedAgents(ctx) },
		"worker report": func(_ context.Context, tm *term) { tm.followAgent("node-1") },
		"refused records": func(_ context.Context, tm *term) {
			cancelled := map[string]store.Record{workflow.CancelPrefix + "a": {Revision: 1}}
			tm.resolveConflicts([]engine.Change{{ID: "a", DependsOnCancel: true}}, nil, cancelled, time.Now())
		},
		"stored records": func(_ context.Context, tm *term) {
			tm.markStored([]engine.Change{{ID: "a", Progress: new(workflow.Progress)}}, nil, 1)
		},
		"clean-up":    func(ctx context.Context, tm *term) { tm.removeOutdatedJobs(ctx) },
		"evacuations": func(_ context.Context, tm *term) { tm.reportEvacuations(1, time.Now()) },
	} {
		t.Run(scope, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				before := containedPanics()[scope]
				ctx, endTerm := context.WithCancelCause(t.Context())
				tm := newTerm(New(Options{Engine: engine.Settings{}}), 1, 2, endTerm)
				tm.ctx, tm.engine = ctx, nil
				tm.spawn(scope, func() { run(ctx, tm) })
				<-ctx.Done()
				g.Expect(context.Cause(ctx)).To(MatchError(errPanicked))
				synctest.Wait()
				provokedPanics[scope]++
				g.Expect(containedPanics()[scope]).To(Equal(before + 1))
				g.Expect(tm.mu.TryLock()).To(BeTrue(), "the lock of the term is still held")
			})
		})
	}
	t.Run("stopped agents", func(t *testing.T) {
		g := NewWithT(t)
		s := newSuspensionTerm(t)
		s.host.options.Table = &sharedTable{failing: func(call string, _ store.Txn) bool { return call == "lookup" }}
		ctx := s.ctx
		s.engine.AddWorker("node-2")
		s.engine.AddJob("k", &workflow.JobRecord{
			Job: workflow.Job{Steps: []workflow.Step{{Count: 1, Accelerators: 1, EstimateMS: 5000}}}, Queue: "q", Service: "s", MaxAttempts: 3,
		}, &workflow.Progress{
			State: workflow.StateActive, Seq: 1, Units: []workflow.UnitProgress{{Run: 1, Members: []workflow.MemberProgress{{Worker: workflow.WorkerKey("node-2", "i", 1000)}}}},
		}, 1)
		s.engine.SetAgentStopped("node-2", 7, time.Now().Add(-time.Minute))
		s.confirmStoppedAgents(ctx)
		provokedPanics["stopped agents"]++
		g.Expect(context.Cause(ctx)).To(MatchError(errPanicked))
		g.Expect(s.mu.TryLock()).To(BeTrue(), "the lock of the term is still held")
	})
}
