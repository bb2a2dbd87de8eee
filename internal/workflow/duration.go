package workflow

import "time"

// maxDuration bounds durations that are computed from estimates: the sum of those of all steps of
// a job does not overflow.
const maxDuration = 1 << 55 // about a year

// ToDuration converts nanoseconds to a duration of at most about a year in either direction, and
// NaN to 0. The conversion of a number that is out of range gives another result on each
// architecture.
func ToDuration(ns float64) time.Duration {
	if ns != ns {
		return 0
	}
	return time.Duration(min(max(ns, -maxDuration), maxDuration))
}

// Objective returns the completion-time objective of a job with the given length of its critical
// path, see Queue.SlackFactor.
func Objective(slackFactor float64, path time.Duration, targetMS int64) time.Duration {
	if !(slackFactor >= 1) { // also NaN
		slackFactor = 1
	}
	targetMS = min(max(targetMS, -MaxPeriodMS), MaxPeriodMS)
	return ToDuration(slackFactor*float64(path)) + time.Duration(targetMS)*time.Millisecond
}
