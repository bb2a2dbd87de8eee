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
	// gangRunMS is the run time of a gang in milliseconds. It is longer than a case, so that
	// a task that runs on alone for too long doesn't end by itself before it is noticed.
	gangRunMS = 120_000
	// faultObservation and plannedObservation are the times from the start of a fault to the
	// end of its case. Each is longer than the bound that the case checks.
	faultObservation   = partialBound + 1500*time.Millisecond
	plannedObservation = plannedBound + time.Second
	// partialBound and plannedBound are the bounds of P2 for the time during which only some
	// tasks of a gang run, after a fault and in a planned restart.
	partialBound = 5 * time.Second
	plannedBound = 20 * time.Second
	// gangStateTimeout bounds each wait for the submission or a state of a gang, also after its
	// fault has ended. It is not a required property.
	gangStateTimeout = 15 * time.Second
)

// gangProof checks P2. Members, supervisor, planner, store and links fail during the reservation,
// the start and the run of a gang, and an observer reads the task logs of the workers.
func gangProof() Proof {
	return Proof{
		Name: "gang-atomicity", Property: "P2", Timeout: 330 * time.Second,
		Bound: "0 starts before all reservations, part alone at most 5s, 20s in a planned restart",
		Run:   runGangProof,
	}
}

// faultPhase says in which phase of a gang a fault starts.
type faultPhase int

const (
	beforeSubmission faultPhase = iota
	atStart                     // while the gang is reserved and started
	inRun
)

// gangCase is one case of the proof: faults in one phase of a gang. planned marks a planned
// restart, which has a bound of its own.
type gangCase struct {
	name    string
	phase   faultPhase
	planned bool
	// newCluster starts the case on new processes: the planner quarantines a faulty worker for
	// minutes, and a gang needs all workers.
	newCluster bool
	duration   time.Duration
	// faults returns the faults of the case. supervisor is the agent of rank 0, which supervises
	// the gang; member is another agent.
	faults func(c *Cluster, planner, supervisor, member *Node) []fault
}

