package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"snipegw/internal/store"
)

// Times of the planner lease.
const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 500 * time.Millisecond
	// LeaseTimeout is the time without renewal after which another entry takes
	// the lease and the holder makes no new placements.
	LeaseTimeout = 2 * time.Second
	// leaseCallTimeout bounds one call; a lost answer must leave time for
	// another renewal within LeaseTimeout.
	leaseCallTimeout = 800 * time.Millisecond
	minPause         = 50 * time.Millisecond
	maxPause         = time.Second
)

// leaseValue is the value of the lease key. Holder is empty after a release.
type leaseValue struct {
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Epoch       uint64 `json:"epoch"`
	Renewal     uint64 `json:"renewal"`
}

// newer reports whether v was written after o.
func (v leaseValue) newer(o leaseValue) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch > o.Epoch
	}
	return v.Renewal > o.Renewal
}

// LeaseKey returns the key of the planner lease of a region.
func LeaseKey(region string) string { return "snipegw/planner/" + region }

// elect alternates between waiting for the lease and holding it.
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
		value, issued, ok := h.follow(ctx)
		if !ok {
			return
		}
		h.hold(ctx, value, issued)
	}
}

// follow watches the lease until this process has taken it. It returns the
// written value and the time at which the write was issued.
func (h *Host) follow(ctx context.Context) (leaseValue, time.Time, bool) {
	var (
		seen  leaseValue
		rev   uint64
		since time.Time // when seen was first read
		pause = minPause
	)
	for ctx.Err() == nil {
		began := time.Now()
		e, v, err := h.readLease(ctx, rev, since)
		if err != nil {
			metrics.Add("lease_read_failed", 1)
			sleep(ctx, pause)
			pause = min(2*pause, maxPause)
			continue
		}
		pause = minPause
		if !since.IsZero() && seen.newer(v) && began.Sub(since) < LeaseTimeout {
			// The store answered with an older state. If that lasts, the store has
			// lost the newer one, and the compare-and-swap below tells.
			sleep(ctx, pause)
			continue
		}
		if since.IsZero() || v.newer(seen) {
			seen, since = v, time.Now()
			h.known.Store(&v)
			h.ObserveEpoch(v.Epoch)
		}
		rev = e.Revision
		free := v.Holder == "" || v.Incarnation == h.o.Entry.Incarnation
		if !free && began.Sub(since) < LeaseTimeout {
			continue
		}
		if next, ok := h.acquire(ctx, e.Revision); ok {
			return next, began, true
		}
		rev = 0
	}
	return leaseValue{}, time.Time{}, false
}

// readLease reads the lease, or waits for its next change until it would lapse.
func (h *Host) readLease(ctx context.Context, rev uint64, since time.Time) (store.Entry, leaseValue, error) {
	var e store.Entry
	var err error
	wait := time.Until(since.Add(LeaseTimeout))
	if rev == 0 || wait <= 0 {
		cctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		e, err = h.o.Store.Get(cctx, LeaseKey(h.o.Entry.Region))
		cancel()
	} else {
		e, err = h.o.Store.Watch(ctx, LeaseKey(h.o.Entry.Region), rev, wait)
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
		return v, fmt.Errorf("planner lease: %w", err)
	}
	return v, nil
}

// acquire writes this process as holder. After a lost answer the next read
// shows the own incarnation, and the lease is taken again with a higher epoch.
func (h *Host) acquire(ctx context.Context, rev uint64) (leaseValue, bool) {
	v := leaseValue{
		Holder:      h.o.Entry.ID,
		Incarnation: h.o.Entry.Incarnation,
		Address:     h.o.Entry.Address,
		Epoch:       h.highest.Load() + 1,
		Renewal:     1,
	}
	cctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	ok, err := h.o.Store.CompareAndSwap(cctx, LeaseKey(h.o.Entry.Region), rev, encodeJSON(v))
	if err != nil || !ok {
		sleep(ctx, minPause)
		return v, false
	}
	h.ObserveEpoch(v.Epoch)
	h.known.Store(&v)
	return v, true
}

