// Package router chooses the worker of a request. Choices are made on immutable
// snapshots and atomic counters, without a lock.
package router

import (
	"math"
	"sync/atomic"
	"time"
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
	// negligible loads count as none.
	negligible = 1.0 / 128
	// reportLifetime is the time after which a report of free slots has lost
	// its influence; agents report every second.
	reportLifetime = 2 * time.Second
)

// Load is what an entry knows of the load of one agent incarnation. All methods
// are safe for concurrent use.
type Load struct {
	_        [64]byte // keeps the counters of two workers off one cache line
	inflight atomic.Int64
	// penalty and others pack a float32 and the millisecond at which it held.
	penalty  atomic.Uint64
	others   atomic.Uint64
	requests atomic.Uint64
	failures atomic.Uint64
	_        [64]byte
}

func pack(value float32, ms uint32) uint64 {
	return uint64(math.Float32bits(value))<<32 | uint64(ms)
}

func unpack(p uint64) (value float32, ms uint32) {
	return math.Float32frombits(uint32(p >> 32)), uint32(p)
}

// Begin counts a request that is sent to the worker.
func (l *Load) Begin() { l.inflight.Add(1) }

// End counts the end of a request. A failure at time ms adds to the load.
func (l *Load) End(failed bool, ms uint32) {
	l.inflight.Add(-1)
	l.requests.Add(1)
	if failed {
		l.failures.Add(1)
		l.addPenalty(ms)
	}
}

// InFlight returns the requests of this entry in progress at the worker.
func (l *Load) InFlight() int64 { return l.inflight.Load() }

func (l *Load) addPenalty(ms uint32) {
	for {
		old := l.penalty.Load()
		value := min(decayed(old, ms)+failurePenalty, maxPenalty)
		if l.penalty.CompareAndSwap(old, pack(value, ms)) {
			return
		}
	}
}

// decayed returns the penalty p at time ms.
func decayed(p uint64, ms uint32) float32 {
	if p == 0 {
		return 0
	}
	value, at := unpack(p)
	age := int32(ms - at) // wraps every 49 days; differences stay right
	if age <= 0 {
		return value
	}
	v := float32(float64(value) * math.Exp2(-float64(age)/float64(penaltyHalfLife.Milliseconds())))
	if v < negligible {
		return 0
	}
	return v
}

// ReportFree notes the free slots that the agent reported at time ms. What is
// busy beyond this entry's own requests is the load of other entries.
func (l *Load) ReportFree(slots, free int, ms uint32) {
	others := max(0, int64(slots-free)-l.inflight.Load())
	l.others.Store(pack(float32(others), ms))
}

func othersAt(p uint64, ms uint32) float32 {
	if p == 0 {
		return 0
	}
	value, at := unpack(p)
	age := int32(ms - at)
	if age <= 0 {
		return value
	}
	left := 1 - float32(age)/float32(reportLifetime.Milliseconds())
	return value * max(0, left)
}

// at returns the load at time ms in requests.
func (l *Load) at(ms uint32) float32 {
	return float32(l.inflight.Load()) + decayed(l.penalty.Load(), ms) + othersAt(l.others.Load(), ms)
}

// LoadCounts describe a Load.
type LoadCounts struct {
	InFlight int64   `json:"in_flight"`
	Penalty  float32 `json:"penalty"`
	Others   float32 `json:"others"`
	Requests uint64  `json:"requests"`
	Failures uint64  `json:"failures"`
}

func (l *Load) counts(ms uint32) LoadCounts {
	return LoadCounts{
		InFlight: l.inflight.Load(),
		Penalty:  decayed(l.penalty.Load(), ms),
		Others:   othersAt(l.others.Load(), ms),
		Requests: l.requests.Load(),
		Failures: l.failures.Load(),
	}
}
