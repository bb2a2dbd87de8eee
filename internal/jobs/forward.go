package jobs

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// submitTimeout bounds Submit and Cancel. It leaves time for a change of
	// planner, which takes the 2 s of LeaseTimeout and the read of the pages.
	submitTimeout = 6 * time.Second
	// queryTimeout bounds the wait for the planner's answer to Status and List.
	queryTimeout = 1500 * time.Millisecond
	// workerOrderTimeout bounds WorkerOrder.
	workerOrderTimeout = 5 * time.Second
	// plannerCallTimeout bounds one call to the planner, so that a dead planner
	// does not use up the time in which its successor could answer.
	plannerCallTimeout = 3500 * time.Millisecond
	// plannerPollInterval is the interval between checks for a change of planner
	// during a call.
	plannerPollInterval = 50 * time.Millisecond
	// minPlannerBackoff and maxPlannerBackoff bound the backoff between calls.
	minPlannerBackoff = 25 * time.Millisecond
	maxPlannerBackoff = 400 * time.Millisecond
)

// plannerAddress returns the address of the planner from the membership or from
// the lease, whichever has the higher epoch. It reports false if no planner is
// known, or if this process is named as the planner.
func (h *Host) plannerAddress() (string, bool) {
	var addr, incarnation string
	var epoch uint64
	if e, ok := h.opts.Membership.View().Planner(); ok {
		addr, incarnation, epoch = e.Info.Address, e.Info.Incarnation, e.PlannerEpoch
	}
	if v := h.knownLease.Load(); v != nil && v.Holder != "" && v.Epoch >= epoch {
		addr, incarnation = v.Address, v.Incarnation
	}
	return addr, addr != "" && incarnation != h.opts.Entry.Incarnation
}

// callPlanner calls the planner, in this process or in another one. It repeats
// the call while there is no planner or the answer is lost, so the call must be
// idempotent. Ambiguous is set if one of the calls without an answer may have
// taken effect.
func callPlanner[Req, Reply any](ctx context.Context, h *Host, kind wire.Kind, req *Req, serveLocal func(*term, context.Context, *Req) (*Reply, error)) (reply *Reply, ambiguous bool, err error) {
	backoff := minPlannerBackoff
	err = result.Errorf(result.NoPlanner, "the region has no planner at the moment")
	for {
		r, callErr := callPlannerOnce(ctx, h, kind, req, serveLocal)
		if callErr == nil {
			return r, ambiguous, nil
		}
		var resultErr *result.Error
		switch {
		case !errors.As(callErr, &resultErr):
			ambiguous = ambiguous || !transport.NotRun(callErr)
		case hasCode(callErr, result.OutcomeUnknown, result.BrokenResponse, result.Internal):
			ambiguous = true
		case !hasCode(callErr, result.NotPlanner, result.NoPlanner, result.Stopping, result.Fenced):
			return nil, ambiguous, callErr
		}
		if !sleepWithJitter(ctx, backoff) {
			return nil, ambiguous, err
		}
		backoff = min(2*backoff, maxPlannerBackoff)
	}
}

