package planner

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/wire"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
)

const (
	// maxPassInterval is the longest time between two passes of the planner.
	maxPassInterval = 100 * time.Millisecond
	// minPassInterval is the shortest time between two passes. Events that arrive
	// within it are processed and stored together.
	minPassInterval = 10 * time.Millisecond
	// cleanupInterval is the interval at which records of ended jobs are removed.
	cleanupInterval = time.Second
	// retryDelay is the delay after a failed call to the store or to an agent.
	retryDelay = 60 * time.Millisecond
	// syncHoldTime is how long an agent may hold a sync request while it has nothing
	// new to report (long poll).
	syncHoldTime = time.Second
	// syncGracePeriod is added to syncHoldTime for the timeout of a sync call.
	syncGracePeriod = 600 * time.Millisecond
	// agentSilenceLimit is the time without a report after which an agent is called
	// less often, with silentAgentRetryDelay between the calls.
	agentSilenceLimit     = 10 * time.Second
	silentAgentRetryDelay = time.Second
	// orderTimeout is the timeout of a call with orders. The agent's own attempts end
	// before it.
	orderTimeout = 1500 * time.Millisecond
)

// Causes for the end of a term.
var (
	errStopping   = errors.New("this entry is stopping")
	errReplaced   = errors.New("another planner has taken over")
	errLeaseLost  = errors.New("the planner's lease has ended in the store")
	errNotRenewed = errors.New("the planner's lease was not renewed in time")
	errPanicked   = errors.New("an unexpected error has left the state of the term in doubt")
)

// term is one term of this entry as planner.
type term struct {
	host    *Host
	lease   uint64                  // of the planner's key in the store
	epoch   uint64                  // revision of the planner's key, for fencing
	endTerm context.CancelCauseFunc // cancels ctx
	ctx     context.Context

	mu             sync.Mutex // guards engine and the maps below
	engine         *engine.Engine
	agentAddresses map[string]string      // by node
	storedEnds     map[string]endPosition // by node; ends that may be acknowledged
	knewHolder     bool                   // a holder was recorded before this term
	closings       map[string]closing     // by job id, until they are removed or replaced
	suspensions    map[string]*suspension // by node
	// unansweredSince holds the first failed call to each agent since its latest answer, by node.
	unansweredSince    map[string]time.Time
	formerKept         bool          // see Host
	suspensionsChanged chan struct{} // signals a lease that may be extended again; holds one signal
	renewedAt          time.Time     // start of the latest successful renewal

	// The following fields are used by runPass only.

	// startsStoredAt is the earliest time of the transactions that have stored starts in this pass,
	// zero if there is none.
	startsStoredAt        time.Time
	evacuationsReportedAt time.Time
	evacuationsVersion    uint64            // of those that were reported
	reportedEvacuations   map[string]uint64 // revision of the request that was logged, by failure domain
}

// endPosition says how far the ends that an incarnation of a worker reports have
// been processed: up to the end with the given sequence number.
type endPosition struct {
	incarnation string
	number      uint64
}

func newTerm(h *Host, lease, epoch uint64, endTerm context.CancelCauseFunc) *term {
	now := time.Now()
	s := h.options.Engine
	s.MaxStoreOutage = MaxStoreOutage
	return &term{
		host: h, lease: lease, epoch: epoch, endTerm: endTerm, engine: engine.New(s, epoch, now),
		agentAddresses: make(map[string]string), storedEnds: make(map[string]endPosition), closings: make(map[string]closing), renewedAt: now, knewHolder: h.knewHolder,
		reportedEvacuations: make(map[string]uint64), formerKept: h.formerKept,
		suspensions: make(map[string]*suspension), unansweredSince: make(map[string]time.Time), suspensionsChanged: make(chan struct{}, 1),
	}
}

