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
	// startFailureDelay is the time from the placement of a gang to its failed
	// start, on a faulty worker or for a job that never runs.
	startFailureDelay = 500 * time.Millisecond
	// maxGracePeriod bounds the time that a stopped gang keeps its workers.
	maxGracePeriod = time.Second
	// maxTimeAfterTrace bounds the simulated time after the last event of the
	// trace, for a policy that never finishes all jobs.
	maxTimeAfterTrace = 14 * 24 * time.Hour
	// maxDecideRounds bounds the calls of Decide at one instant, for a policy that
	// never runs out of decisions.
	maxDecideRounds = 10_000
	// callsPerHeapSample is the number of calls of the policy between two samples
	// of the heap size.
	callsPerHeapSample = 200
)

// jobRun is the engine's record of a job. attempt, ranks and startedAt belong to
// its latest attempt.
type jobRun struct {
	event          Event
	state          model.JobState
	attempt        uint64
	ranks          []int
	startedAt      time.Time
	keptWork       time.Duration // run time up to the last checkpoint of the attempts that have ended
	cancelled      bool
	nonPreemptible bool
	endedAt        time.Time
}

// timer is the planned end of an attempt. It has no effect if the attempt has
// already ended when it fires.
type timer struct {
	at           time.Time
	seq          int
	jobID        string
	attempt      uint64
	outcome      framework.Outcome
	blamedWorker string
}

// timerHeap is a heap of timers by time, then by their order of creation.
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

// Engine replays one trace with one policy in simulated time.
type Engine struct {
	trace        *Trace
	policy       framework.Scheduler
	pool         *pool
	jobs         map[string]*jobRun
	jobIDs       []string
	faulty       map[int]bool
	timers       timerHeap
	lastTimerSeq int
	now          time.Time
	check        *checker
	stats        *measures
}

// replayStart is the simulated time at which every replay starts.
var replayStart = time.Unix(0, 0).UTC()

// timeAt returns the simulated time of a time of the trace.
func timeAt(ms int64) time.Time { return replayStart.Add(time.Duration(ms) * time.Millisecond) }

// Run replays trace with policy and returns its measurements and the violations
// of scheduling requirements.
func Run(trace *Trace, policy framework.Scheduler, weights model.Weights) *Result {
	e := &Engine{
		trace:  trace,
		policy: policy,
		pool:   newPool(trace.Workers),
		jobs:   make(map[string]*jobRun),
		faulty: make(map[int]bool),
		now:    replayStart,
	}
	e.check = newChecker(trace)
	e.stats = newMeasures()
	policy.SetWeights(weights)
	policy.SetTeams(replayStart, trace.Teams)
	for _, w := range trace.Workers {
		policy.AddWorker(replayStart, w)
	}
	e.run()
	return e.result()
}

// run steps from one instant to the next until all jobs are final after the last
// event of the trace, nothing is left to wait for, or maxTimeAfterTrace has
// passed.
func (e *Engine) run() {
	next := 0
	var last time.Time
	for {
		t, ok := e.nextTime(next)
		if !ok || (next >= len(e.trace.Events) && (e.allJobsFinal() || t.Sub(last) > maxTimeAfterTrace)) {
			return
		}
		e.advanceTo(t)
		for next < len(e.trace.Events) && !timeAt(e.trace.Events[next].TimeMS).After(t) {
			e.applyEvent(e.trace.Events[next])
			last = t
			next++
		}
		for len(e.timers) > 0 && !e.timers[0].at.After(t) {
			e.fireTimer(heap.Pop(&e.timers).(timer))
		}
		e.decide()
		e.check.checkInstant(t)
	}
}

// nextTime returns the time of the next event of the trace, the next timer or the
// wake-up that the policy has asked for, whichever is first, and false if there
// is none. A wake-up that is already due is moved on by 1 ms, so that time advances.
func (e *Engine) nextTime(next int) (time.Time, bool) {
	var t time.Time
	earlier := func(c time.Time) {
		if t.IsZero() || c.Before(t) {
			t = c
		}
	}
	if next < len(e.trace.Events) {
		earlier(timeAt(e.trace.Events[next].TimeMS))
	}
	if len(e.timers) > 0 {
		earlier(e.timers[0].at)
	}
	if wake := e.policy.NextWake(); !wake.IsZero() {
		if !wake.After(e.now) {
			wake = e.now.Add(time.Millisecond)
		}
		earlier(wake)
	}
	return t, !t.IsZero()
}

