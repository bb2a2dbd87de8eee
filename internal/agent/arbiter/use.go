package arbiter

import (
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Actions of a wire.WorkerOrder.
const (
	ActionDrain      = "drain"
	ActionQuarantine = "quarantine"
	ActionRelease    = "release"
)

// Use is the use of the worker as operators and the planner set it.
type Use struct {
	Draining    bool `json:"draining"`
	Quarantined bool `json:"quarantined"`
	Stopping    bool `json:"stopping"`
}

// Order changes the use of the worker. Running tasks are not affected.
func (a *Arbiter) Order(o *wire.WorkerOrder) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(o.Order); err != nil {
		return err
	}
	switch o.Action {
	case ActionDrain:
		a.draining = true
	case ActionQuarantine:
		a.quarantined = true
	case ActionRelease:
		a.draining = false
		a.quarantined = false
	default:
		return result.Errorf(result.BadRequest, "unknown action %q", o.Action)
	}
	return nil
}

// Stop refuses all further reservations; the agent stops.
func (a *Arbiter) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// Use returns the use of the worker.
func (a *Arbiter) Use() Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Use{Draining: a.draining, Quarantined: a.quarantined, Stopping: a.stopping}
}