// run loads the records and then runs passes until the term ends.
func (t *term) run(ctx context.Context) {
	t.ctx = ctx
	t.spawn("lease renewal", func() { t.renewLease(ctx) })
	if !t.loadRecords(ctx) {
		return
	}
	t.spawn("stop orders", func() { t.sendStopOrders(ctx) })
	t.spawn("suspensions", func() { t.followLostAgents(ctx) })
	if t.host.options.PublishBacklog {
		t.spawn("backlog", func() { t.publishBacklog(ctx) })
	}
	lastCleanup := time.Now()
	for ctx.Err() == nil {
		t.runPass(ctx)
		if time.Since(lastCleanup) > cleanupInterval {
			t.removeOutdatedJobs(ctx)
			t.removeOutdatedClosings(ctx)
			lastCleanup = time.Now()
		}
		kernel.Sleep(ctx, minPassInterval)
		t.host.waitForWake(ctx, maxPassInterval)
	}
}

// loadRecords passes all records in the store to the engine. It lists them after the
// term began, so that they include everything that earlier planners wrote. It returns
// false if the term ended before it had the list.
func (t *term) loadRecords(ctx context.Context) bool {
	for ctx.Err() == nil {
		records, _, err := t.host.options.Table.List(ctx, workflow.Prefix)
		if err != nil {
			kernel.Sleep(ctx, retryDelay)
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.applyRecords(records)
		holders := holderAddresses(records)
		t.spawn("planner recall", func() { t.recallHolders(ctx, holders) })
		log.WithFields(log.Fields{"event": "planner_loaded", "epoch": t.epoch, "records": len(records)}).Info("planner has loaded all records")
		return true
	}
	return false
}

// applyRecords adds the suspended leases and the listed jobs with their progress to the engine,
// and then applies the other records. t.mu is held.
func (t *term) applyRecords(records []store.Record) {
	now := time.Now()
	t.inheritSuspensions(records, now)
	progressRecords := make(map[string]store.Record)
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.ProgressPrefix) {
			progressRecords[workflow.IDOfKey(r.Key)] = r
		}
	}
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.JobPrefix) {
			t.addJob(r, progressRecords, now)
		}
	}
	events := make([]store.Event, 0, len(records))
	for _, r := range records {
		events = append(events, store.Event{Record: r})
	}
	t.applyEvents(events)
}

// addJob adds the job in record r to the engine, with its progress record if there is
// one. It skips a job with a record that cannot be decoded. t.mu is held.
func (t *term) addJob(r store.Record, progressRecords map[string]store.Record, now time.Time) {
	id := workflow.IDOfKey(r.Key)
	// A job that breaks the limits, such as one with a dependency on a missing step, would make
	// every decision fail.
	rec, err := workflow.DecodeJob(id, r.Value)
	if err == nil && rec.IsClosing() {
		if t.closings[id].revision != r.Revision {
			t.closings[id] = closing{revision: r.Revision, knownAt: now}
		}
		return
	}
	delete(t.closings, id)
	if err != nil {
		workflow.ReportUnreadable(r.Key, err)
		return
	}
	progress, ok := progressRecords[id]
	if !ok {
		t.engine.AddJob(id, rec, nil, 0)
		return
	}
	p, err := workflow.Decode[workflow.Progress](progress.Value)
	if err != nil {
		workflow.ReportUnreadable(progress.Key, err)
		return
	}
	t.engine.AddJob(id, rec, p, progress.Revision)
}

// applyEvents applies new jobs, cancellations and changes of agents. t.mu is held.
func (t *term) applyEvents(events []store.Event) {
	now := time.Now()
	for _, e := range events {
		id := workflow.IDOfKey(e.Key)
		switch {
		case strings.HasPrefix(e.Key, workflow.JobPrefix):
			if e.Deleted {
				delete(t.closings, id)
				// The answer to the removal may have been lost, and callers may use the id again.
				t.engine.RemoveEndedJob(id)
			} else {
				t.addJob(e.Record, nil, now)
			}
		case strings.HasPrefix(e.Key, workflow.CancelPrefix) && !e.Deleted:
			t.engine.CancelJob(id, now)
		case strings.HasPrefix(e.Key, workflow.AgentPrefix):
			t.applyAgentEvent(id, e)
		}
	}
}

