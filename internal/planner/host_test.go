package planner_test

import (
	"fmt"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner"
	"snipegw/internal/planner/framework"
)

var epoch = time.Unix(1_800_000_000, 0)

// harness drives a planner: it executes the decisions at once and checks them against
// its own accounting.
type harness struct {
	now          time.Time
	p            framework.Scheduler
	workers      map[string]model.Worker
	usedByWorker map[string]model.Resources
	jobs         map[string]*harnessJob
	order        []string
	log          []string
	violations   []string
	failing      map[string]bool // workers and jobs of which every start fails
	drained      map[string]bool
	// impaired is set once a worker was down, faulty or draining.
	impaired bool
}

// harnessJob is the state of a job as the harness sees it.
type harnessJob struct {
	job         model.Job
	state       model.JobState
	attempt     uint64
	workers     []string
	preemptible bool
	stopping    bool
	cancelled   bool
	started     time.Time
	kept        time.Duration
}

func newHarness(teams []model.Team, workers ...model.Worker) *harness {
	h := &harness{now: epoch, p: planner.New(model.Weights{CompletionTime: 1}), workers: map[string]model.Worker{},
		usedByWorker: map[string]model.Resources{}, jobs: map[string]*harnessJob{}, failing: map[string]bool{}, drained: map[string]bool{}}
	h.p.SetTeams(h.now, teams)
	for _, w := range workers {
		h.workers[w.ID] = w
		h.p.AddWorker(h.now, w)
	}
	h.runDecisions()
	return h
}

func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) submit(j model.Job) {
	h.jobs[j.ID] = &harnessJob{job: j, state: model.JobQueued}
	h.order = append(h.order, j.ID)
	h.p.Submit(h.now, j)
	h.runDecisions()
}

// runDecisions executes decisions until there are none.
func (h *harness) runDecisions() {
	for range 1000 {
		ds := h.p.Decide(h.now)
		if len(ds) == 0 {
			return
		}
		for _, d := range ds {
			h.apply(d)
		}
	}
	h.addViolation("Decide still returns decisions after 1000 rounds")
}

func (h *harness) apply(d framework.Decision) {
	h.log = append(h.log, fmt.Sprintf("%s %s %s %v %s", d.Kind, d.Job, d.Worker, d.Workers, d.Reason.Rule))
	if d.Reason.Sentence == "" {
		h.addViolation("decision %s for job %s has no reason", d.Kind, d.Job)
	}
	j := h.jobs[d.Job]
	switch d.Kind {
	case framework.Place:
		h.place(j, d)
	case framework.Stop:
		moved := d.Reason.Rule == "moved_to_keep_guarantees" && h.impaired ||
			d.Reason.Rule == "moved_ahead_of_failure" && h.now.Sub(j.started) >= 2*time.Minute
		if j.state != model.JobRunning || !d.Preemptible && d.Reason.Rule != "cancelled" && !moved {
			h.addViolation("job %s was stopped in state %s, or is not preemptible", d.Job, j.state)
		}
		j.stopping = true
	case framework.Refuse:
		j.state = model.JobRefused
	case framework.Fail:
		j.state = model.JobFailed
	case framework.Park:
		j.state = model.JobParked
	}
}

func (h *harness) place(j *harnessJob, d framework.Decision) {
	s := j.job.Shape
	if j.state != model.JobQueued && j.state != model.JobParked || len(d.Workers) != s.Tasks {
		h.addViolation("job %s was placed in state %s, or with the wrong number of workers: %v", j.job.ID, j.state, d.Workers)
	}
	j.state, j.attempt, j.workers, j.preemptible, j.started = model.JobRunning, d.Attempt, d.Workers, d.Preemptible, h.now
	first, ok := h.workers[d.Workers[0]]
	for _, id := range d.Workers {
		w, up := h.workers[id]
		ok = ok && up && !h.drained[id]
		switch s.Adjacent {
		case model.AdjacentHost:
			ok = ok && id == first.ID
		case model.AdjacentRack:
			ok = ok && w.Rack == first.Rack
		case model.AdjacentFailureDomain:
			ok = ok && w.FailureDomain == first.FailureDomain
		}
		h.usedByWorker[id] = h.usedByWorker[id].Add(s.PerTask())
		if !h.usedByWorker[id].Fits(w.Capacity) {
			h.addViolation("worker %s holds %v, more than its capacity", id, h.usedByWorker[id])
		}
	}
	if !ok {
		h.addViolation("job %s breaks adjacency %s, or runs on a worker out of use: %v", j.job.ID, s.Adjacent, d.Workers)
	}
	h.p.GangStarted(h.now, j.job.ID, d.Attempt)
}

