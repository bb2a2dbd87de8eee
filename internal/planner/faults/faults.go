// Package faults separates workers that fail every job from jobs that fail on
// every worker.
//
// A failed start counts against the worker and against the job; so does a task that
// fails later. A job that failed on n workers counts only 1/n against each, since it is
// weaker evidence. A worker is quarantined when the weights of the jobs that failed on it
// reach quarantineWeight, after maxFailures failed starts since its last good one, or
// when a job failed on it twice and on no other worker. The last two may be the failures
// of one job: only a start elsewhere can tell which of the two is at fault.
//
// A job is at fault when it failed on minFaultWorkers workers that no other job blames,
// at least minProvenWorkers of them proven by a gang that runs there. Without that
// proof it takes minUnprovenFailures failures on at least two workers; several may be
// on the same worker if the shape fits nowhere else. When a job is found at fault, its
// failures no longer count against the workers, so that a burst of bad jobs does not
// empty the pool.
//
// A quarantined worker is probed after a backoff that doubles with each failed probe.
// A probing worker takes one preemptible gang. It returns to service when that gang
// has run for ProvenAfter.
package faults

import (
	"slices"
	"time"
)

const (
	// ProvenAfter is the run time after which a start counts as good. Start
	// failures show within about half a second.
	ProvenAfter = 2 * time.Second

	quarantineWeight = 1.5
	// maxFailures is the number of failed starts after which a worker is quarantined.
	maxFailures = 3
	// maxRemembered bounds the jobs recorded per worker and the failures recorded per
	// job; no rule needs more.
	maxRemembered       = 8
	minFaultWorkers     = 3
	minProvenWorkers    = 2
	minUnprovenFailures = 5
	// FirstBackoff and MaxBackoff are the shortest and longest time from a quarantine
	// to the probe.
	FirstBackoff = 5 * time.Minute
	MaxBackoff   = 10 * time.Minute
)

// Failure is one failed start of a job.
type Failure struct {
	Worker string
	// Proven reports whether another gang ran well on the worker at about that time.
	Proven bool
}

// Tracker holds the failed starts of all workers and jobs. Its size is bounded by the
// number of workers and of unfinished jobs that have failed.
type Tracker struct {
	workers map[string]*workerRecord
	jobs    map[string][]Failure
}

// workerRecord holds the failed starts on a worker since its last good start.
type workerRecord struct {
	jobs     []string // distinct
	failures int
	backoff  time.Duration // length of the last backoff; 0 if there was none
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string][]Failure)}
}

// RecordFailure records a failed start of a job on a worker. proven tells whether
// another gang runs well there. It reports whether the worker is to be quarantined.
func (t *Tracker) RecordFailure(worker, job string, proven bool) bool {
	r := t.workers[worker]
	if r == nil {
		r = &workerRecord{}
		t.workers[worker] = r
	}
	r.failures++
	if len(r.jobs) < maxRemembered && !slices.Contains(r.jobs, job) {
		r.jobs = append(r.jobs, job)
	}
	if len(t.jobs[job]) < maxRemembered && t.failureCount(job, worker) < maxFailures {
		t.jobs[job] = append(t.jobs[job], Failure{worker, proven})
	}
	return r.failures >= maxFailures || t.failedTwiceOnSameWorkerOnly(job) || t.failureWeight(r) >= quarantineWeight
}

// failedTwiceOnSameWorkerOnly reports whether a job failed at least twice on one worker
// and on no other. A job returns to a worker only if it fits nowhere else at present, so
// a third start there would be useless. A job that failed elsewhere as well is more
// likely to be at fault itself.
func (t *Tracker) failedTwiceOnSameWorkerOnly(job string) bool {
	return len(t.jobs[job]) > 1 && len(t.failedWorkers(job)) == 1
}

// failureWeight sums the weights of the jobs that failed on a worker.
func (t *Tracker) failureWeight(r *workerRecord) float64 {
	sum := 0.0
	for _, j := range r.jobs {
		sum += 1 / float64(max(len(t.failedWorkers(j)), 1))
	}
	return sum
}

