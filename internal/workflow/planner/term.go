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
	// idlePass is the longest time between two passes of the planner.
	idlePass = 100 * time.Millisecond
	// passGap is the shortest time between two passes; events within it are
	// handled, and recorded, together.
	passGap = 10 * time.Millisecond
	// cleanEvery is how often records of jobs that ended long ago are removed.
	cleanEvery = time.Second
	// startRetryDelay follows a failed call to the store or to an agent.
	retryPause = 60 * time.Millisecond
	// syncWait is the time for which an agent holds back a report that has
	// nothing new, and syncGrace the time for the exchange itself.
	syncWait  = time.Second
	syncGrace = 600 * time.Millisecond
	// quietAfter is the silence of an agent after which it is asked less often.
	quietAfter = 10 * time.Second
	quietPause = time.Second
	// orderTimeout bounds a call with orders; the agent's own attempts end before.
	orderTimeout = 1500 * time.Millisecond
)

var (
	errRetired  = errors.New("this entry stops")
	errReplaced = errors.New("another planner is in charge")
	errExpired  = errors.New("the term was not renewed in time")
)

// term is one term as planner.
type term struct {
	host  *Host
	lease uint64
	epoch uint64
	end   context.CancelCauseFunc
	ctx   context.Context // of the term

	mu      sync.Mutex
	engine  *engine.Engine
	address map[string]string // of agents, by node
	acked   map[string]ackedEnds
	renewed time.Time
}

// ackedEnds is how far the ends of an incarnation are stored.
type ackedEnds struct {
	key string
	n   uint64
}

func newTerm(h *Host, lease, epoch uint64, end context.CancelCauseFunc) *term {
	now := time.Now()
	s := h.o.Engine
	s.MaxStoreOutage = MaxStoreOutage
	return &term{
		host: h, lease: lease, epoch: epoch, end: end, engine: engine.New(s, epoch, now),
		address: make(map[string]string), acked: make(map[string]ackedEnds), renewed: now,
	}
}

func (t *term) run(ctx context.Context) {
	t.ctx = ctx
	go t.renew(ctx)
	if !t.load(ctx) {
		return
	}
	go t.repeatStops(ctx)
	cleaned := time.Now()
	for ctx.Err() == nil {
		t.pass(ctx)
		if time.Since(cleaned) > cleanEvery {
			t.removeOutdated(ctx)
			cleaned = time.Now()
		}
		kernel.Sleep(ctx, passGap)
		t.host.waitChange(ctx, idlePass)
	}
}

// renew keeps the term. Without the store it goes on extending the workers'
// leases, but not longer than MaxStoreOutage.
func (t *term) renew(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, t.host.o.Term/renewalsPerTerm)
		sent := time.Now()
		err := t.host.o.Table.Renew(ctx, t.lease)
		switch {
		case err == nil:
			t.renewed = sent
		case errors.Is(err, store.ErrSessionLost):
			t.end(errReplaced)
			return
		case time.Since(t.renewed) > MaxStoreOutage:
			t.end(errExpired)
			return
		}
		if r, ok := t.host.o.Records.Get(workflow.PlannerKey); ok && r.Revision > t.epoch {
			t.end(errReplaced)
			return
		}
	}
}

// load lists the records as they are after the term began, so that they hold all
// that earlier planners have written.
func (t *term) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		records, _, err := t.host.o.Table.List(ctx, workflow.Prefix)
		if err != nil {
			kernel.Sleep(ctx, retryPause)
			continue
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.takeList(records)
		log.WithFields(log.Fields{"event": "planner_loaded", "epoch": t.epoch, "records": len(records)}).Info("the planner has read all records")
		return true
	}
	return false
}

func (t *term) takeList(records []store.Record) {
	runs := make(map[string]store.Record)
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.RunPrefix) {
			runs[workflow.IDOf(r.Key)] = r
		}
	}
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.JobPrefix) {
			t.addJob(r, runs)
		}
	}
	events := make([]store.Event, 0, len(records))
	for _, r := range records {
		events = append(events, store.Event{Record: r})
	}
	t.takeEvents(events)
}

func (t *term) addJob(r store.Record, runs map[string]store.Record) {
	rec, err := workflow.Decode[workflow.JobRecord](r.Value)
	if err != nil {
		log.WithFields(log.Fields{"event": "record_unreadable", "key": r.Key, "error": err.Error()}).Error("job ignored")
		return
	}
	id := workflow.IDOf(r.Key)
	run, ok := runs[id]
	if !ok {
		t.engine.AddJob(id, rec, nil, 0)
		return
	}
	p, err := workflow.Decode[workflow.Progress](run.Value)
	if err != nil {
		log.WithFields(log.Fields{"event": "record_unreadable", "key": run.Key, "error": err.Error()}).Error("job ignored")
		return
	}
	t.engine.AddJob(id, rec, p, run.Revision)
}

