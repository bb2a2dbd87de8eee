package engine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

// world simulates workers, a store and successive planners. Orders may be lost or
// late, and replies may be lost; workers crash, become unreachable and drain. It
// checks the rules from the view of the workers. It shares only the message types
// with the engine.
type world struct {
	rng       *rand.Rand
	now       time.Time
	faultRate float64 // probability of each fault
	workers   []*modelWorker
	config    *workflow.Config
	// formerConfig is the configuration that config has replaced at configuredAt, nil if there was none.
	formerConfig *workflow.Config
	configuredAt time.Time

	jobs          map[string]*workflow.JobRecord
	progress      map[string]*workflow.Progress
	revision      map[string]uint64
	cancels       map[string]time.Time
	storeRevision uint64 // revision counter of the store

	planner              *Engine
	epoch                uint64
	ordersInFlight       []delayedOrder // of the present and of earlier planners
	acknowledgedDone     map[string]bool
	acknowledgedFailures map[string]int
	runsByItem           map[string][]*modelRun
	startedRuns          int
	violations           []string // of the rules, with the time and the rule's name

	evacuations      worldEvacuations
	partitions       worldPartitions
	suspensions      worldSuspensions
	hideCancels      bool                     // keeps cancellations from the planner, to test the check
	noRandomFailures bool                     // runs do not fail at random
	newPlugins       func() framework.Set     // scheduling plug-ins of each term, nil for none
	noProgress       bool                     // workers report no progress of runs
	runTimes         map[string]time.Duration // true run times by item; random if absent
	crashDelay       time.Duration            // time after which an item with payload "deadly" crashes its worker
	crashDowntime    time.Duration            // time until such a worker starts again
	endsPerReport    int                      // a report lists at most so many ends
	hideTruncation   bool                     // reports do not say that ends are left out, to test the check
	acksHeldUntil    time.Time                // no end is acknowledged before, as during an outage of the store
}

// delayedOrder is an order on its way to a worker.
type delayedOrder struct {
	sentAt    time.Time
	deliverAt time.Time
	order     *Order
	sender    *Engine
	timedOut  bool // the sender has given up waiting for the reply
}

func newWorld(seed uint64, workers int, faultRate float64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_800_000_000_000), faultRate: faultRate,
		jobs: make(map[string]*workflow.JobRecord), progress: make(map[string]*workflow.Progress),
		revision: make(map[string]uint64), cancels: make(map[string]time.Time),
		acknowledgedDone: make(map[string]bool), acknowledgedFailures: make(map[string]int), runsByItem: make(map[string][]*modelRun), storeRevision: 1,
		endsPerReport: 500,
		evacuations:   worldEvacuations{rng: rand.New(rand.NewPCG(seed, 2)), requestedAt: make(map[string]time.Time)},
		partitions:    worldPartitions{rng: rand.New(rand.NewPCG(seed, 3))},
		suspensions:   newWorldSuspensions(seed),
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
		m := &modelWorker{env: w, node: fmt.Sprintf("n%d", i), rack: fmt.Sprintf("r%d", i/3), service: "s", capacity: workflow.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 8}}
		m.restart()
		w.workers = append(w.workers, m)
	}
	w.takeover()
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// recordViolation records a violation of a rule at the present time.
func (w *world) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%6.2f s: ", w.now.Sub(time.UnixMilli(1_800_000_000_000)).Seconds())+fmt.Sprintf(format, args...))
}

// takeover starts a new planner's term from the records in the store.
func (w *world) takeover() {
	w.keepFormerPlanner()
	w.storeRevision++
	w.epoch = w.storeRevision
	w.planner = New(Settings{LeaseDuration: 5900 * time.Millisecond, MaxStoreOutage: worldStoreOutage, ReclaimTimeout: 2700 * time.Millisecond, NewPlugins: w.newPlugins}, w.epoch, w.now)
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
			w.planner.CancelJob(id, w.now)
		}
	}
	for _, m := range w.workers {
		w.planner.AddWorker(m.node)
	}
	w.inheritSuspensions()
}

