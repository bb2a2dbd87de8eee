package callercost

import (
	"encoding/json"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/framework"
)

// Name is the name of the plug-in in the settings.
const Name = "caller_cost"

func init() {
	framework.Plugins.Register(Name, func(data json.RawMessage, path string, faults *kernel.ValidationErrors) func() framework.Plugin {
		s := new(Settings)
		before := len(*faults)
		kernel.DecodeSection(data, path, s, faults)
		if len(*faults) > before {
			return nil
		}
		return func() framework.Plugin { return New(*s) }
	})
}

// Settings are the settings of the plug-in.
type Settings struct {
	// PriorityWeights is what an average job that ends in time is worth, by priority.
	// The last weight holds for all further priorities.
	PriorityWeights []float64 `json:"priority_weights"`
	// Order is the order of waiting jobs of equal class, lateness and priority: OrderCost,
	// or OrderLatestStart, which is also the order without the plug-in.
	Order string `json:"order"`
	// LateShare is the share of a job's worth that callers still get from a late end.
	LateShare float64 `json:"late_share"`
	// MaxDelayMS is the age from which a job goes before all younger ones of its class that
	// are not within a guarantee.
	MaxDelayMS int64 `json:"max_delay_ms"`
	// MaxStops is how often a unit may be stopped for jobs of priority 0 beyond a
	// guarantee.
	MaxStops int `json:"max_stops"`
}

// Defaults of the settings. With the weights, a caller who waits for the answer
// (priority 0) counts as four whose work fills what is left (priority 2 and above), and
// one who needs it on the same day (priority 1) as three. A late end is worth a quarter:
// the caller has turned to another way by then, but need not submit the job again.
var defaultPriorityWeights = []float64{4, 3, 1}

// Values of Settings.Order.
const (
	OrderLatestStart = "latest_start"
	OrderCost        = "cost"
)

const (
	defaultLateShare  = 0.25
	defaultMaxDelayMS = 60_000
	defaultMaxStops   = 2
)

// Provision sets defaults.
func (s *Settings) Provision() {
	if s.PriorityWeights == nil {
		s.PriorityWeights = defaultPriorityWeights
	}
	if s.Order == "" {
		s.Order = OrderLatestStart
	}
	if s.LateShare == 0 {
		s.LateShare = defaultLateShare
	}
	if s.MaxDelayMS == 0 {
		s.MaxDelayMS = defaultMaxDelayMS
	}
	if s.MaxStops == 0 {
		s.MaxStops = defaultMaxStops
	}
}

// Validate appends the faults of s to faults.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	if len(s.PriorityWeights) == 0 {
		faults.Add("priority_weights", "must not be empty")
	}
	for i, w := range s.PriorityWeights {
		if w <= 0 || i > 0 && w > s.PriorityWeights[i-1] {
			faults.Add("priority_weights", "must be positive and must not rise")
			break
		}
	}
	if s.Order != OrderCost && s.Order != OrderLatestStart {
		faults.Add("order", "must be %q or %q", OrderLatestStart, OrderCost)
	}
	if s.LateShare < 0 || s.LateShare > 1 {
		faults.Add("late_share", "must be from 0 to 1")
	}
	if s.MaxDelayMS < 0 {
		faults.Add("max_delay_ms", "must not be negative")
	}
	if s.MaxStops < 0 {
		faults.Add("max_stops", "must not be negative")
	}
}

// Weight returns the weight of a priority.
func (s *Settings) Weight(priority int) float64 {
	return s.PriorityWeights[min(max(priority, 0), len(s.PriorityWeights)-1)]
}

// MaxDelay returns MaxDelayMS as a duration.
func (s *Settings) MaxDelay() time.Duration { return time.Duration(s.MaxDelayMS) * time.Millisecond }
