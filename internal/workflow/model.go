// Package workflow defines jobs of several steps, the configuration that routes
// them, their records in the store, and the messages between planner and agents.
package workflow

import (
	"fmt"
	"slices"
	"strings"

	"snipegw/internal/result"
)

// Limits of a job.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxItems        = 20_000 // over all steps and occurrences
	MaxItemsPerStep = 4096
	MaxOccurrences  = 1000
	// MaxAmount limits the request of an item for each resource, and MaxPeriodMS estimates,
	// targets and intervals (about two years). Sums over all items and steps do not overflow.
	MaxAmount   = 1 << 40
	MaxPeriodMS = 1 << 36
	// MaxTimeMS limits times, in Unix milliseconds.
	MaxTimeMS = 1 << 43
)

// Job is a job as a caller submits it.
type Job struct {
	// Payload is passed to every item.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Occurrences is the number of scheduled repetitions of all steps; 0 runs
	// the steps once, immediately.
	Occurrences int `cbor:"3,keyasint,omitempty"`
	// FirstAtMS is the start time of occurrence 0 in Unix milliseconds.
	// IntervalMS is the interval between the starts of occurrences.
	FirstAtMS  int64 `cbor:"4,keyasint,omitempty"`
	IntervalMS int64 `cbor:"5,keyasint,omitempty"`
}

// Step is a set of identical items. MilliCPU, MemoryMB and Accelerators are the
// request of one item.
type Step struct {
	Count        int   `cbor:"1,keyasint"`
	MilliCPU     int64 `cbor:"2,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"3,keyasint,omitempty"`
	Accelerators int64 `cbor:"4,keyasint,omitempty"`
	// EstimateMS is the caller's rough estimate of the run time of an item.
	EstimateMS int64 `cbor:"5,keyasint,omitempty"`
	// After lists the indexes of the steps that must be done first.
	After []int `cbor:"6,keyasint,omitempty"`
	// Checkpoints reports whether items save their progress, so that a later run
	// resumes from it.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// Gang reports whether the items run together or not at all.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack reports whether the items slow down when spread over several racks.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Label is a label that the worker must have; empty allows any worker.
	Label string `cbor:"10,keyasint,omitempty"`
	// PreferredRack is the label of the rack that holds the data.
	PreferredRack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker limits the items of an occurrence on one worker; 0 is no limit.
	MaxPerWorker int `cbor:"12,keyasint,omitempty"`
	// Speculative reports whether an item may run in several copies.
	Speculative bool `cbor:"13,keyasint,omitempty"`
	// LongRunning reports whether the items run until the job is cancelled.
	LongRunning bool `cbor:"14,keyasint,omitempty"`
	// MaxUnavailable limits how many items of a long-running step the scheduler
	// itself interrupts at the same time; 0 is no limit.
	MaxUnavailable int `cbor:"15,keyasint,omitempty"`
	// Image names the image that the items run.
	Image string `cbor:"16,keyasint,omitempty"`
	// TargetMS is the tail latency target of items that serve requests; 0 means
	// that the items serve none. It has nothing to do with Queue.TargetMS.
	TargetMS int64 `cbor:"17,keyasint,omitempty"`
	// Fills reports whether the items use only processor time that other items
	// leave unused. Such items disturb items that serve requests, and never share
	// a worker with them.
	Fills bool `cbor:"18,keyasint,omitempty"`
}

