package gate

import (
	"sync/atomic"
	"time"

	"snipegw/internal/result"
)

// backend is the state of one announced backend server. The announcement is
// immutable; a changed one creates a new backend.
type backend struct {
	announcement Announcement
	announcedAt  atomic.Int64 // Unix nanoseconds of the latest announcement
	leaving      atomic.Bool
	failures     atomic.Int32 // consecutive failed exchanges
	down         atomic.Bool  // set after failures, cleared by a probe
}

// service is a service and its current backend server. The counts of requests are
// kept when the backend server is replaced.
type service struct {
	name     string
	inFlight atomic.Int64
	backend  atomic.Pointer[backend]
	served   atomic.Uint64
	refused  atomic.Uint64
}

// fresh reports whether the latest announcement is within AnnounceTimeout.
func (b *backend) fresh(now time.Time) bool {
	return now.UnixNano()-b.announcedAt.Load() <= int64(AnnounceTimeout)
}

// healthy reports whether the backend server is announced and not down.
func (b *backend) healthy(now time.Time) bool {
	return b.fresh(now) && !b.down.Load()
}

// recordFailure counts an exchange that failed in transport. One refused
// connection, or maxConsecutiveFailures failures, take the backend server out of
// use until a probe succeeds.
func (b *backend) recordFailure(refused bool) {
	if n := b.failures.Add(1); refused || n >= maxConsecutiveFailures {
		b.down.Store(true)
	}
}

func (b *backend) recordSuccess() {
	if b.failures.Load() != 0 {
		b.failures.Store(0)
	}
}

// acquireSlot takes a slot and returns its backend server, or refuses the request.
// It checks the state of the backend server after it has counted the request, so
// that every admission after a returned Leave sees that the backend server left.
func (s *service) acquireSlot(g *Gate, now time.Time) (*backend, error) {
	n := s.inFlight.Add(1)
	b := s.backend.Load()
	err := s.checkAdmission(g, b, n, now)
	if err != nil {
		s.inFlight.Add(-1)
		s.refused.Add(1)
		return nil, err
	}
	return b, nil
}

func (s *service) checkAdmission(g *Gate, b *backend, n int64, now time.Time) error {
	switch {
	case g.draining.Load():
		return errDraining
	case b.leaving.Load():
		return errLeaving
	case !b.healthy(now):
		return errUnhealthy
	case n > int64(b.announcement.Slots):
		return errSlotsFull
	}
	return nil
}

func (s *service) returnSlot() { s.inFlight.Add(-1) }

func (s *service) freeSlots() int {
	return max(0, s.backend.Load().announcement.Slots-int(s.inFlight.Load()))
}

// Refusals before admission. All have codes that say that the request was not run.
var (
	errDraining  = result.Errorf(result.Draining, "the worker is draining and accepts no new requests")
	errLeaving   = result.Errorf(result.Draining, "the backend server is stopping and accepts no new requests")
	errUnhealthy = result.Errorf(result.BackendUnavailable, "the backend server does not respond or its announcement has expired")
	errSlotsFull = result.Errorf(result.WorkerFull, "all slots of the backend server are in use")
)
