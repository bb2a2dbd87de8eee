package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// requestRunTime is the duration of the load and of the fault injection.
	requestRunTime = 40 * time.Second
	requestCallers = 24
	// minRequestFaults is the least number of faults for a meaningful run.
	minRequestFaults = 10
)

// requestProof checks P4 and P5. Callers send non-idempotent requests and retry them with their
// tickets through other entries, while agents, entries and backend servers are killed, frozen and
// isolated. The request logs of the backend servers must not show a request that ran twice, nor
// one that ran although its caller was told that it was not run.
func requestProof() Proof {
	return Proof{
		Name: "non-idempotent-requests", Property: "P4,P5", Timeout: 130 * time.Second,
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
	load := &requestLoad{cluster: c, client: NewClient(TeamToken("cargo")), idempotent: e.Control,
		delayMS: func() int { return rand.IntN(200) }}
	runCtx, cancel := context.WithTimeout(ctx, requestRunTime)
	defer cancel()
	loadDone := make(chan struct{})
	go func() {
		load.run(runCtx, requestCallers)
		close(loadDone)
	}()
	faults := e.injectFaults(runCtx, e.requestFaults(c))
	<-loadDone
	tally, err := load.computeTally()
	if err != nil {
		return Verdict{}, err
	}
	e.tracef("refusals by code: %v", tally.codes)
	measured := fmt.Sprintf("%d run twice, %d run after a refusal; %d sent, %d complete, %d refused, %d unknown, %d asked again, %d faults, %d wrong responses, %d complete without a run",
		tally.ranTwice, tally.ranAfterRefusal, tally.sent, tally.complete, tally.notRun, tally.unknown, tally.retries, faults, tally.contradictions, tally.completeWithoutRun)
	pass := tally.ranTwice == 0 && tally.ranAfterRefusal == 0 && tally.contradictions == 0 && tally.completeWithoutRun == 0
	meaningful := faults >= minRequestFaults && tally.complete > tally.sent/4
	return Verdict{Pass: pass && meaningful, Measured: measured}, nil
}

// requestFaults returns a plan with faults of the processes and links on the path of a request.
func (e *Env) requestFaults(c *Cluster) faultPlan {
	return faultPlan{
		pause:    [2]time.Duration{300 * time.Millisecond, 900 * time.Millisecond},
		duration: [2]time.Duration{200 * time.Millisecond, 2500 * time.Millisecond}, parallel: 2,
		next: func() fault {
			agent, entry, server := pickRandom(e, c.Agents), pickRandom(e, c.Entries), pickRandom(e, c.Backends)
			return pickRandom(e, []fault{
				killFault(c, agent), freezeFault(agent), killFault(c, entry), freezeFault(entry), killFault(c, server), freezeFault(server),
				linkCutFault(c, entry, agent), isolationFault(c, agent),
				standinFault(server, "break responses", map[string]any{"break": 0.5}, map[string]any{"break": 0}),
				standinFault(server, "refuse", map[string]any{"refuse_ms": 1500}, nil),
				standinFault(server, "fail quickly", map[string]any{"fail_quickly": true}, map[string]any{"fail_quickly": false}),
			})
		},
	}
}