// advanceTo moves the simulated clock to t and records the time that has passed.
func (e *Engine) advanceTo(t time.Time) {
	if t.After(e.now) {
		e.stats.recordInterval(e, t.Sub(e.now))
		e.now = t
	}
}

func (e *Engine) allJobsFinal() bool {
	for _, id := range e.jobIDs {
		if !e.jobs[id].state.Final() {
			return false
		}
	}
	return true
}

// timePolicyCall runs f, a call of the policy, and records how long it took in
// real time.
func (e *Engine) timePolicyCall(f func()) {
	begin := time.Now()
	f()
	e.stats.recordCall(time.Since(begin))
	if e.stats.policyCalls%callsPerHeapSample == 0 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		e.stats.peakHeap = max(e.stats.peakHeap, m.HeapAlloc)
	}
}

func (e *Engine) applyEvent(ev Event) {
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
		e.timePolicyCall(func() { e.policy.AddWorker(e.now, e.trace.Workers[w]) })
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
	e.jobIDs = append(e.jobIDs, ev.Job)
	e.check.submitted(ev, e.now)
	e.timePolicyCall(func() { e.policy.Submit(e.now, toJob(ev)) })
}

func toJob(ev Event) model.Job {
	return model.Job{
		ID: ev.Job, Team: ev.Team, Class: ev.Class, Shape: ev.Shape,
		DeclaredMS: ev.DeclaredMS, CheckpointIntervalMS: ev.CheckpointMS, SubmittedMS: ev.TimeMS,
	}
}

func (e *Engine) cancel(id string) {
	j := e.jobs[id]
	if j.state.Final() {
		return
	}
	j.cancelled = true
	e.check.cancelled(id)
	e.timePolicyCall(func() { e.policy.Cancel(e.now, id) })
	if j.state == model.JobQueued {
		e.finishJob(j, model.JobCancelled)
	}
}

func (e *Engine) workerDown(w int) {
	e.pool.up[w] = false
	e.check.workerDown(w)
	e.timePolicyCall(func() { e.policy.RemoveWorker(e.now, e.trace.Workers[w].ID) })
	for _, id := range e.jobIDs {
		j := e.jobs[id]
		if j.active() && contains(j.ranks, w) {
			e.endAttempt(id, framework.AttemptEnd{Attempt: j.attempt, Outcome: framework.OutcomeLost, BlamedWorker: e.trace.Workers[w].ID})
		}
	}
}

// active reports whether an attempt of the job occupies its workers.
func (j *jobRun) active() bool { return j.state == model.JobRunning || j.state == model.JobStopping }

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

func (e *Engine) fireTimer(t timer) {
	j := e.jobs[t.jobID]
	if !j.active() || j.attempt != t.attempt {
		return
	}
	e.endAttempt(t.jobID, framework.AttemptEnd{Attempt: t.attempt, Outcome: t.outcome, BlamedWorker: t.blamedWorker})
}

// endAttempt ends the running attempt of a job and tells the policy. Work up to
// the last checkpoint is kept for the next attempt.
func (e *Engine) endAttempt(id string, end framework.AttemptEnd) {
	j := e.jobs[id]
	ran := e.now.Sub(j.startedAt)
	total := j.keptWork + ran
	lost := ran
	if end.Outcome == framework.OutcomeDone {
		lost = 0
	} else if checkpoint := time.Duration(j.event.CheckpointMS) * time.Millisecond; checkpoint > 0 && end.Outcome != framework.OutcomeStartFailed {
		kept := max(total/checkpoint*checkpoint, j.keptWork)
		lost = total - kept
		j.keptWork = kept
	}
	e.stats.recordAttempt(j, ran, lost, end.Outcome)
	release(e.pool.free, j.event.PerTask(), j.ranks)
	e.check.ended(id, end, e.now)
	j.state = model.JobQueued
	j.ranks = nil
	end.PreservedRunTime = j.keptWork
	if end.Outcome == framework.OutcomeDone {
		e.finishJob(j, model.JobDone)
	} else if j.cancelled {
		e.finishJob(j, model.JobCancelled)
	}
	e.timePolicyCall(func() { e.policy.GangEnded(e.now, id, end) })
}

