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
	// probeDelay is how long a worker stays out of use after a quarantine by an
	// operator or an earlier planner before it is probed.
	probeDelay = 5 * time.Minute
	// strayGracePeriod is how long a worker must report a gang that should not run
	// there before it is ordered to stop it, since reports lag behind orders. For
	// the same reason, a quarantine is kept this long although the worker does not
	// report it.
	strayGracePeriod = 2 * time.Second
	// releaseReportLag is how long the reports of a released worker may still show
	// the quarantine.
	releaseReportLag = 3 * time.Second
	// maxWorkerOrderTries bounds the calls for one drain, quarantine or release.
	maxWorkerOrderTries = 5
)

// Actions of wire.WorkerOrder and wire.PlannerOrder.
const (
	actionDrain      = "drain"
	actionQuarantine = "quarantine"
	actionRelease    = "release"
)

// workerStatus is the state of a worker as the term has reported it to the
// scheduler.
type workerStatus struct {
	worker      model.Worker
	incarnation string
	up          bool
	drained     bool // the scheduler has been told to place no new gangs on it
	// quarantinedByScheduler is set while the worker is in a quarantine that the
	// scheduler decided on.
	quarantinedByScheduler bool
	// quarantinedSince is when the worker was found in a quarantine that the
	// scheduler did not decide on; zero if it is in none.
	quarantinedSince time.Time
	// probing is set from the start of a probe until a job has succeeded on the
	// worker, or until it is quarantined or released by an order.
	probing bool
	// releasedAt is when the worker was last ordered back into use.
	releasedAt time.Time
}

// syncMembership passes changes of the membership on to the scheduler.
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

// syncQuarantine records the start and the end of a quarantine that this term has
// not ordered.
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
	logEvent("worker_down", log.Fields{"worker": id}).Warn("worker is dead or has left the membership; the scheduler no longer uses it")
	t.sched.RemoveWorker(now, id)
	if unpacked := t.sched.UnpackedTeams(); len(unpacked) > 0 {
		logEvent("guarantees_unpacked", log.Fields{"teams": unpacked, "worker": id, "code": int(result.GuaranteesDoNotPack)}).Warn("guarantees do not pack into the healthy pool")
	}
}

// quarantineWorker takes a worker out of use. byScheduler is set for a decision of
// the scheduler, which then decides on the probe as well.
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

// startProbe allows the next gang to use a quarantined worker.
func (t *term) startProbe(id string) {
	if status := t.workers[id]; status != nil {
		status.probing = true
		status.quarantinedByScheduler = false
		status.quarantinedSince = time.Time{}
	}
}

// probeQuarantined starts the probe of workers whose quarantine has lasted for
// probeDelay and is not managed by the scheduler.
func (t *term) probeQuarantined(now time.Time) {
	for id, status := range t.workers {
		if status.quarantinedSince.IsZero() || now.Sub(status.quarantinedSince) < probeDelay {
			continue
		}
		logEvent("worker_probe", log.Fields{"worker": id}).Info("next gang may use the quarantined worker as a probe")
		t.startProbe(id)
	}
}

// releaseProbed returns probed workers to use after a job has succeeded on them.
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

// sendWorkerOrder repeats an order until the agent carries it out or refuses it
// for good, or maxWorkerOrderTries calls have failed.
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

// checkStrays stops gangs that workers report but that should not run there:
// attempts that have ended or were replaced, and gangs of jobs without a record.
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
			logEvent("stray_gang", log.Fields{"job": g.Job, "attempt": g.Attempt, "worker": id}).Warn("stopping a gang that matches no job record")
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

// isStray reports whether a reported gang should not run. An attempt with a higher
// number than the recorded one belongs to a newer planner and is left running.
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
