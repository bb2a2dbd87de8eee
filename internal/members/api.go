// Package members keeps the table of workers and entries of a region: soft
// state from heartbeats and from the exchange between entries.
package members

import (
	"time"

	"snipegw/internal/wire"
)

// Times of failure detection.
const (
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval = time.Second
	// SuspectAfter is the silence after which a worker receives no new work.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a worker counts as failed.
	DeadAfter = 5 * time.Second
	// ExchangeInterval is the batching time of the exchange between entries.
	ExchangeInterval = 200 * time.Millisecond
)

// Health is the health of a worker by the time since its last sign of life.
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
	// Home is the id of the entry that receives the heartbeats.
	Home     string    `json:"home"`
	LastSeen time.Time `json:"last_seen"`
	Health   Health    `json:"health"`
}

// Entry is what an entry knows of another one, or of itself. It is immutable.
type Entry struct {
	Info          wire.EntryInfo `json:"info"`
	ConfigVersion uint64         `json:"config_version"`
	LastSeen      time.Time      `json:"last_seen"`
	Health        Health         `json:"health"`
	// Planner is set for the holder of the planner lease, with its epoch.
	Planner      bool   `json:"planner"`
	PlannerEpoch uint64 `json:"planner_epoch"`
}

// View is an immutable snapshot of the region. Dead workers stay in it for a
// minute with Health Dead.
type View struct {
	// Generation grows with every change that is more than LastSeen.
	Generation uint64             `json:"generation"`
	Workers    map[string]*Worker `json:"workers"`
	Entries    map[string]*Entry  `json:"entries"`
}

// Planner returns the entry that holds the planner lease with the highest
// epoch, if one is known and not dead.
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

// EventSink receives the events of gangs on the planner's entry.
type EventSink interface {
	// GangEvents records events and returns the highest sequence number up to
	// which all events of this incarnation are durably recorded; 0 if this entry
	// is not the planner.
	GangEvents(worker, incarnation string, events []wire.GangEvent) uint64
	// PlannerState reports whether this entry is the planner, and its epoch.
	PlannerState() (planner bool, epoch uint64)
	// ObserveEpoch tells the sink of an epoch that another process has seen.
	ObserveEpoch(epoch uint64)
}
