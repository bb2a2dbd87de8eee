package agent

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
)

const (
	// settleTimeout bounds the wait for gangs that are starting or stopping. It
	// covers the grace period, the task lease and the duration of the calls.
	settleTimeout = 6 * time.Second
	// eventAckTimeout bounds the wait until all gang events are acknowledged.
	eventAckTimeout = 2 * time.Second
	// handoverReserve is the time before the deadline of the stop that is reserved
	// for the handover.
	handoverReserve = 3 * time.Second
	// pollInterval is the interval between checks of a condition during the stop.
	pollInterval = 20 * time.Millisecond
)

// Stop implements kernel.Component. The agent accepts no new work and lets requests
// in progress finish. It leaves running tasks to the successor process.
func (a *Agent) Stop(ctx context.Context) error {
	a.stopping.Store(true)
	a.gate.SetDraining(true)
	a.arbiter.SetStopping()
	a.heartbeats.RequestBeat()
	a.gangs.StopStartingGangs()
	waitCtx, cancel := context.WithCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		cancel()
		waitCtx, cancel = context.WithDeadline(ctx, deadline.Add(-handoverReserve))
	}
	defer cancel()
	var errs []error
	if !waitUntil(waitCtx, func() bool { return a.gate.ActiveRequests() == 0 }) {
		errs = append(errs, result.Errorf(result.DeadlineRan, "%d requests still in progress when the wait for them ended", a.gate.ActiveRequests()))
	}
	waitAtMost(waitCtx, settleTimeout, a.gangs.Settled)
	waitAtMost(waitCtx, eventAckTimeout, func() bool { return len(a.gangs.Events()) == 0 })
	a.gangs.PrepareHandover(ctx)
	a.cancel()
	a.loopGroup.Wait()
	a.heartbeats.Beat(ctx, true)
	errs = append(errs, a.server.Close(), a.localServer.Close(), a.pool.Close())
	log.WithFields(log.Fields{"event": "agent_stopped", "worker": a.worker.ID, "code": int(result.CodeOf(errors.Join(errs...)))}).Info("agent stopped")
	return errors.Join(errs...)
}

// waitAtMost is like waitUntil, but waits no longer than limit.
func waitAtMost(ctx context.Context, limit time.Duration, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return waitUntil(ctx, done)
}

// waitUntil polls until done returns true or ctx ends, and returns the last result of
// done.
func waitUntil(ctx context.Context, done func() bool) bool {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return done()
		case <-t.C:
		}
	}
	return true
}
