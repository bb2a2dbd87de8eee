package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// reserveTimeout bounds the reservations of a gang. It is below
	// reservationTTL, so that the start order can follow in time.
	reserveTimeout = 1500 * time.Millisecond
	// startTimeout bounds the start order to the supervisor and one repetition.
	startTimeout = 2 * time.Second
	// orderTimeout bounds one other order to an agent.
	orderTimeout = time.Second
	// orderRetryInterval is the interval between repeated orders to one agent. A
	// reservation is repeated because the worker's previous gang may still be
	// releasing its resources.
	orderRetryInterval = 100 * time.Millisecond
	// maxReserveTries bounds the calls for the reservation at one worker.
	maxReserveTries = 4
	// maxAbortTries bounds the stop orders to each agent for an attempt of an
	// earlier planner. If an agent answers none of them, its tasks are left to end
	// when their leases expire.
	maxAbortTries = 5
)

// startPlan holds a copy of what startGang needs of a job, since startGang runs
// on a goroutine of its own.
type startPlan struct {
	job          model.Job
	attempt      uint64
	gang         []wire.Member
	probeWorkers map[string]bool
	resumeMS     int64
}

func (t *term) newStartPlan(j *job, a *attempt) startPlan {
	plan := startPlan{
		job: j.rec.Status.Job, attempt: a.number, resumeMS: j.rec.Status.CheckpointedMS,
		gang: append([]wire.Member(nil), j.rec.Members...), probeWorkers: make(map[string]bool),
	}
	for _, m := range plan.gang {
		if status := t.workers[m.Worker]; status != nil && status.probing {
			plan.probeWorkers[m.Worker] = true
		}
	}
	return plan
}

func (t *term) newOrder(m wire.Member) wire.Order {
	return wire.Order{Epoch: t.epoch, Incarnation: m.Incarnation}
}

// startGang reserves the resources at all agents in parallel. Once all have
// confirmed, it sends the start order to the supervisor of the gang.
func (t *term) startGang(a *attempt, plan startPlan) {
	if t.suspended() {
		t.post(func() { t.handleNotStarted(a, "", errors.New("the planner lease was not renewed in time")) })
		return
	}
	blamed, err := t.reserveAll(a.ctx, plan)
	if err != nil {
		t.releaseAll(plan)
		t.post(func() { t.handleNotStarted(a, blamed, err) })
		return
	}
	sent, err := t.sendStart(a.ctx, plan)
	if err != nil && !sent {
		t.releaseAll(plan)
		t.post(func() { t.handleNotStarted(a, plan.gang[0].Worker, err) })
		return
	}
	t.post(func() { t.markStarted(a) })
}

// reserveAll reserves the resources of a gang at all its workers. If one refuses,
// it returns that worker and its error; the worker is empty if the order was
// fenced.
func (t *term) reserveAll(ctx context.Context, plan startPlan) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var once sync.Once
	var blamed string
	var firstErr error
	for _, m := range plan.gang {
		wg.Go(func() {
			if err := t.reserve(ctx, plan, m); err != nil {
				once.Do(func() {
					blamed, firstErr = m.Worker, fmt.Errorf("reserve at worker %s: %w", m.Worker, err)
					cancel() // the other reservations are no longer needed
				})
			}
		})
	}
	wg.Wait()
	if hasCode(firstErr, result.Fenced) {
		t.stepDown("an agent has seen a higher epoch")
		blamed = ""
	}
	return blamed, firstErr
}

func (t *term) reserve(ctx context.Context, plan startPlan, m wire.Member) error {
	req := &wire.Reserve{
		Order: t.newOrder(m), Job: plan.job.ID, Attempt: plan.attempt, Ranks: m.Ranks,
		PerTask: plan.job.Shape.PerTask(), TTLMS: reservationTTL.Milliseconds(), Probe: plan.probeWorkers[m.Worker],
	}
	var err error
	for range maxReserveTries {
		var ack wire.Ack
		err = t.host.opts.Pool.Call(ctx, m.Address, wire.KindReserve, req, &ack)
		if err == nil {
			t.host.ObserveEpoch(ack.Epoch)
			return nil
		}
		// The call is repeated after a lost answer too, since an agent answers a
		// repeated reservation of the same attempt like the first one.
		if hasCode(err, result.ReservationConflict) || result.CodeOf(err) == result.Internal {
			if sleepWithJitter(ctx, orderRetryInterval) {
				continue
			}
		}
		return err
	}
	return err
}

// sendStart sends the start order to the supervisor of the gang. Sent is set if
// the supervisor may have received the order.
func (t *term) sendStart(ctx context.Context, plan startPlan) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	supervisor := plan.gang[0]
	req := &wire.StartGang{Order: t.newOrder(supervisor), Job: plan.job, Attempt: plan.attempt, Members: plan.gang, ResumeMS: plan.resumeMS}
	for range 2 {
		var ack wire.Ack
		err = t.host.opts.Pool.Call(ctx, supervisor.Address, wire.KindStartGang, req, &ack)
		if err == nil {
			return true, nil
		}
		var resultErr *result.Error
		if errors.As(err, &resultErr) {
			if resultErr.Code == result.Fenced {
				t.stepDown("an agent has seen a higher epoch")
			}
			// The refusal of a repeated order says nothing about the effect of the
			// first one.
			return sent || !resultErr.Code.NotRun(), err
		}
		sent = sent || !transport.NotRun(err)
	}
	return sent, err
}

