package planner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

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
	if cause := context.Cause(ctx); !errors.Is(cause, errPanicked) {
		t.Errorf("the term has ended for the reason %v, expected %v", cause, errPanicked)
	}
	if !term.mu.TryLock() {
		t.Error("the lock of the term is still held")
	}
}
