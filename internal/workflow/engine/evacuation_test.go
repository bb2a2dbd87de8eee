package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// evacuationBench is an engine with workers of 8 accelerators in failure domains.
type evacuationBench struct {
	*GomegaWithT
	engine  *Engine
	now     time.Time
	domains map[string]string // of the workers, by node
	cold    map[string]bool   // workers that announce that they are cold
	reports int64
	jobs    int
}

func newEvacuationBench(t *testing.T, domains map[string]string) *evacuationBench {
	b := &evacuationBench{GomegaWithT: NewWithT(t), now: time.UnixMilli(1_800_000_000_000), domains: domains, cold: make(map[string]bool)}
	b.engine = New(Settings{LeaseDuration: 5 * time.Second, MaxStoreOutage: time.Second, ReclaimTimeout: 2700 * time.Millisecond}, 7, b.now)
	b.engine.policy.noHeadroom = true // the few workers are to be filled
	config := &workflow.Config{
		Version: 1,
		Queues: []workflow.Queue{
			{Name: "urgent", Service: "s", MaxAttempts: 3, SlackFactor: 1.5},
			{Name: "batch", Service: "s", Priority: 1, MaxAttempts: 3, SlackFactor: 30, TargetMS: 60_000},
		},
		Teams: map[string]workflow.Team{"a": {Name: "a", Guarantee: 8}},
	}
	config.Provision()
	b.engine.SetConfig(config)
	b.report()
	return b
}

// report passes a report of each worker with its runs to the engine.
func (b *evacuationBench) report() {
	b.reports++
	for _, node := range sortedKeys(b.domains) {
		r := &workflow.SyncReply{
			Report: &workflow.WorkerReport{Instance: node, StartedMS: 1000, ClockMS: 500_000 + b.reports},
			Announced: &workflow.Announcement{
				Instance: node, StartedMS: 1000, Service: "s", Rack: "r-" + b.domains[node], Capacity: workflow.Resources{Accelerators: 8},
				Seq: b.reports, FailureDomain: b.domains[node],
			},
		}
		if b.cold[node] {
			r.Announced.ColdMS = 5000
		}
		if w := b.engine.workers[node]; w != nil {
			for _, m := range w.members {
				if m.startSent {
					r.Report.Running = append(r.Report.Running, workflow.RunningItem{Ref: m.unit.itemRef(m.index), Run: m.run})
				}
			}
		}
		b.engine.HandleReport(node, r, b.now)
	}
}

// submit adds a job of one step and returns its id.
func (b *evacuationBench) submit(queue string, step workflow.Step) string {
	b.jobs++
	id := fmt.Sprintf("j%d", b.jobs)
	step.EstimateMS = 5000
	b.engine.AddJob(id, &workflow.JobRecord{
		Job: workflow.Job{Steps: []workflow.Step{step}}, Queue: queue, Team: "a", Service: "s", MaxAttempts: 3, AcceptedMS: b.now.UnixMilli(),
		SlackFactor: b.engine.config.Queue(queue).SlackFactor, TargetMS: b.engine.config.Queue(queue).TargetMS,
	}, nil, 0)
	return id
}

func (b *evacuationBench) evacuate(domains ...string) {
	var inForce []workflow.Evacuation
	for i, d := range domains {
		inForce = append(inForce, workflow.Evacuation{FailureDomain: d, Key: "k/" + d, Revision: uint64(i + 1), SeenAt: b.now})
	}
	b.engine.SetEvacuations(inForce)
}

// decide runs a pass without the store and returns the nodes to which starts are ordered.
func (b *evacuationBench) decide() []string {
	b.now = b.now.Add(200 * time.Millisecond)
	b.report()
	b.engine.Decide(b.now)
	b.engine.TakeChanges()
	return b.orders()
}

func (b *evacuationBench) orders() []string {
	var nodes []string
	for _, o := range b.engine.StartOrders(b.now) {
		nodes = append(nodes, o.Node)
	}
	return nodes
}

// Guards against starts in an evacuated failure domain, and against runs there that are stopped
// or restarted although they may end by themselves. A withdrawn request opens the domain again.
func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "b"})
	b.submit("batch", workflow.Step{Count: 2, Accelerators: 8})
	b.Expect(b.decide()).To(Equal([]string{"n0", "n1"}))
	b.evacuate("a")
	b.submit("batch", workflow.Step{Count: 1, Accelerators: 8, LongRunning: true})
	for range 5 {
		b.Expect(b.decide()).To(BeEmpty())
		b.Expect(b.engine.StopOrders(b.now)).To(BeEmpty())
	}
	b.Expect(b.engine.Evacuations(b.now)).To(ConsistOf(And(HaveField("Workers", 1), HaveField("Items", 1), HaveField("AgeMS", int64(1000)))))
	b.Expect(b.engine.Dump(b.now).Jobs[1].WaitReason).To(ContainSubstring("1 that suit it are in evacuated failure domains (a)"))
	b.engine.endMember(b.engine.workers["n0"].members[0], workflow.EndDone, "", b.now)
	b.Expect(b.decide()).To(BeEmpty())
	b.evacuate()
	b.Expect(b.decide()).To(Equal([]string{"n0"}))
}