// releaseAll releases the reservations of an attempt that does not start, so that
// the resources are free before the reservations expire. Errors are ignored.
func (t *term) releaseAll(plan startPlan) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.host.ctx, orderTimeout)
	defer cancel()
	for _, m := range plan.gang {
		wg.Go(func() {
			req := &wire.Release{Order: t.newOrder(m), Job: plan.job.ID, Attempt: plan.attempt}
			_ = t.host.opts.Pool.Call(ctx, m.Address, wire.KindRelease, req, &wire.Ack{})
		})
	}
	wg.Wait()
}

// sendStop sends a stop order to the supervisor of the attempt. After two orders
// without effect it sends the order to every member.
func (t *term) sendStop(a *attempt) {
	gang := a.job.rec.Members
	a.stopOrders++
	if a.stopOrders <= 2 && len(gang) > 0 {
		gang = gang[:1]
	}
	t.sendStopTo(a, gang)
}

func (t *term) sendStopTo(a *attempt, gang []wire.Member) {
	a.lastStopAt = time.Now()
	grace := a.stopGrace
	if grace <= 0 {
		grace = defaultGracePeriod
	}
	for _, m := range currentMembers(t.host.opts.Membership.View(), gang) {
		go t.stopGangOn(m, a.job.id(), a.number, grace, a.stopReason)
	}
}

// currentMembers returns the members that are in the view, with the current
// addresses and incarnations of their agents. An agent accepts orders for its
// current incarnation only. This is safe because an agent that has restarted has
// taken over the gang, and the attempt number still fences the orders.
func currentMembers(view *members.View, gang []wire.Member) []wire.Member {
	list := make([]wire.Member, 0, len(gang))
	for _, m := range gang {
		if w := view.Workers[m.Worker]; w != nil {
			m.Address, m.Incarnation = w.State.Address, w.State.Incarnation
			list = append(list, m)
		}
	}
	return list
}

// stopGangOn sends one stop order to the agent of m. It reports whether the agent
// has answered; a refusal counts as an answer.
func (t *term) stopGangOn(m wire.Member, job string, attempt uint64, grace time.Duration, reason string) bool {
	ctx, cancel := context.WithTimeout(t.host.ctx, orderTimeout)
	defer cancel()
	req := &wire.StopGang{Order: t.newOrder(m), Job: job, Attempt: attempt, GraceMS: grace.Milliseconds(), Reason: reason}
	err := t.host.opts.Pool.Call(ctx, m.Address, wire.KindStopGang, req, &wire.Ack{})
	if hasCode(err, result.Fenced) {
		t.stepDown("an agent has seen a higher epoch")
		return true
	}
	var resultErr *result.Error
	return err == nil || errors.As(err, &resultErr)
}

// abortAttempt stops an attempt that an earlier planner recorded and that does not
// run on all its members. It queues the job again once the agents have answered
// or the orders to them are used up.
func (t *term) abortAttempt(j *job) {
	a := t.newAttempt(j, j.rec.Status.Attempt)
	a.setPhase(phaseAborting)
	j.currentAttempt = a
	gang := currentMembers(t.host.opts.Membership.View(), j.rec.Members)
	id := j.id()
	go func() {
		var wg sync.WaitGroup
		for _, m := range gang {
			wg.Go(func() { t.abortOnWorker(a.ctx, m, id, a.number) })
		}
		wg.Wait()
		t.post(func() { t.requeueAborted(a) })
	}()
}

func (t *term) abortOnWorker(ctx context.Context, m wire.Member, job string, attempt uint64) {
	for range maxAbortTries {
		if t.stopGangOn(m, job, attempt, defaultGracePeriod, "the attempt does not run as a whole") {
			req := &wire.Release{Order: t.newOrder(m), Job: job, Attempt: attempt}
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			_ = t.host.opts.Pool.Call(callCtx, m.Address, wire.KindRelease, req, &wire.Ack{})
			cancel()
			return
		}
		if !sleepWithJitter(ctx, orderRetryInterval) {
			return
		}
	}
}

func (t *term) requeueAborted(a *attempt) {
	if !a.isCurrent() {
		return
	}
	j := a.job
	a.cancel()
	j.currentAttempt = nil
	j.rec.Members = nil
	st := &j.rec.Status
	st.Workers = nil
	st.StartedMS = 0
	st.Reason = model.Reason{Rule: "attempt_lost", Sentence: "The attempt did not survive the change of planner; the job is queued again."}
	st.State = model.JobQueued
	t.markChanged(j)
	t.admitJob(j)
}
