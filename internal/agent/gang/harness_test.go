package gang

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// fakeWorker implements workerapi.WorkerAPI with task leases on the clock of the
// cluster.
type fakeWorker struct {
	now          func() time.Time
	tasks        map[string]*workerapi.Task
	leaseUntil   map[string]time.Time
	peakGB       float64
	failRun      bool // Run fails without effect
	unresponsive bool // no call is answered
	loseRunReply bool // Run takes effect, but its answer is lost
	onStart      func()
	checkpoints  int
}

func init() { log.SetLevel(log.FatalLevel) }

var errNoAnswer = errors.New("no answer")

func (w *fakeWorker) lapseTasks() {
	for id, t := range w.tasks {
		if t.State == workerapi.TaskRunning && w.now().After(w.leaseUntil[id]) {
			w.endTask(id, workerapi.TaskLeaseExpired, "")
		}
	}
}

func (w *fakeWorker) endTask(id string, state workerapi.TaskState, reason string) {
	w.tasks[id].State = state
	w.tasks[id].Reason = reason
	w.tasks[id].EndedMS = w.now().UnixMilli()
}

func (w *fakeWorker) get(id string) (workerapi.Task, error) {
	w.lapseTasks()
	if w.unresponsive {
		return workerapi.Task{}, errNoAnswer
	}
	t := w.tasks[id]
	if t == nil {
		return workerapi.Task{}, result.Errorf(result.NotFound, "no task %s", id)
	}
	return *t, nil
}

func (w *fakeWorker) Worker(context.Context) (model.Worker, error) { return model.Worker{}, nil }

func (w *fakeWorker) Tasks(context.Context) ([]workerapi.Task, error) {
	w.lapseTasks()
	var out []workerapi.Task
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := *w.tasks[id]
		t.LeaseMS = w.leaseUntil[id].Sub(w.now()).Milliseconds()
		out = append(out, t)
	}
	return out, nil
}

func (w *fakeWorker) Run(_ context.Context, t workerapi.Task, lease time.Duration) (workerapi.Task, error) {
	if w.unresponsive || w.failRun {
		return workerapi.Task{}, errNoAnswer
	}
	w.onStart()
	t.State = workerapi.TaskRunning
	t.StartedMS = w.now().UnixMilli()
	w.tasks[t.ID] = &t
	w.leaseUntil[t.ID] = w.now().Add(lease)
	if w.loseRunReply {
		return workerapi.Task{}, errNoAnswer
	}
	return t, nil
}

func (w *fakeWorker) Renew(_ context.Context, id string, lease time.Duration) (workerapi.Task, error) {
	t, err := w.get(id)
	if err == nil {
		w.leaseUntil[id] = w.now().Add(lease)
	}
	return t, err
}

func (w *fakeWorker) Checkpoint(_ context.Context, id string) (workerapi.Task, error) {
	t, err := w.get(id)
	if err == nil && t.State == workerapi.TaskRunning {
		w.checkpoints++
		w.tasks[id].CheckpointedMS = w.now().UnixMilli() - t.StartedMS
	}
	return t, err
}

func (w *fakeWorker) Throttle(context.Context, string, float64) error { return nil }

func (w *fakeWorker) Stop(_ context.Context, id string) (workerapi.Task, error) {
	t, err := w.get(id)
	if err == nil && t.State == workerapi.TaskRunning {
		w.endTask(id, workerapi.TaskStopped, "")
		t = *w.tasks[id]
	}
	return t, err
}

func (w *fakeWorker) Usage(context.Context) ([]workerapi.Usage, error) {
	var out []workerapi.Usage
	for id := range w.tasks {
		out = append(out, workerapi.Usage{ID: id, PeakMemoryGB: w.peakGB})
	}
	return out, nil
}

func (w *fakeWorker) running() int {
	w.lapseTasks()
	n := 0
	for _, t := range w.tasks {
		if t.State == workerapi.TaskRunning {
			n++
		}
	}
	return n
}

// node is one host. Its worker keeps running while its agent restarts.
type node struct {
	name        string
	worker      *fakeWorker
	agent       *Manager
	arbiter     *arbiter.Arbiter
	partitioned bool // calls from and to the node fail
	events      []wire.GangEvent
}