// String describes the step for logs, for example "2x(13000m 38000MB 4a)
// est=6800 gang rack".
func (s *Step) String() string {
	text := fmt.Sprintf("%dx(%dm %dMB %da) est=%d", s.Count, s.MilliCPU, s.MemoryMB, s.Accelerators, s.EstimateMS)
	for _, f := range []struct {
		set  bool
		name string
	}{
		{s.Gang, "gang"}, {s.SameRack, "rack"}, {s.Checkpoints, "saves"}, {s.Speculative, "speculative"}, {s.LongRunning, "long"}, {s.Fills, "fills"},
		{s.Label != "", "label=" + s.Label}, {s.PreferredRack != "", "near=" + s.PreferredRack},
		{s.MaxPerWorker > 0, fmt.Sprintf("spread=%d", s.MaxPerWorker)}, {len(s.After) > 0, "after=" + strings.Trim(strings.ReplaceAll(fmt.Sprint(s.After), " ", ","), "[]")},
	} {
		if f.set {
			text += " " + f.name
		}
	}
	return text
}

// OccurrenceCount returns the number of occurrences, which is at least 1.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// GuaranteeNeed returns the accelerators that a job takes of its team's guarantee: those of
// its largest step.
func (j *Job) GuaranteeNeed() int64 {
	need := int64(0)
	for s := range j.Steps {
		need = max(need, j.Steps[s].Accelerators*int64(j.Steps[s].Count))
	}
	return need
}

// Validate checks the limits of a job and its steps. Its errors have code
// BadRequest.
func (j *Job) Validate() error {
	badRequest := func(format string, args ...any) error {
		return result.Errorf(result.BadRequest, "job: "+format, args...)
	}
	switch {
	case len(j.Payload) > MaxPayloadBytes:
		return badRequest("payload of %d bytes exceeds %d", len(j.Payload), MaxPayloadBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return badRequest("%d steps, must be 1 to %d", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.Occurrences > MaxOccurrences:
		return badRequest("%d occurrences, must be 0 to %d", j.Occurrences, MaxOccurrences)
	case j.IntervalMS < 0 || j.FirstAtMS < 0:
		return badRequest("start time and interval must not be negative")
	case j.IntervalMS > MaxPeriodMS || j.FirstAtMS > MaxTimeMS:
		return badRequest("start time or interval is out of range")
	}
	items := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		items += j.Steps[i].Count
	}
	if items*j.OccurrenceCount() > MaxItems {
		return badRequest("%d items exceed %d", items*j.OccurrenceCount(), MaxItems)
	}
	return nil
}

func (s *Step) validate(index int) error {
	badRequest := func(format string, args ...any) error {
		return result.Errorf(result.BadRequest, "job: step %d: %s", index, fmt.Sprintf(format, args...))
	}
	switch {
	case s.Count < 1 || s.Count > MaxItemsPerStep:
		return badRequest("%d items, must be 1 to %d", s.Count, MaxItemsPerStep)
	case s.MilliCPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.EstimateMS < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.TargetMS < 0:
		return badRequest("resources, estimate, limits and latency target must not be negative")
	case max(s.MilliCPU, s.MemoryMB, s.Accelerators) > MaxAmount:
		return badRequest("a request for resources exceeds %d", int64(MaxAmount))
	case max(s.EstimateMS, s.TargetMS) > MaxPeriodMS:
		return badRequest("estimate or latency target exceeds %d ms", int64(MaxPeriodMS))
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= index {
			return badRequest("depends on step %d, must be an earlier step", dep)
		}
	}
	return nil
}

// ItemRef identifies an item by its job, occurrence, step and index in the step.
type ItemRef struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// String returns the item as job/occurrence/step/index, for logs.
func (r ItemRef) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// End is the way in which a run ended.
type End string

// Values of End.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // the item or the worker failed
	EndStopped End = "stopped" // on request
	EndLapsed  End = "lapsed"  // the worker's lease expired
	EndBroken  End = "broken"  // another member of the gang ended
	EndAlone   End = "alone"   // the other members of the gang did not start
	EndLost    End = "lost"    // the worker no longer exists
	EndNever   End = "never"   // the start had no effect and cannot have one any more
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StatePending  State = "pending"
	StateActive   State = "active"
	StateComplete State = "complete"
	StateFailed   State = "failed"
	StateCanceled State = "canceled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	return s == StateComplete || s == StateFailed || s == StateCanceled
}
