package daemon

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/runner"
)

// recordTable is a store with one record. Commits wait until they may proceed.
type recordTable struct {
	store.Table
	mu      sync.Mutex
	record  store.Record
	proceed chan struct{}
}

// Lookup implements store.Table.
func (r *recordTable) Lookup(context.Context, string) (store.Record, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record, r.record.Revision > 0, nil
}

// Commit implements store.Table.
func (r *recordTable) Commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	select {
	case <-r.proceed:
	case <-ctx.Done():
		return store.Outcome{}, result.Errorf(result.StoreUnavailable, "no answer")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Conditions[0].Revision != r.record.Revision {
		return store.Outcome{}, nil
	}
	r.record = store.Record{Key: t.Puts[0].Key, Value: t.Puts[0].Value, Revision: r.record.Revision + 1}
	return store.Outcome{Committed: true, Revision: r.record.Revision}, nil
}

func (r *recordTable) stopped(g *GomegaWithT) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, err := workflow.Decode[workflow.ProcessRecord](r.record.Value)
	g.Expect(err).NotTo(HaveOccurred())
	return p.Stopped
}

// newPresence returns a new process of the agent, which does not serve yet.
func newPresence(t *recordTable, process uint64) *agentPresence {
	r := runner.New(nil)
	r.SetServing(false)
	return &agentPresence{runner: r, registration: registration{table: t, key: "snipegw/agents/n0", record: workflow.ProcessRecord{Address: "127.0.0.1:1", Process: process}}}
}

// serves reports whether the agent takes the calls of planners.
func (a *agentPresence) serves() bool {
	_, err := a.runner.Order(context.Background(), &workflow.OrderRequest{Epoch: 1})
	return err == nil
}

// Guards against an agent that passes leases on while the store says that it has stopped: a planner would take the
// runs on its worker for ended while they go on.
func TestAgentServesOnlyWhileItsRecordDoesNotSayThatItHasStopped(t *testing.T) {
	log.SetHandler(discard.New())
	g := NewWithT(t)
	table := &recordTable{proceed: make(chan struct{})}
	first := newPresence(table, 1)
	g.Expect(first.Start(t.Context())).To(Succeed())
	g.Consistently(first.serves, "50ms", "5ms").Should(BeFalse(), "its record is not stored")
	table.proceed <- struct{}{}
	g.Eventually(first.serves).Should(BeTrue())

	stopped := make(chan error)
	go func() { stopped <- first.Stop(context.Background()) }()
	g.Eventually(first.serves).Should(BeFalse(), "before the statement is stored")
	table.proceed <- struct{}{}
	g.Expect(<-stopped).To(Succeed())
	g.Expect(table.stopped(g)).To(BeTrue())

	second := newPresence(table, 2)
	g.Expect(second.Start(t.Context())).To(Succeed())
	g.Consistently(second.serves, "50ms", "5ms").Should(BeFalse(), "the statement of the first process is in the store")
	table.proceed <- struct{}{}
	g.Eventually(second.serves).Should(BeTrue())
	g.Expect(table.stopped(g)).To(BeFalse())

	// The statement of a process that is replaced already comes late.
	go func() { stopped <- first.Stop(context.Background()) }()
	table.proceed <- struct{}{}
	g.Expect(<-stopped).To(Succeed())
	g.Expect(table.stopped(g)).To(BeFalse())
}

// Guards against an agent that serves after it has stopped, because its registration is confirmed meanwhile, and
// against a statement that is made under a revision which is not known.
func TestAgentThatStopsBeforeItIsRegisteredServesNobody(t *testing.T) {
	log.SetHandler(discard.New())
	g := NewWithT(t)
	table := &recordTable{proceed: make(chan struct{})}
	a := newPresence(table, 1)
	g.Expect(a.Start(t.Context())).To(Succeed())
	g.Expect(a.Stop(context.Background())).To(Succeed())
	close(table.proceed)
	g.Consistently(a.serves, "50ms", "5ms").Should(BeFalse())
}

// oddTable is a recordTable whose first lookups or commits panic.
type oddTable struct {
	*recordTable
	lookups, commits int // numbers of calls that still panic
}

// Lookup implements store.Table.
func (o *oddTable) Lookup(ctx context.Context, key string) (store.Record, bool, error) {
	if o.lookups > 0 {
		o.lookups--
		panic("odd record")
	}
	return o.recordTable.Lookup(ctx, key)
}

// Commit implements store.Table. A call that panics takes effect.
func (o *oddTable) Commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	out, err := o.recordTable.Commit(ctx, t)
	if o.commits > 0 {
		o.commits--
		panic("odd response")
	}
	return out, err
}

// Guards against a response of the store that ends an agent before it has registered, or after which
// it does not register any more.
func TestRegistrationGoesOnAfterAPanic(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		records := &recordTable{proceed: make(chan struct{})}
		close(records.proceed)
		a := newPresence(records, 1)
		a.table = &oddTable{recordTable: records, lookups: 1, commits: 1}
		g.Expect(a.Start(t.Context())).To(Succeed())
		time.Sleep(3 * registrationRetryDelay)
		synctest.Wait()
		g.Expect(a.serves()).To(BeTrue())
		g.Expect(a.revision.Load()).To(BeEquivalentTo(1))
	})
}