func callPlannerOnce[Req, Reply any](ctx context.Context, h *Host, kind wire.Kind, req *Req, serveLocal func(*term, context.Context, *Req) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, plannerCallTimeout)
	defer cancel()
	if t := h.term.Load(); t != nil {
		return serveLocal(t, ctx, req)
	}
	addr, ok := h.plannerAddress()
	if !ok {
		return nil, result.Errorf(result.NoPlanner, "the region has no planner at the moment")
	}
	go h.cancelOnNewPlanner(ctx, cancel, addr)
	reply := new(Reply)
	if err := h.opts.Pool.Call(ctx, addr, kind, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// cancelOnNewPlanner cancels a call to the planner at addr once another process
// is the planner. A call to an entry whose host has failed would otherwise last
// until its timeout, which is longer than a change of planner takes.
func (h *Host) cancelOnNewPlanner(ctx context.Context, cancel context.CancelFunc, addr string) {
	t := time.NewTicker(plannerPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if current, ok := h.plannerAddress(); h.term.Load() != nil || ok && current != addr {
			cancel()
			return
		}
	}
}

// Submit implements Service.
func (h *Host) Submit(ctx context.Context, job model.Job) (model.JobStatus, error) {
	if job.ID == "" {
		job.ID = "job-" + rand.Text()
	}
	if job.SubmittedMS == 0 {
		job.SubmittedMS = time.Now().UnixMilli()
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reply, ambiguous, err := callPlanner(ctx, h, wire.KindJobSubmit, &wire.JobSubmit{Job: job}, (*term).serveSubmit)
	switch {
	case err == nil:
		return reply.Status, nil
	case ambiguous && hasCode(err, result.NoPlanner, result.StoreUnavailable):
		// The last call was refused, but an earlier one may have been accepted.
		return model.JobStatus{}, h.resolveSubmit(job)
	}
	return model.JobStatus{}, err
}

// resolveSubmit returns the error for a submission that had no answer:
// JobConflict if the store holds another job under the same id, else
// OutcomeUnknown.
func (h *Host) resolveSubmit(job model.Job) error {
	ctx, cancel := context.WithTimeout(h.ctx, pageCallTimeout)
	defer cancel()
	if r, err := h.readRecord(ctx, job.ID); err == nil && !sameJob(&r.Status.Job, &job) {
		return result.Errorf(result.JobConflict, "job %s already exists with different fields", job.ID)
	}
	return errOutcomeUnknown(job.ID)
}

// Status implements Service.
func (h *Host) Status(ctx context.Context, id string) (model.JobStatus, error) {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, _, err := callPlanner(queryCtx, h, wire.KindJobStatus, &wire.JobQuery{ID: id}, (*term).serveStatus)
	if err == nil {
		return reply.Status, nil
	}
	if hasCode(err, result.UnknownJob) {
		return model.JobStatus{}, err
	}
	return h.statusFromStore(ctx, id, err)
}

// statusFromStore returns the status of a job from the store. It is used after the
// call to the planner has failed with cause. A job that is missing from its page is
// not reported as unknown, since the store may have returned an older state.
func (h *Host) statusFromStore(ctx context.Context, id string, cause error) (model.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, pageCallTimeout)
	defer cancel()
	r, err := h.readRecord(ctx, id)
	if err != nil {
		return model.JobStatus{}, result.Errorf(result.NoPlanner, "the planner does not answer (%s), and the status cannot be read from the store: %s", result.MessageOf(cause), result.MessageOf(err))
	}
	st := r.Status
	fields := map[string]string{
		"source": "store",
		"age_ms": strconv.FormatInt(time.Now().UnixMilli()-st.UpdatedMS, 10),
	}
	for k, v := range st.Reason.Fields {
		fields[k] = v
	}
	st.Reason.Fields = fields
	return st, nil
}

func (h *Host) readRecord(ctx context.Context, id string) (Record, error) {
	e, err := h.opts.Store.Get(ctx, PageKey(h.opts.Entry.Region, PageOf(id)))
	if err != nil {
		return Record{}, err
	}
	d, err := decodePage(e.Value)
	if err != nil {
		return Record{}, err
	}
	if r, ok := d.find(id); ok {
		return r, nil
	}
	return Record{}, result.Errorf(result.UnknownJob, "job %s is not on its page", id)
}

// Cancel implements Service.
func (h *Host) Cancel(ctx context.Context, ids []string, team string) ([]result.Code, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reply, ambiguous, err := callPlanner(ctx, h, wire.KindJobCancel, &wire.JobCancel{IDs: ids, Team: team}, (*term).serveCancel)
	if err != nil {
		if ambiguous {
			return nil, result.Errorf(result.OutcomeUnknown, "whether the cancellation was recorded is not known; repeat it")
		}
		return nil, err
	}
	if len(reply.Codes) != len(ids) {
		return nil, result.Errorf(result.Internal, "the planner answered %d of %d ids", len(reply.Codes), len(ids))
	}
	return reply.Codes, nil
}

// List implements Service.
func (h *Host) List(ctx context.Context, team string, limit int) (wire.JobListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, _, err := callPlanner(ctx, h, wire.KindJobList, &wire.JobListQuery{Team: team, Limit: limit}, (*term).serveList)
	if err != nil {
		return wire.JobListReply{}, err
	}
	return *reply, nil
}

// WorkerOrder implements Service.
func (h *Host) WorkerOrder(ctx context.Context, worker, action string) error {
	ctx, cancel := context.WithTimeout(ctx, workerOrderTimeout)
	defer cancel()
	_, ambiguous, err := callPlanner(ctx, h, wire.KindPlannerOrder, &wire.PlannerOrder{Worker: worker, Action: action}, (*term).serveWorkerOrder)
	if err != nil && ambiguous {
		return result.Errorf(result.OutcomeUnknown, "whether worker %s has carried out %s is not known; repeat the order", worker, action)
	}
	return err
}
