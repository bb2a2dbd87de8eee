// Package framework defines what the scheduling engine asks of its plug-ins, each of
// which answers one kind of load. A plug-in is a state machine on plain values without
// I/O: it takes the time from its caller and gives the same answers to the same calls.
// It is not safe for concurrent use. A planner's term begins with new plug-ins, and
// one that has learned nothing yet must leave the engine's decisions as they are
// without it.
package framework

import (
	"encoding/json"
	"time"

	"snipegw/internal/kernel"
)

// Plugin is a scheduling plug-in. It also implements one or more of SpeedModel,
// HeadroomPolicy and CostModel.
type Plugin interface {
	// State returns what the debug dump shows of the plug-in at now.
	State(now time.Time) any
}

// Factory checks the settings of a plug-in, a JSON object, and returns a constructor
// for it. It appends faults with paths below path, and may return nil then.
type Factory func(settings json.RawMessage, path string, faults *kernel.ValidationErrors) func() Plugin

// Plugins holds the registered plug-ins.
var Plugins = kernel.NewRegistry[Factory]("scheduling plug-in")

// Set holds the plug-ins of one term, by name.
type Set map[string]Plugin

// Find returns the first plug-in, in the order of names, that implements T, and
// whether there is one.
func Find[T any](s Set) (T, bool) {
	for _, name := range Plugins.Names() {
		if p, ok := s[name].(T); ok {
			return p, true
		}
	}
	var none T
	return none, false
}