// endGang ends a running gang with the given outcome and carries out the decisions that
// follow.
func (h *harness) endGang(id string, outcome framework.Outcome, blamed string) {
	j := h.jobs[id]
	for _, w := range j.workers {
		h.usedByWorker[w] = h.usedByWorker[w].Sub(j.job.Shape.PerTask())
	}
	j.workers = nil
	j.state = model.JobQueued
	if outcome == framework.OutcomeDone {
		j.state = model.JobDone
	}
	if j.cancelled {
		j.state = model.JobCancelled
	}
	j.stopping = false
	h.p.GangEnded(h.now, id, framework.AttemptEnd{Attempt: j.attempt, Outcome: outcome, BlamedWorker: blamed, PreservedRunTime: j.kept})
	h.runDecisions()
}

func (h *harness) cancel(id string) {
	j := h.jobs[id]
	if j.state.Final() {
		return
	}
	j.cancelled = true
	if j.state != model.JobRunning {
		j.state = model.JobCancelled
	}
	h.p.Cancel(h.now, id)
	h.runDecisions()
}

// settle ends every stopping gang and every start that has to fail, until neither is
// left.
func (h *harness) settle() {
	for range 200 {
		changed := false
		for _, id := range h.order {
			j := h.jobs[id]
			if j.state != model.JobRunning {
				continue
			}
			if blamed := h.failingWorker(j); blamed != "" && j.started.Equal(h.now) {
				h.now = h.now.Add(500 * time.Millisecond)
				h.endGang(id, framework.OutcomeStartFailed, blamed)
				changed = true
			} else if j.stopping {
				h.endGang(id, framework.OutcomeStopped, "")
				changed = true
			}
		}
		if !changed {
			return
		}
	}
	h.addViolation("gangs still stop or fail after 200 rounds of settle")
}

// failingWorker returns a worker on which the start of the job fails, "" if none.
func (h *harness) failingWorker(j *harnessJob) string {
	for _, w := range j.workers {
		if h.failing[w] || h.failing[j.job.ID] {
			return w
		}
	}
	return ""
}

// advance moves the clock forward, runs the timers that are due and settles.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.runDecisions()
	h.settle()
}

// down takes a worker out of the pool and ends its gangs as lost.
func (h *harness) down(id string) {
	h.impaired = true
	delete(h.workers, id)
	h.p.RemoveWorker(h.now, id)
	for _, name := range h.order {
		j := h.jobs[name]
		for _, w := range j.workers {
			if w == id {
				h.endGang(name, framework.OutcomeLost, "")
				break
			}
		}
	}
	h.runDecisions()
}

func worker(domain, rack, n int, accelerators int) model.Worker {
	return model.Worker{ID: fmt.Sprintf("w%d-%d-%d", domain, rack, n), Rack: fmt.Sprintf("r%d-%d", domain, rack),
		FailureDomain: fmt.Sprintf("d%d", domain), Region: "one",
		Capacity: model.Resources{Accelerators: accelerators, Cores: 64, MemoryGB: 256}}
}

// smallPool has racks of 3, 3, 3 and 1 workers.
func smallPool() []model.Worker {
	var out []model.Worker
	for i := range 10 {
		out = append(out, worker(i/3%3, i/3, i%3, 8))
	}
	return out
}

func shape(tasks, accelerators int, a model.Adjacency) model.Shape {
	return model.Shape{Tasks: tasks, AcceleratorsPerTask: accelerators, CoresPerTask: 2, MemoryGBPerTask: 8, Adjacent: a}
}

func newJob(id, team string, c model.Class, s model.Shape) model.Job {
	return model.Job{ID: id, Team: team, Class: c, Shape: s, DeclaredMS: 600_000, CheckpointIntervalMS: 60_000}
}
