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
	// probeDelay is the time after which a worker that was quarantined by an
	// operator, or by an earlier planner, is probed.
	probeDelay = 5 * time.Minute
	// strayGracePeriod is the time for which a worker must report a gang that should
	// not run there before it is told to stop it; reports lag behind orders.
	strayGracePeriod = 2 * time.Second
	// releaseReportLag is the time in which the reports of a released worker may still
	// show the quarantine.
	releaseReportLag = 3 * time.Second
	// maxWorkerOrderTries bounds the orders that change the use of a worker.
	maxWorkerOrderTries = 5
)

// Actions of a worker order.
const (
	actionDrain      = "drain"
	actionQuarantine = "quarantine"
	actionRelease    = "release"
)

// workerStatus is what the term has told the scheduler of a worker.
type workerStatus struct {
	worker      model.Worker
	incarnation string
	up          bool
	drained     bool
	// quarantinedByScheduler is set while the scheduler itself holds the worker in quarantine.
	quarantinedByScheduler bool
	// quarantinedSince is when the worker came into quarantine by other means; zero if not.
	quarantinedSince time.Time
	probing          bool
	// releasedAt is when the worker was last ordered back into use.
	releasedAt time.Time
}

// syncMembership tells the scheduler what has changed in the membership.
func (t *term) syncMembership() {
	view := t.host.opts.Membership.View()
	now := time.Now()
	var epoch uint64
	for id, w := range view.Workers {
		epoch = max(epoch, w.State.Epoch)
		t.syncWorker(now, id, w)
	}
	for id, status := range t.workers {
		if view.Workers[id] == nil {
			t.workerDown(now, id, status)
			delete(t.workers, id)
		}
	}
	t.host.ObserveEpoch(epoch)
	if !t.settled {
		t.trySettle(view)
	}
}

func (t *term) syncWorker(now time.Time, id string, w *members.Worker) {
	status := t.workers[id]
	if w.Health == members.Dead {
		if status != nil {
			t.workerDown(now, id, status)
		}
		return
	}
	if status == nil {
		status = &workerStatus{}
		t.workers[id] = status
	}
	if !status.up || status.worker != w.State.Worker {
		if !status.up {
			t.upWorkers++
			t.lastWorkerUp = now
		}
		status.up = true
		status.worker = w.State.Worker
		t.sched.AddWorker(now, w.State.Worker)
		if status.drained {
			t.sched.DrainWorker(now, id, true)
		}
		if t.settled {
			t.readmitParked()
		}
	}
	status.incarnation = w.State.Incarnation
	t.syncQuarantine(now, status, w)
	drain := w.Health == members.Suspect || w.State.Draining || w.State.Stopping || !status.quarantinedSince.IsZero()
	if drain != status.drained {
		status.drained = drain
		t.sched.DrainWorker(now, id, drain)
	}
}

// syncQuarantine notes a quarantine that this term has not ordered.
func (t *term) syncQuarantine(now time.Time, status *workerStatus, w *members.Worker) {
	switch {
	case !w.State.Quarantined && !status.quarantinedSince.IsZero() && now.Sub(status.quarantinedSince) > strayGracePeriod:
		status.quarantinedSince = time.Time{}
	case now.Sub(status.releasedAt) < releaseReportLag:
	case w.State.Quarantined && status.quarantinedSince.IsZero() && !status.quarantinedByScheduler && !status.probing:
		status.quarantinedSince = now
	}
}

func (t *term) workerDown(now time.Time, id string, status *workerStatus) {
	if !status.up {
		return
	}
	status.up = false
	t.upWorkers--
	logEvent("worker_down", log.Fields{"worker": id}).Warn("worker counts as failed")
	t.sched.RemoveWorker(now, id)
	if unpacked := t.sched.Unpacked(); len(unpacked) > 0 {
		logEvent("guarantees_unpacked", log.Fields{"teams": unpacked, "worker": id, "code": int(result.GuaranteesDoNotPack)}).Warn("guarantees do not pack into the healthy pool")
	}
}

