package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// optionalPlugins lists the scheduling plug-ins that entries can switch on.
var optionalPlugins = []string{"worker_speed", "urgent_forecast", "caller_cost"}

// WorkflowParts are the optional parts that the entries of a WorkflowCluster have in their settings.
type WorkflowParts struct {
	Evacuation bool // evacuate_ms is evacuateBound
	Admission  bool
	Plugins    []string
}

// drawParts switches each optional part on in half of all cases.
func drawParts(rng *rand.Rand) WorkflowParts {
	p := WorkflowParts{Evacuation: rng.IntN(2) == 0, Admission: rng.IntN(2) == 0}
	for _, name := range optionalPlugins {
		if rng.IntN(2) == 0 {
			p.Plugins = append(p.Plugins, name)
		}
	}
	return p
}

// addTo adds the settings of the parts to the workflow section of an entry's settings. The parts
// have their default settings.
func (p WorkflowParts) addTo(section map[string]any) {
	if p.Evacuation {
		section["evacuate_ms"] = evacuateBound.Milliseconds()
	}
	if p.Admission {
		section["admission"] = struct{}{}
	}
	plugins := make(map[string]any, len(p.Plugins))
	for _, name := range p.Plugins {
		plugins[name] = struct{}{}
	}
	section["plugins"] = plugins
}

// String implements fmt.Stringer.
func (p WorkflowParts) String() string {
	return fmt.Sprintf("evacuation=%t admission=%t plugins=%s", p.Evacuation, p.Admission, strings.Join(p.Plugins, ","))
}
