package planner

import (
	"context"
	"errors"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
)

// renewLease renews the planner's lease until the term ends. While the store cannot
// be reached the term goes on, and with it the workers' leases, but not longer than
// MaxStoreOutage after the latest renewal. The renewals do not wait for each other: the store
// may take nearly as long for each as the lease lasts.
func (t *term) renewLease(ctx context.Context) {
	interval := t.host.options.LeaseDuration / renewalsPerLease
	inFlight := make(chan struct{}, renewalsPerLease)
	kernel.Sleep(ctx, time.Until(t.latestRenewal().Add(interval)))
	for ctx.Err() == nil {
		limit := t.latestRenewal().Add(MaxStoreOutage)
		select {
		case inFlight <- struct{}{}:
			t.spawn("lease renewal", func() {
				defer func() { <-inFlight }()
				t.renewOnce(ctx, limit)
			})
		default:
		}
		kernel.Sleep(ctx, min(interval, time.Until(limit)))
		if !time.Now().Before(t.latestRenewal().Add(MaxStoreOutage)) {
			t.endTerm(errNotRenewed)
			return
		}
		if r, ok := t.host.options.Records.Get(workflow.PlannerKey); ok && r.Revision > t.epoch {
			t.endTerm(errReplaced)
			return
		}
	}
}

// renewOnce sends one renewal, which ends at the limit at the latest: a call to a silent store takes
// seconds, by which the term must not outlast it.
func (t *term) renewOnce(ctx context.Context, limit time.Time) {
	sentAt := time.Now()
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	switch err := t.host.options.Table.Renew(ctx, t.lease); {
	case err == nil:
		t.locked(func() {
			if sentAt.After(t.renewedAt) {
				t.renewedAt = sentAt
			}
		})
	case errors.Is(err, store.ErrLeaseLost):
		t.endTerm(errLeaseLost)
	}
}

func (t *term) latestRenewal() (at time.Time) {
	t.locked(func() { at = t.renewedAt })
	return at
}
