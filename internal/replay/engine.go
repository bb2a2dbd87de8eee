package replay

import (
	"container/heap"
	"fmt"
	"runtime"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

const (
	// failAfter is the time after which a task fails that cannot run.
	failAfter = 500 * time.Millisecond
	// maxGrace is the longest time that a stopped gang stays.
	maxGrace = time.Second
	// drainLimit bounds the replay after the last event of the trace.
	drainLimit = 14 * 24 * time.Hour
	// maxRounds bounds the calls of Decide at one instant.
	maxRounds = 10_000
	// memorySampleSteps is the number of steps between two samples of the heap.
	memorySampleSteps = 200
)

// jobRun is the engine's record of a job.
type jobRun struct {
	event      Event
	state      model.JobState
	attempt    uint64
	ranks      []int
	started    time.Time
	kept       time.Duration
	cancelled  bool
	nonPreempt bool
	endedAt    time.Time
}

// timer is a future event of the engine.
type timer struct {
	at      time.Time
	seq     int
	job     string
	attempt uint64
	outcome framework.Outcome
	blamed  string
}

type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(a, b int) bool {
	if !h[a].at.Equal(h[b].at) {
		return h[a].at.Before(h[b].at)
	}
	return h[a].seq < h[b].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// Engine replays one trace with one policy.
type Engine struct {
	trace   *Trace
	sched   framework.Scheduler
	pool    *pool
	jobs    map[string]*jobRun
	order   []string
	faulty  map[int]bool
	timers  timerHeap
	seq     int
	now     time.Time
	check   *checker
	measure *measures
}

// epoch is the start of every replay.
var epoch = time.Unix(0, 0).UTC()

func at(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Run replays trace with sched and returns the measures and the outcomes.
func Run(trace *Trace, sched framework.Scheduler, weights model.Weights) *Result {
	e := &Engine{
		trace:  trace,
		sched:  sched,
		pool:   newPool(trace.Workers),
		jobs:   make(map[string]*jobRun),
		faulty: make(map[int]bool),
		now:    epoch,
	}
	e.check = newChecker(trace)
	e.measure = newMeasures()
	sched.SetWeights(weights)
	sched.SetTeams(epoch, trace.Teams)
	for _, w := range trace.Workers {
		sched.AddWorker(epoch, w)
	}
	e.run()
	return e.report()
}

func (e *Engine) run() {
	next := 0
	var last time.Time
	for {
		t, ok := e.nextTime(next)
		if !ok || (next >= len(e.trace.Events) && (e.allFinal() || t.Sub(last) > drainLimit)) {
			return
		}
		e.advance(t)
		for next < len(e.trace.Events) && !at(e.trace.Events[next].T).After(t) {
			e.apply(e.trace.Events[next])
			last = t
			next++
		}
		for len(e.timers) > 0 && !e.timers[0].at.After(t) {
			e.fire(heap.Pop(&e.timers).(timer))
		}
		e.decide()
		e.check.instant(t)
	}
}

// nextTime returns the time of the next event, timer or wake of the policy.
func (e *Engine) nextTime(next int) (time.Time, bool) {
	var t time.Time
	earlier := func(c time.Time) {
		if t.IsZero() || c.Before(t) {
			t = c
		}
	}
	if next < len(e.trace.Events) {
		earlier(at(e.trace.Events[next].T))
	}
	if len(e.timers) > 0 {
		earlier(e.timers[0].at)
	}
	if wake := e.sched.NextWake(); !wake.IsZero() {
		if !wake.After(e.now) {
			wake = e.now.Add(time.Millisecond)
		}
		earlier(wake)
	}
	return t, !t.IsZero()
}

// advance moves the clock and accounts for the time that has passed.
func (e *Engine) advance(t time.Time) {
	if t.After(e.now) {
		e.measure.interval(e, t.Sub(e.now))
		e.now = t
	}
}

func (e *Engine) allFinal() bool {
	for _, id := range e.order {
		if !e.jobs[id].state.Final() {
			return false
		}
	}
	return true
}

func (e *Engine) timed(f func()) {
	begin := time.Now()
	f()
	e.measure.decision(time.Since(begin))
	if e.measure.steps%memorySampleSteps == 0 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		e.measure.peakHeap = max(e.measure.peakHeap, m.HeapAlloc)
	}
}

func (e *Engine) apply(ev Event) {
	switch ev.Op {
	case OpSubmit:
		e.submit(ev)
	case OpCancel:
		e.cancel(ev.Job)
	case OpWorkerDown:
		e.workerDown(e.pool.index[ev.Worker])
	case OpWorkerUp:
		w := e.pool.index[ev.Worker]
		e.pool.up[w] = true
		e.check.workerUp(w)
		e.timed(func() { e.sched.AddWorker(e.now, e.trace.Workers[w]) })
	case OpWorkerFaulty:
		e.faulty[e.pool.index[ev.Worker]] = true
		e.check.workerFaulty(e.pool.index[ev.Worker], e.now)
	case OpWorkerHealthy:
		delete(e.faulty, e.pool.index[ev.Worker])
		e.check.workerHealthy(e.pool.index[ev.Worker], e.now)
	}
}

func (e *Engine) submit(ev Event) {
	e.jobs[ev.Job] = &jobRun{event: ev, state: model.JobQueued}
	e.order = append(e.order, ev.Job)
	e.check.submitted(ev, e.now)
	e.timed(func() { e.sched.Submit(e.now, toJob(ev)) })
}

func toJob(ev Event) model.Job {
	return model.Job{
		ID: ev.Job, Team: ev.Team, Class: ev.Class, Shape: ev.Shape,
		DeclaredMS: ev.DeclaredMS, CheckpointIntervalMS: ev.CheckpointMS, SubmittedMS: ev.T,
	}
}

func (e *Engine) cancel(id string) {
	j := e.jobs[id]
	if j.state.Final() {
		return
	}
	j.cancelled = true
	e.check.cancelled(id)
	e.timed(func() { e.sched.Cancel(e.now, id) })
	if j.state == model.JobQueued {
		e.finish(j, model.JobCancelled)
	}
}

func (e *Engine) workerDown(w int) {
	e.pool.up[w] = false
	e.check.workerDown(w)
	e.timed(func() { e.sched.RemoveWorker(e.now, e.trace.Workers[w].ID) })
	for _, id := range e.order {
		j := e.jobs[id]
		if j.runs() && contains(j.ranks, w) {
			e.end(id, framework.AttemptEnd{Attempt: j.attempt, Outcome: framework.OutcomeLost, BlamedWorker: e.trace.Workers[w].ID})
		}
	}
}

func (j *jobRun) runs() bool { return j.state == model.JobRunning || j.state == model.JobStopping }

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

func (e *Engine) fire(t timer) {
	j := e.jobs[t.job]
	if !j.runs() || j.attempt != t.attempt {
		return
	}
	e.end(t.job, framework.AttemptEnd{Attempt: t.attempt, Outcome: t.outcome, BlamedWorker: t.blamed})
}

// end ends the running attempt of a job and tells the policy.
func (e *Engine) end(id string, end framework.AttemptEnd) {
	j := e.jobs[id]
	ran := e.now.Sub(j.started)
	total := j.kept + ran
	lost := ran
	if end.Outcome == framework.OutcomeDone {
		lost = 0
	} else if cp := time.Duration(j.event.CheckpointMS) * time.Millisecond; cp > 0 && end.Outcome != framework.OutcomeStartFailed {
		kept := max(total/cp*cp, j.kept)
		lost = total - kept
		j.kept = kept
	}
	e.measure.work(j, ran, lost, end.Outcome)
	give(e.pool.free, j.event.PerTask(), j.ranks)
	e.check.ended(id, end, e.now)
	j.state = model.JobQueued
	j.ranks = nil
	end.PreservedRunTime = j.kept
	if end.Outcome == framework.OutcomeDone {
		e.finish(j, model.JobDone)
	} else if j.cancelled {
		e.finish(j, model.JobCancelled)
	}
	e.timed(func() { e.sched.GangEnded(e.now, id, end) })
}

func (e *Engine) finish(j *jobRun, state model.JobState) {
	j.state = state
	j.endedAt = e.now
	e.check.finished(j.event.Job, state)
}

func (e *Engine) decide() {
	for range maxRounds {
		var decisions []framework.Decision
		e.timed(func() { decisions = e.sched.Decide(e.now) })
		if len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			e.carryOut(d)
		}
	}
	e.check.violation(e.now, "", fmt.Sprintf("the policy did not settle within %d rounds", maxRounds))
}

func (e *Engine) carryOut(d framework.Decision) {
	switch d.Kind {
	case framework.Quarantine, framework.Probe:
		e.check.quarantine(e.pool.index[d.Worker], d.Kind == framework.Quarantine, e.now)
		return
	}
	j, ok := e.jobs[d.Job]
	if !ok {
		e.check.violation(e.now, d.Job, "decision on an unknown job")
		return
	}
	switch d.Kind {
	case framework.Place:
		e.place(j, d)
	case framework.Stop:
		e.stop(j, d)
	case framework.Refuse:
		e.finish(j, model.JobRefused)
	case framework.Fail:
		e.finish(j, model.JobFailed)
	}
}

func (e *Engine) place(j *jobRun, d framework.Decision) {
	if j.state != model.JobQueued {
		e.check.violation(e.now, d.Job, "placed while it is "+string(j.state))
		return
	}
	ranks := make([]int, 0, len(d.Workers))
	for _, id := range d.Workers {
		w, ok := e.pool.index[id]
		if !ok {
			e.check.violation(e.now, d.Job, "placed on an unknown worker")
			return
		}
		ranks = append(ranks, w)
	}
	j.state, j.attempt, j.ranks, j.started = model.JobRunning, d.Attempt, ranks, e.now
	j.nonPreempt = !d.Preemptible
	take(e.pool.free, j.event.PerTask(), ranks)
	e.check.placed(d.Job, ranks, j.nonPreempt, e.now)
	e.schedule(j)
	e.timed(func() { e.sched.GangStarted(e.now, d.Job, d.Attempt) })
}

// schedule plans the end of the attempt that begins now.
func (e *Engine) schedule(j *jobRun) {
	t := timer{job: j.event.Job, attempt: j.attempt, outcome: framework.OutcomeDone}
	t.at = e.now.Add(time.Duration(j.event.ActualMS)*time.Millisecond - j.kept)
	for _, w := range j.ranks {
		if e.faulty[w] || j.event.NeverRuns {
			t.at, t.outcome, t.blamed = e.now.Add(failAfter), framework.OutcomeStartFailed, e.trace.Workers[w].ID
			break
		}
	}
	e.push(t)
}

func (e *Engine) push(t timer) {
	e.seq++
	t.seq = e.seq
	heap.Push(&e.timers, t)
}

func (e *Engine) stop(j *jobRun, d framework.Decision) {
	if j.state != model.JobRunning {
		return
	}
	j.state = model.JobStopping
	if !j.cancelled {
		e.measure.preemptions++
	}
	e.push(timer{at: e.now.Add(min(d.Grace, maxGrace)), job: j.event.Job, attempt: j.attempt, outcome: framework.OutcomeStopped})
}