func (e *Engine) finishJob(j *jobRun, state model.JobState) {
	j.state = state
	j.endedAt = e.now
	e.check.finished(j.event.Job, state)
}

// decide applies the policy's decisions until it has no more at this instant.
func (e *Engine) decide() {
	for range maxDecideRounds {
		var decisions []framework.Decision
		e.timePolicyCall(func() { decisions = e.policy.Decide(e.now) })
		if len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			e.applyDecision(d)
		}
	}
	e.check.addViolation(e.now, "", fmt.Sprintf("the policy did not settle within %d rounds", maxDecideRounds))
}

func (e *Engine) applyDecision(d framework.Decision) {
	switch d.Kind {
	case framework.Quarantine, framework.Probe:
		e.check.setQuarantine(e.pool.index[d.Worker], d.Kind == framework.Quarantine, e.now)
		return
	}
	j, ok := e.jobs[d.Job]
	if !ok {
		e.check.addViolation(e.now, d.Job, "decision on an unknown job")
		return
	}
	switch d.Kind {
	case framework.Place:
		e.startGang(j, d)
	case framework.Stop:
		e.stopGang(j, d)
	case framework.Refuse:
		e.finishJob(j, model.JobRefused)
	case framework.Fail:
		e.finishJob(j, model.JobFailed)
	}
}

func (e *Engine) startGang(j *jobRun, d framework.Decision) {
	if j.state != model.JobQueued {
		e.check.addViolation(e.now, d.Job, "placed while it is "+string(j.state))
		return
	}
	ranks := make([]int, 0, len(d.Workers))
	for _, id := range d.Workers {
		w, ok := e.pool.index[id]
		if !ok {
			e.check.addViolation(e.now, d.Job, "placed on an unknown worker")
			return
		}
		ranks = append(ranks, w)
	}
	j.state, j.attempt, j.ranks, j.startedAt = model.JobRunning, d.Attempt, ranks, e.now
	j.nonPreemptible = !d.Preemptible
	allocate(e.pool.free, j.event.PerTask(), ranks)
	e.check.placed(d.Job, ranks, j.nonPreemptible, e.now)
	e.scheduleEnd(j)
	e.timePolicyCall(func() { e.policy.GangStarted(e.now, d.Job, d.Attempt) })
}

// scheduleEnd sets the timer for the end of the attempt that starts now: its
// remaining run time, or a failed start if the job or one of its workers can't
// run.
func (e *Engine) scheduleEnd(j *jobRun) {
	t := timer{jobID: j.event.Job, attempt: j.attempt, outcome: framework.OutcomeDone}
	t.at = e.now.Add(time.Duration(j.event.ActualMS)*time.Millisecond - j.keptWork)
	for _, w := range j.ranks {
		if e.faulty[w] || j.event.NeverRuns {
			t.at, t.outcome, t.blamedWorker = e.now.Add(startFailureDelay), framework.OutcomeStartFailed, e.trace.Workers[w].ID
			break
		}
	}
	e.pushTimer(t)
}

func (e *Engine) pushTimer(t timer) {
	e.lastTimerSeq++
	t.seq = e.lastTimerSeq
	heap.Push(&e.timers, t)
}

func (e *Engine) stopGang(j *jobRun, d framework.Decision) {
	if j.state != model.JobRunning {
		return
	}
	j.state = model.JobStopping
	if !j.cancelled {
		e.stats.preemptions++
	}
	e.pushTimer(timer{at: e.now.Add(min(d.Grace, maxGracePeriod)), jobID: j.event.Job, attempt: j.attempt, outcome: framework.OutcomeStopped})
}
