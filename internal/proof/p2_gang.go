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
	// faultObservation and plannedObservation are the times from the beginning of a fault
	// to the end of its case; each is longer than the bound that it checks.
	faultObservation   = partialBound + 1500*time.Millisecond
	plannedObservation = plannedBound + time.Second
	// partialBound and plannedBound are the bounds of P2 for a part that runs
	// without the rest.
	partialBound = 5 * time.Second
	plannedBound = 20 * time.Second
	// gangStateTimeout bounds the wait for a gang after its fault has ended; it is no
	// promise.
	gangStateTimeout = 15 * time.Second
)

// gangProof checks P2: an observer reads the task logs of the workers while
// members, supervisor, planner, store and links fail during the reservation,
// the start and the run of a gang.
func gangProof() Proof {
	return Proof{
		Name: "gang-atomicity", Property: "P2", Timeout: 330 * time.Second,
		Bound: "0 starts before all reservations, part alone at most 5s, 20s in a planned restart",
		Run:   runGangProof,
	}
}

// faultPhase says when a fault begins.
type faultPhase int

const (
	beforeSubmission faultPhase = iota
	atStart                     // within the time in which a gang is reserved and started
	inRun
)

// runGangCase is one fault in the life of a gang.
type gangCase struct {
	name    string
	phase   faultPhase
	planned bool
	// newCluster asks for new processes: the planner quarantines a faulty worker for
	// minutes, and a gang needs all workers.
	newCluster bool
	duration   time.Duration
	// faults chooses the fault; first is the agent of rank 0, member another one.
	faults func(c *Cluster, planner, first, member *Node) []fault
}

func gangCases() []gangCase {
	single := func(f func(c *Cluster, planner, first, member *Node) fault) func(*Cluster, *Node, *Node, *Node) []fault {
		return func(c *Cluster, planner, first, member *Node) []fault {
			return []fault{f(c, planner, first, member)}
		}
	}
	killMember := single(func(c *Cluster, _, _, m *Node) fault { return killFault(c, m) })
	killSupervisor := single(func(c *Cluster, _, f, _ *Node) fault { return killFault(c, f) })
	freezeMember := single(func(_ *Cluster, _, _, m *Node) fault { return freezeFault(m) })
	freezeSupervisor := single(func(_ *Cluster, _, f, _ *Node) fault { return freezeFault(f) })
	killPlanner := single(func(c *Cluster, p, _, _ *Node) fault { return killFault(c, p) })
	freezePlanner := single(func(_ *Cluster, p, _, _ *Node) fault { return freezeFault(p) })
	isolateMember := single(func(c *Cluster, _, _, m *Node) fault { return isolationFault(c, m) })
	cutMembers := single(func(c *Cluster, _, f, m *Node) fault { return linkCutFault(c, f, m) })
	storeDown := single(func(c *Cluster, _, _, _ *Node) fault { return storeDownFault(c.Store) })
	storeLosesAnswers := single(func(c *Cluster, _, _, _ *Node) fault { return storeLosesAnswersFault(c.Store) })
	restartMember := single(func(_ *Cluster, _, _, m *Node) fault { return restartFault(m) })
	restartSupervisor := single(func(_ *Cluster, _, f, _ *Node) fault { return restartFault(f) })
	killPlannerAndMember := func(c *Cluster, p, _, m *Node) []fault { return []fault{killFault(c, p), killFault(c, m)} }
	workerFault := func(name string, on, off map[string]any) func(*Cluster, *Node, *Node, *Node) []fault {
		return single(func(c *Cluster, _, _, m *Node) fault { return standinFault(c.workerStandin(m), name, on, off) })
	}
	workerFailsTasks := workerFault("fail tasks", map[string]any{"fail_tasks": true}, map[string]any{"fail_tasks": false})
	workerSlow := workerFault("slow", map[string]any{"slow_ms": 900}, map[string]any{"slow_ms": 0})
	workerDown := workerFault("down", map[string]any{"down": true}, map[string]any{"down": false})
	workerLosesAnswers := workerFault("lose answers", map[string]any{"lose_next": 3}, map[string]any{"lose_next": 0})
	short, long := 400*time.Millisecond, 3500*time.Millisecond
	return []gangCase{
		{"worker fails tasks", beforeSubmission, false, true, long, workerFailsTasks},
		{"worker slow", beforeSubmission, false, true, long, workerSlow},
		{"worker interface down", beforeSubmission, false, true, long, workerDown},
		{"worker loses answers", beforeSubmission, false, true, long, workerLosesAnswers},
		{"member frozen", beforeSubmission, false, false, long, freezeMember},
		{"store loses answers", beforeSubmission, false, false, long, storeLosesAnswers},
		{"kill member at start", atStart, false, false, short, killMember},
		{"kill supervisor at start", atStart, false, false, short, killSupervisor},
		{"freeze member at start", atStart, false, false, long, freezeMember},
		{"kill planner at start", atStart, false, false, short, killPlanner},
		{"freeze planner at start", atStart, false, false, long, freezePlanner},
		{"isolate member at start", atStart, false, false, long, isolateMember},
		{"cut members at start", atStart, false, false, long, cutMembers},
		{"store down at start", atStart, false, false, long, storeDown},
		{"kill planner and member at start", atStart, false, false, short, killPlannerAndMember},
		{"kill member in run", inRun, false, false, long, killMember},
		{"kill supervisor in run", inRun, false, false, long, killSupervisor},
		{"freeze member in run", inRun, false, false, long, freezeMember},
		{"freeze supervisor in run", inRun, false, false, long, freezeSupervisor},
		{"isolate member in run", inRun, false, false, long, isolateMember},
		{"cut members in run", inRun, false, false, long, cutMembers},
		{"restart member in run", inRun, true, false, short, restartMember},
		{"restart supervisor in run", inRun, true, false, short, restartSupervisor},
	}
}

