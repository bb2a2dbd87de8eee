package planner

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/engine"
)

// Guards against a takeover that leaves no time for preemption: a guaranteed job
// that is accepted when the planner crashes must start within the reclaim time, and
// the engine reserves half of that for preemption.
func TestTakeoverLeavesTimeToReclaim(t *testing.T) {
	const reclaim = 2700 * time.Millisecond
	if longest := DefaultLeaseDuration + electionRetryDelay; longest > reclaim/2 {
		t.Errorf("a crashed planner is replaced after up to %v, more than half of the reclaim time of %v", longest, reclaim)
	}
}

// Guards against an unexpected error in the planner that ends the process, or that leaves
// a term going on with a state in doubt.
func TestPanicEndsTheTerm(t *testing.T) {
	log.SetHandler(discard.New())
	ctx, endTerm := context.WithCancelCause(t.Context())
	term := newTerm(New(Options{Engine: engine.Settings{}}), 1, 2, endTerm)
	term.guard("test", func() {
		term.mu.Lock()
		defer term.mu.Unlock()
		panic("unexpected")
	})
	provokedPanics["test"]++
	if cause := context.Cause(ctx); !errors.Is(cause, errPanicked) {
		t.Errorf("the term has ended for the reason %v, expected %v", cause, errPanicked)
	}
	if !term.mu.TryLock() {
		t.Error("the lock of the term is still held")
	}
}

// Guards against terms that panic without end at the full rate of elections, and against delays that let accepted jobs
// wait beside idle workers for longer than they may, after four panics on each entry.
func TestDelayAfterPanicsGrowsUpToALimit(t *testing.T) {
	const idleLimit = 3 * time.Second
	sum, delay := time.Duration(0), time.Duration(0)
	for range 4 {
		next := nextPanicDelay(delay, time.Millisecond)
		if next <= delay && next != maxPanicDelay {
			t.Errorf("a delay of %v follows one of %v", next, delay)
		}
		sum, delay = sum+next, next
	}
	if delay != maxPanicDelay || sum >= idleLimit {
		t.Errorf("four delays take %v together, the last one %v", sum, delay)
	}
	if after := nextPanicDelay(delay, stableTerm); after != minPanicDelay {
		t.Errorf("the delay after a long term is %v, expected %v", after, minPanicDelay)
	}
}

// Guards against a record of another writer that replaces or removes the address of an agent, or
// is followed although it names none: the worker beside that agent would be lost, and the planner
// would call an address that cannot exist without end.
func TestRecordsThatNameNoAgentAreNotFollowed(t *testing.T) {
	log.SetHandler(discard.New())
	ctx, endTerm := context.WithCancelCause(t.Context())
	term := newTerm(New(Options{Engine: engine.Settings{}}), 1, 2, endTerm)
	endTerm(errStopping) // no agent is called
	term.ctx = ctx
	event := func(key string, value []byte) store.Event {
		return store.Event{Record: store.Record{Key: workflow.AgentPrefix + key, Value: value, Revision: 1}}
	}
	address := func(a string) []byte { return workflow.Encode(workflow.ProcessRecord{Address: a}) }
	removed := event("x/node-1", nil)
	removed.Deleted = true
	term.mu.Lock()
	defer term.mu.Unlock()
	term.applyEvents([]store.Event{
		event("node-1", address("10.0.0.1:7000")),
		event("node-1", address("10.0.0.9:70000")), event("node-1", []byte("x")), event("node-1", nil),
		event("x/node-1", address("10.0.0.9:7000")), removed,
		event("odd-1", address("10.0.0.9:0")), event("odd-2", address("")), event("odd|5", address("10.0.0.9:7000")), event("", address("10.0.0.9:7000")),
	})
	if want := map[string]string{"node-1": "10.0.0.1:7000"}; !maps.Equal(term.agentAddresses, want) {
		t.Errorf("the agents are %v, expected %v", term.agentAddresses, want)
	}
	if workers := term.engine.Dump(time.Now()).Workers; len(workers) != 1 {
		t.Errorf("the workers are %v, expected that of node-1", workers)
	}
}
