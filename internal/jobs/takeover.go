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
	// settleTime is how long a new planner waits for the workers of running
	// gangs to appear in the membership view.
	settleTime = time.Second
	// quietTime is the time without a new worker after which the view of a young
	// process counts as complete. Jobs that are judged against half a pool would
	// be parked.
	quietTime = 1500 * time.Millisecond
	// warmUp is the time after the start of the process in which an empty view
	// is no evidence: agents find a restarted entry within it.
	warmUp = members.DeadAfter + 2*time.Second
)

// loadedPage is a page that this term has read and fenced.
type loadedPage struct {
	doc *pageDoc
	seq uint64
}

// loadPages reads all pages and writes each one back under the epoch of the
// term. The write proves that the read was not an older state, and from then on
// the writes of earlier planners fail.
func (t *term) loadPages() ([Pages]loadedPage, error) {
	var loaded [Pages]loadedPage
	var wg sync.WaitGroup
	slots := make(chan struct{}, loadConcurrency)
	for i := range loaded {
		t.pages[i] = newPage(t.h.o.Entry.Region, i)
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
	pause := minPause
	for t.ctx.Err() == nil {
		doc, retry := t.fenceOnce(p)
		if doc != nil {
			return loadedPage{doc: doc, seq: 1}
		}
		if retry {
			metrics.Add("page_load_failed", 1)
			if !sleep(t.ctx, pause) {
				break
			}
			pause = min(2*pause, maxPause)
		}
	}
	return loadedPage{}
}

// fenceOnce returns the page once it is fenced. Retry is set if the store gave
// no answer or the page could not be decoded.
func (t *term) fenceOnce(p *page) (doc *pageDoc, retry bool) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	e, err := t.h.o.Store.Get(ctx, p.key)
	if err != nil {
		return nil, true
	}
	d, err := decodePage(e.Value)
	if err != nil {
		logEvent("page_damaged", log.Fields{"page": p.key, "error": err.Error()}).Error("job page cannot be decoded")
		return nil, true
	}
	if d.Epoch > t.epoch {
		t.h.ObserveEpoch(d.Epoch)
		t.end("a job page has a higher epoch")
		return nil, false
	}
	if d.Epoch == t.epoch {
		return d, false // an earlier try took effect although its answer was lost
	}
	d.Epoch, d.Seq = t.epoch, 1
	ok, err := t.h.o.Store.CompareAndSwap(ctx, p.key, e.Revision, d.encode())
	if err != nil || !ok {
		return nil, true
	}
	return d, false
}

// adoptPages builds the job table.
func (t *term) adoptPages(loaded [Pages]loadedPage) {
	for i, l := range loaded {
		p := t.pages[i]
		p.seq = l.seq
		for _, raw := range l.doc.Jobs {
			t.adoptRecord(p, raw)
		}
	}
	t.dropOld(time.Now())
}

func (t *term) adoptRecord(p *page, raw json.RawMessage) {
	j := &job{page: p, encoded: raw, size: len(raw) + 1, recorded: true, answered: true}
	if err := json.Unmarshal(raw, &j.rec); err != nil || j.id() == "" {
		logEvent("record_damaged", log.Fields{"page": p.key}).Error("job record cannot be decoded")
		return
	}
	p.jobs[j.id()] = j
	p.bytes += j.size
	t.jobs[j.id()] = j
	if !j.rec.Status.State.Final() {
		t.active[j.rec.Status.Job.Team]++
	}
}

// trySettle hands the jobs to the scheduler once the workers of running gangs
// are known, or have had time to appear.
func (t *term) trySettle(view *members.View) {
	now := time.Now()
	warm := t.h.started.Add(warmUp)
	deadline := t.began.Add(settleTime)
	if warm.After(deadline) {
		deadline = warm
	}
	quiet := now.After(warm) || t.up > 0 && now.Sub(t.grown) >= quietTime
	if now.Before(deadline) && !(quiet && t.membersKnown(view)) {
		return
	}
	t.settled = true
	logEvent("planner_settled", log.Fields{"epoch": t.epoch, "jobs": len(t.jobs), "workers": t.up, "took_ms": now.Sub(t.began).Milliseconds()}).Info("planner begins to place jobs")
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		if j.recorded && !j.rec.Status.State.Final() {
			jobs = append(jobs, j)
		}
	}
	sortBySubmission(jobs)
	for _, j := range jobs {
		t.restore(j, view)
	}
}

func (t *term) membersKnown(view *members.View) bool {
	for _, j := range t.jobs {
		for _, m := range j.rec.Members {
			if view.Workers[m.Worker] == nil {
				return false
			}
		}
	}
	return true
}

// restore brings one job back to where its record and the reports of the
// workers say it is.
func (t *term) restore(j *job, view *members.View) {
	st := &j.rec.Status
	running := len(j.rec.Members) > 0
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead {
			running = false
		}
	}
	if (st.State == model.JobStarting || st.State == model.JobStopping) && !reported(view, j) {
		running = false
	}
	if !running {
		if len(j.rec.Members) > 0 {
			t.abortAttempt(j)
			return
		}
		t.admit(j)
		return
	}
	started := time.UnixMilli(st.StartedMS)
	if st.StartedMS == 0 {
		started = time.Now()
	}
	j.base = 0
	j.admitted = true
	j.att = t.newAttempt(j, st.Attempt)
	j.att.phase = phaseStarted
	if st.State == model.JobRunning || st.State == model.JobStopping {
		j.att.phase = phaseRunning
	}
	t.sched.Restore(time.Now(), st.Job, st.Attempt, st.Workers, started)
	if j.att.phase == phaseRunning {
		t.sched.GangStarted(time.Now(), j.id(), st.Attempt)
	}
	if st.Cancel {
		t.sched.Cancel(time.Now(), j.id())
	}
}

// reported reports whether a worker says that tasks of the recorded attempt
// have started.
func reported(view *members.View, j *job) bool {
	for _, m := range j.rec.Members {
		w := view.Workers[m.Worker]
		if w == nil || w.Health == members.Dead {
			continue
		}
		for _, g := range w.State.Gangs {
			if g.Job == j.id() && g.Attempt == j.rec.Status.Attempt && g.State == gangRunning {
				return true
			}
		}
	}
	return false
}

// admit hands a job that has no attempt to the scheduler, or ends it if it was
// cancelled.
func (t *term) admit(j *job) {
	st := &j.rec.Status
	if st.Cancel {
		t.cancelled(j)
		t.changed(j)
		return
	}
	j.base = st.Attempt
	j.admitted = true
	if st.State != model.JobQueued {
		st.State = model.JobQueued
		t.changed(j)
	}
	t.sched.Submit(time.Now(), st.Job)
}
