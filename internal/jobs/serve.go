package jobs

import (
	"context"
	"reflect"
	"sort"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// recordTimeout bounds the wait of a call until its change is durable. It
	// leaves time for the store's own timeout and one repetition.
	recordTimeout = 3 * time.Second
	// MaxCancelIDs bounds the ids in one call of Cancel.
	MaxCancelIDs = 10_000
	// MaxListedJobs bounds the jobs in one reply to List.
	MaxListedJobs = 10_000
	// maxListBytes keeps the reply to List below wire.MaxMessageBytes. It is
	// compared with the JSON size of the records, which exceeds their size in
	// CBOR. listReasonBytes is added for each job, since the reply may hold a
	// reason that the record lacks.
	maxListBytes    = wire.MaxMessageBytes * 3 / 4
	listReasonBytes = 256
)

func (t *term) serveSubmit(ctx context.Context, req *wire.JobSubmit) (*wire.JobReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	answer := make(chan submitResult, 1)
	if err := t.postAndWait(ctx, func() { t.submit(req.Job, func(a submitResult) { answer <- a }) }); err != nil {
		return nil, errOutcomeUnknown(req.Job.ID)
	}
	select {
	case a := <-answer:
		if a.err != nil {
			return nil, a.err
		}
		return &wire.JobReply{Status: a.status}, nil
	case <-ctx.Done():
		return nil, errOutcomeUnknown(req.Job.ID)
	}
}

func errOutcomeUnknown(id string) error {
	return result.Errorf(result.OutcomeUnknown, "whether job %s was accepted is not known yet; ask for its status, or submit it again under the same id", id)
}

type submitResult struct {
	status model.JobStatus
	err    error
}

// submit records a job, unless a job with its id exists. Reply is called once, on
// the goroutine of the term.
func (t *term) submit(spec model.Job, reply func(submitResult)) {
	j := t.jobs[spec.ID]
	if j != nil {
		if !sameJob(&j.rec.Status.Job, &spec) {
			reply(submitResult{err: result.Errorf(result.JobConflict, "job %s already exists with different fields", spec.ID)})
			return
		}
		t.replyWhenDurable(j, j.page.version, reply, nil)
		return
	}
	j, err := t.addJob(spec)
	if err != nil {
		reply(submitResult{err: err})
		return
	}
	version := t.markChanged(j)
	j.page.encodeJob(j)
	t.replyWhenDurable(j, version, reply, func() { t.withdrawJob(j) })
}

// addJob adds the job to its page after the checks that need the planner's state:
// the team and its limit, the size of the record and the space on the page.
func (t *term) addJob(spec model.Job) (*job, error) {
	p := t.pages[PageOf(spec.ID)]
	switch {
	case t.draining.Load():
		return nil, errNotPlanner()
	case t.suspended() || p.failing:
		return nil, result.Errorf(result.StoreUnavailable, "the store does not answer; the job was not accepted")
	}
	if err := t.checkTeam(spec); err != nil {
		return nil, err
	}
	j := &job{page: p}
	j.rec.Status = model.JobStatus{Job: spec, State: model.JobQueued,
		Reason: model.Reason{Rule: "accepted", Sentence: "The job is recorded and waits for the scheduler."}}
	size := len(mustEncodeJSON(&j.rec))
	if size > MaxRecordBytes {
		return nil, result.Errorf(result.BadRequest, "the job has %d bytes, more than the limit of %d", size, MaxRecordBytes)
	}
	droppable := 0
	for _, ended := range p.endedJobs() {
		droppable += ended.encodedSize
	}
	if p.encodedBytes-droppable+size > MaxPageBytes {
		return nil, result.Errorf(result.JobIndexFull, "page %s of the job index is full", p.key)
	}
	p.jobs[spec.ID] = j
	t.jobs[spec.ID] = j
	t.active[spec.Team]++
	metrics.Add("submitted", 1)
	return j, nil
}

func (t *term) checkTeam(spec model.Job) error {
	c := t.host.opts.Config.Current()
	if c == nil {
		return result.Errorf(result.ConfigVersionUnknown, "the planner has no configuration yet")
	}
	team, ok := c.Team(spec.Team)
	if !ok {
		return result.Errorf(result.UnknownTeam, "team %s is not in configuration version %d", spec.Team, c.Version)
	}
	limit := team.MaxQueuedJobs
	if limit == 0 {
		limit = c.Limits.MaxQueuedJobs
	}
	if limit > 0 && t.active[spec.Team] >= limit {
		return result.Errorf(result.Overloaded, "team %s has %d jobs that have not ended, its limit", spec.Team, limit)
	}
	return nil
}

