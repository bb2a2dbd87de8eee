package jobs

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/members"
	"snipegw/internal/model"
)

const (
	// settleTimeout bounds how long a new planner waits for the workers of running
	// gangs to appear in the membership view. The bound is the end of the warm-up
	// period if that is later.
	settleTimeout = time.Second
	// quietPeriod is the time without a new worker after which the view counts as
	// complete during the warm-up period. Jobs that are checked against an
	// incomplete pool would be parked.
	quietPeriod = 1500 * time.Millisecond
	// warmUpPeriod is the time after the start of the process during which a worker
	// that is missing from the view may still be alive. Agents find a restarted
	// entry within it.
	warmUpPeriod = members.DeadAfter + 2*time.Second
)

// loadedPage is a page that this term has read and fenced against the writes of
// earlier planners. seq is the number of the fencing write.
type loadedPage struct {
	doc *pageDoc
	seq uint64
}

// loadPages reads all pages and writes each one back under the epoch of the term.
// The write proves that the read did not return an older state. After it, the
// writes of earlier planners fail.
func (t *term) loadPages() ([PageCount]loadedPage, error) {
	var loaded [PageCount]loadedPage
	var wg sync.WaitGroup
	slots := make(chan struct{}, loadConcurrency)
	for i := range loaded {
		t.pages[i] = newPage(t.host.opts.Entry.Region, i)
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			loaded[i] = t.fencePage(t.pages[i])
		})
	}
	wg.Wait()
	return loaded, t.ctx.Err()
}

func (t *term) fencePage(p *page) loadedPage {
	backoff := minStoreBackoff
	for t.ctx.Err() == nil {
		doc, retry := t.fenceOnce(p)
		if doc != nil {
			return loadedPage{doc: doc, seq: 1}
		}
		if retry {
			metrics.Add("page_load_failed", 1)
			if !sleepWithJitter(t.ctx, backoff) {
				break
			}
			backoff = min(2*backoff, maxStoreBackoff)
		}
	}
	return loadedPage{}
}

// fenceOnce tries once to read and fence a page and returns it if it is fenced.
// Retry is set if the store did not answer, the page was changed in between or it
// could not be decoded.
func (t *term) fenceOnce(p *page) (doc *pageDoc, retry bool) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	e, err := t.host.opts.Store.Get(ctx, p.key)
	if err != nil {
		return nil, true
	}
	d, err := decodePage(e.Value)
	if err != nil {
		logEvent("page_damaged", log.Fields{"page": p.key, "error": err.Error()}).Error("job page cannot be decoded; the read is repeated")
		return nil, true
	}
	if d.Epoch > t.epoch {
		t.host.ObserveEpoch(d.Epoch)
		t.stepDown("a job page has a higher epoch")
		return nil, false
	}
	if d.Epoch == t.epoch {
		return d, false // an earlier write took effect although its answer was lost
	}
	d.Epoch, d.Seq = t.epoch, 1
	ok, err := t.host.opts.Store.CompareAndSwap(ctx, p.key, e.Revision, d.encode())
	if err != nil || !ok {
		return nil, true
	}
	return d, false
}

// buildJobTable fills the tables of the term with the jobs of all pages, without
// those whose retention has passed.
func (t *term) buildJobTable(loaded [PageCount]loadedPage) {
	for i, lp := range loaded {
		p := t.pages[i]
		p.seq = lp.seq
		for _, raw := range lp.doc.Jobs {
			t.addRecord(p, raw)
		}
	}
	t.dropExpired(time.Now())
}

func (t *term) addRecord(p *page, raw json.RawMessage) {
	j := &job{page: p, encoded: raw, encodedSize: len(raw) + 1, recorded: true, answered: true}
	if err := json.Unmarshal(raw, &j.rec); err != nil || j.id() == "" {
		p.damaged = append(p.damaged, raw)
		p.encodedBytes += j.encodedSize
		logEvent("record_damaged", log.Fields{"page": p.key, "bytes": len(raw)}).Error("job record cannot be decoded; it is kept as it is and not planned")
		return
	}
	p.jobs[j.id()] = j
	p.encodedBytes += j.encodedSize
	t.jobs[j.id()] = j
	if !j.rec.Status.State.Final() {
		t.active[j.rec.Status.Job.Team]++
	}
}