// restartFault stops a node gracefully and starts it again.
func restartFault(n *Node) fault {
	return fault{"restart " + n.Name,
		func() error { _, err := n.Terminate(StopTimeout); return err },
		n.Start,
	}
}

// workerStandin returns the worker stand-in of an agent.
func (c *Cluster) workerStandin(agent *Node) *Node {
	for _, w := range c.Workers {
		if w.ID == agent.ID {
			return w
		}
	}
	return nil
}

// gangResults is the worst that was seen over all cases.
type gangResults struct {
	partial, planned    time.Duration
	partialCase         string
	earlyStarts         int
	attempts, completed int
	duplicateRanks      int
}

func runGangProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Entries, spec.Agents, spec.PerRack, spec.Relayed, spec.Service = 2, 3, 3, true, ""
	s, err := e.launchGangCluster(ctx, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer func() { s.stop() }()
	var results gangResults
	if err := e.runUnreachableMemberCase(ctx, s, &results); err != nil {
		return Verdict{}, err
	}
	cases := gangCases()
	ran := 0
	for i, gc := range cases {
		if ctx.Err() != nil || (e.Control && results.partial > partialBound) {
			break
		}
		if gc.newCluster {
			s.stop()
			if s, err = e.launchGangCluster(ctx, spec); err != nil {
				return Verdict{Measured: results.String()}, err
			}
		}
		if err := e.runGangCase(ctx, s, gc, fmt.Sprintf("gang-%d", i), &results); err != nil {
			return Verdict{Measured: results.String()}, fmt.Errorf("%s: %w", gc.name, err)
		}
		ran++
	}
	pass := results.earlyStarts == 0 && results.partial <= partialBound && results.planned <= plannedBound && results.duplicateRanks == 0 && ran == len(cases)
	return Verdict{Pass: pass, Measured: fmt.Sprintf("%s, %d of %d cases", results, ran, len(cases))}, nil
}

// gangCluster is a set of processes with an observer of its workers.
type gangCluster struct {
	*Cluster
	client *Client
	obs    *Observer
}

func (e *Env) launchGangCluster(ctx context.Context, spec Spec) (*gangCluster, error) {
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return &gangCluster{}, err
	}
	s := &gangCluster{Cluster: c, client: NewClient(OperatorToken), obs: NewObserver(c.Workers)}
	if !e.Control {
		return s, nil
	}
	for _, w := range c.Workers {
		if err := SetFaults(w, map[string]any{"ignore_leases": true, "ignore_stops": true}); err != nil {
			s.stop()
			return &gangCluster{}, err
		}
	}
	return s, nil
}

func (s *gangCluster) stop() {
	if s.Cluster != nil {
		s.obs.Stop()
		s.Cluster.Kill()
	}
}

func (w gangResults) String() string {
	return fmt.Sprintf("%d early starts, part alone %s (%s), planned %s; %d attempts, %d gangs whole after the fault, %d ranks twice",
		w.earlyStarts, w.partial, w.partialCase, w.planned, w.attempts, w.completed, w.duplicateRanks)
}

func gangJob(id string) model.Job {
	return model.Job{
		ID: id, Team: "cargo", Class: model.ClassPreemptible, DeclaredMS: gangRunMS, CheckpointMS: 500,
		Shape:   model.Shape{Tasks: gangTasks, AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 16, Adjacent: model.AdjacentRack},
		Command: []string{"sleep", fmt.Sprint(gangRunMS)},
	}
}

