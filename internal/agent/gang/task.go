package gang

import (
	"context"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

// States of a task report besides those of workerapi.TaskState.
const (
	taskPending  = "pending"  // not started
	taskStarting = "starting" // the worker has not answered yet
	taskStopping = "stopping" // still running, but the member is stopping it
)

// task is one task of a member. The fields are guarded by member.mu.
type task struct {
	rank     int
	id       string
	last     workerapi.Task // latest state from the worker
	known    bool           // last is set
	answered bool           // the start has been answered or has failed
	// startError is set if the start failed or was not answered; the task may
	// run in spite of it until it is confirmed as stopped.
	startError string
	renewed    time.Time // latest successful renewal
	tried      time.Time // latest call
	busy       bool      // a call is in progress
	saved      bool      // the checkpoint before the stop has ended
	over       bool      // the worker holds no resources for the task
	lapsed     bool      // the worker has not answered for taskSilence
	// mayRunUntil is the latest time at which the worker may still run the task
	// without a further renewal.
	mayRunUntil time.Time
	peakGB      float64
}

func (k *task) observe(state workerapi.Task, now time.Time) {
	k.last = state
	k.known = true
	if ended(state.State) {
		k.over = true
	}
}

// extend moves mayRunUntil; an unanswered call never shortens a longer lease.
func (k *task) extend(until time.Time) {
	if until.After(k.mayRunUntil) {
		k.mayRunUntil = until
	}
}

// due returns the call to the worker that is due for a task.
func (t *member) due(k *task, now time.Time) func() {
	if k.busy || k.over {
		return nil
	}
	if now.After(k.mayRunUntil) {
		// The worker has ended the task, since its lease has lapsed.
		k.lapsed = true
		k.over = true
		return nil
	}
	if t.phase != phaseStopping {
		return t.dueRenewal(k, now)
	}
	switch {
	case !k.saved && now.Before(t.stopAt) && k.startError == "":
		return t.call(k, now, t.stopAt.Sub(now), t.checkpointTask)
	case now.Sub(k.tried) >= retryInterval || !k.saved:
		k.saved = true
		return t.call(k, now, workerTimeout, t.stopTask)
	}
	return nil
}

func (t *member) dueRenewal(k *task, now time.Time) func() {
	if !t.confirmed {
		return nil
	}
	if now.Sub(k.renewed) > taskSilence {
		k.lapsed = true
		t.stopLocked(now, 0, "the worker has not renewed a task lease")
		return nil
	}
	if now.Sub(k.renewed) < TaskRenewInterval || now.Sub(k.tried) < retryInterval {
		return nil
	}
	// A renewal without an answer may have taken effect.
	k.extend(now.Add(renewTimeout + TaskLease + leaseMargin))
	return t.call(k, now, renewTimeout, t.renewTask)
}

func (t *member) call(k *task, now time.Time, timeout time.Duration, f func(ctx context.Context, k *task)) func() {
	k.busy = true
	k.tried = now
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		f(ctx, k)
		t.step()
	}
}

func (t *member) renewTask(ctx context.Context, k *task) {
	state, err := t.m.API.Renew(ctx, k.id, TaskLease)
	t.finish(k, state, err, func(now time.Time) {
		k.renewed = now
		lease := max(TaskLease, time.Duration(state.LeaseMS)*time.Millisecond)
		k.mayRunUntil = now.Add(lease + leaseMargin)
	})
}

func (t *member) checkpointTask(ctx context.Context, k *task) {
	state, err := t.m.API.Checkpoint(ctx, k.id)
	t.finish(k, state, err, func(time.Time) {})
	t.mu.Lock()
	defer t.mu.Unlock()
	k.saved = true
	k.tried = time.Time{} // the stop follows at once
}

func (t *member) stopTask(ctx context.Context, k *task) {
	state, err := t.m.API.Stop(ctx, k.id)
	t.finish(k, state, err, func(time.Time) {})
}

// finish records the answer to a call. A task that the worker does not know
// holds no resources.
func (t *member) finish(k *task, state workerapi.Task, err error, ok func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.m.Now()
	k.busy = false
	switch {
	case err == nil:
		ok(now)
		k.observe(state, now)
	case result.CodeOf(err) == result.NotFound:
		k.over = true
		k.lapsed = true
	}
}

func (k *task) report(t *member, now time.Time) wire.TaskReport {
	r := wire.TaskReport{Rank: k.rank, KeptMS: max(t.resume, k.last.CheckpointMS), PeakMemoryGB: k.peakGB}
	switch {
	case k.startError != "":
		r.State = string(workerapi.TaskFailed)
		r.Reason = k.startError
		if !k.over {
			r.State = stateFailedRunning
		}
	case k.lapsed && (!k.known || !ended(k.last.State)):
		r.State = string(workerapi.TaskLapsed)
	case k.known && !k.over && t.phase == phaseStopping:
		r.State = taskStopping
		r.Reason = t.stopReason
	case k.known:
		r.State = string(k.last.State)
		r.Reason = k.last.Reason
	case t.phase == phaseArmed || t.phase == phaseEnded:
		r.State = taskPending
	default:
		r.State = taskStarting
	}
	if k.last.StartedMS > 0 {
		end := now.UnixMilli()
		if k.last.EndedMS > 0 {
			end = k.last.EndedMS
		}
		r.WorkMS = max(0, end-k.last.StartedMS)
	}
	return r
}

// stateFailedRunning is a task whose start failed and that is not yet confirmed
// as stopped.
const stateFailedRunning = "failed_unconfirmed"
