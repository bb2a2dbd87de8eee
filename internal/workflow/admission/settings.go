// Package admission decides which jobs an entry refuses at once, because even a late end
// cannot be reached. It decides on plain values, without a clock, network or random source.
package admission

import (
	"time"

	"snipegw/internal/kernel"
)

// Defaults of Settings.
const (
	// defaultMaxAgeMS is two intervals between statements of the planner, so that one of
	// them may be lost.
	defaultMaxAgeMS = 4500
	// defaultMargin covers the error of learned run times, which is up to a third for half of
	// the jobs of a queue, and room that is added meanwhile.
	defaultMargin = 1.5
	// defaultNoWorkersMS is longer than the replacement of all workers of a service takes.
	defaultNoWorkersMS = 30_000
)

// Settings are the settings of the refusals at acceptance.
type Settings struct {
	// MaxAgeMS is the age of the planner's statement from which every job is accepted.
	MaxAgeMS int64 `json:"max_age_ms"`
	// Margin is the factor by which the expected work may be too high, at least 1. A job is
	// refused only if the room is too small for the work divided by it.
	Margin float64 `json:"margin"`
	// NoWorkersMS is the time without a usable worker from which a service counts as
	// having none.
	NoWorkersMS int64 `json:"no_workers_ms"`
}

// Provision sets defaults.
func (s *Settings) Provision() {
	if s.MaxAgeMS == 0 {
		s.MaxAgeMS = defaultMaxAgeMS
	}
	if s.Margin == 0 {
		s.Margin = defaultMargin
	}
	if s.NoWorkersMS == 0 {
		s.NoWorkersMS = defaultNoWorkersMS
	}
}

// Validate appends the faults of s to faults; path is the path of s in the settings file.
func (s *Settings) Validate(path string, faults *kernel.ValidationErrors) {
	if s.MaxAgeMS < 1 {
		faults.Add(path+".max_age_ms", "must be positive")
	}
	if !(s.Margin >= 1) {
		faults.Add(path+".margin", "must be at least 1")
	}
	if s.NoWorkersMS < 1 {
		faults.Add(path+".no_workers_ms", "must be positive")
	}
}

func (s *Settings) maxAge() time.Duration    { return time.Duration(s.MaxAgeMS) * time.Millisecond }
func (s *Settings) noWorkers() time.Duration { return time.Duration(s.NoWorkersMS) * time.Millisecond }
