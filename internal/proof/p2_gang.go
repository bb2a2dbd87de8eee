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
	gangTasks = 3
	// gangRunMS is the run time of a gang. It is longer than a case, so that a
	// part that runs too long is not hidden by the end of its work.
	gangRunMS = 120_000
	// observeFault and observePlanned are the times from the beginning of a fault
	// to the end of its case; each is longer than the bound that it checks.
	observeFault   = partBound + 1500*time.Millisecond
	observePlanned = plannedBound + time.Second
	// partBound and plannedBound are the bounds of P2 for a part that runs
	// without the rest.
	partBound    = 5 * time.Second
	plannedBound = 20 * time.Second
	// gangEnd bounds the wait for a gang after its fault has ended; it is no
	// promise.
	gangEnd = 15 * time.Second
)

// gangProof checks P2: an observer reads the task logs of the workers while
// members, supervisor, planner, store and links fail during the reservation,
// the start and the run of a gang.
func gangProof() Proof {
	return Proof{
		Name: "gang-atomicity", Promise: "P2", Limit: 330 * time.Second,
		Bound: "0 starts before all reservations, part alone at most 5s, 20s in a planned restart",
		Run:   runGangProof,
	}
}

// phase says when a fault begins.
type phase int

const (
	beforeSubmission phase = iota
	atStart                // within the time in which a gang is reserved and started
	inRun
)

// gangCase is one fault in the life of a gang.
type gangCase struct {
	name    string
	when    phase
	planned bool
	// fresh asks for new processes: the planner quarantines a faulty worker for
	// minutes, and a gang needs all workers.
	fresh bool
	hold  time.Duration
	// fault chooses the fault; first is the agent of rank 0, member another one.
	fault func(c *Cluster, planner, first, member *Node) []fault
}

func gangCases() []gangCase {
	one := func(f func(c *Cluster, planner, first, member *Node) fault) func(*Cluster, *Node, *Node, *Node) []fault {
		return func(c *Cluster, planner, first, member *Node) []fault {
			return []fault{f(c, planner, first, member)}
		}
	}
	killMember := one(func(c *Cluster, _, _, m *Node) fault { return killed(c, m) })
	killFirst := one(func(c *Cluster, _, f, _ *Node) fault { return killed(c, f) })
	freezeMember := one(func(_ *Cluster, _, _, m *Node) fault { return frozen(m) })
	freezeFirst := one(func(_ *Cluster, _, f, _ *Node) fault { return frozen(f) })
	killPlanner := one(func(c *Cluster, p, _, _ *Node) fault { return killed(c, p) })
	freezePlanner := one(func(_ *Cluster, p, _, _ *Node) fault { return frozen(p) })
	isolateMember := one(func(c *Cluster, _, _, m *Node) fault { return isolated(c, m) })
	cutMembers := one(func(c *Cluster, _, f, m *Node) fault { return cutLink(c, f, m) })
	down := one(func(c *Cluster, _, _, _ *Node) fault { return storeDown(c.Store) })
	loses := one(func(c *Cluster, _, _, _ *Node) fault { return storeLoses(c.Store) })
	restart := one(func(_ *Cluster, _, _, m *Node) fault { return restarted(m) })
	restartFirst := one(func(_ *Cluster, _, f, _ *Node) fault { return restarted(f) })
	both := func(c *Cluster, p, _, m *Node) []fault { return []fault{killed(c, p), killed(c, m)} }
	worker := func(name string, on, off map[string]any) func(*Cluster, *Node, *Node, *Node) []fault {
		return one(func(c *Cluster, _, _, m *Node) fault { return switched(c.workerOf(m), name, on, off) })
	}
	failing := worker("fail tasks", map[string]any{"fail_tasks": true}, map[string]any{"fail_tasks": false})
	slow := worker("slow", map[string]any{"slow_ms": 900}, map[string]any{"slow_ms": 0})
	dead := worker("down", map[string]any{"down": true}, map[string]any{"down": false})
	loseOrders := worker("lose answers", map[string]any{"lose_next": 3}, map[string]any{"lose_next": 0})
	short, long := 400*time.Millisecond, 3500*time.Millisecond
	return []gangCase{
		{"worker fails tasks", beforeSubmission, false, true, long, failing},
		{"worker slow", beforeSubmission, false, true, long, slow},
		{"worker interface down", beforeSubmission, false, true, long, dead},
		{"worker loses answers", beforeSubmission, false, true, long, loseOrders},
		{"member frozen", beforeSubmission, false, false, long, freezeMember},
		{"store loses answers", beforeSubmission, false, false, long, loses},
		{"kill member at start", atStart, false, false, short, killMember},
		{"kill supervisor at start", atStart, false, false, short, killFirst},
		{"freeze member at start", atStart, false, false, long, freezeMember},
		{"kill planner at start", atStart, false, false, short, killPlanner},
		{"freeze planner at start", atStart, false, false, long, freezePlanner},
		{"isolate member at start", atStart, false, false, long, isolateMember},
		{"cut members at start", atStart, false, false, long, cutMembers},
		{"store down at start", atStart, false, false, long, down},
		{"kill planner and member at start", atStart, false, false, short, both},
		{"kill member in run", inRun, false, false, long, killMember},
		{"kill supervisor in run", inRun, false, false, long, killFirst},
		{"freeze member in run", inRun, false, false, long, freezeMember},
		{"freeze supervisor in run", inRun, false, false, long, freezeFirst},
		{"isolate member in run", inRun, false, false, long, isolateMember},
		{"cut members in run", inRun, false, false, long, cutMembers},
		{"restart member in run", inRun, true, false, short, restart},
		{"restart supervisor in run", inRun, true, false, short, restartFirst},
	}
}