// runUnreachableMemberCase cuts one member off before the submission of a gang that
// needs every worker. No task may start while it is cut off.
func (e *Env) runUnreachableMemberCase(ctx context.Context, s *gangCluster, results *gangResults) error {
	c, client, obs := s.Cluster, s.client, s.obs
	cut := pickRandom(e, c.Agents)
	c.SetIsolated(cut, true)
	began := time.Now().UnixMilli()
	job := gangJob("unreachable")
	if _, err := client.Submit(ctx, c.Entries, job); err != nil {
		c.SetIsolated(cut, false)
		return err
	}
	kernel.Sleep(ctx, 4*time.Second)
	rejoined := time.Now().UnixMilli()
	c.SetIsolated(cut, false)
	if _, err := awaitRunning(ctx, c, client, job.ID); err != nil {
		return err
	}
	results.completed++
	obs.poll()
	for _, a := range obs.Attempts(job.ID, gangTasks) {
		results.attempts++
		if a.FirstStartMS >= began && a.FirstStartMS < rejoined {
			results.earlyStarts += a.Started
		}
	}
	return e.cancelJob(ctx, c, client, job.ID)
}

func (e *Env) runGangCase(ctx context.Context, s *gangCluster, gc gangCase, id string, results *gangResults) error {
	c, client, obs := s.Cluster, s.client, s.obs
	if err := c.AwaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	planner := c.Planner(ctx, client)
	if planner == nil {
		return fmt.Errorf("no planner is known")
	}
	supervisor, member := c.Agents[0], c.Agents[1+e.Rand.IntN(len(c.Agents)-1)]
	var active sync.WaitGroup
	inject := func() {
		e.tracef("case %s: first %s, member %s, planner %s", gc.name, supervisor.ID, member.ID, planner.ID)
		for _, f := range gc.faults(c, planner, supervisor, member) {
			active.Go(func() { e.runFault(ctx, f, gc.duration) })
		}
	}
	if gc.phase == beforeSubmission {
		inject()
		kernel.Sleep(ctx, 30*time.Millisecond) // the fault order takes effect first
	}
	if err := e.submitWithRetries(ctx, c, client, gangJob(id)); err != nil {
		return err
	}
	switch gc.phase {
	case atStart:
		kernel.Sleep(ctx, e.randomDuration([2]time.Duration{0, 40 * time.Millisecond}))
		inject()
	case inRun:
		st, err := awaitRunning(ctx, c, client, id)
		if err != nil {
			return err
		}
		supervisor, member = c.firstAndLastRank(st, supervisor, member)
		kernel.Sleep(ctx, e.randomDuration([2]time.Duration{300 * time.Millisecond, time.Second}))
		inject()
	}
	began := time.Now()
	active.Wait()
	if _, err := awaitRunning(ctx, c, client, id); err != nil {
		e.tracef("case %s: the gang does not run again: %v", gc.name, err)
	} else {
		results.completed++
	}
	observation := faultObservation
	if gc.planned {
		observation = plannedObservation
	}
	kernel.Sleep(ctx, time.Until(began.Add(observation)))
	obs.poll()
	results.add(gc, obs.Attempts(id, gangTasks))
	return e.cancelJob(ctx, c, client, id)
}

// submitWithRetries submits a job, again while the store loses answers.
func (e *Env) submitWithRetries(ctx context.Context, c *Cluster, client *Client, job model.Job) error {
	ctx, cancel := context.WithTimeout(ctx, gangStateTimeout)
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
	ctx, cancel := context.WithTimeout(ctx, gangStateTimeout)
	defer cancel()
	return client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State == model.JobRunning })
}

// cancelJob cancels a job and waits for its end.
func (e *Env) cancelJob(ctx context.Context, c *Cluster, client *Client, id string) error {
	ctx, stop := context.WithTimeout(ctx, gangStateTimeout)
	defer stop()
	if err := client.Cancel(ctx, c.Entries, id); err != nil {
		return err
	}
	_, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State.Final() })
	return err
}

// add takes the attempts of one case into account.
func (w *gangResults) add(gc gangCase, attempts []Attempt) {
	for _, a := range attempts {
		w.attempts++
		if a.DuplicateRank {
			w.duplicateRanks++
		}
		partial := time.Duration(a.PartialMS) * time.Millisecond
		if gc.planned {
			w.planned = max(w.planned, partial)
		} else if partial > w.partial {
			w.partial, w.partialCase = partial, gc.name
		}
	}
}

// firstAndLastRank returns the agents of rank 0 and of the last rank.
func (c *Cluster) firstAndLastRank(st model.JobStatus, supervisor, member *Node) (*Node, *Node) {
	for _, a := range c.Agents {
		if len(st.Workers) > 0 && a.ID == st.Workers[0] {
			supervisor = a
		}
		if len(st.Workers) > 1 && a.ID == st.Workers[len(st.Workers)-1] {
			member = a
		}
	}
	return supervisor, member
}
