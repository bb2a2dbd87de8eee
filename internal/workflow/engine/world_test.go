package engine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipegw/internal/workflow"
)

// world is a model of workers, a store and planners that come and go. Orders may
// be lost, late, or answered without the answer arriving; workers crash, are cut
// off and drain. It checks what the workers see. It shares no code with the
// engine but the message types.
type world struct {
	rng     *rand.Rand
	now     time.Time
	trouble float64 // probability of each fault
	workers []*modelWorker
	config  *workflow.Config

	jobs     map[string]*workflow.JobRecord
	progress map[string]*workflow.Progress
	revision map[string]uint64
	cancels  map[string]time.Time
	clock    uint64 // revision counter of the store

	planner  *Engine
	epoch    uint64
	zombies  []delayed // orders of planners, on their way
	finished map[string]bool
	failures map[string]int
	starts   map[string][]*modelRun
	faults   []string

	hideCancels bool                     // from the planner, to test the check
	sound       bool                     // runs do not fail by chance
	took        map[string]time.Duration // run times of items, where they are known
}

// delayed is an order that reaches its worker later.
type delayed struct {
	at       time.Time
	order    *Order
	from     *Engine
	answered bool
}

func newWorld(seed uint64, workers int, trouble float64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000), trouble: trouble,
		jobs: make(map[string]*workflow.JobRecord), progress: make(map[string]*workflow.Progress),
		revision: make(map[string]uint64), cancels: make(map[string]time.Time),
		finished: make(map[string]bool), failures: make(map[string]int), starts: make(map[string][]*modelRun), clock: 1,
	}
	w.config = &workflow.Config{
		Version: 1,
		Queues: []workflow.Queue{
			{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 3, SlackFactor: 1.5, TargetMS: 250},
			{Name: "large", Service: "s", Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMS: 1000},
			{Name: "small", Service: "s", Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMS: 3000},
		},
		Teams: map[string]workflow.Team{"a": {Name: "a", Guarantee: 16}, "b": {Name: "b", Guarantee: 8}},
	}
	w.config.Provision()
	for i := range workers {
		m := &modelWorker{w: w, node: fmt.Sprintf("n%d", i), rack: fmt.Sprintf("r%d", i/3), capacity: workflow.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 8}}
		m.restart()
		w.workers = append(w.workers, m)
	}
	w.takeover()
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%6.2f s: ", w.now.Sub(time.UnixMilli(1_800_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// takeover starts a new term from what the store holds.
func (w *world) takeover() {
	w.clock++
	w.epoch = w.clock
	w.planner = New(Settings{Lease: 5900 * time.Millisecond, ZombieLimit: 2 * time.Second, Reclaim: 2700 * time.Millisecond}, w.epoch, w.now)
	w.planner.SetConfig(w.config)
	for _, id := range sortedKeys(w.jobs) {
		var p *workflow.Progress
		if stored, ok := w.progress[id]; ok {
			decoded, err := workflow.Decode[workflow.Progress](workflow.Encode(stored))
			if err != nil {
				panic(err)
			}
			p = decoded
		}
		w.planner.AddJob(id, w.jobs[id], p, w.revision[id])
	}
	for _, id := range sortedKeys(w.cancels) {
		if !w.hideCancels {
			w.planner.Cancel(id, w.now)
		}
	}
	for _, m := range w.workers {
		w.planner.AddWorker(m.node)
	}
}

// pass is one pass of the planner: decide, store, order.
func (w *world) pass() {
	p := w.planner
	p.Expire(w.now)
	p.Decide(w.now)
	acked := make(map[string]uint64)
	for _, m := range w.workers {
		if key, n := p.LastEnd(m.node); key == workflow.WorkerKey(m.node, m.node, m.born) {
			acked[m.node] = n
		}
	}
	for _, c := range p.Changes() {
		if _, cancelled := w.cancels[c.ID]; cancelled && !c.Cancelled && !w.hideCancels {
			p.Reopen(c.ID)
			p.Cancel(c.ID, w.now)
			p.Retract(c.ID, w.now)
			continue
		}
		w.clock++
		w.progress[c.ID], w.revision[c.ID] = c.Progress, w.clock
		p.Stored(c.ID, w.clock)
	}
	if w.chance(w.trouble * 0.05) {
		// The planner dies after it has stored the runs. Its orders may still be
		// on their way.
		for _, o := range p.StartOrders(w.now) {
			if w.chance(0.5) {
				w.zombies = append(w.zombies, delayed{at: w.now.Add(w.within(3 * time.Second)), order: o, from: p})
			}
		}
		w.takeover()
		return
	}
	for _, o := range append(p.StartOrders(w.now), p.StopOrders(w.now)...) {
		w.zombies = append(w.zombies, delayed{at: w.now.Add(w.within(10 * time.Millisecond)), order: o, from: p})
	}
	for _, m := range w.workers {
		if w.chance(w.trouble * 0.2) {
			continue
		}
		if reply := m.sync(p.Sync(m.node, acked[m.node])); reply != nil && !w.chance(w.trouble*0.2) {
			p.Report(m.node, reply, w.now)
		}
	}
}

