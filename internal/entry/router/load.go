// Package router chooses the worker for a request. It reads only immutable
// snapshots and atomic counters and takes no lock.
package router

import (
	"math"
	"sync/atomic"
	"time"

	"snipegw/internal/entry/striped"
)

const (
	// penaltyHalfLife is the half-life of the load added for failures. A worker
	// that fails every request at once is tried about every eight half-lives while
	// the other workers are idle.
	penaltyHalfLife = 2 * time.Second
	// failurePenalty is the load added for one failure, in requests.
	failurePenalty = 2
	// maxPenalty bounds the load added for failures, in requests, so that in a busy
	// period a recovered worker gets requests again within six half-lives.
	maxPenalty = 64
	// negligiblePenalty is the penalty, in requests, below which it counts as 0.
	negligiblePenalty = 1.0 / 128
	// reportLifetime is the time in which the influence of a report of free slots
	// falls linearly to 0. Agents report every second.
	reportLifetime = 2 * time.Second
	// minReportIntervalMS is the minimum interval between two reports of free slots
	// that are applied, in milliseconds.
	minReportIntervalMS = 50
)

// Load estimates the load of one incarnation of an agent. All methods are safe
// for concurrent use, except that calls of Refresh must not overlap.
type Load struct {
	inflight striped.Counter
	// penalty is the load added for failures, otherEntries the load from other
	// entries. Both are packed by packTimed with the time of their last update.
	// They change rarely in comparison with the counters.
	penalty      atomic.Uint64
	otherEntries atomic.Uint64
	_            [48]byte
	requests     striped.Counter
	failures     atomic.Uint64
}

// packTimed packs a value and the time, in milliseconds, at which it was current.
func packTimed(value float32, ms uint32) uint64 {
	return uint64(math.Float32bits(value))<<32 | uint64(ms)
}

func unpackTimed(p uint64) (value float32, ms uint32) {
	return math.Float32frombits(uint32(p >> 32)), uint32(p)
}

// Begin counts a request that is sent to the worker on stripe i, the stripe of the
// current processor (see striped.CurrentStripe). The matching End takes the same
// stripe.
func (l *Load) Begin(i striped.Index) { l.inflight.Add(i, 1) }

// End counts the end of a request. If it failed, End adds failurePenalty to the
// load at time ms.
func (l *Load) End(i striped.Index, failed bool, ms uint32) {
	l.inflight.Add(i, -1)
	l.requests.Add(i, 1)
	if failed {
		l.failures.Add(1)
		l.addPenalty(ms)
	}
}

// InFlight returns the number of requests of this entry in progress at the worker.
func (l *Load) InFlight() int64 { return l.inflight.Sum() }

// Refresh makes the requests counted on all stripes visible to estimateAt on each
// of them.
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

// decayedPenalty returns the packed penalty p, decayed to time ms.
func decayedPenalty(p uint64, ms uint32) float32 {
	if p == 0 {
		return 0
	}
	value, at := unpackTimed(p)
	age := int32(ms - at) // ms wraps every 49 days; differences stay correct
	if age <= 0 {
		return value
	}
	v := float32(float64(value) * math.Exp2(-float64(age)/float64(penaltyHalfLife.Milliseconds())))
	if v < negligiblePenalty {
		return 0
	}
	return v
}

// ReportFree records the free slots that the agent reported at time ms. Busy slots
// in excess of this entry's own requests count as the load of other entries.
// Reports within minReportIntervalMS of the last applied one are dropped, so that
// requests seldom write the cache line that every choice reads.
func (l *Load) ReportFree(slots, free int, ms uint32) {
	if old := l.otherEntries.Load(); old != 0 {
		if _, at := unpackTimed(old); ms-at < minReportIntervalMS {
			return
		}
	}
	others := max(0, int64(slots-free)-l.inflight.Sum())
	l.otherEntries.Store(packTimed(float32(others), ms))
}

// otherEntriesLoad returns the packed load p of other entries, decayed to time ms.
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

// estimateAt returns the load at time ms, in requests, as seen from stripe i.
func (l *Load) estimateAt(i striped.Index, ms uint32) float32 {
	return float32(l.inflight.Estimate(i)) + decayedPenalty(l.penalty.Load(), ms) + otherEntriesLoad(l.otherEntries.Load(), ms)
}

// LoadCounts is a snapshot of a Load.
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
