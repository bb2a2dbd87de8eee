package planner

import (
	"testing"
	"time"
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