// holding is the lease while this process holds it.
type holding struct {
	h        *Host
	value    leaseValue
	rev      uint64
	revKnown bool
	// issued is when the latest write was issued, or the first one of several
	// whose outcome is open.
	issued time.Time
	open   bool
}

// hold runs a term and renews the lease until it is lost or the host stops.
func (h *Host) hold(ctx context.Context, value leaseValue, issued time.Time) {
	metrics.Add("terms", 1)
	logEvent("planner_lease_taken", log.Fields{"epoch": value.Epoch}).Info("this entry holds the planner lease")
	t := newTerm(h, value.Epoch)
	t.confirmed.Store(issued.UnixNano())
	go t.run()
	l := &holding{h: h, value: value, issued: issued}
	released := l.keep(ctx, t)
	if released {
		t.drain()
	}
	t.end("lease given up")
	<-t.ended
	if released {
		l.release()
	}
	logEvent("planner_lease_lost", log.Fields{"epoch": value.Epoch, "released": released}).Info("this entry no longer holds the planner lease")
}

// keep renews the lease. It reports true if the host stops, false if the lease
// or the term is lost.
func (l *holding) keep(ctx context.Context, t *term) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return false
		case <-ctx.Done():
			return l.h.ctx.Err() == nil
		case <-timer.C:
		}
		renewed, lost := l.renew(ctx)
		if lost {
			return false
		}
		if !renewed {
			metrics.Add("lease_renewal_failed", 1)
			timer.Reset(2 * minPause)
			continue
		}
		t.confirmed.Store(l.issued.UnixNano())
		timer.Reset(RenewInterval)
	}
}

// renew makes one try. An error leaves open whether the write took effect; the
// next try reads the lease first, and a write that it finds there has renewed
// the lease.
func (l *holding) renew(ctx context.Context) (renewed, lost bool) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	key := LeaseKey(l.h.o.Entry.Region)
	if !l.revKnown {
		e, err := l.h.o.Store.Get(ctx, key)
		if err != nil {
			return false, false
		}
		v, err := parseLease(e)
		if err != nil {
			return false, false
		}
		switch {
		case e.Revision == 0:
			// Either an old state or a store that lost its data; the write tells.
		case v.Epoch > l.value.Epoch || v.Epoch == l.value.Epoch && v.Incarnation != l.value.Incarnation:
			l.h.ObserveEpoch(v.Epoch)
			l.h.known.Store(&v)
			return false, true
		case l.value.newer(v):
			return false, false // an old state
		case v.newer(l.value):
			l.value, l.rev, l.revKnown, l.open = v, e.Revision, true, false
			return true, false
		}
		l.rev, l.revKnown = e.Revision, true
	}
	next := l.value
	next.Renewal++
	if !l.open {
		l.issued = time.Now()
	}
	l.open = true
	ok, err := l.h.o.Store.CompareAndSwap(ctx, key, l.rev, encodeJSON(next))
	l.revKnown = false
	if err != nil || !ok {
		return false, false
	}
	l.value, l.open = next, false
	return true, false
}

// release writes an empty holder, so that another entry takes the lease at
// once. If it fails, the lease lapses.
func (l *holding) release() {
	ctx, cancel := context.WithTimeout(store.WithPriority(l.h.ctx), LeaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		e, err := l.h.o.Store.Get(ctx, LeaseKey(l.h.o.Entry.Region))
		if err == nil {
			v, perr := parseLease(e)
			if perr != nil || v.Incarnation != l.value.Incarnation || v.Epoch != l.value.Epoch {
				return
			}
			v.Holder, v.Address = "", ""
			v.Incarnation = ""
			v.Renewal++
			ok, err := l.h.o.Store.CompareAndSwap(ctx, LeaseKey(l.h.o.Entry.Region), e.Revision, encodeJSON(v))
			if ok && err == nil {
				return
			}
		}
		if !sleep(ctx, minPause) {
			return
		}
	}
}