// withdrawJob removes a job that has not been sent to the store.
func (t *term) withdrawJob(j *job) {
	j.page.remove(j)
	delete(t.jobs, j.id())
	if !j.rec.Status.State.Final() {
		t.active[j.rec.Status.Job.Team]--
	}
}

// replyWhenDurable replies once the job is durable. A job that is not admitted yet
// is submitted to the scheduler first, so that the reply can report a refusal.
func (t *term) replyWhenDurable(j *job, version uint64, reply func(submitResult), withdraw func()) {
	t.whenDurable(j.page, version, func(err error) {
		if err != nil {
			if hasCode(err, result.OutcomeUnknown) {
				err = errOutcomeUnknown(j.id())
			}
			reply(submitResult{err: err})
			return
		}
		j.recorded = true
		if !j.admitted && j.currentAttempt == nil && t.settled && j.rec.Status.State == model.JobQueued {
			t.admitJob(j)
			t.decide()
		}
		j.answered = true
		st := t.status(j)
		if st.State == model.JobRefused {
			reply(submitResult{err: result.Errorf(result.ImpossibleShape, "job %s: %s", st.Job.ID, st.Reason.Sentence)})
			return
		}
		reply(submitResult{status: st})
	}, withdraw)
}

// sameJob reports whether two jobs agree in all fields that the caller chooses.
func sameJob(a, b *model.Job) bool {
	x, y := *a, *b
	x.SubmittedMS, y.SubmittedMS = 0, 0
	if len(x.Command) == 0 && len(y.Command) == 0 {
		x.Command, y.Command = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

// status returns the status of j with the scheduler's current reason.
func (t *term) status(j *job) model.JobStatus {
	st := j.rec.Status
	if j.admitted && st.State != model.JobStopping {
		if r, ok := t.sched.Explain(j.id()); ok {
			st.Reason = r
		}
	}
	return st
}

func (t *term) serveStatus(ctx context.Context, req *wire.JobQuery) (*wire.JobReply, error) {
	var reply *wire.JobReply
	err := t.postAndWait(ctx, func() {
		if j := t.jobs[req.ID]; j != nil {
			reply = &wire.JobReply{Status: t.status(j)}
		}
	})
	switch {
	case err != nil:
		return nil, errNotPlanner()
	case reply == nil && t.suspended():
		return nil, errNotPlanner() // a newer planner may have accepted the job
	case reply == nil:
		return nil, result.Errorf(result.UnknownJob, "there is no job %s", req.ID)
	}
	return reply, nil
}

func (t *term) serveCancel(ctx context.Context, req *wire.JobCancel) (*wire.JobCancelReply, error) {
	if len(req.IDs) > MaxCancelIDs {
		return nil, result.Errorf(result.BadRequest, "%d ids exceed the limit of %d", len(req.IDs), MaxCancelIDs)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	codes := make([]result.Code, len(req.IDs))
	durable := make(chan int, len(req.IDs))
	awaited := 0
	if err := t.postAndWait(ctx, func() { awaited = t.cancelJobs(req, codes, durable) }); err != nil {
		return nil, errNotPlanner()
	}
	pending := make(map[int]bool)
	for i, c := range codes {
		if c == result.Accepted {
			pending[i] = true
		}
	}
	for ; awaited > 0; awaited-- {
		select {
		case i := <-durable:
			delete(pending, i)
		case <-ctx.Done():
			awaited = 1 // leaves the loop
		}
	}
	// A cancellation that is not durable takes effect in this term, but the next
	// planner may not know of it.
	for i := range pending {
		codes[i] = result.OutcomeUnknown
	}
	return &wire.JobCancelReply{Codes: codes}, nil
}

// cancelJobs cancels the jobs of req and sets the code of each. It returns the
// number of accepted cancellations; each one's index is sent to durable when the
// cancellation is durable, which may not happen in this term.
func (t *term) cancelJobs(req *wire.JobCancel, codes []result.Code, durable chan<- int) int {
	awaited := 0
	for i, id := range req.IDs {
		j := t.jobs[id]
		codes[i] = t.cancelJob(j, req.Team)
		if codes[i] != result.Accepted {
			continue
		}
		awaited++
		t.whenDurable(j.page, j.page.version, func(err error) {
			if err == nil {
				durable <- i
			}
		}, nil)
	}
	return awaited
}

func (t *term) cancelJob(j *job, team string) result.Code {
	switch {
	case j == nil && t.suspended():
		return result.NoPlanner
	case j == nil:
		return result.UnknownJob
	case team != "" && team != j.rec.Status.Job.Team:
		return result.Forbidden
	case j.rec.Status.State.Final():
		return result.OK
	case j.rec.Status.CancelRequested:
		return result.Accepted
	}
	j.rec.Status.CancelRequested = true
	metrics.Add("cancel_requests", 1)
	if j.admitted {
		t.sched.Cancel(time.Now(), j.id())
	}
	if j.currentAttempt == nil && t.settled {
		t.finishCancelled(j)
	} else if j.currentAttempt != nil {
		// The stop does not wait for the decision of the scheduler, since nothing
		// is decided without the lease or during a graceful stop.
		t.stopAttempt(j, defaultGracePeriod, "The job was cancelled on request.")
	}
	t.markChanged(j)
	return result.Accepted
}

func (t *term) serveList(ctx context.Context, req *wire.JobListQuery) (*wire.JobListReply, error) {
	limit := req.Limit
	if limit <= 0 || limit > MaxListedJobs {
		limit = MaxListedJobs
	}
	reply := &wire.JobListReply{Epoch: t.epoch}
	err := t.postAndWait(ctx, func() {
		reply.UnpackedTeams = t.sched.UnpackedTeams()
		size := 0
		for _, j := range t.activeJobs(req.Team, limit) {
			size += len(j.page.encodeJob(j)) + listReasonBytes
			if size > maxListBytes {
				break
			}
			reply.Jobs = append(reply.Jobs, t.status(j))
		}
	})
	if err != nil {
		return nil, errNotPlanner()
	}
	return reply, nil
}

// activeJobs returns up to limit jobs of a team that have not ended, the oldest
// first. An empty team stands for all teams.
func (t *term) activeJobs(team string, limit int) []*job {
	var list []*job
	for _, j := range t.jobs {
		if !j.rec.Status.State.Final() && (team == "" || team == j.rec.Status.Job.Team) {
			list = append(list, j)
		}
	}
	sortBySubmission(list)
	return list[:min(limit, len(list))]
}

func sortBySubmission(list []*job) {
	sort.Slice(list, func(a, b int) bool {
		x, y := &list[a].rec.Status.Job, &list[b].rec.Status.Job
		if x.SubmittedMS != y.SubmittedMS {
			return x.SubmittedMS < y.SubmittedMS
		}
		return x.ID < y.ID
	})
}

func (t *term) serveWorkerOrder(ctx context.Context, req *wire.PlannerOrder) (*wire.Ack, error) {
	if t.host.opts.Membership.View().Workers[req.Worker] == nil {
		return nil, result.Errorf(result.UnknownWorker, "worker %s is not in the membership", req.Worker)
	}
	switch req.Action {
	case actionDrain, actionQuarantine, actionRelease:
	default:
		return nil, result.Errorf(result.BadRequest, "action: %q must be drain, quarantine or release", req.Action)
	}
	if err := t.sendWorkerOrder(ctx, req.Worker, req.Action); err != nil {
		return nil, err
	}
	err := t.postAndWait(ctx, func() { t.applyWorkerOrder(req) })
	return &wire.Ack{Epoch: t.epoch}, err
}

// applyWorkerOrder applies an operator's order that the agent has confirmed to the
// scheduler, without waiting for the next report of the agent.
func (t *term) applyWorkerOrder(req *wire.PlannerOrder) {
	status := t.workers[req.Worker]
	if status == nil {
		return
	}
	now := time.Now()
	switch req.Action {
	case actionQuarantine:
		status.quarantinedByScheduler, status.probing = false, false
		status.quarantinedSince = now
	case actionRelease:
		status.quarantinedByScheduler, status.probing = false, false
		status.quarantinedSince = time.Time{}
		status.releasedAt = now
		t.sched.ReleaseWorker(now, req.Worker)
	}
	drain := req.Action != actionRelease
	if drain != status.drained {
		status.drained = drain
		t.sched.DrainWorker(now, req.Worker, drain)
	}
}
