package planner

import (
	"testing"
	"time"
)

// Guards against a takeover that leaves no time to stop others for a guarantee: a
// job that is accepted as the planner dies must start within the reclaim bound,
// and the engine keeps half of it for stopping others.
func TestTakeoverLeavesTimeToReclaim(t *testing.T) {
	const reclaim = 2700 * time.Millisecond
	if longest := DefaultTerm + electionRetryDelay; longest > reclaim/2 {
		t.Errorf("a dead planner is replaced after up to %v, more than half of %v", longest, reclaim)
	}
}
