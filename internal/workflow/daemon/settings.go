// Package daemon assembles the components that serve workflows in an entry and
// in an agent, and defines their settings.
package daemon

import (
	"math"
	"net"
	"slices"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
	"snipegw/internal/workflow/admission"
	"snipegw/internal/workflow/engine"
	"snipegw/internal/workflow/framework"
	"snipegw/internal/workflow/intake"
	"snipegw/internal/workflow/runner"
)

// Defaults and limits of the settings.
const (
	defaultStoreTimeoutMS = 1000
	defaultMaxLeaseMS     = 6000
	defaultStopTimeoutMS  = 400
	defaultReclaimMS      = 2700
	defaultKeepEndedMS    = 120_000
	// keepEndedMarginMS is how long an entry may take to show the end of a job that is stored.
	keepEndedMarginMS = 3000
	// keepEndedRateDivisor divides the retention; the quotient is the most by which a steady clock
	// may be fast over it, 2% as for the workers' clocks.
	keepEndedRateDivisor = 50
	// minClosingRetention covers writes that the store carries out seconds after their call has failed.
	minClosingRetention = 10 * time.Second
	// leaseReserveMS is the margin by which the leases that the planner requests are
	// shorter than MaxLeaseMS.
	leaseReserveMS = 100
	// minLeaseMS is the smallest permitted MaxLeaseMS.
	minLeaseMS = 2000
	// minOrderAgeMS is the shortest permitted time between the record of a run and its order when
	// evacuations are supported. A store with lost responses needs more than one attempt.
	minOrderAgeMS = 200
)

// EntrySettings are the settings for workflows in an entry.
type EntrySettings struct {
	// FrontAddress is the address for callers, ReadyAddress the one for the
	// readiness checks of the balancer.
	FrontAddress string `json:"front_address"`
	ReadyAddress string `json:"ready_address"`
	// Front is the registered name of the callers' interface, ConfigFormat that
	// of the configuration format.
	Front        string         `json:"front"`
	ConfigFormat string         `json:"config_format"`
	Store        store.Settings `json:"store"`
	// Seeds are addresses of other entries, which may be outdated. All entries
	// listen for each other on the same port, so only the hosts are used.
	Seeds []string `json:"seeds"`
	// MaxLeaseMS is the longest lease that a worker accepts.
	MaxLeaseMS int64 `json:"max_lease_ms"`
	// StopTimeoutMS is the timeout within which a worker stops a run.
	StopTimeoutMS int64 `json:"stop_timeout_ms"`
	// RestoreMS is the run time lost when a run with checkpoints is stopped and resumed.
	RestoreMS int64 `json:"restore_ms"`
	// ReclaimMS is the timeout within which a guaranteed job must have started.
	ReclaimMS int64 `json:"reclaim_ms"`
	// MinStoreLeaseMS is the shortest lease that the store grants.
	MinStoreLeaseMS int64 `json:"min_store_lease_ms"`
	// KeepEndedMS is the time for which callers can read the final state of a job. The records are
	// kept somewhat longer, see endedJobRetention.
	KeepEndedMS int64 `json:"keep_ended_ms"`
	// KeepEndedS states KeepEndedMS in seconds, for platforms that do; 0 leaves it as it is.
	KeepEndedS float64 `json:"keep_ended_s"`
	// EvacuateMS is the time, counted from the acknowledgement of a request to evacuate a failure
	// domain, within which starts there must have ceased. With 0 such requests are unsupported.
	EvacuateMS int64 `json:"evacuate_ms"`
	// Plugins holds the settings of the scheduling plug-ins that are switched on, by
	// name.
	Plugins framework.Settings `json:"plugins"`
	// Admission switches refusals at acceptance on; nil accepts every job.
	Admission *admission.Settings `json:"admission"`
}

// setDefault sets field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Provision sets defaults.
func (s *EntrySettings) Provision() {
	setDefault(&s.Store.TimeoutMS, defaultStoreTimeoutMS)
	setDefault(&s.MaxLeaseMS, defaultMaxLeaseMS)
	setDefault(&s.StopTimeoutMS, defaultStopTimeoutMS)
	setDefault(&s.RestoreMS, engine.DefaultResumeCost.Milliseconds())
	setDefault(&s.ReclaimMS, defaultReclaimMS)
	setDefault(&s.KeepEndedMS, s.keepEndedInMS())
	setDefault(&s.KeepEndedMS, defaultKeepEndedMS)
	if s.Admission != nil {
		s.Admission.Provision()
	}
}