// runPass runs one pass of the planner: it decides, stores the changes, sends the
// orders and exchanges reports with the workers.
func (w *world) runPass() {
	p := w.planner
	p.ExpireLeases(w.now)
	p.Decide(w.now)
	acked := make(map[string]uint64)
	for _, m := range w.workers {
		if key, n := p.LastProcessedEnd(m.node); !w.now.Before(w.acksHeldUntil) && key == workflow.WorkerKey(m.node, m.node, m.startedMS) {
			acked[m.node] = n
		}
	}
	for _, c := range p.TakeChanges() {
		if _, cancelled := w.cancels[c.ID]; cancelled && c.DependsOnCancel && !w.hideCancels {
			p.ReopenJob(c.ID)
			p.CancelJob(c.ID, w.now)
			p.RetractStarts(c.ID, w.now)
			continue
		}
		c = w.checkedStarts(c)
		w.storeRevision++
		w.progress[c.ID], w.revision[c.ID] = c.Progress, w.storeRevision
		p.MarkStored(c, w.storeRevision, w.now)
	}
	if w.chance(w.faultRate * 0.05) {
		// The planner crashes after it has stored the runs. Its orders may still
		// be in flight.
		for _, o := range p.StartOrders(w.now) {
			if w.chance(0.5) {
				w.ordersInFlight = append(w.ordersInFlight, delayedOrder{sentAt: w.now, deliverAt: w.now.Add(w.randomDuration(3 * time.Second)), order: o, sender: p})
			}
		}
		w.takeover()
		return
	}
	for _, o := range append(p.StartOrders(w.now), p.StopOrders(w.now)...) {
		w.ordersInFlight = append(w.ordersInFlight, delayedOrder{sentAt: w.now, deliverAt: w.now.Add(w.randomDuration(10 * time.Millisecond)), order: o, sender: p})
	}
	w.recallFormerPlanner()
	w.syncFormerPlanner()
	w.updateSuspensions()
	w.confirmStoppedAgents()
	for _, m := range w.workers {
		if w.chance(w.faultRate*0.2) || w.now.Before(m.cutOffUntil) {
			w.suspensions.noteAnswer(m.node, false, w.now)
			continue
		}
		reply := m.sync(p.NextSyncRequest(m.node, acked[m.node]))
		answered := reply != nil && !w.chance(w.faultRate*0.2)
		w.suspensions.noteAnswer(m.node, answered, w.now)
		if answered {
			p.HandleReport(m.node, reply, w.now)
		}
	}
}

// randomDuration returns a duration between 1 ns and d.
func (w *world) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)) + 1)
}

// deliverDueOrders delivers the orders whose delay has passed.
func (w *world) deliverDueOrders() {
	rest := w.ordersInFlight[:0]
	var due []delayedOrder
	for _, d := range w.ordersInFlight {
		if w.now.Before(d.deliverAt) {
			rest = append(rest, d)
		} else {
			due = append(due, d)
		}
	}
	w.ordersInFlight = rest
	for _, d := range due {
		w.deliverOrder(d)
	}
}

