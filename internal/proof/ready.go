package proof

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"snipegw/internal/members"
)

// Workers returns the workers that an entry knows.
func (c *Client) Workers(ctx context.Context, e *Node) ([]members.Worker, error) {
	var out struct {
		Workers []members.Worker `json:"workers"`
	}
	err := c.JSON(ctx, http.MethodGet, e.URL()+"/v1/workers", nil, &out)
	return out.Workers, err
}

// Status is the part of an entry's status that the proofs use.
type Status struct {
	Config struct {
		Version uint64 `json:"version"`
		InForce int    `json:"in_force"`
		Total   int    `json:"total"`
	} `json:"config"`
	Planner struct {
		Entry string `json:"entry"`
		Epoch uint64 `json:"epoch"`
	} `json:"planner"`
	PlannerError string `json:"planner_error"`
}

// Status returns the status of an entry.
func (c *Client) Status(ctx context.Context, e *Node) (Status, error) {
	var st Status
	err := c.JSON(ctx, http.MethodGet, e.URL()+"/v1/status", nil, &st)
	return st, err
}

// awaitReady waits until all processes run, and every entry knows a planner that answers and sees
// all workers usable (see countUsable). It returns an error if ctx ends first.
func (c *Cluster) awaitReady(ctx context.Context) error {
	client := NewClient(OperatorToken)
	defer client.http.CloseIdleConnections()
	for {
		err := c.checkReady(ctx, client)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the processes are not ready: %w (logs in %s)", err, c.Dir)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkReady returns an error that says why the cluster is not ready, nil if it is.
func (c *Cluster) checkReady(ctx context.Context, client *Client) error {
	for _, n := range c.nodes() {
		if !n.Running() {
			return fmt.Errorf("process %s has ended", n.Name)
		}
	}
	for _, e := range c.Entries {
		st, err := client.Status(ctx, e)
		if err != nil {
			return fmt.Errorf("%s: %w", e.ID, err)
		}
		if st.Planner.Entry == "" || st.PlannerError != "" {
			return fmt.Errorf("%s has no planner that answers: %s", e.ID, st.PlannerError)
		}
		workers, err := client.Workers(ctx, e)
		if err != nil {
			return fmt.Errorf("%s: %w", e.ID, err)
		}
		if n := c.countUsable(workers); n != c.Spec.Agents {
			return fmt.Errorf("%s sees %d usable workers of %d", e.ID, n, c.Spec.Agents)
		}
	}
	return nil
}

// countUsable counts the workers that are alive and whose agents are not stopping. If the cluster
// has a service, the worker must also have a backend server of it that is healthy and not leaving.
func (c *Cluster) countUsable(workers []members.Worker) int {
	n := 0
	for _, w := range workers {
		healthy := c.Spec.Service == ""
		for _, s := range w.State.Services {
			healthy = healthy || (s.Service == c.Spec.Service && s.Healthy && !s.Leaving)
		}
		if w.Health == members.Alive && healthy && !w.State.Stopping {
			n++
		}
	}
	return n
}

// AwaitReady waits until the cluster is ready, for at most timeout.
func (c *Cluster) AwaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.awaitReady(ctx)
}

// Planner returns the entry that holds the planner lease with the highest epoch that any running
// entry reports, nil if none is known.
func (c *Cluster) Planner(ctx context.Context, client *Client) *Node {
	var latest Status
	for _, e := range c.Entries {
		if !e.Running() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		st, err := client.Status(callCtx, e)
		cancel()
		if err == nil && st.Planner.Epoch > latest.Planner.Epoch {
			latest = st
		}
	}
	for _, e := range c.Entries {
		if e.ID == latest.Planner.Entry {
			return e
		}
	}
	return nil
}