// quarantineWorker takes a worker out of use. Judged is set for a decision of the
// scheduler, which then decides on the probe as well.
func (t *term) quarantineWorker(id string, byScheduler bool) {
	status := t.workers[id]
	if status == nil {
		return
	}
	status.probing = false
	status.quarantinedByScheduler = byScheduler
	if !byScheduler {
		status.quarantinedSince = time.Now()
		status.drained = true
		t.sched.DrainWorker(time.Now(), id, true)
	}
	go t.sendWorkerOrder(t.host.ctx, id, actionQuarantine)
}

// startProbe lets the next gang use a quarantined worker.
func (t *term) startProbe(id string) {
	if status := t.workers[id]; status != nil {
		status.probing = true
		status.quarantinedByScheduler = false
		status.quarantinedSince = time.Time{}
	}
}

// probeQuarantined probes workers whose quarantine the scheduler does not manage.
func (t *term) probeQuarantined(now time.Time) {
	for id, status := range t.workers {
		if status.quarantinedSince.IsZero() || now.Sub(status.quarantinedSince) < probeDelay {
			continue
		}
		logEvent("worker_probe", log.Fields{"worker": id}).Info("quarantined worker is probed")
		t.startProbe(id)
	}
}

// releaseProbed returns probed workers to service after a job has run on them.
func (t *term) releaseProbed(a *attempt, outcome framework.Outcome) {
	if outcome != framework.OutcomeDone {
		return
	}
	for id, status := range t.workers {
		if status.probing && t.usedWorker(a, id) {
			status.probing = false
			status.releasedAt = time.Now()
			go t.sendWorkerOrder(t.host.ctx, id, actionRelease)
		}
	}
}

func (t *term) usedWorker(a *attempt, worker string) bool {
	for _, id := range a.workers {
		if id == worker {
			return true
		}
	}
	return false
}

// sendWorkerOrder sends an order until the agent answers.
func (t *term) sendWorkerOrder(ctx context.Context, id, action string) error {
	var err error
	for range maxWorkerOrderTries {
		w := t.host.opts.Membership.View().Workers[id]
		if w == nil {
			return result.Errorf(result.UnknownWorker, "worker %s is not in the membership", id)
		}
		req := &wire.WorkerOrder{Order: wire.Order{Epoch: t.epoch, Incarnation: w.State.Incarnation}, Action: action}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err = t.host.opts.Pool.Call(callCtx, w.State.Address, wire.KindWorkerOrder, req, &wire.Ack{})
		cancel()
		if err == nil || hasCode(err, result.BadRequest) {
			break
		}
		if hasCode(err, result.Fenced) {
			t.stepDown("an agent has seen a higher epoch")
			break
		}
		if !sleepWithJitter(ctx, 2*orderRetryInterval) {
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
	view := t.host.opts.Membership.View()
	seen := make(map[string]bool)
	for id, w := range view.Workers {
		if w.Health == members.Dead {
			continue
		}
		for _, g := range w.State.Gangs {
			if !t.isStray(g) {
				continue
			}
			key := id + " " + g.Job
			seen[key] = true
			firstSeen, ok := t.strayFirstSeen[key]
			if !ok {
				t.strayFirstSeen[key] = now
				continue
			}
			if now.Sub(firstSeen) < strayGracePeriod {
				continue
			}
			t.strayFirstSeen[key] = now
			metrics.Add("strays_stopped", 1)
			logEvent("stray_gang", log.Fields{"job": g.Job, "attempt": g.Attempt, "worker": id}).Warn("gang without a matching record is stopped")
			m := wire.Member{Worker: id, Address: w.State.Address, Incarnation: w.State.Incarnation}
			go t.stopGangOn(m, g.Job, g.Attempt, defaultGracePeriod, "no record of this attempt")
		}
	}
	for key := range t.strayFirstSeen {
		if !seen[key] {
			delete(t.strayFirstSeen, key)
		}
	}
}

// isStray reports whether a reported gang should not run. A higher attempt than
// the recorded one belongs to a newer planner and is left alone.
func (t *term) isStray(g wire.GangState) bool {
	j := t.jobs[g.Job]
	if j == nil {
		return true
	}
	if j.currentAttempt != nil {
		return g.Attempt < j.currentAttempt.number
	}
	return g.Attempt <= j.rec.Status.Attempt
}
