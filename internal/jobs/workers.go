package jobs

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// probation is the time after which a worker that was quarantined by an
	// operator, or by an earlier planner, is probed.
	probation = 5 * time.Minute
	// strayAfter is the time for which a worker must report a gang that should
	// not run there before it is told to stop it; reports lag behind orders.
	strayAfter = 2 * time.Second
	// releaseLag is the time in which the reports of a released worker may still
	// show the quarantine.
	releaseLag = 3 * time.Second
	// workerOrderTries bounds the orders that change the use of a worker.
	workerOrderTries = 5
)

// Actions of a worker order.
const (
	actionDrain      = "drain"
	actionQuarantine = "quarantine"
	actionRelease    = "release"
)

// workerBook is what the term has told the scheduler of a worker.
type workerBook struct {
	worker      model.Worker
	incarnation string
	up          bool
	drained     bool
	// judged is set while the scheduler itself holds the worker in quarantine.
	judged bool
	// held is when the worker came into quarantine by other means; zero if not.
	held    time.Time
	probing bool
	// released is when the worker was last ordered back into use.
	released time.Time
}

// syncView tells the scheduler what has changed in the membership.
func (t *term) syncView() {
	view := t.h.o.Membership.View()
	now := time.Now()
	var epoch uint64
	for id, w := range view.Workers {
		epoch = max(epoch, w.State.Epoch)
		t.syncWorker(now, id, w)
	}
	for id, b := range t.workers {
		if view.Workers[id] == nil {
			t.workerDown(now, id, b)
			delete(t.workers, id)
		}
	}
	t.h.ObserveEpoch(epoch)
	if !t.settled {
		t.trySettle(view)
	}
}

func (t *term) syncWorker(now time.Time, id string, w *members.Worker) {
	b := t.workers[id]
	if w.Health == members.Dead {
		if b != nil {
			t.workerDown(now, id, b)
		}
		return
	}
	if b == nil {
		b = &workerBook{}
		t.workers[id] = b
	}
	if !b.up || b.worker != w.State.Worker {
		if !b.up {
			t.up++
			t.grown = now
		}
		b.up = true
		b.worker = w.State.Worker
		t.sched.AddWorker(now, w.State.Worker)
		if b.drained {
			t.sched.DrainWorker(now, id, true)
		}
		if t.settled {
			t.readmit()
		}
	}
	b.incarnation = w.State.Incarnation
	t.syncQuarantine(now, b, w)
	drain := w.Health == members.Suspect || w.State.Draining || w.State.Stopping || !b.held.IsZero()
	if drain != b.drained {
		b.drained = drain
		t.sched.DrainWorker(now, id, drain)
	}
}

// syncQuarantine notes a quarantine that this term has not ordered.
func (t *term) syncQuarantine(now time.Time, b *workerBook, w *members.Worker) {
	switch {
	case !w.State.Quarantined && !b.held.IsZero() && now.Sub(b.held) > strayAfter:
		b.held = time.Time{}
	case now.Sub(b.released) < releaseLag:
	case w.State.Quarantined && b.held.IsZero() && !b.judged && !b.probing:
		b.held = now
	}
}

func (t *term) workerDown(now time.Time, id string, b *workerBook) {
	if !b.up {
		return
	}
	b.up = false
	t.up--
	logEvent("worker_down", log.Fields{"worker": id}).Warn("worker counts as failed")
	t.sched.RemoveWorker(now, id)
	if unpacked := t.sched.Unpacked(); len(unpacked) > 0 {
		logEvent("guarantees_unpacked", log.Fields{"teams": unpacked, "worker": id, "code": int(result.GuaranteesDoNotPack)}).Warn("guarantees do not pack into the healthy pool")
	}
}

// quarantine takes a worker out of use. Judged is set for a decision of the
// scheduler, which then decides on the probe as well.
func (t *term) quarantine(id string, judged bool) {
	b := t.workers[id]
	if b == nil {
		return
	}
	b.probing = false
	b.judged = judged
	if !judged {
		b.held = time.Now()
		b.drained = true
		t.sched.DrainWorker(time.Now(), id, true)
	}
	go t.orderWorker(t.h.ctx, id, actionQuarantine)
}

