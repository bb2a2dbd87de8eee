// Package daemon assembles the parts that serve workflows in an entry and in an
// agent.
package daemon

import (
	"net"
	"slices"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/intake"
	"snipegw/internal/workflow/runner"
)

// Defaults of the settings, in milliseconds where not said otherwise.
const (
	defaultStoreTimeoutMS = 1000
	defaultMaxLeaseMS     = 6000
	defaultStopTimeoutMS  = 400
	defaultReclaimMS      = 2700
	defaultKeepEndedMS    = 120_000
	// leaseReserveMS keeps a granted lease below the worker's limit.
	leaseReserveMS = 100
	minLeaseMS     = 2000
)

// EntrySettings are those of workflows in an entry.
type EntrySettings struct {
	// FrontAddress takes callers, ReadyAddress the balancer's checks.
	FrontAddress string `json:"front_address"`
	ReadyAddress string `json:"ready_address"`
	// Front is the registered form of the callers' interface, ConfigFormat that
	// of the configuration.
	Front        string         `json:"front"`
	ConfigFormat string         `json:"config_format"`
	Store        store.Settings `json:"store"`
	// Seeds are addresses on hosts of other entries, perhaps old ones. Entries
	// listen for each other on the same port, so only the hosts are used.
	Seeds []string `json:"seeds"`
	// MaxLeaseMS is the longest lease that a worker grants.
	MaxLeaseMS    int64 `json:"max_lease_ms"`
	StopTimeoutMS int64 `json:"stop_timeout_ms"`
	// ReclaimMS is the time in which a guaranteed job must have started.
	ReclaimMS int64 `json:"reclaim_ms"`
	// MinStoreLeaseMS is the shortest lease that the store grants.
	MinStoreLeaseMS int64 `json:"min_store_lease_ms"`
	// KeepEndedMS is the time for which ended jobs stay known.
	KeepEndedMS int64 `json:"keep_ended_ms"`
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Provision fills in defaults.
func (s *EntrySettings) Provision() {
	fill(&s.Store.TimeoutMS, defaultStoreTimeoutMS)
	fill(&s.MaxLeaseMS, defaultMaxLeaseMS)
	fill(&s.StopTimeoutMS, defaultStopTimeoutMS)
	fill(&s.ReclaimMS, defaultReclaimMS)
	fill(&s.KeepEndedMS, defaultKeepEndedMS)
}

// Validate appends the faults of s.
func (s *EntrySettings) Validate(path string, faults *kernel.Faults) {
	checkAddress(faults, path+".front_address", s.FrontAddress)
	checkAddress(faults, path+".ready_address", s.ReadyAddress)
	checkName(faults, path+".front", s.Front, intake.Fronts.Names())
	checkName(faults, path+".config_format", s.ConfigFormat, intake.ConfigFormats.Names())
	checkStore(faults, path+".store", s.Store)
	for _, a := range s.Seeds {
		checkAddress(faults, path+".seeds", a)
	}
	if s.MaxLeaseMS < minLeaseMS {
		faults.Add(path+".max_lease_ms", "must be at least %d", minLeaseMS)
	}
	for name, v := range map[string]int64{"stop_timeout_ms": s.StopTimeoutMS, "reclaim_ms": s.ReclaimMS, "keep_ended_ms": s.KeepEndedMS, "min_store_lease_ms": s.MinStoreLeaseMS} {
		if v < 0 {
			faults.Add(path+"."+name, "must not be negative")
		}
	}
}

func (s *EntrySettings) engine() engine.Settings {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	return engine.Settings{
		Lease: ms(s.MaxLeaseMS - leaseReserveMS), StopTimeout: ms(s.StopTimeoutMS), Reclaim: ms(s.ReclaimMS),
	}
}

// AgentSettings are those of workflows in an agent.
type AgentSettings struct {
	// Node names the agent in the store.
	Node string `json:"node"`
	// ControlAddress takes the worker's announcements.
	ControlAddress string          `json:"control_address"`
	Announcements  string          `json:"announcements"`
	Worker         runner.Settings `json:"worker"`
	Store          store.Settings  `json:"store"`
}

// Provision fills in defaults.
func (s *AgentSettings) Provision() { fill(&s.Store.TimeoutMS, defaultStoreTimeoutMS) }

// Validate appends the faults of s.
func (s *AgentSettings) Validate(path string, faults *kernel.Faults) {
	if s.Node == "" {
		faults.Add(path+".node", "required")
	}
	checkAddress(faults, path+".control_address", s.ControlAddress)
	checkAddress(faults, path+".worker.address", s.Worker.Address)
	checkName(faults, path+".worker.type", s.Worker.Type, runner.Plugins.Names())
	checkName(faults, path+".announcements", s.Announcements, runner.Announcements.Names())
	checkStore(faults, path+".store", s.Store)
}

func checkStore(faults *kernel.Faults, path string, s store.Settings) {
	checkName(faults, path+".type", s.Type, store.Tables.Names())
	if len(s.Addresses) != 1 {
		faults.Add(path+".addresses", "exactly one address is required")
	}
	for _, a := range s.Addresses {
		checkAddress(faults, path+".addresses", a)
	}
	if s.TimeoutMS < 1 {
		faults.Add(path+".timeout_ms", "must be positive")
	}
}

func checkAddress(faults *kernel.Faults, path, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		faults.Add(path, "%q must be host:port", address)
	}
}

func checkName(faults *kernel.Faults, path, name string, known []string) {
	if !slices.Contains(known, name) {
		faults.Add(path, "unknown name %q, known: %v", name, known)
	}
}
