// Package faults separates workers that fail every job from jobs that fail on
// every worker.
//
// A failed start counts against the worker and against the job. A job that has
// failed on several workers is a weaker witness: its failure weighs 1/n, with n
// the workers on which it failed. A worker is quarantined when the weights of
// different jobs reach quarantineWeight, or after maxFailures failed starts
// since its last good one, also of one job: only a start elsewhere can tell which
// of the two is at fault. A job is at fault when it failed on faultWorkers
// workers that no other job speaks against, most of them proven by a gang that
// runs there; without proof it takes unprovenFailures on at least
// two workers, which may repeat if the shape fits nowhere else. A job's failures are taken
// back from the workers when it is found at fault, so a burst of bad jobs does
// not empty the pool.
//
// A quarantined worker is probed after a back-off that doubles with each failed
// probe. A probing worker takes one preemptible gang; it returns to service when
// that gang has run for ProvenAfter.
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
	// maxFailures bounds the failed starts on one worker before quarantine.
	maxFailures = 3
	// maxWitnesses bounds the jobs remembered per worker and the failures
	// remembered per job; no rule needs more.
	maxWitnesses     = 8
	faultWorkers     = 3
	faultProven      = 2
	unprovenFailures = 5
	// FirstBackoff and MaxBackoff bound the time until a probe.
	FirstBackoff = 5 * time.Minute
	MaxBackoff   = 10 * time.Minute
)

// Failure is one failed start of a job.
type Failure struct {
	Worker string
	// Proven says that another gang ran well on the worker at that time.
	Proven bool
}

// Tracker holds the failures of all workers. Its size is bounded by the workers
// and by the jobs that wait after a failure.
type Tracker struct {
	workers map[string]*record
	jobs    map[string][]Failure
}

type record struct {
	jobs     []string // distinct, since the last good start
	failures int
	backoff  time.Duration
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{workers: make(map[string]*record), jobs: make(map[string][]Failure)}
}

// Failed notes a failed start. It reports whether the worker is to be
// quarantined.
func (t *Tracker) Failed(worker, job string, proven bool) bool {
	r := t.workers[worker]
	if r == nil {
		r = &record{}
		t.workers[worker] = r
	}
	r.failures++
	if len(r.jobs) < maxWitnesses && !slices.Contains(r.jobs, job) {
		r.jobs = append(r.jobs, job)
	}
	if len(t.jobs[job]) < maxWitnesses && t.times(job, worker) < maxFailures {
		t.jobs[job] = append(t.jobs[job], Failure{worker, proven})
	}
	return r.failures >= maxFailures || t.again(job) || t.weight(r) >= quarantineWeight
}

// again reports whether a job failed twice on a worker and nowhere else. It only
// returns to a worker if it fits nowhere else at present, so a third start would
// be in vain; a job that failed elsewhere as well is more likely at fault itself.
func (t *Tracker) again(job string) bool {
	return len(t.jobs[job]) > 1 && len(t.distinct(job)) == 1
}

func (t *Tracker) weight(r *record) float64 {
	sum := 0.0
	for _, j := range r.jobs {
		sum += 1 / float64(max(len(t.distinct(j)), 1))
	}
	return sum
}

// times returns how often a job failed on a worker. More than maxFailures are not
// remembered, so that repeats leave room for other workers.
func (t *Tracker) times(job, worker string) int {
	n := 0
	for _, f := range t.jobs[job] {
		if f.Worker == worker {
			n++
		}
	}
	return n
}

// distinct returns the workers on which a job failed.
func (t *Tracker) distinct(job string) []string {
	var out []string
	for _, f := range t.jobs[job] {
		if !slices.Contains(out, f.Worker) {
			out = append(out, f.Worker)
		}
	}
	return out
}

// Avoid reports whether a job failed on a worker before.
func (t *Tracker) Avoid(job, worker string) bool {
	for _, f := range t.jobs[job] {
		if f.Worker == worker {
			return true
		}
	}
	return false
}

// Suspect reports whether a failure on the worker is not explained.
func (t *Tracker) Suspect(worker string) bool {
	r := t.workers[worker]
	return r != nil && len(r.jobs) > 0
}

// accused reports whether a job other than the given one speaks against a worker.
// Jobs that failed on faultWorkers workers do not: two jobs that can never run
// would excuse each other and empty the pool.
func (t *Tracker) accused(r *record, job string) bool {
	return slices.ContainsFunc(r.jobs, func(o string) bool {
		return o != job && len(t.distinct(o)) < faultWorkers
	})
}

// AtFault reports whether the failures of a job are its own, with the workers
// that show it.
func (t *Tracker) AtFault(job string) ([]string, bool) {
	var against []string
	failures, proven := 0, 0
	for _, f := range t.jobs[job] {
		r := t.workers[f.Worker]
		if r != nil && t.accused(r, job) {
			continue
		}
		failures++
		if slices.Contains(against, f.Worker) {
			continue
		}
		against = append(against, f.Worker)
		if f.Proven {
			proven++
		}
	}
	if len(against) >= faultWorkers && proven >= faultProven {
		return against, true
	}
	return against, failures >= unprovenFailures && len(against) > 1
}

// Forget drops a job that ended; if it was at fault itself, its failures no
// longer count against the workers. It returns the workers that are quarantined
// without another reason.
func (t *Tracker) Forget(job string, atFault bool) (cleared []string) {
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

// Reset drops the failures counted against a worker. It says nothing about the
// jobs that failed there.
func (t *Tracker) Reset(worker string) { delete(t.workers, worker) }

// Succeeded notes that a gang runs well on a worker.
func (t *Tracker) Succeeded(worker string) {
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

// Quarantined starts the next back-off and returns its end.
func (t *Tracker) Quarantined(worker string, now time.Time) time.Time {
	r := t.workers[worker]
	if r == nil {
		r = &record{}
		t.workers[worker] = r
	}
	r.backoff = min(max(2*r.backoff, FirstBackoff), MaxBackoff)
	return now.Add(r.backoff)
}

// Failing reports whether a job has failed to start and not ended since.
func (t *Tracker) Failing(job string) bool { return len(t.jobs[job]) > 0 }