// Validate appends the faults of s to faults; path is the path of s in the
// settings file.
func (s *EntrySettings) Validate(path string, faults *kernel.ValidationErrors) {
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
	for name, v := range map[string]int64{"stop_timeout_ms": s.StopTimeoutMS, "restore_ms": s.RestoreMS, "reclaim_ms": s.ReclaimMS, "keep_ended_ms": s.KeepEndedMS, "min_store_lease_ms": s.MinStoreLeaseMS} {
		if v < 0 {
			faults.Add(path+"."+name, "must not be negative")
		}
	}
	if s.KeepEndedS < 0 || s.KeepEndedS > 0 && s.KeepEndedMS != s.keepEndedInMS() {
		faults.Add(path+".keep_ended_s", "must not be negative, nor differ from keep_ended_ms")
	}
	if s.EvacuateMS < 0 || s.EvacuateMS > 0 && s.maxOrderAge() < minOrderAgeMS*time.Millisecond {
		faults.Add(path+".evacuate_ms", "must be 0, or at least %d: orders that are under way expire within %v", minOrderAgeMS+engine.StartExpiry().Milliseconds(), engine.StartExpiry())
	}
	s.Plugins.Validate(path+".plugins", faults)
	if s.Admission != nil {
		s.Admission.Validate(path+".admission", faults)
	}
}

// keepEndedInMS returns KeepEndedS in milliseconds, rounded up.
func (s *EntrySettings) keepEndedInMS() int64 { return int64(math.Ceil(s.KeepEndedS * 1000)) }

// endedJobRetention returns how long the records of ended jobs are kept from when the end is stored, so that
// callers can read the final state for KeepEndedMS.
func (s *EntrySettings) endedJobRetention() time.Duration {
	return time.Duration(s.KeepEndedMS+s.KeepEndedMS/keepEndedRateDivisor+keepEndedMarginMS) * time.Millisecond
}

// maxOrderAge returns the longest time between the record of a run and its orders with which the
// orders have expired when an evacuation must be in force.
func (s *EntrySettings) maxOrderAge() time.Duration {
	return time.Duration(s.EvacuateMS)*time.Millisecond - engine.StartExpiry()
}

func (s *EntrySettings) engineSettings() engine.Settings {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	return engine.Settings{
		LeaseDuration: ms(s.MaxLeaseMS - leaseReserveMS), StopTimeout: ms(s.StopTimeoutMS), ReclaimTimeout: ms(s.ReclaimMS),
		ResumeCost: ms(s.RestoreMS),
		NewPlugins: s.Plugins.Constructor(),
	}
}

// AgentSettings are the settings for workflows in an agent.
type AgentSettings struct {
	// Node is the name under which the agent registers in the store.
	Node string `json:"node"`
	// ControlAddress is the address to which the worker sends announcements.
	ControlAddress string `json:"control_address"`
	// Announcements is the registered name of the protocol of announcements.
	Announcements string          `json:"announcements"`
	Worker        runner.Settings `json:"worker"`
	Store         store.Settings  `json:"store"`
}

// Provision sets defaults.
func (s *AgentSettings) Provision() { setDefault(&s.Store.TimeoutMS, defaultStoreTimeoutMS) }

// Validate appends the faults of s to faults; path is the path of s in the
// settings file.
func (s *AgentSettings) Validate(path string, faults *kernel.ValidationErrors) {
	if s.Node == "" {
		faults.Add(path+".node", "required")
	}
	checkAddress(faults, path+".control_address", s.ControlAddress)
	checkAddress(faults, path+".worker.address", s.Worker.Address)
	checkName(faults, path+".worker.type", s.Worker.Type, runner.Plugins.Names())
	checkName(faults, path+".announcements", s.Announcements, runner.Announcements.Names())
	checkStore(faults, path+".store", s.Store)
}

func checkStore(faults *kernel.ValidationErrors, path string, s store.Settings) {
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

func checkAddress(faults *kernel.ValidationErrors, path, address string) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		faults.Add(path, "%q must be host:port", address)
	}
}

func checkName(faults *kernel.ValidationErrors, path, name string, known []string) {
	if !slices.Contains(known, name) {
		faults.Add(path, "unknown name %q, known: %v", name, known)
	}
}