// applyAgentEvent updates the address of an agent and follows an agent that is new. The address
// that is known stays if the record names none.
// t.mu is held.
func (t *term) applyAgentEvent(node string, e store.Event) {
	if e.Deleted {
		delete(t.agentAddresses, node)
		t.engine.SetAgentStopped(node, 0, time.Time{})
		return
	}
	a, err := workflow.DecodeProcess(node, e.Value)
	if err != nil {
		workflow.ReportUnreadable(e.Key, err)
		return
	}
	if _, known := t.agentAddresses[node]; !known {
		t.engine.AddWorker(node)
		t.spawn("worker report", func() { t.followAgent(node) })
	}
	t.engine.SetAgentDomain(node, a.Zone)
	var stoppedSince time.Time
	if a.Stopped {
		stoppedSince = t.host.recordSeen(e.Record, time.Now())
	}
	t.engine.SetAgentStopped(node, e.Revision, stoppedSince)
	t.agentAddresses[node] = a.Address
}

// runPass applies pending events, ends runs on workers whose lease has expired,
// decides, stores the changes and sends the start orders.
func (t *term) runPass(ctx context.Context) {
	t.host.mu.Lock()
	events, config := t.host.pending, t.host.config
	evacuations, version := t.host.evacuations, t.host.evacuationsVersion
	t.host.pending = nil
	t.host.mu.Unlock()

	d := t.decide(events, config, evacuations)
	t.reportEvacuations(version, time.Now())
	logEndEvents(t.epoch, d.endEvents)
	logDecisions(t.epoch, d.starts, d.stops)
	countHeadroom(d.headroom)
	if !t.commitChanges(ctx, d.changes) {
		return
	}
	for _, o := range t.startOrders(d.ends) {
		t.spawn("order", func() { t.sendOrder(ctx, o) })
	}
}

// decisions is the outcome of one pass of the engine.
type decisions struct {
	starts    []engine.Placement
	stops     []engine.StopDecision
	changes   []engine.Change
	endEvents []engine.EndEvent
	ends      map[string]endPosition // by node; to be acknowledged once the changes are stored
	headroom  engine.HeadroomUse
}

// decide passes the events, the configuration, nil for none, and the evacuations to the
// engine and returns what it decides.
func (t *term) decide(events []store.Event, config *workflow.Config, evacuations []workflow.Evacuation) decisions {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if config != nil {
		t.engine.SetConfig(config)
	}
	t.engine.SetEvacuations(evacuations)
	t.applyEvents(events)
	t.engine.ExpireLeases(now)
	starts, stops := t.engine.Decide(now)
	return decisions{
		starts: starts, stops: stops, ends: t.processedEnds(),
		changes: t.engine.TakeChanges(), endEvents: t.engine.TakeEndEvents(), headroom: t.engine.HeadroomUse(),
	}
}

// startOrders notes the ends that are stored now, and returns the start orders for the
// runs that are.
func (t *term) startOrders(ends map[string]endPosition) []*engine.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, end := range ends {
		t.storedEnds[node] = end
	}
	now := time.Now()
	t.retractOldStarts(now)
	return t.engine.StartOrders(now)
}

// stopOrders returns the stop orders that are due.
func (t *term) stopOrders() []*engine.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.StopOrders(time.Now())
}

// guard calls f and ends the term if f panics: the engine's state may be inconsistent
// then, and the next term builds it anew from the records. The function f must release
// its locks by defer.
func (t *term) guard(scope string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			kernel.LogPanic(scope, r, log.Fields{"epoch": t.epoch})
			t.endTerm(errPanicked)
		}
	}()
	f()
}

// spawn calls f in a goroutine under guard. All goroutines of a term are started with it, or call
// guard themselves, since a panic in any other ends the process.
func (t *term) spawn(scope string, f func()) { go t.guard(scope, f) }

