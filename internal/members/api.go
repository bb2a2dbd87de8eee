// Package members keeps the table of the workers and entries of a region. The table is
// soft state, built from the heartbeats of agents and the updates that entries
// exchange.
package members

import (
	"time"

	"snipegw/internal/wire"
)

// Intervals and timeouts of failure detection.
const (
	// HeartbeatInterval is the interval between two heartbeats of an agent.
	HeartbeatInterval = time.Second
	// SuspectAfter is the time without a heartbeat after which a worker receives no new
	// work.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a heartbeat after which a worker counts as failed.
	DeadAfter = 5 * time.Second
	// ExchangeInterval is the interval in which changes are collected into one update to
	// another entry.
	ExchangeInterval = 200 * time.Millisecond
)

// Health is the health of a worker or entry by the time since its last contact.
type Health string

// Values of Health.
const (
	Alive   Health = "alive"
	Suspect Health = "suspect"
	Dead    Health = "dead"
)

// Worker is what an entry knows of a worker. It is immutable.
type Worker struct {
	State wire.WorkerState `json:"state"`
	// Home is the id of the entry that receives the heartbeats of the worker; empty if
	// no entry reports it.
	Home     string    `json:"home"`
	LastSeen time.Time `json:"last_seen"`
	Health   Health    `json:"health"`
}

// Entry is what an entry knows of another entry or of itself. It is immutable.
type Entry struct {
	Info          wire.EntryInfo `json:"info"`
	ConfigVersion uint64         `json:"config_version"`
	LastSeen      time.Time      `json:"last_seen"`
	Health        Health         `json:"health"`
	// Planner is set if the entry holds the planner lease. PlannerEpoch is then the epoch
	// of its term, and otherwise the highest epoch that the entry has seen.
	Planner      bool   `json:"planner"`
	PlannerEpoch uint64 `json:"planner_epoch"`
}

// View is an immutable snapshot of the region. Dead workers and entries stay in it for
// a minute with Health Dead.
type View struct {
	// Generation increases with every change except changes of LastSeen alone.
	Generation uint64             `json:"generation"`
	Workers    map[string]*Worker `json:"workers"`
	Entries    map[string]*Entry  `json:"entries"`
}

// Planner returns the entry that claims the planner lease with the highest epoch, among
// those that are not dead. It reports false if there is none.
func (v *View) Planner() (*Entry, bool) {
	var best *Entry
	for _, e := range v.Entries {
		if e.Planner && e.Health != Dead && (best == nil || e.PlannerEpoch > best.PlannerEpoch) {
			best = e
		}
	}
	return best, best != nil
}

// Membership gives access to the current View. It is safe for concurrent use
// and takes no lock.
type Membership interface {
	View() *View
	// Changed returns a channel that is closed at the next change of
	// Generation.
	Changed() <-chan struct{}
}

// EventSink receives the gang events that arrive at an entry.
type EventSink interface {
	// RecordGangEvents records events and returns the highest sequence number up to
	// which all events of this incarnation are durably recorded. It returns 0 if this
	// entry is not the planner.
	RecordGangEvents(worker, incarnation string, events []wire.GangEvent) uint64
	// PlannerState reports whether this entry is the planner, and the epoch of its term.
	PlannerState() (planner bool, epoch uint64)
	// ObserveEpoch is called with a new highest planner epoch that any process has seen.
	ObserveEpoch(epoch uint64)
}