// restarted stops a node gracefully and starts it again.
func restarted(n *Node) fault {
	return fault{"restart " + n.Name,
		func() error { _, err := n.Terminate(StopLimit); return err },
		n.Start,
	}
}

// workerOf returns the worker stand-in of an agent.
func (c *Cluster) workerOf(agent *Node) *Node {
	for _, w := range c.Workers {
		if w.ID == agent.ID {
			return w
		}
	}
	return nil
}

// gangWorst is the worst that was seen over all cases.
type gangWorst struct {
	part, planned       time.Duration
	partCase            string
	early               int
	attempts, completed int
	duplicates          int
}

func runGangProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Entries, spec.Agents, spec.PerRack, spec.Relayed, spec.Service = 2, 3, 3, true, ""
	s, err := e.launchGangs(ctx, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer func() { s.stop() }()
	var worst gangWorst
	if err := e.unreachableMember(ctx, s, &worst); err != nil {
		return Verdict{}, err
	}
	cases := gangCases()
	ran := 0
	for i, gc := range cases {
		if ctx.Err() != nil || (e.Control && worst.part > partBound) {
			break
		}
		if gc.fresh {
			s.stop()
			if s, err = e.launchGangs(ctx, spec); err != nil {
				return Verdict{Measured: worst.String()}, err
			}
		}
		if err := e.gangCase(ctx, s, gc, fmt.Sprintf("gang-%d", i), &worst); err != nil {
			return Verdict{Measured: worst.String()}, fmt.Errorf("%s: %w", gc.name, err)
		}
		ran++
	}
	pass := worst.early == 0 && worst.part <= partBound && worst.planned <= plannedBound && worst.duplicates == 0 && ran == len(cases)
	return Verdict{Pass: pass, Measured: fmt.Sprintf("%s, %d of %d cases", worst, ran, len(cases))}, nil
}

// gangSystem is a set of processes with an observer of its workers.
type gangSystem struct {
	*Cluster
	client *Client
	obs    *Observer
}

func (e *Env) launchGangs(ctx context.Context, spec Spec) (*gangSystem, error) {
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return &gangSystem{}, err
	}
	s := &gangSystem{Cluster: c, client: NewClient(OperatorToken), obs: NewObserver(c.Workers)}
	if !e.Control {
		return s, nil
	}
	for _, w := range c.Workers {
		if err := SetFaults(w, map[string]any{"ignore_leases": true, "ignore_stops": true}); err != nil {
			s.stop()
			return &gangSystem{}, err
		}
	}
	return s, nil
}

func (s *gangSystem) stop() {
	if s.Cluster != nil {
		s.obs.Stop()
		s.Cluster.Kill()
	}
}

func (w gangWorst) String() string {
	return fmt.Sprintf("%d early starts, part alone %s (%s), planned %s; %d attempts, %d gangs whole after the fault, %d ranks twice",
		w.early, w.part, w.partCase, w.planned, w.attempts, w.completed, w.duplicates)
}

func gangJob(id string) model.Job {
	return model.Job{
		ID: id, Team: "cargo", Class: model.ClassPreemptible, DeclaredMS: gangRunMS, CheckpointIntervalMS: 500,
		Shape:   model.Shape{Tasks: gangTasks, AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 16, Adjacent: model.AdjacentRack},
		Command: []string{"sleep", fmt.Sprint(gangRunMS)},
	}
}