// locked calls f with t.mu held, and releases it if f panics, too: a report or an order of the term
// would wait for it for ever.
func (t *term) locked(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// processedEnds returns, by node, how far the engine has processed the ends of each
// worker. t.mu is held.
func (t *term) processedEnds() map[string]endPosition {
	out := make(map[string]endPosition, len(t.agentAddresses))
	for node := range t.agentAddresses {
		incarnation, number := t.engine.LastProcessedEnd(node)
		out[node] = endPosition{incarnation: incarnation, number: number}
	}
	return out
}

// sendStopOrders sends the stop orders that are due until the term ends. Stops need
// not be stored first, so they are sent even while the store cannot be reached.
func (t *term) sendStopOrders(ctx context.Context) {
	for ctx.Err() == nil {
		for _, o := range t.stopOrders() {
			t.spawn("order", func() { t.sendOrder(ctx, o) })
		}
		kernel.Sleep(ctx, 2*minPassInterval)
	}
}

// sendOrder sends an order to its agent and passes the reply to the engine, nil if
// there is none.
func (t *term) sendOrder(ctx context.Context, o *engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var address string
	t.locked(func() { address = t.agentAddresses[o.Node] })
	reply := new(workflow.OrderReply)
	if err := t.host.options.Pool.Call(ctx, address, wire.KindWorkflowOrder, &o.Request, reply); err != nil {
		log.WithFields(log.Fields{"event": "order_unanswered", "node": o.Node, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("no reply to an order; later reports will show its outcome")
		reply = nil
	}
	t.locked(func() { t.engine.HandleOrderReply(o, reply, time.Now()) })
	t.host.wake()
}

// followAgent extends the lease of one worker and receives its agent's reports, until
// the term ends or the agent's record is deleted.
func (t *term) followAgent(node string) {
	ctx := t.ctx
	version := uint64(0)
	lastReply := time.Now()
	for ctx.Err() == nil {
		req, address, known := t.nextSync(node)
		if !known {
			return
		}
		req.Version, req.WaitMS = version, syncHoldTime.Milliseconds()
		reply, err := t.callSync(ctx, address, &req)
		if err != nil {
			if result.CodeOf(err) == result.Fenced {
				t.endTerm(errReplaced)
				return
			}
			// The agent may have restarted and count its versions anew. No report has
			// version 0, so the next call is answered at once.
			version = 0
			t.noteUnanswered(node, time.Now())
			if result.CodeOf(err) != result.Stopping { // else the connection is sound
				t.host.options.Pool.CloseConnections(address)
			}
			if time.Since(lastReply) > agentSilenceLimit {
				kernel.Sleep(ctx, silentAgentRetryDelay)
			}
			kernel.Sleep(ctx, retryDelay)
			continue
		}
		lastReply, version = time.Now(), reply.Version
		t.locked(func() {
			delete(t.unansweredSince, node)
			t.engine.HandleReport(node, reply, lastReply)
			if t.engine.MayResume(node) {
				select {
				case t.suspensionsChanged <- struct{}{}:
				default:
				}
			}
		})
		t.host.wake()
	}
}

// nextSync returns the next sync request for an agent and its address. known is false if its record
// was deleted.
func (t *term) nextSync(node string) (req workflow.SyncRequest, address string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, known = t.agentAddresses[node]
	stored := t.storedEnds[node]
	incarnation, _ := t.engine.LastProcessedEnd(node)
	if stored.incarnation != incarnation {
		stored.number = 0
	}
	return t.engine.NextSyncRequest(node, stored.number), address, known
}

// callSync sends one sync request to an agent and returns the reply.
func (t *term) callSync(ctx context.Context, address string, req *workflow.SyncRequest) (*workflow.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncHoldTime+syncGracePeriod)
	defer cancel()
	reply := new(workflow.SyncReply)
	return reply, t.host.options.Pool.Call(ctx, address, wire.KindWorkflowSync, req, reply)
}
