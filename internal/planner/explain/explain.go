// Package explain formulates the reasons for decisions and for waiting. The rule of a
// reason is a stable name for programs; the sentence is for people.
package explain

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"snipegw/internal/model"
)

// Rules of reasons.
const (
	Placed              = "placed"
	Claimed             = "claimed_guarantee"
	WaitingForCapacity  = "waiting_for_capacity"
	WaitingForRoom      = "waiting_for_preempted_jobs"
	WaitingForRetry     = "waiting_to_retry"
	Preempted           = "preempted_by_guarantee"
	PreemptedForLarge   = "preempted_for_large_job"
	PreemptedForShort   = "preempted_for_shorter_job"
	Moved               = "moved_to_free_a_place"
	MovedForGuarantees  = "moved_to_keep_guarantees"
	MovedAheadOfFailure = "moved_ahead_of_failure"
	Impossible          = "impossible_shape"
	Parked              = "pool_too_small_at_present"
	JobAtFault          = "failed_on_several_workers"
	OutOfMemory         = "out_of_memory"
	WorkerQuarantined   = "several_jobs_failed"
	WorkerProbed        = "probe_after_backoff"
	WorkerCleared       = "failures_explained_by_job"
	Cancelled           = "cancelled"
	Running             = "running"
	GuaranteeWithdrawn  = "guarantee_withdrawn"
)

// New returns a reason. fields are alternately names and values.
func New(rule, sentence string, fields ...string) model.Reason {
	r := model.Reason{Rule: rule, Sentence: sentence}
	if len(fields) > 0 {
		r.Fields = make(map[string]string, len(fields)/2)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		r.Fields[fields[i]] = fields[i+1]
	}
	return r
}

// Shape returns a shape as text for a sentence.
func Shape(s model.Shape) string {
	size := fmt.Sprintf("%d x %d accelerators", s.Tasks, s.AcceleratorsPerTask)
	if s.AcceleratorsPerTask == 0 {
		size = fmt.Sprintf("%d x %d cores", s.Tasks, s.CoresPerTask)
	}
	switch s.Adjacent {
	case model.AdjacentHost:
		return size + " on one worker"
	case model.AdjacentRack:
		return size + " in one rack"
	case model.AdjacentFailureDomain:
		return size + " in one failure domain"
	}
	return size
}

// Refusal explains why a shape can never run. largest describes the largest worker.
func Refusal(s model.Shape, largest string) model.Reason {
	return New(Impossible, fmt.Sprintf("no part of the pool can ever hold %s", Shape(s)), "largest_worker", largest)
}

// Parking explains why a shape cannot run at present. down is the number of workers
// that are out of use.
func Parking(s model.Shape, down int) model.Reason {
	return New(Parked, fmt.Sprintf("the pool can hold %s only when workers that are out of use return", Shape(s)),
		"workers_out_of_use", strconv.Itoa(down))
}

// Waiting explains why a job waits for capacity.
func Waiting(s model.Shape) model.Reason {
	return New(WaitingForCapacity, fmt.Sprintf("no place for %s is free", Shape(s)))
}

// Placement explains a placement for which the given number of gangs was preempted.
func Placement(rule string, s model.Shape, attempt uint64, preempted int) model.Reason {
	sentence := fmt.Sprintf("placed %s", Shape(s))
	if rule == Claimed {
		sentence = fmt.Sprintf("claimed a guarantee of the team for %s", Shape(s))
	}
	fields := []string{"attempt", strconv.FormatUint(attempt, 10)}
	if preempted > 0 {
		fields = append(fields, "preempted", strconv.Itoa(preempted))
	}
	return New(rule, sentence, fields...)
}

// Stopping explains why a gang is stopped for the job winner. lost is the run time
// that the stop loses.
func Stopping(rule, winner string, lost time.Duration) model.Reason {
	sentence := "job " + winner + " preempts this job"
	switch rule {
	case Preempted:
		sentence = "job " + winner + " preempts this job to claim the guarantee of its team"
	case Moved:
		sentence = "the job is moved so that job " + winner + " fits"
	}
	return New(rule, sentence, "for_job", winner, "work_lost", lost.String())
}

// Blame explains why a job is at fault for its failures on the given workers.
func Blame(workers []string) model.Reason {
	return New(JobAtFault, "the job failed on several workers on which no other job fails",
		"workers", strings.Join(workers, ","))
}
