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
	// claimRounds is the number of rounds with each fault, alternating.
	claimRounds = 4
	// claimObserve is the time for which starts are awaited; longer than the
	// bound, so that a late start is measured and not only missed.
	claimObserve = 15 * time.Second
	// holdRunMS is the run time of the preemptible jobs that hold the pool.
	holdRunMS = 600_000
)

// claimFault is what fails in a round of claims.
type claimFault string

const (
	noFault       claimFault = "without a fault"
	plannerKilled claimFault = "with the planner killed"
	// workerDied is a host that dies up to 300 ms before the claims, so that
	// nobody knows of it yet. The guarantees fill the other workers.
	workerDied claimFault = "just after a worker died"
)

var claimFaults = []claimFault{noFault, plannerKilled, workerDied}

// guaranteeProof checks P1: preemptible jobs hold the whole pool, and every team
// claims its whole guarantee at once with urgent jobs, without a fault, while
// the planner is killed, and just after a worker died. The start of the last
// task of each claim is read from the workers.
func guaranteeProof() Proof {
	return Proof{
		Name: "guarantees-claimed", Promise: "P1", Limit: 200 * time.Second,
		Bound: "every claim runs within 4.7s of its submission",
		Run:   runGuaranteeProof,
	}
}

// claimAgents is one worker more than the guarantees of claimTeams need.
const claimAgents = 7

// claimTeams are teams whose guarantees fill six of seven workers, whichever of
// them is missing.
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

// claim is one urgent job and the time from its submission to its last start.
type claim struct {
	job       model.Job
	submitted time.Time
	took      time.Duration
	started   bool
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
	if err := holdPool(ctx, c, client); err != nil {
		return Verdict{}, err
	}
	longest := make(map[claimFault]time.Duration)
	late, claims := 0, 0
	for round := range len(claimFaults) * claimRounds {
		fault := claimFaults[round%len(claimFaults)]
		list, err := e.claimRound(ctx, c, client, obs, round, fault)
		if err != nil {
			return Verdict{}, fmt.Errorf("round %d %s: %w", round, fault, err)
		}
		for _, cl := range list {
			claims++
			if !cl.started || cl.took > model.UrgentStartDeadline {
				late++
				e.note("round %d %s: claim %s of %s took %s, started %v", round, fault, cl.job.ID, cl.job.Team, cl.took, cl.started)
			}
			longest[fault] = max(longest[fault], cl.took)
		}
		if e.Control && late > 0 {
			break
		}
	}
	measured := "longest"
	for _, fault := range claimFaults {
		measured += fmt.Sprintf(" %s %s,", longest[fault].Round(time.Millisecond), fault)
	}
	return Verdict{Pass: late == 0 && claims > 0, Measured: fmt.Sprintf("%s %d of %d claims late", measured, late, claims)}, nil
}

// holdPool fills the pool with preemptible jobs of a team without a guarantee.
func holdPool(ctx context.Context, c *Cluster, client *Client) error {
	for i := range 2 * c.Spec.Agents {
		job := model.Job{
			ID: fmt.Sprintf("hold-%d", i), Team: "batch", Class: model.ClassPreemptible, DeclaredMS: holdRunMS, CheckpointIntervalMS: 1000,
			Shape:   model.Shape{Tasks: 1, AcceleratorsPerTask: 4, CoresPerTask: 8, MemoryGBPerTask: 32, Adjacent: model.AdjacentHost},
			Command: []string{"sleep", fmt.Sprint(holdRunMS)},
		}
		if _, err := client.Submit(ctx, c.Entries, job); err != nil {
			return err
		}
	}
	return awaitHeld(ctx, c, client)
}

// awaitHeld waits until all jobs that hold the pool run.
func awaitHeld(ctx context.Context, c *Cluster, client *Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for i := range 2 * c.Spec.Agents {
		id := fmt.Sprintf("hold-%d", i)
		if _, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State == model.JobRunning }); err != nil {
			return err
		}
	}
	return nil
}

// claimRound claims all guarantees at once, measures, cancels the claims and
// waits until preemptible jobs hold the pool again.
func (e *Env) claimRound(ctx context.Context, c *Cluster, client *Client, obs *Observer, round int, fault claimFault) ([]*claim, error) {
	class := model.ClassUrgent
	if e.Control {
		class = model.ClassPreemptible
	}
	var list []*claim
	for _, t := range c.Spec.Teams {
		for g, guarantee := range t.Guarantees {
			for n := range guarantee.Count {
				list = append(list, &claim{job: model.Job{
					ID: fmt.Sprintf("claim-%d-%s-%d-%d", round, t.ID, g, n), Team: t.ID, Class: class, Shape: guarantee.Shape,
					DeclaredMS: holdRunMS, Command: []string{"sleep", fmt.Sprint(holdRunMS)},
				}})
			}
		}
	}
	var dead *Node
	var worker *Node
	soon := [2]time.Duration{0, 300 * time.Millisecond}
	if fault == workerDied {
		// Another worker each time: one that is lost again is held out of use.
		dead = c.Agents[round/len(claimFaults)%len(c.Agents)]
		worker = c.workerOf(dead)
		// The stand-in keeps its log, which the observer reads later.
		if err := SetFaults(worker, map[string]any{"down": true}); err != nil {
			return nil, err
		}
		e.kill(round, dead)
		kernel.Sleep(ctx, e.between(soon))
	}
	planner := c.Planner(ctx, client)
	if planner == nil {
		return nil, fmt.Errorf("no planner is known")
	}
	if err := submitClaims(ctx, c, client, list); err != nil {
		return nil, err
	}
	if fault == plannerKilled {
		// The planner dies while it preempts and reserves for the claims.
		kernel.Sleep(ctx, e.between(soon))
		dead = planner
		e.kill(round, dead)
	}
	awaitClaims(ctx, obs, list)
	if worker != nil {
		if err := SetFaults(worker, map[string]any{"down": false}); err != nil {
			return nil, err
		}
	}
	if dead != nil {
		if err := dead.Start(); err != nil {
			return nil, err
		}
	}
	if err := c.AwaitReady(ctx, readyLimit); err != nil {
		return nil, err
	}
	for _, cl := range list {
		if err := client.Cancel(ctx, c.Entries, cl.job.ID); err != nil {
			return nil, err
		}
	}
	return list, awaitHeld(ctx, c, client)
}

func (e *Env) kill(round int, n *Node) {
	n.Kill()
	e.note("round %d: %s killed", round, n.ID)
}

// submitClaims submits all claims at the same time.
func submitClaims(ctx context.Context, c *Cluster, client *Client, list []*claim) error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, cl := range list {
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

// awaitClaims waits until every task of every claim runs, and notes the time of
// the last start.
func awaitClaims(ctx context.Context, obs *Observer, list []*claim) {
	deadline := time.Now().Add(claimObserve)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		open := 0
		for _, cl := range list {
			if cl.started {
				continue
			}
			lastStart, running := obs.Running(cl.job.ID)
			if running == cl.job.Shape.Tasks {
				cl.started = true
				cl.took = time.UnixMilli(lastStart).Sub(cl.submitted)
				continue
			}
			cl.took = time.Since(cl.submitted)
			open++
		}
		if open == 0 {
			return
		}
		kernel.Sleep(ctx, 50*time.Millisecond)
	}
}