// deliverOrder delivers an order to its worker and the reply to the sender. Either
// may be lost on the way, and the order may come later instead.
func (w *world) deliverOrder(d delayedOrder) {
	var m *modelWorker
	for _, o := range w.workers {
		if o.node == d.order.Node {
			m = o
		}
	}
	if !d.timedOut && w.chance(w.faultRate*0.3) {
		// The sender sees a timeout; the worker gets the order up to 12 s later.
		w.ordersInFlight = append(w.ordersInFlight, delayedOrder{sentAt: d.sentAt, deliverAt: w.now.Add(w.randomDuration(12 * time.Second)), order: d.order, sender: d.sender, timedOut: true})
		d.sender.HandleOrderReply(d.order, nil, w.now)
		return
	}
	if m.isUnreachable() || !m.serves() || d.sender == w.planner && w.now.Before(m.cutOffUntil) {
		d.sender.HandleOrderReply(d.order, nil, w.now)
		return
	}
	reply := &workflow.OrderReply{}
	request := &d.order.Request
	token := workflow.FencingToken(request.Epoch, request.Generation)
	if request.Epoch < m.agentEpoch {
		d.sender.HandleOrderReply(d.order, nil, w.now)
		return
	}
	if w.now.Sub(d.sentAt) > agentAnswerAge {
		m.knownStartedMS = m.startedMS
	}
	for _, o := range request.Starts {
		if request.StartedMS != m.knownStartedMS {
			reply.Starts = append(reply.Starts, workflow.OrderOutcome{Verdict: workflow.VerdictRefused, Reason: workflow.ReasonInstance})
			continue
		}
		reply.Starts = append(reply.Starts, m.start(token, o))
	}
	for _, o := range request.Stops {
		reply.Stops = append(reply.Stops, m.stop(token, o))
	}
	if d.timedOut || w.chance(w.faultRate*0.2) {
		reply = nil
	}
	if !d.timedOut {
		d.sender.HandleOrderReply(d.order, reply, w.now)
	}
}

// injectFaults restarts, cuts off, breaks or drains workers at random.
func (w *world) injectFaults() {
	for _, m := range w.workers {
		switch {
		case w.chance(w.faultRate * 0.002):
			m.crash()
		case w.chance(w.faultRate * 0.003):
			m.unreachableUntil = w.now.Add(w.randomDuration(9 * time.Second))
		case w.chance(w.faultRate * 0.002):
			m.faultyUntil = w.now.Add(w.randomDuration(5 * time.Second))
		case w.chance(w.faultRate * 0.001):
			m.draining = true
		}
	}
	if w.endsPerReport < 500 && w.chance(w.faultRate*0.02) {
		w.acksHeldUntil = w.now.Add(w.randomDuration(3 * time.Second))
	}
}

// submitRandomJob submits a job of one or two random steps.
func (w *world) submitRandomJob() {
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

// cancelRandomJob stores the cancellation of a job. The planner does not always learn
// of it at once.
func (w *world) cancelRandomJob() {
	for _, id := range sortedKeys(w.jobs) {
		if _, cancelled := w.cancels[id]; !cancelled && w.chance(0.2) {
			w.cancels[id] = w.now
			if w.chance(0.7) && !w.hideCancels {
				w.planner.CancelJob(id, w.now)
			}
			return
		}
	}
}

const tickInterval = 20 * time.Millisecond

// agentAnswerAge is the age of the worker's latest answer from which on an agent asks the
// worker again before it passes a start on.
const agentAnswerAge = 900 * time.Millisecond

// simulate runs the world with faults, submissions and cancellations for d, and then
// without them until all jobs have ended, but at most for calm.
func (w *world) simulate(d, calm time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		if w.chance(0.02) {
			w.submitRandomJob()
		}
		if w.chance(0.002) {
			w.cancelRandomJob()
		}
		w.injectFaults()
		w.changeEvacuations()
		w.changePartitions()
		w.stopAgents()
		w.tick()
	}
	w.faultRate, w.acksHeldUntil = 0, time.Time{}
	clear(w.evacuations.requestedAt)
	w.showEvacuations()
	for _, m := range w.workers {
		m.unreachableUntil, m.faultyUntil, m.cutOffUntil = w.now, w.now, w.now
		m.agentStopped, m.agentStarted = false, false
		delete(w.suspensions.statements, m.node)
		if m.draining {
			m.restart()
		}
	}
	for _, id := range sortedKeys(w.cancels) {
		w.planner.CancelJob(id, w.now)
	}
	for end := w.now.Add(calm); w.now.Before(end) && !w.isIdle(); {
		w.tick()
	}
}

func (w *world) tick() {
	w.now = w.now.Add(tickInterval)
	w.deliverDueOrders()
	for _, m := range w.workers {
		m.tick()
	}
	w.runPass()
}

func (w *world) isIdle() bool { return len(w.planner.openJobs) == 0 }
