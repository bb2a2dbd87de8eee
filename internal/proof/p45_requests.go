package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// orderRun is the time for which faults are injected under load.
	orderRun     = 40 * time.Second
	orderCallers = 24
	// minFaults is the least number of faults for a meaningful run.
	minFaults = 10
)

// requestProof checks P4 and P5: callers send non-idempotent requests and ask
// again with their tickets through other entries, while agents, entries and
// backend servers are killed, frozen and cut off. The records of the backend
// servers may show no second run and none for a refusal that says not run.
func requestProof() Proof {
	return Proof{
		Name: "non-idempotent-requests", Promise: "P4,P5", Limit: 130 * time.Second,
		Bound: "0 run twice, 0 run after a refusal as not run",
		Run:   runRequestProof,
	}
}

func runRequestProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Entries, spec.Agents, spec.PerRack, spec.Relayed = 3, 4, 2, true
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	load := &orderLoad{cluster: c, client: NewClient(TeamToken("cargo")), idempotent: e.Control,
		delayMS: func() int { return rand.IntN(200) }}
	runCtx, cancel := context.WithTimeout(ctx, orderRun)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		load.run(runCtx, orderCallers)
		close(loaded)
	}()
	n := e.inject(runCtx, e.requestFaults(c))
	<-loaded
	t, err := load.tally()
	if err != nil {
		return Verdict{}, err
	}
	e.note("refusals by code: %v", t.codes)
	measured := fmt.Sprintf("%d run twice, %d run after a refusal; %d sent, %d complete, %d refused, %d unknown, %d asked again, %d faults, %d wrong responses, %d complete without a run",
		t.twice, t.ranRefused, t.sent, t.complete, t.notRun, t.unknown, t.asked, n, t.contradictions, t.missing)
	pass := t.twice == 0 && t.ranRefused == 0 && t.contradictions == 0 && t.missing == 0
	enough := n >= minFaults && t.complete > t.sent/4
	return Verdict{Pass: pass && enough, Measured: measured}, nil
}

// requestFaults chooses among the faults of processes and links that lie on
// the path of a request.
func (e *Env) requestFaults(c *Cluster) faultPlan {
	return faultPlan{
		pause: [2]time.Duration{300 * time.Millisecond, 900 * time.Millisecond},
		hold:  [2]time.Duration{200 * time.Millisecond, 2500 * time.Millisecond}, parallel: 2,
		choose: func() fault {
			agent, entry, server := pick(e, c.Agents), pick(e, c.Entries), pick(e, c.Backends)
			return pick(e, []fault{
				killed(c, agent), frozen(agent), killed(c, entry), frozen(entry), killed(c, server), frozen(server),
				cutLink(c, entry, agent), isolated(c, agent),
				switched(server, "break responses", map[string]any{"break": 0.5}, map[string]any{"break": 0}),
				switched(server, "refuse", map[string]any{"refuse_ms": 1500}, nil),
				switched(server, "fail quickly", map[string]any{"fail_quickly": true}, map[string]any{"fail_quickly": false}),
			})
		},
	}
}
