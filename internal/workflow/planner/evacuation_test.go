package planner

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/mirror"
)

// memoryTable is a store.Table in memory, of which planners use Commit only in these tests.
type memoryTable struct {
	store.Table
	records  map[string]store.Record
	revision uint64
	commits  []store.Txn
}

// Commit implements store.Table.
func (m *memoryTable) Commit(_ context.Context, t store.Txn) (store.Outcome, error) {
	m.commits = append(m.commits, t)
	if t.Entries() > store.MaxTxnEntries {
		return store.Outcome{}, fmt.Errorf("%d entries", t.Entries())
	}
	current, holds := make(map[string]store.Record), true
	for _, c := range t.Conditions {
		if r, ok := m.records[c.Key]; ok {
			current[c.Key] = r
		}
		holds = holds && m.records[c.Key].Revision == c.Revision
	}
	if !holds {
		return store.Outcome{Current: current}, nil
	}
	m.revision++
	for _, p := range t.Puts {
		m.records[p.Key] = store.Record{Key: p.Key, Value: p.Value, Revision: m.revision}
	}
	return store.Outcome{Committed: true, Revision: m.revision}, nil
}

// evacuationTerm is a term with workers in failure domains d0, d1 and so on. A request to
// evacuate a failure domain is a key below evacuate/.
type evacuationTerm struct {
	*GomegaWithT
	*term
	table   *memoryTable
	clockMS int64
	nodes   int
	cause   func() error
}

const testEpoch = 5

func newEvacuationTerm(t *testing.T, workers int) *evacuationTerm {
	log.SetHandler(discard.New())
	ctx, endTerm := context.WithCancelCause(t.Context())
	table := &memoryTable{revision: 100, records: map[string]store.Record{workflow.PlannerKey: {Key: workflow.PlannerKey, Revision: testEpoch}}}
	options := Options{
		Table: table, Records: mirror.New(table, workflow.Prefix), Engine: engine.Settings{LeaseDuration: 5 * time.Second},
		Evacuations: &EvacuationOptions{Key: func(domain string) string { return "evacuate/" + domain }, MaxOrderAge: time.Second},
	}
	host := New(options)
	options.Evacuations.Learn = func(records []store.Record) {
		var inForce []workflow.Evacuation
		for _, r := range records {
			inForce = append(inForce, workflow.Evacuation{FailureDomain: strings.TrimPrefix(r.Key, "evacuate/"), Key: r.Key, Revision: r.Revision})
		}
		host.SetEvacuations(inForce)
	}
	e := &evacuationTerm{GomegaWithT: NewWithT(t), term: newTerm(host, 1, testEpoch, endTerm), table: table, nodes: workers, cause: func() error { return context.Cause(ctx) }}
	e.ctx = ctx
	config := &workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}}
	config.Provision()
	e.engine.SetConfig(config)
	e.report()
	return e
}

// withoutEvacuations replaces the host by one that does not support requests to evacuate.
func (e *evacuationTerm) withoutEvacuations() {
	o := e.host.options
	o.Evacuations = nil
	e.host = New(o)
}

// report passes a report of each worker, without runs, to the engine.
func (e *evacuationTerm) report() {
	e.clockMS++
	for i := range e.nodes {
		node := fmt.Sprintf("n%02d", i)
		e.engine.HandleReport(node, &workflow.SyncReply{
			Report: &workflow.WorkerReport{Instance: node, StartedMS: 1, ClockMS: e.clockMS},
			Announced: &workflow.Announcement{Instance: node, StartedMS: 1, Service: "s", Capacity: workflow.Resources{Accelerators: 1},
				Seq: e.clockMS, FailureDomain: fmt.Sprintf("d%d", i)},
		}, time.Now())
	}
}

func (e *evacuationTerm) submit(id string, items int) {
	e.engine.AddJob(id, &workflow.JobRecord{
		Job: workflow.Job{Steps: []workflow.Step{{Count: items, Accelerators: 1, EstimateMS: 1000}}}, Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: time.Now().UnixMilli(),
	}, nil, 0)
}

func (e *evacuationTerm) request(domain string) {
	e.table.revision++
	key := "evacuate/" + domain
	e.table.records[key] = store.Record{Key: key, Revision: e.table.revision}
}

// pass decides and commits, and returns the nodes to which starts are ordered.
func (e *evacuationTerm) pass() []string {
	d := e.decide(nil, nil, e.host.evacuations)
	e.Expect(e.commitChanges(e.ctx, d.changes)).To(BeTrue())
	return e.orderedNodes(d)
}

func (e *evacuationTerm) orderedNodes(d decisions) []string {
	nodes := []string{}
	for _, o := range e.startOrders(d.ends) {
		nodes = append(nodes, o.Node)
	}
	return nodes
}