// Guards against two requests of which only one is observed, and against a request for an unknown
// failure domain, or a worker without one, that closes other workers.
func TestSeveralEvacuations(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "b", "n2": ""})
	b.evacuate("a", "b", "elsewhere", "")
	b.submit("batch", workflow.Step{Count: 3, Accelerators: 8})
	b.Expect(b.decide()).To(Equal([]string{"n2"}))
	b.engine.SetAgentDomain("n2", "elsewhere")
	b.engine.endMember(b.engine.workers["n2"].members[0], workflow.EndDone, "", b.now)
	b.Expect(b.decide()).To(BeEmpty(), "a worker that names no failure domain has that of its agent")
}

// Guards against guaranteed jobs that wait for room in an evacuated domain: they must preempt
// others in the rest, and spare the runs in the domain, whose end would not help.
func TestGuaranteedJobPreemptsOutsideTheEvacuatedDomain(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "b"})
	b.submit("batch", workflow.Step{Count: 2, Accelerators: 8})
	b.Expect(b.decide()).To(HaveLen(2))
	b.evacuate("a")
	b.now = b.now.Add(3 * time.Second)
	b.submit("urgent", workflow.Step{Count: 1, Accelerators: 8})
	var stopped []string
	for range 10 {
		b.Expect(b.decide()).To(BeEmpty())
		for _, o := range b.engine.StopOrders(b.now) {
			stopped = append(stopped, o.Node)
		}
	}
	b.Expect(stopped).To(And(ContainElement("n1"), Not(ContainElement("n0"))))
}

// Guards against a gang that waits for a rack of an evacuated domain, which would never be free:
// it is spread if no other rack could hold it.
func TestGangDoesNotWaitForAnEvacuatedRack(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "a", "n2": "b", "n3": "c"})
	b.evacuate("a")
	b.submit("batch", workflow.Step{Count: 2, Accelerators: 8, Gang: true, SameRack: true})
	b.Expect(b.decide()).To(Equal([]string{"n2", "n3"}))
}

// Guards against the order of a run that was stored before its failure domain was evacuated, and
// against a gang of which only a part is ordered then.
func TestStoredStartsAreRetracted(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "b"})
	b.submit("batch", workflow.Step{Count: 2, Accelerators: 6, Gang: true})
	single := b.submit("batch", workflow.Step{Count: 2, Accelerators: 2})
	b.engine.Decide(b.now)
	changes := b.engine.TakeChanges()
	b.Expect(changes).To(HaveLen(2))
	b.Expect(changes[0].StartDomains).To(Equal([]string{"a", "b"}))
	b.evacuate("b")
	b.Expect(b.orders()).To(Equal([]string{"n0"}), "the single item only")
	b.Expect(b.engine.jobs[single].units[1].isActive()).To(BeFalse())
	b.Expect(b.engine.workers["n0"].members).To(HaveLen(1))
	change, ok := b.engine.TakeChange(single)
	b.Expect(ok).To(BeTrue(), "the end of the retracted run is to be stored")
	b.Expect(change.StartDomains).To(BeEmpty())
}

// Guards against a change that loses the end of an item when the start of another one is retracted:
// the end is acknowledged to the worker after the pass.
func TestRetractionKeepsOtherChanges(t *testing.T) {
	b := newEvacuationBench(t, map[string]string{"n0": "a"})
	id := b.submit("batch", workflow.Step{Count: 2, Accelerators: 8})
	b.Expect(b.decide()).To(Equal([]string{"n0"}))
	b.engine.endMember(b.engine.workers["n0"].members[0], workflow.EndDone, "", b.now)
	b.now = b.now.Add(200 * time.Millisecond)
	b.report()
	b.engine.Decide(b.now)
	b.Expect(b.engine.TakeChanges()).To(ConsistOf(HaveField("StartDomains", []string{"a"})))
	b.engine.RetractStartsIn(id, []string{"a"}, b.now)
	change, ok := b.engine.TakeChange(id)
	b.Expect(ok).To(BeTrue())
	b.Expect(change.StartDomains).To(BeEmpty())
	b.Expect(change.Progress.Units[0].Done).To(BeTrue())
	b.Expect(change.Progress.Units[1].Members).To(BeEmpty())
	b.Expect(b.orders()).To(BeEmpty())
}

// Guards against urgent items on cold workers while warm ones are free, and against waiting items
// that take the warm ones.
func TestColdWorkersAreLeftToThoseThatCanWait(t *testing.T) {
	for queue, want := range map[string]string{"urgent": "n1", "batch": "n0"} {
		b := newEvacuationBench(t, map[string]string{"n0": "a", "n1": "b"})
		b.cold["n0"] = true
		b.report()
		b.submit(queue, workflow.Step{Count: 1, Accelerators: 1})
		b.Expect(b.decide()).To(Equal([]string{want}), queue)
		b.now = b.now.Add(6 * time.Second)
		b.Expect(b.engine.workers["n0"].isCold(b.now)).To(BeFalse(), "the announcement ages")
	}
}
