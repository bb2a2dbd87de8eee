package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipegw/internal/model"
)

const (
	// claimRounds is the number of claims without a fault and as many with the
	// planner killed, alternating.
	claimRounds = 4
	// claimObserve is the time for which starts are awaited; longer than the
	// bound, so that a late start is measured and not only missed.
	claimObserve = 15 * time.Second
	// holdRunMS is the run time of the preemptible jobs that hold the pool.
	holdRunMS = 600_000
)

// guaranteeProof checks P1: preemptible jobs hold the whole pool, and every team
// claims its whole guarantee at once with urgent jobs, in every other round
// while the planner is killed. The start of the last task of each claim is read
// from the workers.
func guaranteeProof() Proof {
	return Proof{
		Name: "guarantees-claimed", Promise: "P1", Limit: 200 * time.Second,
		Bound: "every claim runs within 4.7s of its submission",
		Run:   runGuaranteeProof,
	}
}

// claimTeams are teams whose guarantees fill two racks of three workers.
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
	spec.Entries, spec.Agents, spec.Service, spec.Teams = 3, 6, "", claimTeams()
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
	var calm, killed time.Duration
	late, claims := 0, 0
	for round := range 2 * claimRounds {
		kill := round%2 == 1
		list, err := e.claimRound(ctx, c, client, obs, round, kill)
		if err != nil {
			return Verdict{}, fmt.Errorf("round %d: %w", round, err)
		}
		for _, cl := range list {
			claims++
			if !cl.started || cl.took > model.UrgentStart {
				late++
				e.note("round %d: claim %s of %s took %s, started %v", round, cl.job.ID, cl.job.Team, cl.took, cl.started)
			}
			if kill {
				killed = max(killed, cl.took)
			} else {
				calm = max(calm, cl.took)
			}
		}
		if e.Control && late > 0 {
			break
		}
	}
	measured := fmt.Sprintf("longest %s, with the planner killed %s, %d of %d claims late", calm.Round(time.Millisecond), killed.Round(time.Millisecond), late, claims)
	return Verdict{Pass: late == 0 && claims > 0, Measured: measured}, nil
}

// holdPool fills the pool with preemptible jobs of a team without a guarantee.
func holdPool(ctx context.Context, c *Cluster, client *Client) error {
	for i := range 2 * c.Spec.Agents {
		job := model.Job{
			ID: fmt.Sprintf("hold-%d", i), Team: "batch", Class: model.ClassPreemptible, DeclaredMS: holdRunMS, CheckpointMS: 1000,
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
func (e *Env) claimRound(ctx context.Context, c *Cluster, client *Client, obs *Observer, round int, kill bool) ([]*claim, error) {
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
	planner := c.Planner(ctx, client)
	if planner == nil {
		return nil, fmt.Errorf("no planner is known")
	}
	if err := submitClaims(ctx, c, client, list); err != nil {
		return nil, err
	}
	if kill {
		// The planner dies while it preempts and reserves for the claims.
		sleep(ctx, e.between([2]time.Duration{0, 300 * time.Millisecond}))
		planner.Kill()
		e.note("round %d: planner %s killed", round, planner.ID)
	}
	awaitClaims(ctx, obs, list)
	if kill {
		if err := planner.Start(); err != nil {
			return nil, err
		}
		if err := c.AwaitReady(ctx, readyLimit); err != nil {
			return nil, err
		}
	}
	for _, cl := range list {
		if err := client.Cancel(ctx, c.Entries, cl.job.ID); err != nil {
			return nil, err
		}
	}
	return list, awaitHeld(ctx, c, client)
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
		sleep(ctx, 50*time.Millisecond)
	}
}
