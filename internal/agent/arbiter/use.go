package arbiter

import (
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Values of wire.WorkerOrder.Action.
const (
	ActionDrain      = "drain"
	ActionQuarantine = "quarantine"
	ActionRelease    = "release"
)

// Availability holds the conditions that keep new tasks off the worker. Operators
// and the planner set Draining and Quarantined; the agent sets Stopping.
type Availability struct {
	Draining    bool `json:"draining"`
	Quarantined bool `json:"quarantined"`
	Stopping    bool `json:"stopping"`
}

// ApplyOrder drains, quarantines or releases the worker. Running tasks are not
// affected.
func (a *Arbiter) ApplyOrder(o *wire.WorkerOrder) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkOrder(o.Order); err != nil {
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
		return result.Errorf(result.BadRequest, "unknown worker action %q, must be drain, quarantine or release", o.Action)
	}
	return nil
}

// SetStopping makes the arbiter refuse all further reservations, because the
// agent is stopping.
func (a *Arbiter) SetStopping() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// Availability returns the conditions that keep new tasks off the worker.
func (a *Arbiter) Availability() Availability {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Availability{Draining: a.draining, Quarantined: a.quarantined, Stopping: a.stopping}
}