// takeEvents takes in changes that others made. t.mu is held.
func (t *term) takeEvents(events []store.Event) {
	now := time.Now()
	for _, e := range events {
		id := workflow.IDOf(e.Key)
		switch {
		case strings.HasPrefix(e.Key, workflow.JobPrefix):
			if !e.Deleted {
				t.addJob(e.Record, nil)
			}
		case strings.HasPrefix(e.Key, workflow.CancelPrefix) && !e.Deleted:
			t.engine.CancelJob(id, now)
		case strings.HasPrefix(e.Key, workflow.AgentPrefix):
			t.takeAgent(id, e)
		}
	}
}

func (t *term) takeAgent(node string, e store.Event) {
	if e.Deleted {
		delete(t.address, node)
		return
	}
	a, err := workflow.Decode[workflow.ProcessRecord](e.Value)
	if err != nil {
		log.WithFields(log.Fields{"event": "record_unreadable", "key": e.Key, "error": err.Error()}).Error("agent ignored")
		return
	}
	if _, known := t.address[node]; !known {
		t.engine.AddWorker(node)
		go t.follow(node)
	}
	t.address[node] = a.Address
}

// pass handles what has come, decides, records and orders.
func (t *term) pass(ctx context.Context) {
	t.host.mu.Lock()
	events, config := t.host.pending, t.host.config
	t.host.pending = nil
	t.host.mu.Unlock()

	now := time.Now()
	t.mu.Lock()
	if config != nil {
		t.engine.SetConfig(config)
	}
	t.takeEvents(events)
	t.engine.ExpireLeases(now)
	starts, stops := t.engine.Decide(now)
	ends := t.lastEnds()
	changes := t.engine.TakeChanges()
	notes := t.engine.TakeEndEvents()
	t.mu.Unlock()

	logNotes(t.epoch, notes)
	logDecisions(t.epoch, starts, stops)
	if !t.commit(ctx, changes) {
		return
	}
	t.mu.Lock()
	for node, end := range ends {
		t.acked[node] = end
	}
	orders := t.engine.StartOrders(time.Now())
	t.mu.Unlock()
	for _, o := range orders {
		go t.send(ctx, o)
	}
}

// lastEnds returns how far the ends of each worker are processed. t.mu is held.
func (t *term) lastEnds() map[string]ackedEnds {
	out := make(map[string]ackedEnds, len(t.address))
	for node := range t.address {
		key, n := t.engine.LastProcessedEnd(node)
		out[node] = ackedEnds{key: key, n: n}
	}
	return out
}

// repeatStops sends stop orders, which need no record and so no store.
func (t *term) repeatStops(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		orders := t.engine.StopOrders(time.Now())
		t.mu.Unlock()
		for _, o := range orders {
			go t.send(ctx, o)
		}
		kernel.Sleep(ctx, 2*passGap)
	}
}

// send carries an order to an agent and its outcome to the engine.
func (t *term) send(ctx context.Context, o *engine.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	t.mu.Lock()
	address := t.address[o.Node]
	t.mu.Unlock()
	reply := new(workflow.OrderReply)
	if err := t.host.o.Pool.Call(ctx, address, wire.KindWorkflowOrder, &o.Request, reply); err != nil {
		log.WithFields(log.Fields{"event": "order_unanswered", "node": o.Node, "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the agent did not answer an order")
		reply = nil
	}
	t.mu.Lock()
	t.engine.HandleOrderReply(o, reply, time.Now())
	t.mu.Unlock()
	t.host.wake()
}

// follow exchanges leases and reports with one agent until the term ends.
func (t *term) follow(node string) {
	ctx := t.ctx
	version := uint64(0)
	last := time.Now()
	for ctx.Err() == nil {
		t.mu.Lock()
		address, known := t.address[node]
		acked := t.acked[node]
		key, _ := t.engine.LastProcessedEnd(node)
		if acked.key != key {
			acked.n = 0
		}
		req := t.engine.NextSyncRequest(node, acked.n)
		t.mu.Unlock()
		if !known {
			return
		}
		req.Version, req.WaitMS = version, syncWait.Milliseconds()
		reply, err := t.sync(ctx, address, &req)
		if err != nil {
			if result.CodeOf(err) == result.Fenced {
				t.end(errReplaced)
				return
			}
			version = 0
			t.host.o.Pool.Forget(address)
			if time.Since(last) > quietAfter {
				kernel.Sleep(ctx, quietPause)
			}
			kernel.Sleep(ctx, retryPause)
			continue
		}
		last, version = time.Now(), reply.Version
		t.mu.Lock()
		t.engine.HandleReport(node, reply, last)
		t.mu.Unlock()
		t.host.wake()
	}
}

func (t *term) sync(ctx context.Context, address string, req *workflow.SyncRequest) (*workflow.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncWait+syncGrace)
	defer cancel()
	reply := new(workflow.SyncReply)
	return reply, t.host.o.Pool.Call(ctx, address, wire.KindWorkflowSync, req, reply)
}
