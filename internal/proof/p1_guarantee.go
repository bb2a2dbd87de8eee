package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

const (
	// roundsPerClaimFault is the number of rounds for each fault; the faults alternate.
	roundsPerClaimFault = 4
	// claimStartTimeout bounds the wait for the starts of the claims. It is longer than the
	// bound of P1, so that the delay of a late start is measured.
	claimStartTimeout = 15 * time.Second
	// claimJobRunMS is the run time of the preemptible jobs that fill the pool and of the
	// claims, in milliseconds. No job ends by itself during the proof.
	claimJobRunMS = 600_000
)

// claimFault is the fault that is injected in a round of claims.
type claimFault string

const (
	noFault       claimFault = "without a fault"
	plannerKilled claimFault = "with the planner killed"
	// workerDied is the loss of a host up to 300 ms before the claims, so that the loss is not
	// yet detected. The guarantees fill the other workers.
	workerDied claimFault = "just after a worker died"
)

var claimFaults = []claimFault{noFault, plannerKilled, workerDied}

// guaranteeProof checks P1. Preemptible jobs fill the whole pool, and all teams claim their whole
// guarantees at the same time with urgent jobs: without a fault, while the planner is killed, and
// just after a worker died. The start of the last task of each claim is read from the workers'
// logs.
func guaranteeProof() Proof {
	return Proof{
		Name: "guarantees-claimed", Property: "P1", Timeout: 200 * time.Second,
		Bound: "every claim runs within 4.7s of its submission",
		Run:   runGuaranteeProof,
	}
}

// claimAgents is the number of workers, one more than the guarantees of claimTeams need.
const claimAgents = 7

// claimTeams returns teams whose guarantees fill six workers, whichever of the seven is lost.
func claimTeams() []model.Team {
	shape := func(tasks int, adjacent model.Adjacency) model.Shape {
		return model.Shape{Tasks: tasks, AcceleratorsPerTask: 8, CoresPerTask: 16, MemoryGBPerTask: 64, Adjacent: adjacent}
	}
	return []model.Team{
		{ID: "cargo", Weight: 1, Guarantees: []model.Guarantee{{Count: 1, Shape: shape(2, model.AdjacentRack)}}},
		{ID: "routes", Weight: 1, Guarantees: []model.Guarantee{{Count: 1, Shape: shape(2, model.AdjacentRack)}}},
		{ID: "photos", Weight: 1, Guarantees: []model.Guarantee{{Count: 2, Shape: shape(1, model.AdjacentHost)}}},
		{ID: "batch", Weight: 1},
	}
}

// claim is one urgent job. startDelay is the time from its submission to the start of its last
// task, or up to now if not all tasks have started.
type claim struct {
	job        model.Job
	submitted  time.Time
	startDelay time.Duration
	started    bool
}

func runGuaranteeProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Entries, spec.Agents, spec.Service, spec.Teams = 3, claimAgents, "", claimTeams()
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	obs := NewObserver(c.Workers)
	defer obs.Stop()
	client := NewClient(OperatorToken)
	if err := fillPool(ctx, c, client); err != nil {
		return Verdict{}, err
	}
	longest := make(map[claimFault]time.Duration)
	late, total := 0, 0
	for round := range len(claimFaults) * roundsPerClaimFault {
		fault := claimFaults[round%len(claimFaults)]
		claims, err := e.runClaimRound(ctx, c, client, obs, round, fault)
		if err != nil {
			return Verdict{}, fmt.Errorf("round %d %s: %w", round, fault, err)
		}
		for _, cl := range claims {
			total++
			if !cl.started || cl.startDelay > model.UrgentStartDeadline {
				late++
				e.tracef("round %d %s: claim %s of team %s took %s, started %v", round, fault, cl.job.ID, cl.job.Team, cl.startDelay, cl.started)
			}
			longest[fault] = max(longest[fault], cl.startDelay)
		}
		if e.Control && late > 0 {
			break
		}
	}
	measured := "longest"
	for _, fault := range claimFaults {
		measured += fmt.Sprintf(" %s %s,", longest[fault].Round(time.Millisecond), fault)
	}
	return Verdict{Pass: late == 0 && total > 0, Measured: fmt.Sprintf("%s %d of %d claims late", measured, late, total)}, nil
}