// cluster is a set of nodes that share a simulated clock. Calls are synchronous.
type cluster struct {
	now       time.Time
	nodes     []*node
	violation string // rule violation detected inside a call, "" for none
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(10_000, 0)}
	for i := range size {
		n := &node{name: fmt.Sprintf("w%d", i)}
		n.worker = &fakeWorker{now: c.clock, tasks: map[string]*workerapi.Task{}, leaseUntil: map[string]time.Time{}, onStart: c.checkStart}
		c.nodes = append(c.nodes, n)
		c.boot(n)
	}
	return c
}

func (c *cluster) clock() time.Time { return c.now }

// boot starts a new process of the agent, which adopts the worker's tasks.
func (c *cluster) boot(n *node) {
	n.arbiter = arbiter.New("inc", model.Resources{Accelerators: 8}, c.clock)
	n.agent = New(Config{
		Worker: n.name, API: n.worker, Arbiter: n.arbiter, Caller: nodeCaller{c, n}, Now: c.clock,
		Spawn: func(f func()) { f() }, OnChange: func() {},
	})
	tasks, _ := n.worker.Tasks(context.Background())
	n.agent.Adopt(tasks)
}

// crash ends the agent process without a handover.
func (c *cluster) crash(n *node) { n.agent = nil }

// checkStart records a violation if a task starts while a running agent holds no
// reservation for the gang.
func (c *cluster) checkStart() {
	for _, n := range c.nodes {
		if n.agent != nil && !n.arbiter.HasHold("job", 1) {
			c.violation = "a task started while " + n.name + " held no reservation"
		}
	}
}

// advance moves the clock forward in steps of TickInterval and ticks every agent.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(TickInterval)
		for _, n := range c.nodes {
			if n.agent != nil {
				n.agent.Tick()
				n.collectEvents()
			}
		}
	}
}

func (n *node) collectEvents() {
	for _, e := range n.agent.Events() {
		n.events = append(n.events, e)
		n.agent.Acknowledge(e.Seq)
	}
}

func (c *cluster) members() []wire.Member {
	var out []wire.Member
	for i, n := range c.nodes {
		out = append(out, wire.Member{Worker: n.name, Address: n.name, Incarnation: "inc", Ranks: []int{i}})
	}
	return out
}

func (c *cluster) reserve() {
	for i, n := range c.nodes {
		err := n.arbiter.Reserve(&wire.Reserve{
			Order: wire.Order{Epoch: 1, Incarnation: "inc"}, Job: "job", Attempt: 1, Ranks: []int{i},
			PerTask: model.Resources{Accelerators: 8}, TTLMS: 3000,
		})
		if err != nil {
			panic(err)
		}
	}
}

func (c *cluster) start() error {
	err := c.nodes[0].agent.StartGang(&wire.StartGang{Job: model.Job{ID: "job"}, Attempt: 1, Members: c.members()})
	c.nodes[0].collectEvents()
	return err
}

func (c *cluster) running() int {
	total := 0
	for _, n := range c.nodes {
		total += n.worker.running()
	}
	return total
}

// outcomes returns the outcomes that the supervisor has reported, in order.
func (c *cluster) outcomes() []string {
	var out []string
	for _, e := range c.nodes[0].events {
		out = append(out, e.Outcome)
	}
	return out
}

func (c *cluster) lastEvent() wire.GangEvent {
	events := c.nodes[0].events
	if len(events) == 0 {
		return wire.GangEvent{}
	}
	return events[len(events)-1]
}

// nodeCaller implements Caller between the nodes of a cluster.
type nodeCaller struct {
	c    *cluster
	from *node
}

func (k nodeCaller) Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error {
	i := slices.IndexFunc(k.c.nodes, func(n *node) bool { return n.name == addr })
	to := k.c.nodes[i]
	if to.partitioned || k.from.partitioned || to.agent == nil {
		return &transport.CallError{Address: addr, Sent: true, Err: context.DeadlineExceeded}
	}
	var report *wire.MemberReport
	var err error
	switch kind {
	case wire.KindArm:
		err = to.agent.Arm(msg.(*wire.GangOrder))
	case wire.KindStart:
		report, err = to.agent.Start(ctx, msg.(*wire.GangOrder))
	case wire.KindRenew:
		report, err = to.agent.Renew(msg.(*wire.GangOrder))
	case wire.KindAbort:
		report, err = to.agent.Abort(msg.(*wire.GangOrder))
	case wire.KindHandover:
		err = to.agent.HandleHandover(msg.(*wire.Handover))
	}
	if report != nil {
		*reply.(*wire.MemberReport) = *report
	}
	return err
}
