// Package router chooses the worker of a request. Choices are made on immutable
// snapshots and atomic counters, without a lock.
package router

import (
	"math"
	"sync/atomic"
	"time"

	"snipegw/internal/entry/striped"
)

const (
	// penaltyHalfLife is the time in which the load that stands for earlier
	// failures halves. A worker that fails every request at once is tried about
	// every eight half-lives while others are idle.
	penaltyHalfLife = 2 * time.Second
	// failurePenalty is the load that one failure adds, in requests.
	failurePenalty = 2
	// maxPenalty bounds the load from failures, so that a worker that recovers
	// gets requests again within six half-lives of a busy period.
	maxPenalty = 64
	// negligiblePenalty loads count as none.
	negligiblePenalty = 1.0 / 128
	// reportLifetime is the time after which a report of free slots has lost
	// its influence; agents report every second.
	reportLifetime = 2 * time.Second
	// minReportIntervalMS is the shortest time between two reports that count, in
	// milliseconds.
	minReportIntervalMS = 50
)

// Load is what an entry knows of the load of one agent incarnation. All methods
// but Refresh are safe for concurrent use.
type Load struct {
	inflight striped.Counter
	// penalty and others pack a float32 and the millisecond at which it held.
	// They change rarely in comparison with the counters.
	penalty      atomic.Uint64
	otherEntries atomic.Uint64
	_            [48]byte
	requests     striped.Counter
	failures     atomic.Uint64
}

func packTimed(value float32, ms uint32) uint64 {
	return uint64(math.Float32bits(value))<<32 | uint64(ms)
}

func unpackTimed(p uint64) (value float32, ms uint32) {
	return math.Float32frombits(uint32(p >> 32)), uint32(p)
}

// Begin counts a request that is sent to the worker. The stripe is that of the
// thread, see striped.Here; End takes the same one.
func (l *Load) Begin(i striped.Index) { l.inflight.Add(i, 1) }

// End counts the end of a request. A failure at time ms adds to the load.
func (l *Load) End(i striped.Index, failed bool, ms uint32) {
	l.inflight.Add(i, -1)
	l.requests.Add(i, 1)
	if failed {
		l.failures.Add(1)
		l.addPenalty(ms)
	}
}

// InFlight returns the requests of this entry in progress at the worker.
func (l *Load) InFlight() int64 { return l.inflight.Sum() }

// Refresh makes the requests of all threads visible to the choices of each.
func (l *Load) Refresh() { l.inflight.Refresh() }

func (l *Load) addPenalty(ms uint32) {
	for {
		old := l.penalty.Load()
		value := min(decayedPenalty(old, ms)+failurePenalty, maxPenalty)
		if l.penalty.CompareAndSwap(old, packTimed(value, ms)) {
			return
		}
	}
}

// decayedPenalty returns the penalty p at time ms.
func decayedPenalty(p uint64, ms uint32) float32 {
	if p == 0 {
		return 0
	}
	value, at := unpackTimed(p)
	age := int32(ms - at) // wraps every 49 days; differences stay right
	if age <= 0 {
		return value
	}
	v := float32(float64(value) * math.Exp2(-float64(age)/float64(penaltyHalfLife.Milliseconds())))
	if v < negligiblePenalty {
		return 0
	}
	return v
}

// ReportFree notes the free slots that the agent reported at time ms. What is
// busy beyond this entry's own requests is the load of other entries. Reports
// within minReportIntervalMS of the last one are dropped, so that requests seldom
// write what all choices read.
func (l *Load) ReportFree(slots, free int, ms uint32) {
	if old := l.otherEntries.Load(); old != 0 {
		if _, at := unpackTimed(old); ms-at < minReportIntervalMS {
			return
		}
	}
	others := max(0, int64(slots-free)-l.inflight.Sum())
	l.otherEntries.Store(packTimed(float32(others), ms))
}

func otherEntriesLoad(p uint64, ms uint32) float32 {
	if p == 0 {
		return 0
	}
	value, at := unpackTimed(p)
	age := int32(ms - at)
	if age <= 0 {
		return value
	}
	left := 1 - float32(age)/float32(reportLifetime.Milliseconds())
	return value * max(0, left)
}

// estimateAt returns the load at time ms in requests, as the thread of stripe i knows it.
func (l *Load) estimateAt(i striped.Index, ms uint32) float32 {
	return float32(l.inflight.Estimate(i)) + decayedPenalty(l.penalty.Load(), ms) + otherEntriesLoad(l.otherEntries.Load(), ms)
}

// LoadCounts describe a Load.
type LoadCounts struct {
	InFlight int64   `json:"in_flight"`
	Penalty  float32 `json:"penalty"`
	Others   float32 `json:"others"`
	Requests uint64  `json:"requests"`
	Failures uint64  `json:"failures"`
}

func (l *Load) snapshotCounts(ms uint32) LoadCounts {
	return LoadCounts{
		InFlight: l.inflight.Sum(),
		Penalty:  decayedPenalty(l.penalty.Load(), ms),
		Others:   otherEntriesLoad(l.otherEntries.Load(), ms),
		Requests: uint64(l.requests.Sum()),
		Failures: l.failures.Load(),
	}
}