// trySettle submits the jobs to the scheduler once the workers of running gangs
// are in the view or have had time to appear there. The term is then settled: it
// applies events of agents and places jobs.
func (t *term) trySettle(view *members.View) {
	now := time.Now()
	warmUpEnd := t.host.startTime.Add(warmUpPeriod)
	deadline := t.loadedAt.Add(settleTimeout)
	if warmUpEnd.After(deadline) {
		deadline = warmUpEnd
	}
	quiet := now.After(warmUpEnd) || t.upWorkers > 0 && now.Sub(t.lastWorkerUp) >= quietPeriod
	if now.Before(deadline) && !(quiet && t.allMembersKnown(view)) {
		return
	}
	t.settled = true
	logEvent("planner_settled", log.Fields{"epoch": t.epoch, "jobs": len(t.jobs), "workers": t.upWorkers, "took_ms": now.Sub(t.loadedAt).Milliseconds()}).Info("planner starts to place jobs")
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		if j.recorded && !j.rec.Status.State.Final() {
			jobs = append(jobs, j)
		}
	}
	sortBySubmission(jobs)
	for _, j := range jobs {
		t.restoreJob(j, view)
	}
}

func (t *term) allMembersKnown(view *members.View) bool {
	for _, j := range t.jobs {
		for _, m := range j.rec.Members {
			if view.Workers[m.Worker] == nil {
				return false
			}
		}
	}
	return true
}

// restoreJob restores the state of a job from its record and the reports of the
// workers. A job whose attempt still runs keeps it. Any other attempt is aborted,
// and a job without an attempt is submitted to the scheduler.
func (t *term) restoreJob(j *job, view *members.View) {
	st := &j.rec.Status
	running := len(j.rec.Members) > 0
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead {
			running = false
		}
	}
	if (st.State == model.JobStarting || st.State == model.JobStopping) && !isReportedRunning(view, j) {
		running = false
	}
	if !running {
		if len(j.rec.Members) > 0 {
			t.abortAttempt(j)
			return
		}
		t.admitJob(j)
		return
	}
	started := time.UnixMilli(st.StartedMS)
	if st.StartedMS == 0 {
		started = time.Now()
	}
	j.attemptBase = 0
	j.admitted = true
	j.currentAttempt = t.newAttempt(j, st.Attempt)
	j.currentAttempt.phase = phaseStarted
	if st.State == model.JobRunning || st.State == model.JobStopping {
		j.currentAttempt.phase = phaseRunning
	}
	t.sched.Restore(time.Now(), st.Job, st.Attempt, st.Workers, started)
	if j.currentAttempt.phase == phaseRunning {
		t.sched.GangStarted(time.Now(), j.id(), st.Attempt)
	}
	if st.CancelRequested {
		t.sched.Cancel(time.Now(), j.id())
	}
}

// isReportedRunning reports whether a live worker reports that tasks of the
// recorded attempt have started.
func isReportedRunning(view *members.View, j *job) bool {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead {
			continue
		}
		for _, g := range w.State.Gangs {
			if g.Job == j.id() && g.Attempt == j.rec.Status.Attempt && g.State == gangStateRunning {
				return true
			}
		}
	}
	return false
}

// admitJob submits a job that has no attempt to the scheduler, or ends it if it
// was cancelled.
func (t *term) admitJob(j *job) {
	st := &j.rec.Status
	if st.CancelRequested {
		t.finishCancelled(j)
		t.markChanged(j)
		return
	}
	j.attemptBase = st.Attempt
	j.admitted = true
	if st.State != model.JobQueued {
		st.State = model.JobQueued
		t.markChanged(j)
	}
	t.sched.Submit(time.Now(), st.Job)
}
