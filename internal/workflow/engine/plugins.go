package engine

import "snipegw/internal/workflow/framework"

// plugins holds the scheduling plug-ins of a term. A nil field means that there is
// none, and the engine decides by its fixed rules.
type plugins struct {
	set      framework.Set
	speed    framework.SpeedModel
	headroom framework.HeadroomPolicy
	cost     framework.CostModel
}

func newPlugins(construct func() framework.Set) plugins {
	if construct == nil {
		return plugins{}
	}
	p := plugins{set: construct()}
	p.speed, _ = framework.Find[framework.SpeedModel](p.set)
	p.headroom, _ = framework.Find[framework.HeadroomPolicy](p.set)
	p.cost, _ = framework.Find[framework.CostModel](p.set)
	return p
}
