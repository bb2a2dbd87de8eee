package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"snipegw/internal/store"
)

// Timeouts and intervals of the planner lease.
const (
	// RenewInterval is the interval between renewals.
	RenewInterval = 500 * time.Millisecond
	// LeaseTimeout is the time without a renewal after which another entry may
	// take the lease and the holder makes no new placements.
	LeaseTimeout = 2 * time.Second
	// leaseCallTimeout bounds one call to the store for the lease. A renewal whose
	// answer is lost must leave time for another one within LeaseTimeout.
	leaseCallTimeout = 800 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the backoff between calls to the
	// store.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = time.Second
)

// leaseValue is the value of the lease key in the store. After a release, Holder,
// Incarnation and Address are empty.
type leaseValue struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
	Renewal     uint64 `json:"renewal"`
}

// newerThan reports whether v was written after o.
func (v leaseValue) newerThan(o leaseValue) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch > o.Epoch
	}
	return v.Renewal > o.Renewal
}

// LeaseKey returns the key of the planner lease of a region.
func LeaseKey(region string) string { return "snipegw/planner/" + region }

// elect waits for the lease and holds it, in turn, until the host stops.
func (h *Host) elect() {
	defer close(h.done)
	ctx, cancel := context.WithCancel(store.WithPriority(h.ctx))
	defer cancel()
	go func() {
		select {
		case <-h.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		value, issued, ok := h.waitForLease(ctx)
		if !ok {
			return
		}
		h.holdLease(ctx, value, issued)
	}
}

// waitForLease watches the lease until this process has acquired it. It returns
// the written value and the start of the read that preceded the write. It reports
// false if ctx ended first.
func (h *Host) waitForLease(ctx context.Context) (leaseValue, time.Time, bool) {
	var (
		latest      leaseValue
		rev         uint64
		latestSince time.Time // when latest was first read
		backoff     = minStoreBackoff
	)
	for ctx.Err() == nil {
		readStart := time.Now()
		e, v, err := h.readLease(ctx, rev, latestSince)
		if err != nil {
			metrics.Add("lease_read_failed", 1)
			sleepWithJitter(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		if !latestSince.IsZero() && latest.newerThan(v) && readStart.Sub(latestSince) < LeaseTimeout {
			// The store returned an older state. If it does so for longer than
			// LeaseTimeout, it may have lost the newer state; the compare-and-swap
			// below then succeeds only if it has.
			sleepWithJitter(ctx, backoff)
			continue
		}
		if latestSince.IsZero() || v.newerThan(latest) {
			latest, latestSince = v, time.Now()
			h.knownLease.Store(&v)
			h.ObserveEpoch(v.Epoch)
		}
		rev = e.Revision
		free := v.Holder == "" || v.Incarnation == h.opts.Entry.Incarnation
		if !free && readStart.Sub(latestSince) < LeaseTimeout {
			continue
		}
		if next, ok := h.acquireLease(ctx, e.Revision); ok {
			return next, readStart, true
		}
		rev = 0
	}
	return leaseValue{}, time.Time{}, false
}

// readLease reads the lease if rev is 0 or the lease has lapsed. Otherwise it
// waits for the next change after rev, at most until the lease lapses.
func (h *Host) readLease(ctx context.Context, rev uint64, latestSince time.Time) (store.Entry, leaseValue, error) {
	var e store.Entry
	var err error
	remaining := time.Until(latestSince.Add(LeaseTimeout))
	if rev == 0 || remaining <= 0 {
		callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		e, err = h.opts.Store.Get(callCtx, LeaseKey(h.opts.Entry.Region))
		cancel()
	} else {
		e, err = h.opts.Store.Watch(ctx, LeaseKey(h.opts.Entry.Region), rev, remaining)
	}
	if err != nil {
		return e, leaseValue{}, err
	}
	v, err := parseLease(e)
	return e, v, err
}

func parseLease(e store.Entry) (leaseValue, error) {
	var v leaseValue
	if e.Revision == 0 {
		return v, nil
	}
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("decode planner lease: %w", err)
	}
	return v, nil
}

// acquireLease writes this process as the holder if the lease is still at rev.
// If the answer is lost although the write took effect, the next read shows this
// process's incarnation, and the lease is acquired again with a higher epoch.
func (h *Host) acquireLease(ctx context.Context, rev uint64) (leaseValue, bool) {
	v := leaseValue{
		Holder:      h.opts.Entry.ID,
		Incarnation: h.opts.Entry.Incarnation,
		Address:     h.opts.Entry.Address,
		Epoch:       h.highestEpoch.Load() + 1,
		Renewal:     1,
	}
	callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	ok, err := h.opts.Store.CompareAndSwap(callCtx, LeaseKey(h.opts.Entry.Region), rev, mustEncodeJSON(v))
	if err != nil || !ok {
		sleepWithJitter(ctx, minStoreBackoff)
		return v, false
	}
	h.ObserveEpoch(v.Epoch)
	h.knownLease.Store(&v)
	return v, true
}

// heldLease is the planner lease while this process holds it.
type heldLease struct {
	host     *Host
	value    leaseValue
	rev      uint64
	revKnown bool
	// issuedAt is when the latest write was issued or, while outcomeUnknown is
	// set, when the first write without a known outcome was issued.
	issuedAt       time.Time
	outcomeUnknown bool
}

// holdLease runs a term and renews the lease until the lease or the term is lost
// or the host stops.
func (h *Host) holdLease(ctx context.Context, value leaseValue, issued time.Time) {
	metrics.Add("terms", 1)
	logEvent("planner_lease_taken", log.Fields{"epoch": value.Epoch}).Info("this entry holds the planner lease")
	t := newTerm(h, value.Epoch)
	t.leaseConfirmedAt.Store(issued.UnixNano())
	go t.run()
	lease := &heldLease{host: h, value: value, issuedAt: issued}
	released := lease.renewUntilLost(ctx, t)
	if released {
		t.drain()
	}
	t.stepDown("the lease was lost or released")
	<-t.ended
	if released {
		lease.releaseLease()
	}
	logEvent("planner_lease_lost", log.Fields{"epoch": value.Epoch, "released": released}).Info("this entry no longer holds the planner lease")
}

// renewUntilLost renews the lease until the lease or the term is lost or the host
// stops. It reports true if the host stops gracefully, so that the lease can be
// released.
func (l *heldLease) renewUntilLost(ctx context.Context, t *term) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return false
		case <-ctx.Done():
			return l.host.ctx.Err() == nil
		case <-timer.C:
		}
		renewed, lost := l.renewOnce(ctx)
		if lost {
			return false
		}
		if !renewed {
			metrics.Add("lease_renewal_failed", 1)
			timer.Reset(2 * minStoreBackoff)
			continue
		}
		t.leaseConfirmedAt.Store(l.issuedAt.UnixNano())
		timer.Reset(RenewInterval)
	}
}

