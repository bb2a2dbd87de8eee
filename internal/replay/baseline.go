package replay

import (
	"fmt"
	"sort"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// Names of the baseline policies.
const (
	BaselineFIFO     = "baseline-fifo"
	BaselineBackfill = "baseline-backfill"
)

const (
	// maxFailedWorkers is the number of workers on which a job must have failed to
	// start for a baseline to give it up.
	maxFailedWorkers = 3
	// maxBackfillTries bounds the queued jobs that one call of Decide tries to
	// backfill.
	maxBackfillTries = 200
)

func init() {
	framework.Policies.Register(BaselineFIFO, func() framework.Scheduler { return &baseline{} })
	framework.Policies.Register(BaselineBackfill, func() framework.Scheduler { return &baseline{backfill: true} })
}

// baseline runs jobs in order of arrival without preemption, placed by first fit.
// With backfill it places by best fit, and jobs may overtake the head of the queue
// by their declared run times. It ignores guarantees and quarantines no faulty
// worker; it only avoids the workers on which a job has failed to start.
type baseline struct {
	backfill bool
	workers  []model.Worker
	pool     *pool
	jobs     map[string]*baselineJob
	queue    []string
	pending  []framework.Decision
}

// baselineJob is a baseline's record of a job.
type baselineJob struct {
	job           model.Job
	ranks         []int
	running       bool
	stopping      bool
	expectedEnd   time.Time // by the declared run time
	attempt       uint64
	failedWorkers map[int]bool
	refused       bool
}

// SetTeams implements framework.Scheduler.
func (b *baseline) SetTeams(time.Time, []model.Team) {}

// SetWeights implements framework.Scheduler.
func (b *baseline) SetWeights(model.Weights) {}

// AddWorker implements framework.Scheduler.
func (b *baseline) AddWorker(_ time.Time, w model.Worker) {
	if b.jobs == nil {
		b.jobs = make(map[string]*baselineJob)
	}
	if b.pool != nil {
		if i, ok := b.pool.index[w.ID]; ok {
			b.pool.up[i] = true
			return
		}
	}
	b.workers = append(b.workers, w)
	old := b.pool
	b.pool = nil
	if old == nil || len(old.workers) != len(b.workers) {
		b.rebuildPool(old)
	}
}

// rebuildPool makes the pool of all workers and takes the state of the former
// workers from old.
func (b *baseline) rebuildPool(old *pool) {
	b.pool = newPool(b.workers)
	if old != nil {
		copy(b.pool.free, old.free)
		copy(b.pool.up, old.up)
	}
}

// RemoveWorker implements framework.Scheduler.
func (b *baseline) RemoveWorker(_ time.Time, id string) { b.pool.up[b.pool.index[id]] = false }

// DrainWorker implements framework.Scheduler.
func (b *baseline) DrainWorker(_ time.Time, id string, on bool) { b.pool.up[b.pool.index[id]] = !on }

// ReleaseWorker implements framework.Scheduler. A baseline quarantines no worker.
func (b *baseline) ReleaseWorker(time.Time, string) {}

// Submit implements framework.Scheduler.
func (b *baseline) Submit(_ time.Time, job model.Job) {
	j := &baselineJob{job: job, failedWorkers: make(map[int]bool)}
	b.jobs[job.ID] = j
	if !b.pool.fitsEmptyPool(job.Shape) {
		j.refused = true
		b.pending = append(b.pending, framework.Decision{Kind: framework.Refuse, Job: job.ID, Reason: model.Reason{Rule: "impossible_shape", Sentence: "The shape does not fit the whole pool."}})
		return
	}
	b.queue = append(b.queue, job.ID)
}

// Restore implements framework.Scheduler.
func (b *baseline) Restore(now time.Time, job model.Job, attempt uint64, workers []string, _ time.Time) {
	j := &baselineJob{job: job, attempt: attempt, running: true, failedWorkers: make(map[int]bool)}
	for _, id := range workers {
		j.ranks = append(j.ranks, b.pool.index[id])
	}
	j.expectedEnd = now.Add(time.Duration(job.DeclaredMS) * time.Millisecond)
	b.jobs[job.ID] = j
	allocate(b.pool.free, job.Shape.PerTask(), j.ranks)
}

// Cancel implements framework.Scheduler.
func (b *baseline) Cancel(_ time.Time, id string) {
	j, ok := b.jobs[id]
	if !ok {
		return
	}
	if j.running && !j.stopping {
		j.stopping = true
		b.pending = append(b.pending, framework.Decision{Kind: framework.Stop, Job: id, Attempt: j.attempt, Grace: maxGracePeriod})
		return
	}
	b.dequeue(id)
	delete(b.jobs, id)
}

// dequeue removes a job from the queue.
func (b *baseline) dequeue(id string) {
	for i, q := range b.queue {
		if q == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// GangStarted implements framework.Scheduler.
func (b *baseline) GangStarted(time.Time, string, uint64) {}

// GangEnded implements framework.Scheduler.
func (b *baseline) GangEnded(_ time.Time, id string, end framework.AttemptEnd) {
	j, ok := b.jobs[id]
	if !ok || !j.running {
		return
	}
	release(b.pool.free, j.job.Shape.PerTask(), j.ranks)
	j.running = false
	if end.Outcome == framework.OutcomeDone || j.stopping {
		delete(b.jobs, id)
		return
	}
	if end.Outcome == framework.OutcomeStartFailed {
		j.failedWorkers[b.pool.index[end.BlamedWorker]] = true
		if len(j.failedWorkers) >= maxFailedWorkers {
			delete(b.jobs, id)
			b.pending = append(b.pending, framework.Decision{Kind: framework.Fail, Job: id, Reason: model.Reason{Rule: "failed_on_several_workers", Sentence: fmt.Sprintf("The job failed on %d workers.", len(j.failedWorkers))}})
			return
		}
	}
	b.queue = append([]string{id}, b.queue...)
}

// Decide implements framework.Scheduler.
func (b *baseline) Decide(now time.Time) []framework.Decision {
	decisions := b.pending
	b.pending = nil
	for len(b.queue) > 0 {
		d, ok := b.tryStart(now, b.queue[0])
		if !ok {
			break
		}
		decisions = append(decisions, d)
		b.queue = b.queue[1:]
	}
	if b.backfill && len(b.queue) > 1 {
		decisions = append(decisions, b.backfillBehindHead(now)...)
	}
	return decisions
}

// tryStart places a queued job if it fits now, and reports whether it did.
func (b *baseline) tryStart(now time.Time, id string) (framework.Decision, bool) {
	j := b.jobs[id]
	free := b.freeWithout(j.failedWorkers)
	ranks := b.findPlacement(j.job.Shape, free)
	if ranks == nil {
		return framework.Decision{}, false
	}
	return b.place(now, id, ranks), true
}

// freeWithout returns the free resources, with none on the workers of avoid.
func (b *baseline) freeWithout(avoid map[int]bool) []model.Resources {
	if len(avoid) == 0 {
		return b.pool.free
	}
	free := append([]model.Resources(nil), b.pool.free...)
	for w := range avoid {
		free[w] = model.Resources{}
	}
	return free
}

func (b *baseline) findPlacement(s model.Shape, free []model.Resources) []int {
	if b.backfill {
		return b.pool.bestFit(s, free)
	}
	return b.pool.firstFit(s, free)
}

func (b *baseline) place(now time.Time, id string, ranks []int) framework.Decision {
	j := b.jobs[id]
	j.attempt++
	j.running, j.ranks = true, ranks
	j.expectedEnd = now.Add(time.Duration(j.job.DeclaredMS) * time.Millisecond)
	allocate(b.pool.free, j.job.Shape.PerTask(), ranks)
	workers := make([]string, len(ranks))
	for i, w := range ranks {
		workers[i] = b.workers[w].ID
	}
	return framework.Decision{
		Kind: framework.Place, Job: id, Attempt: j.attempt, Workers: workers,
		Reason: model.Reason{Rule: "placed", Sentence: "The job was placed in order of arrival."},
	}
}

// backfillBehindHead starts queued jobs behind the head that, by their declared
// run time, end before the head can start.
func (b *baseline) backfillBehindHead(now time.Time) []framework.Decision {
	shadowTime := b.headStartTime(now)
	var decisions []framework.Decision
	kept := b.queue[:1:1]
	for i, id := range b.queue[1:] {
		j := b.jobs[id]
		ends := now.Add(time.Duration(j.job.DeclaredMS) * time.Millisecond)
		if i < maxBackfillTries && !ends.After(shadowTime) {
			if d, ok := b.tryStart(now, id); ok {
				decisions = append(decisions, d)
				continue
			}
		}
		kept = append(kept, id)
	}
	b.queue = kept
	return decisions
}

// headStartTime returns the earliest time at which the head of the queue fits if
// all running jobs end as declared, and now if it doesn't fit even then.
func (b *baseline) headStartTime(now time.Time) time.Time {
	head := b.jobs[b.queue[0]]
	var running []*baselineJob
	for _, j := range b.jobs {
		if j.running {
			running = append(running, j)
		}
	}
	sort.Slice(running, func(x, y int) bool {
		if !running[x].expectedEnd.Equal(running[y].expectedEnd) {
			return running[x].expectedEnd.Before(running[y].expectedEnd)
		}
		return running[x].job.ID < running[y].job.ID
	})
	free := append([]model.Resources(nil), b.freeWithout(head.failedWorkers)...)
	for _, j := range running {
		release(free, j.job.Shape.PerTask(), j.ranks)
		if b.pool.firstFit(head.job.Shape, free) != nil {
			if j.expectedEnd.Before(now) {
				return now
			}
			return j.expectedEnd
		}
	}
	return now
}

// NextWake implements framework.Scheduler.
func (b *baseline) NextWake() time.Time { return time.Time{} }

// Explain implements framework.Scheduler.
func (b *baseline) Explain(id string) (model.Reason, bool) {
	j, ok := b.jobs[id]
	if !ok {
		return model.Reason{}, false
	}
	if j.running {
		return model.Reason{Rule: "placed", Sentence: "The job runs."}, true
	}
	return model.Reason{Rule: "waiting_for_capacity", Sentence: "The job waits in order of arrival."}, true
}

// UnpackedTeams implements framework.Scheduler.
func (b *baseline) UnpackedTeams() []string { return nil }
