package jobs

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/config"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/store/storetest"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

var suiteT *testing.T

func TestJobs(t *testing.T) {
	suiteT = t
	log.SetLevel(log.FatalLevel)
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobs")
}

// withVirtualClock runs f with the virtual clock of testing/synctest. The panic of
// a failed assertion is repeated in the spec after the synctest bubble has ended.
func withVirtualClock(f func()) {
	var failure any
	synctest.Test(suiteT, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// fifo is a minimal policy. It places jobs in order of submission on the first
// workers with free accelerators and preempts none. It refuses jobs of more than
// 1000 tasks.
type fifo struct {
	workers   map[string]model.Worker
	drained   map[string]bool
	used      map[string]int
	queue     []model.Job
	running   map[string]*fifoGang
	stops     []framework.Decision
	attempts  map[string]uint64
	cancelled map[string]bool // cancelled while they ran
}

type fifoGang struct {
	job     model.Job
	workers []string
}

func newFifo() framework.Scheduler {
	return &fifo{workers: map[string]model.Worker{}, drained: map[string]bool{}, used: map[string]int{}, running: map[string]*fifoGang{}, attempts: map[string]uint64{}, cancelled: map[string]bool{}}
}

func (f *fifo) SetTeams(time.Time, []model.Team) {}
func (f *fifo) SetWeights(model.Weights)         {}
func (f *fifo) AddWorker(_ time.Time, w model.Worker) {
	f.workers[w.ID] = w
}
func (f *fifo) RemoveWorker(_ time.Time, id string) { delete(f.workers, id) }
func (f *fifo) ReleaseWorker(time.Time, string)     {}

func (f *fifo) DrainWorker(_ time.Time, id string, on bool) { f.drained[id] = on }
func (f *fifo) Submit(_ time.Time, job model.Job)           { f.queue = append(f.queue, job) }
func (f *fifo) GangStarted(time.Time, string, uint64)       {}
func (f *fifo) NextWake() time.Time                         { return time.Time{} }
func (f *fifo) Explain(string) (r model.Reason, ok bool)    { return r, false }
func (f *fifo) UnpackedTeams() []string                     { return nil }
func (f *fifo) addUsage(j model.Job, workers []string, sign int) {
	for _, w := range workers {
		f.used[w] += sign * j.Shape.AcceleratorsPerTask
	}
}

func (f *fifo) Restore(_ time.Time, job model.Job, attempt uint64, workers []string, _ time.Time) {
	f.attempts[job.ID] = attempt
	f.running[job.ID] = &fifoGang{job, workers}
	f.addUsage(job, workers, 1)
}

func (f *fifo) Cancel(_ time.Time, id string) {
	for i, j := range f.queue {
		if j.ID == id {
			f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
			return
		}
	}
	if f.running[id] != nil {
		f.cancelled[id] = true
		f.stops = append(f.stops, framework.Decision{Kind: framework.Stop, Job: id, Attempt: f.attempts[id], Grace: time.Second})
	}
}

func (f *fifo) GangEnded(_ time.Time, id string, end framework.AttemptEnd) {
	g := f.running[id]
	delete(f.running, id)
	f.addUsage(g.job, g.workers, -1)
	if end.Outcome != framework.OutcomeDone && !f.cancelled[id] {
		f.queue = append(f.queue, g.job)
	}
}

func (f *fifo) Decide(time.Time) []framework.Decision {
	out := f.stops
	f.stops = nil
	for len(f.queue) > 0 {
		j := f.queue[0]
		if j.Shape.Tasks > 1000 {
			f.queue = f.queue[1:]
			out = append(out, framework.Decision{Kind: framework.Refuse, Job: j.ID, Reason: model.Reason{Rule: "impossible_shape", Sentence: "Too many tasks."}})
			continue
		}
		workers := f.fit(j)
		if workers == nil {
			break
		}
		f.queue = f.queue[1:]
		f.attempts[j.ID]++
		f.running[j.ID] = &fifoGang{j, workers}
		f.addUsage(j, workers, 1)
		out = append(out, framework.Decision{Kind: framework.Place, Job: j.ID, Attempt: f.attempts[j.ID], Workers: workers, Reason: model.Reason{Rule: "placed"}})
	}
	return out
}

func (f *fifo) fit(j model.Job) []string {
	ids := make([]string, 0, len(f.workers))
	for id := range f.workers {
		if !f.drained[id] {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	var workers []string
	for _, id := range ids {
		free := f.workers[id].Capacity.Accelerators - f.used[id]
		for ; free >= j.Shape.AcceleratorsPerTask && len(workers) < j.Shape.Tasks; free -= j.Shape.AcceleratorsPerTask {
			workers = append(workers, id)
		}
	}
	if len(workers) < j.Shape.Tasks {
		return nil
	}
	return workers
}

// region is a set of fake agents with their membership and a fake network.
type region struct {
	store   *storetest.Store
	mu      sync.Mutex
	view    *members.View
	changed chan struct{}
	hosts   map[string]*Host      // by address
	agents  map[string]*fakeAgent // by address
	// starts lists every start order that an agent has accepted, in order.
	starts []wire.StartGang
	// refuse returns the error with which a worker refuses an order of the given
	// kind; nil accepts all orders.
	refuse     func(worker string, kind wire.Kind) error
	hopLatency time.Duration // one way
	// unresponsive holds the addresses of failed hosts, which answer no call.
	unresponsive map[string]bool
}

type fakeAgent struct {
	worker  string
	epoch   uint64
	seq     uint64
	pending []wire.GangEvent
	orders  []string
}

func newRegion(workers int, latency time.Duration) *region {
	r := &region{store: storetest.New(latency), changed: make(chan struct{}), hosts: map[string]*Host{}, agents: map[string]*fakeAgent{}, hopLatency: time.Millisecond}
	r.unresponsive = map[string]bool{}
	r.view = &members.View{Generation: 1, Workers: map[string]*members.Worker{}, Entries: map[string]*members.Entry{}}
	for i := range workers {
		id := fmt.Sprintf("w%02d", i)
		r.agents["addr-"+id] = &fakeAgent{worker: id}
		r.view.Workers[id] = &members.Worker{Health: members.Alive, State: wire.WorkerState{
			Worker:      model.Worker{ID: id, Rack: fmt.Sprint("r", i/3), Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}},
			Incarnation: "i1", Address: "addr-" + id,
		}}
	}
	return r
}

// View implements members.Membership.
func (r *region) View() *members.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Changed implements members.Membership.
func (r *region) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// editWorkerLocked applies f to one worker in a new view. The caller must hold mu.
func (r *region) editWorkerLocked(id string, f func(w *members.Worker)) {
	next := &members.View{Generation: r.view.Generation + 1, Workers: map[string]*members.Worker{}, Entries: r.view.Entries}
	for k, w := range r.view.Workers {
		next.Workers[k] = w
	}
	w := *next.Workers[id]
	w.State.Gangs = append([]wire.GangState(nil), w.State.Gangs...)
	f(&w)
	next.Workers[id] = &w
	r.view = next
	close(r.changed)
	r.changed = make(chan struct{})
}

// editWorker applies f to one worker in a new view.
func (r *region) editWorker(id string, f func(w *members.Worker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.editWorkerLocked(id, f)
}

// Call implements Caller.
func (r *region) Call(ctx context.Context, addr string, kind wire.Kind, msg, reply any) error {
	if !sleepFor(ctx, r.hopLatency) {
		return &transport.CallError{Address: addr, Err: ctx.Err()}
	}
	r.mu.Lock()
	h, a, silent := r.hosts[addr], r.agents[addr], r.unresponsive[addr]
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &transport.CallError{Address: addr, Sent: true, Err: ctx.Err()}
	}
	var err error
	switch {
	case h != nil:
		err = serveHost(ctx, h, kind, msg, reply)
	case a != nil:
		err = r.serveAgent(a, kind, msg, reply)
	default:
		return &transport.CallError{Address: addr, Err: fmt.Errorf("no process at %s", addr)}
	}
	if !sleepFor(ctx, r.hopLatency) {
		return &transport.CallError{Address: addr, Sent: true, Err: ctx.Err()}
	}
	return err
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func serveHost(ctx context.Context, h *Host, kind wire.Kind, msg, reply any) error {
	switch kind {
	case wire.KindJobSubmit:
		return copyReply(reply.(*wire.JobReply))(requirePlanner(h, (*term).serveSubmit)(ctx, msg.(*wire.JobSubmit)))
	case wire.KindJobStatus:
		return copyReply(reply.(*wire.JobReply))(requirePlanner(h, (*term).serveStatus)(ctx, msg.(*wire.JobQuery)))
	case wire.KindJobCancel:
		return copyReply(reply.(*wire.JobCancelReply))(requirePlanner(h, (*term).serveCancel)(ctx, msg.(*wire.JobCancel)))
	}
	return result.Errorf(result.NotFound, "kind %d", kind)
}

func copyReply[T any](to *T) func(*T, error) error {
	return func(from *T, err error) error {
		if err == nil {
			*to = *from
		}
		return err
	}
}

func (r *region) serveAgent(a *fakeAgent, kind wire.Kind, msg, reply any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Workers[a.worker].Health == members.Dead {
		return &transport.CallError{Address: a.worker, Sent: true, Err: context.DeadlineExceeded}
	}
	if r.refuse != nil {
		if err := r.refuse(a.worker, kind); err != nil {
			return err
		}
	}
	var order wire.Order
	switch m := msg.(type) {
	case *wire.Reserve:
		order = m.Order
	case *wire.Release:
		order = m.Order
	case *wire.StartGang:
		order = m.Order
	case *wire.StopGang:
		order = m.Order
	case *wire.WorkerOrder:
		order = m.Order
	}
	if order.Epoch < a.epoch {
		return result.Errorf(result.Fenced, "epoch %d is below %d", order.Epoch, a.epoch)
	}
	a.epoch = order.Epoch
	if order.Incarnation != r.view.Workers[a.worker].State.Incarnation {
		return result.Errorf(result.StaleIncarnation, "incarnation %s", order.Incarnation)
	}
	switch m := msg.(type) {
	case *wire.StartGang:
		r.starts = append(r.starts, *m)
		for _, mem := range m.Members {
			r.editWorkerLocked(mem.Worker, func(w *members.Worker) {
				w.State.Gangs = append(w.State.Gangs, wire.GangState{Job: m.Job.ID, Attempt: m.Attempt, State: gangStateRunning})
			})
		}
		a.addEvent(m.Job.ID, m.Attempt, eventOutcomeRunning)
	case *wire.StopGang:
		if r.dropGang(m.Job, m.Attempt) {
			a.addEvent(m.Job, m.Attempt, string(framework.OutcomeStopped))
		}
	case *wire.WorkerOrder:
		a.orders = append(a.orders, m.Action)
	}
	reply.(*wire.Ack).Epoch = a.epoch
	return nil
}

func (a *fakeAgent) addEvent(job string, attempt uint64, outcome string) {
	a.seq++
	a.pending = append(a.pending, wire.GangEvent{Seq: a.seq, Job: job, Attempt: attempt, Outcome: outcome, AtMS: time.Now().UnixMilli()})
}

// dropGang removes a gang from the reports of all workers. It reports whether any
// worker had it. The caller must hold mu.
func (r *region) dropGang(job string, attempt uint64) bool {
	found := false
	for id, w := range r.view.Workers {
		for i, g := range w.State.Gangs {
			if g.Job == job && g.Attempt == attempt {
				found = true
				r.editWorkerLocked(id, func(w *members.Worker) { w.State.Gangs = append(w.State.Gangs[:i], w.State.Gangs[i+1:]...) })
				break
			}
		}
	}
	return found
}

// endGang ends the latest started attempt of a job with outcome.
func (r *region) endGang(job string, outcome framework.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.starts) - 1; i >= 0; i-- {
		s := r.starts[i]
		if s.Job.ID == job {
			r.dropGang(job, s.Attempt)
			r.agents[s.Members[0].Address].addEvent(job, s.Attempt, string(outcome))
			return
		}
	}
}

func (r *region) startsOf(job string) (list []wire.StartGang) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.Job.ID == job {
			list = append(list, s)
		}
	}
	return list
}

// deliverEvents passes the agents' events to the hosts every interval until ctx
// ends, as heartbeats do.
func (r *region) deliverEvents(ctx context.Context, interval time.Duration) {
	for sleepFor(ctx, interval) {
		r.mu.Lock()
		hosts := make([]*Host, 0, len(r.hosts))
		for _, h := range r.hosts {
			hosts = append(hosts, h)
		}
		events := map[*fakeAgent][]wire.GangEvent{}
		for _, a := range r.agents {
			events[a] = append([]wire.GangEvent(nil), a.pending...)
		}
		r.mu.Unlock()
		for _, h := range hosts {
			for a, evs := range events {
				acked := h.RecordGangEvents(a.worker, "i1", evs)
				r.mu.Lock()
				for len(a.pending) > 0 && a.pending[0].Seq <= acked {
					a.pending = a.pending[1:]
				}
				r.mu.Unlock()
			}
		}
	}
}

// staticConfig is a config.Source whose document never changes.
type staticConfig struct{ config.Source }

func (staticConfig) OnChange(func(*model.Config)) {}
func (staticConfig) Current() *model.Config {
	return &model.Config{Version: 1, Teams: []model.Team{{ID: "a", Weight: 1}, {ID: "b", Weight: 1, MaxQueuedJobs: 2}}, Limits: model.Limits{MaxQueuedJobs: 1000}}
}

// addHost starts a host at an address of its own.
func (r *region) addHost(id string) *Host {
	h := New(Options{Store: r.store, Membership: r, Pool: r, Config: staticConfig{}, Policy: newFifo,
		Entry: wire.EntryInfo{ID: id, Incarnation: id + "-1", Address: "host-" + id, Region: "north"}})
	r.mu.Lock()
	r.hosts["host-"+id] = h
	r.mu.Unlock()
	_ = h.Start(context.Background())
	return h
}

// kill ends a host without a graceful stop, as a crash does.
func (r *region) kill(h *Host) {
	r.mu.Lock()
	delete(r.hosts, h.opts.Entry.Address)
	r.mu.Unlock()
	h.cancel()
	<-h.done
}

// stopAll kills all hosts.
func (r *region) stopAll() {
	r.mu.Lock()
	hosts := r.hosts
	r.hosts = map[string]*Host{}
	r.mu.Unlock()
	for _, h := range hosts {
		h.cancel()
		<-h.done
	}
}

func testJob(id string, tasks, accelerators int) model.Job {
	return model.Job{ID: id, Team: "a", Class: model.ClassPreemptible, Shape: model.Shape{Tasks: tasks, AcceleratorsPerTask: accelerators, Adjacent: model.AdjacentAny}}
}