// unreachableMember cuts one member off before the submission of a gang that
// needs every worker. No task may start while it is cut off.
func (e *Env) unreachableMember(ctx context.Context, s *gangSystem, worst *gangWorst) error {
	c, client, obs := s.Cluster, s.client, s.obs
	cut := pick(e, c.Agents)
	c.Isolate(cut, true)
	began := time.Now().UnixMilli()
	job := gangJob("unreachable")
	if _, err := client.Submit(ctx, c.Entries, job); err != nil {
		c.Isolate(cut, false)
		return err
	}
	kernel.Sleep(ctx, 4*time.Second)
	joined := time.Now().UnixMilli()
	c.Isolate(cut, false)
	if _, err := awaitRunning(ctx, c, client, job.ID); err != nil {
		return err
	}
	worst.completed++
	obs.poll()
	for _, a := range obs.Attempts(job.ID, gangTasks) {
		worst.attempts++
		if a.FirstMS >= began && a.FirstMS < joined {
			worst.early += a.Started
		}
	}
	return e.cancel(ctx, c, client, job.ID)
}

func (e *Env) gangCase(ctx context.Context, s *gangSystem, gc gangCase, id string, worst *gangWorst) error {
	c, client, obs := s.Cluster, s.client, s.obs
	if err := c.AwaitReady(ctx, readyLimit); err != nil {
		return err
	}
	planner := c.Planner(ctx, client)
	if planner == nil {
		return fmt.Errorf("no planner is known")
	}
	first, member := c.Agents[0], c.Agents[1+e.Rand.IntN(len(c.Agents)-1)]
	var active sync.WaitGroup
	inject := func() {
		e.note("case %s: first %s, member %s, planner %s", gc.name, first.ID, member.ID, planner.ID)
		for _, f := range gc.fault(c, planner, first, member) {
			active.Go(func() { e.hold(ctx, f, gc.hold) })
		}
	}
	if gc.when == beforeSubmission {
		inject()
		kernel.Sleep(ctx, 30*time.Millisecond) // the fault order takes effect first
	}
	if err := e.submitUntil(ctx, c, client, gangJob(id)); err != nil {
		return err
	}
	switch gc.when {
	case atStart:
		kernel.Sleep(ctx, e.between([2]time.Duration{0, 40 * time.Millisecond}))
		inject()
	case inRun:
		st, err := awaitRunning(ctx, c, client, id)
		if err != nil {
			return err
		}
		first, member = c.ranked(st, first, member)
		kernel.Sleep(ctx, e.between([2]time.Duration{300 * time.Millisecond, time.Second}))
		inject()
	}
	began := time.Now()
	active.Wait()
	if _, err := awaitRunning(ctx, c, client, id); err != nil {
		e.note("case %s: the gang does not run again: %v", gc.name, err)
	} else {
		worst.completed++
	}
	observe := observeFault
	if gc.planned {
		observe = observePlanned
	}
	kernel.Sleep(ctx, time.Until(began.Add(observe)))
	obs.poll()
	worst.add(gc, obs.Attempts(id, gangTasks))
	return e.cancel(ctx, c, client, id)
}

// submitUntil submits a job, again while the store loses answers.
func (e *Env) submitUntil(ctx context.Context, c *Cluster, client *Client, job model.Job) error {
	ctx, cancel := context.WithTimeout(ctx, gangEnd)
	defer cancel()
	for {
		_, err := client.Submit(ctx, c.Entries, job)
		if err == nil || ctx.Err() != nil {
			return err
		}
		kernel.Sleep(ctx, 100*time.Millisecond)
	}
}

func awaitRunning(ctx context.Context, c *Cluster, client *Client, id string) (model.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, gangEnd)
	defer cancel()
	return client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State == model.JobRunning })
}

// cancel cancels a job and waits for its end.
func (e *Env) cancel(ctx context.Context, c *Cluster, client *Client, id string) error {
	ctx, stop := context.WithTimeout(ctx, gangEnd)
	defer stop()
	if err := client.Cancel(ctx, c.Entries, id); err != nil {
		return err
	}
	_, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State.Final() })
	return err
}

// add takes the attempts of one case into account.
func (w *gangWorst) add(gc gangCase, attempts []Attempt) {
	for _, a := range attempts {
		w.attempts++
		if a.Duplicate {
			w.duplicates++
		}
		part := time.Duration(a.PartialMS) * time.Millisecond
		if gc.planned {
			w.planned = max(w.planned, part)
		} else if part > w.part {
			w.part, w.partCase = part, gc.name
		}
	}
}

// ranked returns the agents of rank 0 and of the last rank.
func (c *Cluster) ranked(st model.JobStatus, first, member *Node) (*Node, *Node) {
	for _, a := range c.Agents {
		if len(st.Workers) > 0 && a.ID == st.Workers[0] {
			first = a
		}
		if len(st.Workers) > 1 && a.ID == st.Workers[len(st.Workers)-1] {
			member = a
		}
	}
	return first, member
}