// probe lets the next gang use a quarantined worker.
func (t *term) probe(id string) {
	if b := t.workers[id]; b != nil {
		b.probing = true
		b.judged = false
		b.held = time.Time{}
	}
}

// checkProbation probes workers whose quarantine the scheduler does not manage.
func (t *term) checkProbation(now time.Time) {
	for id, b := range t.workers {
		if b.held.IsZero() || now.Sub(b.held) < probation {
			continue
		}
		logEvent("worker_probe", log.Fields{"worker": id}).Info("quarantined worker is probed")
		t.probe(id)
	}
}

// noteProbe returns probed workers to service after a job has run on them.
func (t *term) noteProbe(a *attempt, outcome framework.Outcome) {
	if outcome != framework.OutcomeDone {
		return
	}
	for id, b := range t.workers {
		if b.probing && t.ranOn(a, id) {
			b.probing = false
			b.released = time.Now()
			go t.orderWorker(t.h.ctx, id, actionRelease)
		}
	}
}

func (t *term) ranOn(a *attempt, worker string) bool {
	for _, id := range a.workers {
		if id == worker {
			return true
		}
	}
	return false
}

// orderWorker sends an order until the agent answers.
func (t *term) orderWorker(ctx context.Context, id, action string) error {
	var err error
	for range workerOrderTries {
		w := t.h.o.Membership.View().Workers[id]
		if w == nil {
			return result.Errorf(result.UnknownWorker, "worker %s is not in the membership", id)
		}
		req := &wire.WorkerOrder{Order: wire.Order{Epoch: t.epoch, Incarnation: w.State.Incarnation}, Action: action}
		cctx, cancel := context.WithTimeout(ctx, orderTimeout)
		err = t.h.o.Pool.Call(cctx, w.State.Address, wire.KindWorkerOrder, req, &wire.Ack{})
		cancel()
		if err == nil || isCode(err, result.BadRequest) {
			break
		}
		if isCode(err, result.Fenced) {
			t.end("an agent has seen a higher epoch")
			break
		}
		if !sleep(ctx, 2*conflictPause) {
			break
		}
	}
	fields := log.Fields{"worker": id, "action": action, "code": int(result.CodeOf(err))}
	if err != nil {
		logEvent("worker_order", fields).Warn(err.Error())
		return err
	}
	logEvent("worker_order", fields).Info("worker order carried out")
	return nil
}

// checkStrays stops gangs that workers report and that should not run there:
// attempts that have ended or were replaced, and jobs without a record.
func (t *term) checkStrays(now time.Time) {
	view := t.h.o.Membership.View()
	seen := make(map[string]bool)
	for id, w := range view.Workers {
		if w.Health == members.Dead {
			continue
		}
		for _, g := range w.State.Gangs {
			if !t.stray(g) {
				continue
			}
			key := id + " " + g.Job
			seen[key] = true
			first, ok := t.strays[key]
			if !ok {
				t.strays[key] = now
				continue
			}
			if now.Sub(first) < strayAfter {
				continue
			}
			t.strays[key] = now
			metrics.Add("strays_stopped", 1)
			logEvent("stray_gang", log.Fields{"job": g.Job, "attempt": g.Attempt, "worker": id}).Warn("gang without a matching record is stopped")
			m := wire.Member{Worker: id, Address: w.State.Address, Incarnation: w.State.Incarnation}
			go t.stopOn(m, g.Job, g.Attempt, defaultGrace, "no record of this attempt")
		}
	}
	for key := range t.strays {
		if !seen[key] {
			delete(t.strays, key)
		}
	}
}

// stray reports whether a reported gang should not run. A higher attempt than
// the recorded one belongs to a newer planner and is left alone.
func (t *term) stray(g wire.GangState) bool {
	j := t.jobs[g.Job]
	if j == nil {
		return true
	}
	if j.att != nil {
		return g.Attempt < j.att.number
	}
	return g.Attempt <= j.rec.Status.Attempt
}
