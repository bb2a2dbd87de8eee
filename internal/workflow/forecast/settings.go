package forecast

import (
	"encoding/json"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/framework"
)

// Name is the name under which the plug-in is registered.
const Name = "urgent_forecast"

func init() {
	framework.Plugins.Register(Name, func(data json.RawMessage, path string, faults *kernel.ValidationErrors) func() framework.Plugin {
		s := new(Settings)
		kernel.DecodeSection(data, path, s, faults)
		return func() framework.Plugin { return New(*s) }
	})
}

// Settings are the settings of the plug-in. Zero stands for the default.
type Settings struct {
	// Probability is the probability with which the jobs of priority 0 that arrive within
	// the horizon find room at once.
	Probability float64 `json:"probability"`
	// MinShare and MaxShare bound the share of the pool that is kept free.
	MinShare float64 `json:"min_share"`
	MaxShare float64 `json:"max_share"`
	// StopTimeoutMS is the longest time that a worker takes to stop a run, in
	// milliseconds. It bounds the horizon from below.
	StopTimeoutMS int64 `json:"stop_timeout_ms"`
	// MaxHorizonMS bounds the horizon from above, in milliseconds.
	MaxHorizonMS int64 `json:"max_horizon_ms"`
	// ShortWindowMS and LongWindowMS are the lengths, in milliseconds, of the windows in
	// which arrivals are counted.
	ShortWindowMS int64 `json:"short_window_ms"`
	LongWindowMS  int64 `json:"long_window_ms"`
}

const (
	// defaultProbability lets one horizon in ten fall short. A caller that finds no
	// room loses only the time in which runs end or are stopped for it, whereas the
	// headroom is taken from other callers all the time.
	defaultProbability = 0.9
	// defaultMinShare keeps some room also when the forecast sees no need, since a
	// forecast cannot see the first job of a burst.
	defaultMinShare = 0.02
	// defaultMaxShare bounds what a wrong forecast can take from jobs that wait.
	defaultMaxShare = 0.25
	// defaultStopTimeoutMS is the default of the entry's setting for the same time.
	defaultStopTimeoutMS = 400
	// defaultMaxHorizonMS is about the length of an urgent job; what arrives later finds
	// the room that the present ones leave.
	defaultMaxHorizonMS = 4000
	// defaultShortWindowMS follows a burst of some seconds, or a quarter of a wave of
	// about 17 s; a shorter one sees few jobs.
	defaultShortWindowMS = 4000
	// defaultLongWindowMS holds some waves of about 17 s.
	defaultLongWindowMS = 60_000
)

// Provision sets defaults.
func (s *Settings) Provision() {
	setDefault(&s.Probability, defaultProbability)
	setDefault(&s.MinShare, defaultMinShare)
	setDefault(&s.MaxShare, defaultMaxShare)
	setDefault(&s.StopTimeoutMS, defaultStopTimeoutMS)
	setDefault(&s.MaxHorizonMS, defaultMaxHorizonMS)
	setDefault(&s.ShortWindowMS, defaultShortWindowMS)
	setDefault(&s.LongWindowMS, defaultLongWindowMS)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate appends the faults of s to faults.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	if s.Probability <= 0 || s.Probability >= 1 {
		faults.Add("probability", "must be between 0 and 1")
	}
	if s.MinShare < 0 || s.MinShare > 1 {
		faults.Add("min_share", "must be from 0 to 1")
	}
	if s.MaxShare < s.MinShare || s.MaxShare > 1 {
		faults.Add("max_share", "must be from min_share to 1")
	}
	if s.StopTimeoutMS < 0 {
		faults.Add("stop_timeout_ms", "must not be negative")
	}
	if s.MaxHorizonMS < s.minHorizon().Milliseconds() {
		faults.Add("max_horizon_ms", "must be at least %d, the time to stop a run", s.minHorizon().Milliseconds())
	}
	if s.ShortWindowMS < 1 {
		faults.Add("short_window_ms", "must be positive")
	}
	if s.LongWindowMS < s.ShortWindowMS {
		faults.Add("long_window_ms", "must be at least short_window_ms")
	}
}

// startOverhead is the time from the decision to stop a run until another one runs in
// its place, without the worker's own stop timeout.
const startOverhead = 200 * time.Millisecond

// minHorizon returns the time in which room can be made by stopping a run.
func (s *Settings) minHorizon() time.Duration { return ms(s.StopTimeoutMS) + startOverhead }

func ms(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