func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)) + 1)
}

// deliver carries out the orders whose time has come.
func (w *world) deliver() {
	rest := w.zombies[:0]
	var due []delayed
	for _, d := range w.zombies {
		if w.now.Before(d.at) {
			rest = append(rest, d)
		} else {
			due = append(due, d)
		}
	}
	w.zombies = rest
	for _, d := range due {
		w.carryOut(d)
	}
}

func (w *world) carryOut(d delayed) {
	var m *modelWorker
	for _, o := range w.workers {
		if o.node == d.order.Node {
			m = o
		}
	}
	if !d.answered && w.chance(w.trouble*0.3) {
		// No answer, and carried out up to 12 s later.
		w.zombies = append(w.zombies, delayed{at: w.now.Add(w.within(12 * time.Second)), order: d.order, from: d.from, answered: true})
		d.from.Outcome(d.order, nil, w.now)
		return
	}
	if m.cut() {
		d.from.Outcome(d.order, nil, w.now)
		return
	}
	reply := &workflow.OrderReply{}
	q := &d.order.Request
	for _, o := range q.Starts {
		if q.Born != m.born {
			reply.Starts = append(reply.Starts, workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
			continue
		}
		reply.Starts = append(reply.Starts, m.start(q.Epoch, o))
	}
	for _, o := range q.Stops {
		if q.Born == m.born {
			reply.Stops = append(reply.Stops, m.stop(q.Epoch, o))
		} else {
			reply.Stops = append(reply.Stops, workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
		}
	}
	if d.answered || w.chance(w.trouble*0.2) {
		reply = nil
	}
	if !d.answered {
		d.from.Outcome(d.order, reply, w.now)
	}
}

// disturb brings about faults of workers.
func (w *world) disturb() {
	for _, m := range w.workers {
		switch {
		case w.chance(w.trouble * 0.002):
			m.restart()
		case w.chance(w.trouble * 0.003):
			m.cutUntil = w.now.Add(w.within(9 * time.Second))
		case w.chance(w.trouble * 0.002):
			m.faultyTil = w.now.Add(w.within(5 * time.Second))
		case w.chance(w.trouble * 0.001):
			m.draining = true
		}
	}
}

// submit hands in a random job.
func (w *world) submit() {
	id := fmt.Sprintf("%016x", len(w.jobs)+1)
	q := w.config.Queues[w.rng.IntN(len(w.config.Queues))]
	step := workflow.Step{Count: 1 + w.rng.IntN(5), MilliCPU: 3000, MemoryMB: 8000, Accelerators: 1 << w.rng.IntN(4), EstimateMS: 500 + w.rng.Int64N(3000)}
	step.Gang, step.SameRack = w.chance(0.5), w.chance(0.5)
	if !step.Gang && w.chance(0.3) {
		step.MaxPerWorker = 2
	}
	job := workflow.Job{Steps: []workflow.Step{step}}
	if w.chance(0.3) {
		second := step
		second.After = []int{0}
		job.Steps = append(job.Steps, second)
	}
	if w.chance(0.05) {
		job.Payload = "poison"
	}
	rec := &workflow.JobRecord{
		Job: job, Queue: q.Name, Team: []string{"a", "b"}[w.rng.IntN(2)], AcceptedMS: w.now.UnixMilli(), Service: q.Service,
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMS: q.TargetMS,
	}
	w.jobs[id] = rec
	w.planner.AddJob(id, rec, nil, 0)
}

func (w *world) cancelOne() {
	for _, id := range sortedKeys(w.jobs) {
		if _, cancelled := w.cancels[id]; !cancelled && w.chance(0.2) {
			w.cancels[id] = w.now
			if w.chance(0.7) && !w.hideCancels {
				w.planner.Cancel(id, w.now)
			}
			return
		}
	}
}

const tickTime = 20 * time.Millisecond

// run plays the world for d with traffic, and then until all jobs have ended.
func (w *world) run(d, calm time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		if w.chance(0.02) {
			w.submit()
		}
		if w.chance(0.002) {
			w.cancelOne()
		}
		w.disturb()
		w.tick()
	}
	w.trouble = 0
	for _, m := range w.workers {
		m.cutUntil, m.faultyTil = w.now, w.now
		if m.draining {
			m.restart()
		}
	}
	for _, id := range sortedKeys(w.cancels) {
		w.planner.Cancel(id, w.now)
	}
	for end := w.now.Add(calm); w.now.Before(end) && !w.idle(); {
		w.tick()
	}
}

func (w *world) tick() {
	w.now = w.now.Add(tickTime)
	w.deliver()
	for _, m := range w.workers {
		m.tick()
	}
	w.pass()
}

func (w *world) idle() bool { return len(w.planner.open) == 0 }