// fillPool fills the pool with preemptible jobs of a team without a guarantee, two on each worker.
func fillPool(ctx context.Context, c *Cluster, client *Client) error {
	for i := range 2 * c.Spec.Agents {
		job := model.Job{
			ID: fmt.Sprintf("hold-%d", i), Team: "batch", Class: model.ClassPreemptible, DeclaredMS: claimJobRunMS, CheckpointIntervalMS: 1000,
			Shape:   model.Shape{Tasks: 1, AcceleratorsPerTask: 4, CoresPerTask: 8, MemoryGBPerTask: 32, Adjacent: model.AdjacentHost},
			Command: []string{"sleep", fmt.Sprint(claimJobRunMS)},
		}
		if _, err := client.Submit(ctx, c.Entries, job); err != nil {
			return err
		}
	}
	return awaitPoolFilled(ctx, c, client)
}

// awaitPoolFilled waits until all jobs that fill the pool run.
func awaitPoolFilled(ctx context.Context, c *Cluster, client *Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range 2 * c.Spec.Agents {
		id := fmt.Sprintf("hold-%d", i)
		if _, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State == model.JobRunning }); err != nil {
			return err
		}
	}
	return nil
}

// runClaimRound submits the claims of all guarantees at the same time with a fault, measures
// their start delays, cancels them, and waits until preemptible jobs fill the pool again.
func (e *Env) runClaimRound(ctx context.Context, c *Cluster, client *Client, obs *Observer, round int, fault claimFault) ([]*claim, error) {
	class := model.ClassUrgent
	if e.Control {
		class = model.ClassPreemptible
	}
	var claims []*claim
	for _, t := range c.Spec.Teams {
		for g, guarantee := range t.Guarantees {
			for n := range guarantee.Count {
				claims = append(claims, &claim{job: model.Job{
					ID: fmt.Sprintf("claim-%d-%s-%d-%d", round, t.ID, g, n), Team: t.ID, Class: class, Shape: guarantee.Shape,
					DeclaredMS: claimJobRunMS, Command: []string{"sleep", fmt.Sprint(claimJobRunMS)},
				}})
			}
		}
	}
	var killedNode *Node
	var downWorker *Node
	killDelay := [2]time.Duration{0, 300 * time.Millisecond}
	if fault == workerDied {
		// Each round loses another worker: one that is lost repeatedly is quarantined.
		killedNode = c.Agents[round/len(claimFaults)%len(c.Agents)]
		downWorker = c.workerStandin(killedNode)
		// The worker's stand-in is switched off and not killed: it keeps its log, which the
		// observer reads later.
		if err := SetFaults(downWorker, map[string]any{"down": true}); err != nil {
			return nil, err
		}
		e.killInRound(round, killedNode)
		kernel.Sleep(ctx, e.randomDuration(killDelay))
	}
	planner := c.Planner(ctx, client)
	if planner == nil {
		return nil, fmt.Errorf("no entry knows a planner")
	}
	if err := submitClaims(ctx, c, client, claims); err != nil {
		return nil, err
	}
	if fault == plannerKilled {
		// The planner dies while it preempts and reserves for the claims.
		kernel.Sleep(ctx, e.randomDuration(killDelay))
		killedNode = planner
		e.killInRound(round, killedNode)
	}
	awaitClaims(ctx, obs, claims)
	if downWorker != nil {
		if err := SetFaults(downWorker, map[string]any{"down": false}); err != nil {
			return nil, err
		}
	}
	if killedNode != nil {
		if err := killedNode.Start(); err != nil {
			return nil, err
		}
	}
	if err := c.AwaitReady(ctx, readyTimeout); err != nil {
		return nil, err
	}
	for _, cl := range claims {
		if err := client.Cancel(ctx, c.Entries, cl.job.ID); err != nil {
			return nil, err
		}
	}
	return claims, awaitPoolFilled(ctx, c, client)
}

func (e *Env) killInRound(round int, n *Node) {
	n.Kill()
	e.tracef("round %d: %s killed", round, n.ID)
}

// submitClaims submits all claims at the same time.
func submitClaims(ctx context.Context, c *Cluster, client *Client, claims []*claim) error {
	errs := make([]error, len(claims))
	var wg sync.WaitGroup
	for i, cl := range claims {
		wg.Go(func() {
			cl.submitted = time.Now()
			_, errs[i] = client.Submit(ctx, c.Entries, cl.job)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitClaims waits until all tasks of all claims run, and records the start delay of each claim.
func awaitClaims(ctx context.Context, obs *Observer, claims []*claim) {
	deadline := time.Now().Add(claimStartTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		waiting := 0
		for _, cl := range claims {
			if cl.started {
				continue
			}
			lastStart, running := obs.Running(cl.job.ID)
			if running == cl.job.Shape.Tasks {
				cl.started = true
				cl.startDelay = time.UnixMilli(lastStart).Sub(cl.submitted)
				continue
			}
			cl.startDelay = time.Since(cl.submitted)
			waiting++
		}
		if waiting == 0 {
			return
		}
		kernel.Sleep(ctx, 50*time.Millisecond)
	}
}
