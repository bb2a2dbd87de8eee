package gang

import (
	"context"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// Values of wire.TaskReport.State in addition to those of workerapi.TaskState.
const (
	taskPending  = "pending"  // not started
	taskStarting = "starting" // the worker has not answered the start yet
	taskStopping = "stopping" // running, but being stopped by the member
)

// task is the state of one task of a member. Its fields are guarded by member.mu.
type task struct {
	rank          int
	id            string
	lastState     workerapi.Task // latest answer of the worker
	observed      bool           // lastState is set
	startAnswered bool           // the start has been answered or has failed
	// startError is set if the start failed or was not answered. The task may
	// still be running until the worker confirms that it has stopped.
	startError     string
	renewedAt      time.Time // latest successful renewal
	calledAt       time.Time // start of the latest call
	callPending    bool      // a call is in progress
	checkpointDone bool      // the checkpoint before the stop has ended or is skipped
	ended          bool      // the worker holds no resources for the task
	// lapsed is set if the task counts as lost: its lease has expired, or the worker
	// has not answered its renewals or does not know it.
	lapsed bool
	// mayRunUntil is the latest time until which the worker may run the task
	// without a further renewal.
	mayRunUntil  time.Time
	peakMemoryGB float64
}

// observe records the state that the worker reported.
func (t *task) observe(state workerapi.Task, now time.Time) {
	t.lastState = state
	t.observed = true
	if hasEnded(state.State) {
		t.ended = true
	}
}

// extendRunUntil moves mayRunUntil forward, never back: an unanswered call does
// not shorten a longer lease.
func (t *task) extendRunUntil(until time.Time) {
	if until.After(t.mayRunUntil) {
		t.mayRunUntil = until
	}
}

// dueCall returns the call to the worker that is due for a task, nil for none.
func (mb *member) dueCall(t *task, now time.Time) func() {
	if t.callPending || t.ended {
		return nil
	}
	if now.After(t.mayRunUntil) {
		// The task lease has expired, so the worker has ended the task.
		t.lapsed = true
		t.ended = true
		return nil
	}
	if mb.phase != phaseStopping {
		return mb.dueRenewal(t, now)
	}
	switch {
	case !t.checkpointDone && now.Before(mb.stopAt) && t.startError == "":
		return mb.workerCall(t, now, mb.stopAt.Sub(now), mb.checkpointTask)
	case now.Sub(t.calledAt) >= retryInterval || !t.checkpointDone:
		t.checkpointDone = true
		return mb.workerCall(t, now, workerTimeout, mb.stopTask)
	}
	return nil
}

// dueRenewal returns the renewal of the task lease if it is due. It stops the
// member if the worker has not answered for maxTaskSilence.
func (mb *member) dueRenewal(t *task, now time.Time) func() {
	if !mb.confirmed {
		return nil
	}
	if now.Sub(t.renewedAt) > maxTaskSilence {
		t.lapsed = true
		mb.stopLocked(now, 0, "the worker did not answer the renewal of a task lease")
		return nil
	}
	if now.Sub(t.renewedAt) < TaskRenewInterval || now.Sub(t.calledAt) < retryInterval {
		return nil
	}
	// The renewal may take effect even if its answer is lost.
	t.extendRunUntil(now.Add(renewTimeout + TaskLease + leaseMargin))
	return mb.workerCall(t, now, renewTimeout, mb.renewTask)
}

// workerCall marks a call as in progress and returns a function that runs f with
// the timeout.
func (mb *member) workerCall(t *task, now time.Time, timeout time.Duration, f func(ctx context.Context, t *task)) func() {
	t.callPending = true
	t.calledAt = now
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		f(ctx, t)
		mb.step()
	}
}

func (mb *member) renewTask(ctx context.Context, t *task) {
	state, err := mb.manager.API.Renew(ctx, t.id, TaskLease)
	mb.recordAnswer(t, state, err, func(now time.Time) {
		t.renewedAt = now
		lease := max(TaskLease, time.Duration(state.LeaseMS)*time.Millisecond)
		t.mayRunUntil = now.Add(lease + leaseMargin)
	})
}

func (mb *member) checkpointTask(ctx context.Context, t *task) {
	state, err := mb.manager.API.Checkpoint(ctx, t.id)
	mb.recordAnswer(t, state, err, func(time.Time) {})
	mb.mu.Lock()
	defer mb.mu.Unlock()
	t.checkpointDone = true
	t.calledAt = time.Time{} // the stop follows at once
}

func (mb *member) stopTask(ctx context.Context, t *task) {
	state, err := mb.manager.API.Stop(ctx, t.id)
	mb.recordAnswer(t, state, err, func(time.Time) {})
}

// recordAnswer records the answer to a call and runs onSuccess if it succeeded. A
// task that the worker does not know holds no resources.
func (mb *member) recordAnswer(t *task, state workerapi.Task, err error, onSuccess func(now time.Time)) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	now := mb.manager.Now()
	t.callPending = false
	switch {
	case err == nil:
		onSuccess(now)
		t.observe(state, now)
	case result.CodeOf(err) == result.NotFound:
		t.ended = true
		t.lapsed = true
	}
}

func (t *task) report(mb *member, now time.Time) wire.TaskReport {
	r := wire.TaskReport{Rank: t.rank, CheckpointedMS: max(mb.resumeMS, t.lastState.CheckpointedMS), PeakMemoryGB: t.peakMemoryGB}
	switch {
	case t.startError != "":
		r.State = string(workerapi.TaskFailed)
		r.Reason = t.startError
		if !t.ended {
			r.State = taskFailedUnconfirmed
		}
	case t.lapsed && (!t.observed || !hasEnded(t.lastState.State)):
		r.State = string(workerapi.TaskLeaseExpired)
	case t.observed && !t.ended && mb.phase == phaseStopping:
		r.State = taskStopping
		r.Reason = mb.stopReason
	case t.observed:
		r.State = string(t.lastState.State)
		r.Reason = t.lastState.Reason
	case mb.phase == phaseArmed || mb.phase == phaseEnded:
		r.State = taskPending
	default:
		r.State = taskStarting
	}
	if t.lastState.StartedMS > 0 {
		end := now.UnixMilli()
		if t.lastState.EndedMS > 0 {
			end = t.lastState.EndedMS
		}
		r.WorkMS = max(0, end-t.lastState.StartedMS)
	}
	return r
}

// taskFailedUnconfirmed is the state of a task whose start failed and that the
// worker has not yet confirmed as stopped.
const taskFailedUnconfirmed = "failed_unconfirmed"