// renewOnce tries once to renew the lease. After an error it is unknown whether
// the write took effect. The next call therefore reads the lease first; if it
// finds the write there, the lease is renewed. Lost is set if a higher epoch or
// another incarnation is in the lease.
func (l *heldLease) renewOnce(ctx context.Context) (renewed, lost bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	key := LeaseKey(l.host.opts.Entry.Region)
	if !l.revKnown {
		e, err := l.host.opts.Store.Get(ctx, key)
		if err != nil {
			return false, false
		}
		v, err := parseLease(e)
		if err != nil {
			return false, false
		}
		switch {
		case e.Revision == 0:
			// Either the store returned an older state or it has lost its data. The
			// write below succeeds only in the second case.
		case v.Epoch > l.value.Epoch || v.Epoch == l.value.Epoch && v.Incarnation != l.value.Incarnation:
			l.host.ObserveEpoch(v.Epoch)
			l.host.knownLease.Store(&v)
			return false, true
		case l.value.newerThan(v):
			return false, false // the store returned an older state
		case v.newerThan(l.value):
			l.value, l.rev, l.revKnown, l.outcomeUnknown = v, e.Revision, true, false
			return true, false
		}
		l.rev, l.revKnown = e.Revision, true
	}
	next := l.value
	next.Renewal++
	if !l.outcomeUnknown {
		l.issuedAt = time.Now()
	}
	l.outcomeUnknown = true
	ok, err := l.host.opts.Store.CompareAndSwap(ctx, key, l.rev, mustEncodeJSON(next))
	l.revKnown = false
	if err != nil || !ok {
		return false, false
	}
	l.value, l.outcomeUnknown = next, false
	return true, false
}

// releaseLease writes an empty holder, so that another entry acquires the lease
// at once. If that fails, the lease lapses after LeaseTimeout.
func (l *heldLease) releaseLease() {
	ctx, cancel := context.WithTimeout(store.WithPriority(l.host.ctx), LeaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		e, err := l.host.opts.Store.Get(ctx, LeaseKey(l.host.opts.Entry.Region))
		if err == nil {
			v, parseErr := parseLease(e)
			if parseErr != nil || v.Incarnation != l.value.Incarnation || v.Epoch != l.value.Epoch {
				return
			}
			v.Holder, v.Address = "", ""
			v.Incarnation = ""
			v.Renewal++
			ok, err := l.host.opts.Store.CompareAndSwap(ctx, LeaseKey(l.host.opts.Entry.Region), e.Revision, mustEncodeJSON(v))
			if ok && err == nil {
				return
			}
		}
		if !sleepWithJitter(ctx, minStoreBackoff) {
			return
		}
	}
}