// storedMembers returns the number of running members in the stored progress of a job.
func (e *evacuationTerm) storedMembers(id string) int {
	p, err := workflow.Decode[workflow.Progress](e.table.records[workflow.ProgressPrefix+id].Value)
	e.Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, u := range p.Units {
		n += len(u.Members)
	}
	return n
}

// Guards against a start that a planner records after an acknowledged request that it does not
// know of, as after a takeover with an old mirror. The starts in other failure domains and the other
// jobs of the transaction must be stored all the same.
func TestUnknownEvacuationIsFoundByTheTransaction(t *testing.T) {
	e := newEvacuationTerm(t, 3)
	e.submit("a", 2)
	e.submit("b", 1)
	e.request("d1")
	e.Expect(e.pass()).To(Equal([]string{"n00", "n02"}))
	e.Expect(e.storedMembers("a")).To(Equal(1))
	e.Expect(e.storedMembers("b")).To(Equal(1))
	e.report()
	e.Expect(e.pass()).To(BeEmpty(), "the request is known now")
	e.Expect(e.cause()).NotTo(HaveOccurred())
}

// Guards against the order of a run whose record took effect before the request, but whose
// response was lost: the repeated transaction shows the request.
func TestLostResponseBeforeAnEvacuation(t *testing.T) {
	e := newEvacuationTerm(t, 1)
	e.submit("a", 1)
	d := e.decide(nil, nil, nil)
	_, err := e.table.Commit(e.ctx, e.buildTransaction(d.changes, map[string][]byte{"a": workflow.Encode(d.changes[0].Progress)}))
	e.Expect(err).NotTo(HaveOccurred())
	e.request("d0")
	e.Expect(e.commitChanges(e.ctx, d.changes)).To(BeTrue())
	e.Expect(e.storedMembers("a")).To(Equal(1))
	e.Expect(e.orderedNodes(d)).To(BeEmpty())
	e.pass()
	e.Expect(e.storedMembers("a")).To(BeZero(), "the retraction is stored by the next pass")
}

// Guards against orders of runs that were recorded so long ago that an evacuation may have been
// acknowledged since, as while the store does not answer another transaction of the pass.
func TestOldStartsAreNotOrdered(t *testing.T) {
	e := newEvacuationTerm(t, 1)
	e.submit("a", 1)
	d := e.decide(nil, nil, nil)
	e.Expect(e.commitChanges(e.ctx, d.changes)).To(BeTrue())
	e.startsStoredAt = e.startsStoredAt.Add(-e.host.options.Evacuations.MaxOrderAge)
	e.Expect(e.orderedNodes(d)).To(BeEmpty())
	time.Sleep(150 * time.Millisecond) // the delay before a start that did not take effect is repeated
	e.report()
	e.Expect(e.pass()).To(Equal([]string{"n00"}))
}

// Guards against transactions that exceed the limit of the store with many failure domains.
func TestTransactionsStayWithinTheLimit(t *testing.T) {
	const workers = 40
	e := newEvacuationTerm(t, workers)
	for i := range 12 {
		e.submit(fmt.Sprintf("few-%02d", i), 1)
	}
	e.Expect(e.pass()).To(HaveLen(12))
	e = newEvacuationTerm(t, workers)
	e.submit("many", workers)
	ordered := e.pass()
	e.Expect(ordered).To(HaveLen(maxStartDomains))
	time.Sleep(150 * time.Millisecond)
	e.report()
	e.Expect(append(ordered, e.pass()...)).To(HaveLen(workers))
}

// Guards against conditions on operators' keys while the feature is off.
func TestNoConditionsWithoutEvacuations(t *testing.T) {
	e := newEvacuationTerm(t, 1)
	e.withoutEvacuations()
	e.submit("a", 1)
	e.request("d0")
	e.Expect(e.pass()).To(Equal([]string{"n00"}))
	for _, txn := range e.table.commits {
		e.Expect(txn.Conditions).NotTo(ContainElement(HaveField("Key", HavePrefix("evacuate/"))))
	}
}

// Guards against a term that ends by a panic where requests to evacuate are not supported: the store
// refuses a transaction because of a cancelled job, and another change in it starts an item.
func TestConflictWithoutEvacuationsKeepsTheTerm(t *testing.T) {
	e := newEvacuationTerm(t, 2)
	e.withoutEvacuations()
	e.submit("a", 1)
	e.submit("b", 1)
	e.table.records[workflow.CancelPrefix+"a"] = store.Record{Key: workflow.CancelPrefix + "a", Revision: 1}
	e.Expect(e.pass()).To(HaveLen(1))
	e.Expect(e.storedMembers("b")).To(Equal(1))
	e.Expect(e.cause()).NotTo(HaveOccurred())
}
