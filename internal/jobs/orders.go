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
	// reserveTimeout bounds the reservations of a gang; with the start order it
	// stays below reserveExpiry.
	reserveTimeout = 1500 * time.Millisecond
	startTimeout   = 2 * time.Second
	// orderTimeout bounds one other order to an agent.
	orderTimeout = time.Second
	// conflictPause is the wait before a reservation is asked for again at a
	// worker whose previous gang may still be giving its resources back.
	conflictPause = 100 * time.Millisecond
	conflictTries = 4
	// abortTries bounds the orders that stop an attempt of a predecessor; an
	// agent that answers none is on its own lease.
	abortTries = 5
)

// startPlan is what startGang needs; it is a copy, since startGang runs on its
// own goroutine.
type startPlan struct {
	job     model.Job
	attempt uint64
	gang    []wire.Member
	probe   map[string]bool
	resume  int64
}

func (t *term) planStart(j *job, a *attempt) startPlan {
	p := startPlan{
		job: j.rec.Status.Job, attempt: a.number, resume: j.rec.Status.WorkDoneMS,
		gang: append([]wire.Member(nil), j.rec.Members...), probe: make(map[string]bool),
	}
	for _, m := range p.gang {
		if b := t.workers[m.Worker]; b != nil && b.probing {
			p.probe[m.Worker] = true
		}
	}
	return p
}

func (t *term) order(m wire.Member) wire.Order {
	return wire.Order{Epoch: t.epoch, Incarnation: m.Incarnation}
}

// startGang reserves at all agents in parallel and, when all have confirmed,
// hands the gang to its supervisor.
func (t *term) startGang(a *attempt, p startPlan) {
	if t.suspended() {
		t.post(func() { t.notStarted(a, "", errors.New("the planner lease was not renewed in time")) })
		return
	}
	blamed, err := t.reserveAll(a.ctx, p)
	if err != nil {
		t.releaseAll(p)
		t.post(func() { t.notStarted(a, blamed, err) })
		return
	}
	sent, err := t.sendStart(a.ctx, p)
	if err != nil && !sent {
		t.releaseAll(p)
		t.post(func() { t.notStarted(a, p.gang[0].Worker, err) })
		return
	}
	t.post(func() { t.started(a) })
}

// reserveAll returns the first worker that refused, and its error.
func (t *term) reserveAll(ctx context.Context, p startPlan) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var once sync.Once
	var blamed string
	var first error
	for _, m := range p.gang {
		wg.Go(func() {
			if err := t.reserve(ctx, p, m); err != nil {
				once.Do(func() {
					blamed, first = m.Worker, fmt.Errorf("reserve at worker %s: %w", m.Worker, err)
					cancel() // the others need not go on
				})
			}
		})
	}
	wg.Wait()
	if isCode(first, result.Fenced) {
		t.end("an agent has seen a higher epoch")
		blamed = ""
	}
	return blamed, first
}

func (t *term) reserve(ctx context.Context, p startPlan, m wire.Member) error {
	req := &wire.Reserve{
		Order: t.order(m), Job: p.job.ID, Attempt: p.attempt, Ranks: m.Ranks,
		PerTask: p.job.Shape.PerTask(), ExpiryMS: reserveExpiry.Milliseconds(), Probe: p.probe[m.Worker],
	}
	var err error
	for range conflictTries {
		var ack wire.Ack
		err = t.h.o.Pool.Call(ctx, m.Address, wire.KindReserve, req, &ack)
		if err == nil {
			t.h.ObserveEpoch(ack.Epoch)
			return nil
		}
		// An agent answers a repeated reservation of the same attempt as the
		// first one, so a lost answer is asked for again.
		if isCode(err, result.ReservationConflict) || result.CodeOf(err) == result.Internal {
			if sleep(ctx, conflictPause) {
				continue
			}
		}
		return err
	}
	return err
}

// sendStart returns sent if the supervisor may have received the order.
func (t *term) sendStart(ctx context.Context, p startPlan) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	head := p.gang[0]
	req := &wire.StartGang{Order: t.order(head), Job: p.job, Attempt: p.attempt, Members: p.gang, ResumeMS: p.resume}
	for range 2 {
		var ack wire.Ack
		err = t.h.o.Pool.Call(ctx, head.Address, wire.KindStartGang, req, &ack)
		if err == nil {
			return true, nil
		}
		var re *result.Error
		if errors.As(err, &re) {
			if re.Code == result.Fenced {
				t.end("an agent has seen a higher epoch")
			}
			// A refusal of a repeated order does not tell what the first one did.
			return sent || !re.Code.NotRun(), err
		}
		sent = sent || !transport.NotSent(err)
	}
	return sent, err
}