func gangCases() []gangCase {
	// oneFault makes the faults function of a case with a single fault.
	oneFault := func(f func(c *Cluster, planner, supervisor, member *Node) fault) func(*Cluster, *Node, *Node, *Node) []fault {
		return func(c *Cluster, planner, supervisor, member *Node) []fault {
			return []fault{f(c, planner, supervisor, member)}
		}
	}
	killMember := oneFault(func(c *Cluster, _, _, m *Node) fault { return killFault(c, m) })
	killSupervisor := oneFault(func(c *Cluster, _, s, _ *Node) fault { return killFault(c, s) })
	freezeMember := oneFault(func(_ *Cluster, _, _, m *Node) fault { return freezeFault(m) })
	freezeSupervisor := oneFault(func(_ *Cluster, _, s, _ *Node) fault { return freezeFault(s) })
	killPlanner := oneFault(func(c *Cluster, p, _, _ *Node) fault { return killFault(c, p) })
	freezePlanner := oneFault(func(_ *Cluster, p, _, _ *Node) fault { return freezeFault(p) })
	isolateMember := oneFault(func(c *Cluster, _, _, m *Node) fault { return isolationFault(c, m) })
	cutMembers := oneFault(func(c *Cluster, _, s, m *Node) fault { return linkCutFault(c, s, m) })
	storeDown := oneFault(func(c *Cluster, _, _, _ *Node) fault { return storeDownFault(c.Store) })
	storeLosesAnswers := oneFault(func(c *Cluster, _, _, _ *Node) fault { return storeLosesAnswersFault(c.Store) })
	restartMember := oneFault(func(_ *Cluster, _, _, m *Node) fault { return restartFault(m) })
	restartSupervisor := oneFault(func(_ *Cluster, _, s, _ *Node) fault { return restartFault(s) })
	killPlannerAndMember := func(c *Cluster, p, _, m *Node) []fault { return []fault{killFault(c, p), killFault(c, m)} }
	workerFault := func(name string, begin, end map[string]any) func(*Cluster, *Node, *Node, *Node) []fault {
		return oneFault(func(c *Cluster, _, _, m *Node) fault { return standinFault(c.workerStandin(m), name, begin, end) })
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

// workerStandin returns the stand-in of the worker that belongs to an agent.
func (c *Cluster) workerStandin(agent *Node) *Node {
	for _, w := range c.Workers {
		if w.ID == agent.ID {
			return w
		}
	}
	return nil
}

// gangResults holds counts and the longest times during which only some tasks of a gang ran, over
// all cases: partial after a fault, planned in a planned restart.
type gangResults struct {
	partial, planned time.Duration
	partialCase      string
	earlyStarts      int
	// completed counts the cases in which the whole gang ran after the fault.
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

// gangCluster is a cluster with an observer of its workers.
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

func (r gangResults) String() string {
	return fmt.Sprintf("%d early starts, part alone %s (%s), planned %s; %d attempts, %d gangs whole after the fault, %d ranks twice",
		r.earlyStarts, r.partial, r.partialCase, r.planned, r.attempts, r.completed, r.duplicateRanks)
}

func gangJob(id string) model.Job {
	return model.Job{
		ID: id, Team: "cargo", Class: model.ClassPreemptible, DeclaredMS: gangRunMS, CheckpointIntervalMS: 500,
		Shape:   model.Shape{Tasks: gangTasks, AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 16, Adjacent: model.AdjacentRack},
		Command: []string{"sleep", fmt.Sprint(gangRunMS)},
	}
}

// runUnreachableMemberCase isolates one agent before the submission of a gang that needs every
// worker. No task may start while the agent is isolated.
func (e *Env) runUnreachableMemberCase(ctx context.Context, s *gangCluster, results *gangResults) error {
	c, client, obs := s.Cluster, s.client, s.obs
	isolated := pickRandom(e, c.Agents)
	c.SetIsolated(isolated, true)
	beganMS := time.Now().UnixMilli()
	job := gangJob("unreachable")
	if _, err := client.Submit(ctx, c.Entries, job); err != nil {
		c.SetIsolated(isolated, false)
		return err
	}
	kernel.Sleep(ctx, 4*time.Second)
	rejoinedMS := time.Now().UnixMilli()
	c.SetIsolated(isolated, false)
	if _, err := awaitRunning(ctx, c, client, job.ID); err != nil {
		return err
	}
	results.completed++
	obs.poll()
	for _, a := range obs.Attempts(job.ID, gangTasks) {
		results.attempts++
		if a.FirstStartMS >= beganMS && a.FirstStartMS < rejoinedMS {
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
		return fmt.Errorf("no entry knows a planner")
	}
	supervisor, member := c.Agents[0], c.Agents[1+e.Rand.IntN(len(c.Agents)-1)]
	var active sync.WaitGroup
	inject := func() {
		e.tracef("case %s: supervisor %s, member %s, planner %s", gc.name, supervisor.ID, member.ID, planner.ID)
		for _, f := range gc.faults(c, planner, supervisor, member) {
			active.Go(func() { e.runFault(ctx, f, gc.duration) })
		}
	}
	if gc.phase == beforeSubmission {
		inject()
		kernel.Sleep(ctx, 30*time.Millisecond) // the fault takes effect before the submission
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
		e.tracef("case %s: the gang is not running again after the fault: %v", gc.name, err)
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

// submitWithRetries submits a job and retries failed submissions, for example while the store
// loses answers.
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

// cancelJob cancels a job and waits until it has ended.
func (e *Env) cancelJob(ctx context.Context, c *Cluster, client *Client, id string) error {
	ctx, stop := context.WithTimeout(ctx, gangStateTimeout)
	defer stop()
	if err := client.Cancel(ctx, c.Entries, id); err != nil {
		return err
	}
	_, err := client.AwaitJob(ctx, c.Entries, id, func(st model.JobStatus) bool { return st.State.Final() })
	return err
}

// add adds the attempts of one case.
func (r *gangResults) add(gc gangCase, attempts []Attempt) {
	for _, a := range attempts {
		r.attempts++
		if a.DuplicateRank {
			r.duplicateRanks++
		}
		partial := time.Duration(a.PartialMS) * time.Millisecond
		if gc.planned {
			r.planned = max(r.planned, partial)
		} else if partial > r.partial {
			r.partial, r.partialCase = partial, gc.name
		}
	}
}

// firstAndLastRank returns the agents that run rank 0 and the last rank of a job. An agent that
// isn't found stays as given.
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