// failureCount returns how often a job failed on a worker. At most maxFailures are
// recorded per worker, so that repeated failures leave room for those on others.
func (t *Tracker) failureCount(job, worker string) int {
	n := 0
	for _, f := range t.jobs[job] {
		if f.Worker == worker {
			n++
		}
	}
	return n
}

// failedWorkers returns the workers on which a job failed.
func (t *Tracker) failedWorkers(job string) []string {
	var out []string
	for _, f := range t.jobs[job] {
		if !slices.Contains(out, f.Worker) {
			out = append(out, f.Worker)
		}
	}
	return out
}

// HasFailedOn reports whether a job has failed to start on a worker.
func (t *Tracker) HasFailedOn(job, worker string) bool {
	for _, f := range t.jobs[job] {
		if f.Worker == worker {
			return true
		}
	}
	return false
}

// Suspect reports whether a worker has had failed starts since its last good one that
// are not explained by a faulty job.
func (t *Tracker) Suspect(worker string) bool {
	r := t.workers[worker]
	return r != nil && len(r.jobs) > 0
}

// isBlamedByOthers reports whether a job other than the given one counts as evidence
// against a worker. Jobs that failed on minFaultWorkers workers do not count: two jobs
// that can never run would excuse each other and get the whole pool quarantined.
func (t *Tracker) isBlamedByOthers(r *workerRecord, job string) bool {
	return slices.ContainsFunc(r.jobs, func(o string) bool {
		return o != job && len(t.failedWorkers(o)) < minFaultWorkers
	})
}

// AtFault reports whether a job is at fault for its failures. It also returns the
// workers on which it failed and that no other job blames.
func (t *Tracker) AtFault(job string) ([]string, bool) {
	var failedOn []string
	failures, proven := 0, 0
	for _, f := range t.jobs[job] {
		r := t.workers[f.Worker]
		if r != nil && t.isBlamedByOthers(r, job) {
			continue
		}
		failures++
		if slices.Contains(failedOn, f.Worker) {
			continue
		}
		failedOn = append(failedOn, f.Worker)
		if f.Proven {
			proven++
		}
	}
	if len(failedOn) >= minFaultWorkers && proven >= minProvenWorkers {
		return failedOn, true
	}
	return failedOn, failures >= minUnprovenFailures && len(failedOn) > 1
}

// RemoveJob removes a job that ended. If the job was at fault, its failures no longer
// count against the workers, and RemoveJob returns the workers that no other job
// blames.
func (t *Tracker) RemoveJob(job string, atFault bool) (cleared []string) {
	failures := t.jobs[job]
	delete(t.jobs, job)
	if !atFault {
		return nil
	}
	for _, f := range failures {
		r := t.workers[f.Worker]
		if r == nil {
			continue
		}
		i := slices.Index(r.jobs, job)
		if i < 0 {
			continue
		}
		r.jobs = slices.Delete(r.jobs, i, i+1)
		r.failures = max(r.failures-1, 0)
		if len(r.jobs) == 0 {
			cleared = append(cleared, f.Worker)
		}
	}
	return cleared
}

// Reset removes the failures and the backoff of a worker. The failures of the jobs that
// failed there still count against the jobs.
func (t *Tracker) Reset(worker string) { delete(t.workers, worker) }

// RecordSuccess records that a gang runs well on a worker: its failures are removed and
// count as proven against the jobs that failed there.
func (t *Tracker) RecordSuccess(worker string) {
	r := t.workers[worker]
	if r == nil {
		return
	}
	for _, j := range r.jobs {
		fs := t.jobs[j]
		for i := range fs {
			fs[i].Proven = fs[i].Proven || fs[i].Worker == worker
		}
	}
	delete(t.workers, worker)
}

// StartBackoff starts the backoff of a quarantined worker, twice as long as its
// previous one, and returns its end.
func (t *Tracker) StartBackoff(worker string, now time.Time) time.Time {
	r := t.workers[worker]
	if r == nil {
		r = &workerRecord{}
		t.workers[worker] = r
	}
	r.backoff = min(max(2*r.backoff, FirstBackoff), MaxBackoff)
	return now.Add(r.backoff)
}

// HasFailures reports whether a job that has not ended has failed to start before.
func (t *Tracker) HasFailures(job string) bool { return len(t.jobs[job]) > 0 }