// releaseAll drops the reservations of an attempt that does not start. It is a
// courtesy: they expire by themselves.
func (t *term) releaseAll(p startPlan) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.h.ctx, orderTimeout)
	defer cancel()
	for _, m := range p.gang {
		wg.Go(func() {
			req := &wire.Release{Order: t.order(m), Job: p.job.ID, Attempt: p.attempt}
			_ = t.h.o.Pool.Call(ctx, m.Address, wire.KindRelease, req, &wire.Ack{})
		})
	}
	wg.Wait()
}

// sendStop asks the supervisor to stop the attempt, and every member when the
// supervisor has not reacted to two orders.
func (t *term) sendStop(a *attempt) {
	gang := a.job.rec.Members
	a.stops++
	if a.stops <= 2 && len(gang) > 0 {
		gang = gang[:1]
	}
	t.orderStop(a, gang)
}

func (t *term) orderStop(a *attempt, gang []wire.Member) {
	a.stopSent = time.Now()
	grace := a.grace
	if grace <= 0 {
		grace = defaultGrace
	}
	for _, m := range present(t.h.o.Membership.View(), gang) {
		go t.stopOn(m, a.job.id(), a.number, grace, a.reason)
	}
}

// present returns the members with the present address and incarnation of their
// agents, without those that are not in the view. An agent takes orders for its
// present incarnation only, and one that has restarted has taken over the gang;
// the attempt number fences orders on it.
func present(view *members.View, gang []wire.Member) []wire.Member {
	list := make([]wire.Member, 0, len(gang))
	for _, m := range gang {
		if w := view.Workers[m.Worker]; w != nil {
			m.Address, m.Incarnation = w.State.Address, w.State.Incarnation
			list = append(list, m)
		}
	}
	return list
}

// stopOn sends one stop order. It reports whether the agent has answered.
func (t *term) stopOn(m wire.Member, job string, attempt uint64, grace time.Duration, reason string) bool {
	ctx, cancel := context.WithTimeout(t.h.ctx, orderTimeout)
	defer cancel()
	req := &wire.StopGang{Order: t.order(m), Job: job, Attempt: attempt, GraceMS: grace.Milliseconds(), Reason: reason}
	err := t.h.o.Pool.Call(ctx, m.Address, wire.KindStopGang, req, &wire.Ack{})
	if isCode(err, result.Fenced) {
		t.end("an agent has seen a higher epoch")
		return true
	}
	var re *result.Error
	return err == nil || errors.As(err, &re)
}

// abortAttempt stops the attempt that a predecessor recorded and that does not
// run as a whole, and queues the job again once the agents know.
func (t *term) abortAttempt(j *job) {
	a := t.newAttempt(j, j.rec.Status.Attempt)
	a.enter(phaseAborting)
	j.att = a
	gang := present(t.h.o.Membership.View(), j.rec.Members)
	id := j.id()
	go func() {
		var wg sync.WaitGroup
		for _, m := range gang {
			wg.Go(func() { t.abortOn(a.ctx, m, id, a.number) })
		}
		wg.Wait()
		t.post(func() { t.aborted(a) })
	}()
}

func (t *term) abortOn(ctx context.Context, m wire.Member, job string, attempt uint64) {
	for range abortTries {
		if t.stopOn(m, job, attempt, defaultGrace, "the attempt does not run as a whole") {
			req := &wire.Release{Order: t.order(m), Job: job, Attempt: attempt}
			cctx, cancel := context.WithTimeout(ctx, orderTimeout)
			_ = t.h.o.Pool.Call(cctx, m.Address, wire.KindRelease, req, &wire.Ack{})
			cancel()
			return
		}
		if !sleep(ctx, conflictPause) {
			return
		}
	}
}

func (t *term) aborted(a *attempt) {
	if !a.current() {
		return
	}
	j := a.job
	a.cancel()
	j.att = nil
	j.rec.Members = nil
	st := &j.rec.Status
	st.Workers = nil
	st.StartedMS = 0
	st.Reason = model.Reason{Rule: "attempt_lost", Sentence: "The attempt did not survive the change of planner; the job is queued again."}
	st.State = model.JobQueued
	t.changed(j)
	t.admit(j)
}
