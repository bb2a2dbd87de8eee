package config

import (
	"sort"

	"snipegw/internal/members"
)

// InForceReport says in which processes a version is in force.
type InForceReport struct {
	Version uint64 `json:"version"`
	InForce int    `json:"in_force"`
	Total   int    `json:"total"`
	// Missing names the processes that have not confirmed the version, as
	// "entry <id>" or "agent <worker>", in order.
	Missing []string `json:"missing,omitempty"`
}

// Complete reports whether the version is in force everywhere.
func (r InForceReport) Complete() bool { return r.Total > 0 && r.InForce == r.Total }

// InForce counts the processes of view that have the given version or a newer
// one. A dead process counts as missing until it is dropped from the membership.
func InForce(view *members.View, version uint64) InForceReport {
	r := InForceReport{Version: version}
	addProcess := func(name string, have uint64, health members.Health) {
		r.Total++
		if have >= version && health != members.Dead {
			r.InForce++
			return
		}
		r.Missing = append(r.Missing, name)
	}
	for id, e := range view.Entries {
		addProcess("entry "+id, e.ConfigVersion, e.Health)
	}
	for id, w := range view.Workers {
		addProcess("agent "+id, w.State.ConfigVersion, w.Health)
	}
	sort.Strings(r.Missing)
	return r
}
