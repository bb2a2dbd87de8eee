// Package entry assembles the components of the program snipegw-entry. An entry serves
// the HTTP API, forwards requests to workers, and may become the planner of its region.
package entry

import (
	"net"
	"os"
	"regexp"
	"slices"

	"snipegw/internal/kernel"
	"snipegw/internal/planner/framework"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/workflow/daemon"
)

// Defaults and bounds of the settings.
const (
	defaultStoreType      = "consulkv"
	defaultStoreTimeoutMS = 1000
	defaultPolicy         = "loads"
	defaultLogLevel       = "info"
	maxStoreTimeoutMS     = 10_000
)

// Settings are the settings of snipegw-entry.
type Settings struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// HTTPAddress is the address of the HTTP API.
	HTTPAddress string `json:"http_address"`
	// Address is the address on which other processes of snipegw are served, over QUIC
	// and TCP. AdvertiseAddress is the address at which they reach this one; it defaults
	// to Address.
	Address          string             `json:"address"`
	AdvertiseAddress string             `json:"advertise_address"`
	Store            store.Settings     `json:"store"`
	Security         transport.Security `json:"security"`
	// Policy is the name of the scheduling policy.
	Policy   string `json:"policy"`
	LogLevel string `json:"log_level"`
	// Clients limits what callers and operators hold together.
	Clients kernel.ClientSettings `json:"clients"`
	// BootstrapConfig is the path of a file with the initial configuration document.
	// The document is written to the store if the store has none.
	BootstrapConfig string `json:"bootstrap_config"`
	// Workflow, if set, makes the entry serve workflows instead of gang jobs and
	// requests. HTTPAddress then serves only the state dump and the metrics.
	Workflow *daemon.EntrySettings `json:"workflow"`
}

var _ kernel.Settings = (*Settings)(nil)

// Provision implements kernel.Settings.
func (s *Settings) Provision() {
	fill := func(field *string, value string) {
		if *field == "" {
			*field = value
		}
	}
	fill(&s.AdvertiseAddress, s.Address)
	fill(&s.Policy, defaultPolicy)
	fill(&s.LogLevel, defaultLogLevel)
	fill(&s.Store.Type, defaultStoreType)
	if s.Store.TimeoutMS == 0 {
		s.Store.TimeoutMS = defaultStoreTimeoutMS
	}
	s.Security.Provision()
	if s.Workflow != nil {
		s.Workflow.Provision()
	}
}

// LoadWorkflow reads the section "workflow" of the settings file of a running
// entry. It fails with kernel.ValidationErrors if a setting is invalid or the section is
// missing: an entry cannot stop serving workflows without a restart.
func LoadWorkflow(file string) (daemon.EntrySettings, error) {
	var s Settings
	if err := kernel.LoadSettings(file, &s); err != nil {
		return daemon.EntrySettings{}, err
	}
	if s.Workflow == nil {
		return daemon.EntrySettings{}, kernel.ValidationErrors{{Path: "workflow", Reason: "missing, but the running entry serves workflows"}}
	}
	return *s.Workflow, nil
}

// namePattern matches valid ids and valid names of regions and failure domains. They
// are parts of keys in the store.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Validate implements kernel.Settings.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	for _, f := range []struct{ path, value string }{{"id", s.ID}, {"region", s.Region}, {"failure_domain", s.FailureDomain}} {
		if !namePattern.MatchString(f.value) {
			faults.Add(f.path, "%q must be 1 to 64 letters, digits, '.', '_' or '-' and begin with a letter or digit", f.value)
		}
	}
	checkAddress(faults, "http_address", s.HTTPAddress, false)
	checkAddress(faults, "address", s.Address, false)
	checkAddress(faults, "advertise_address", s.AdvertiseAddress, true)
	if s.Workflow != nil {
		s.Workflow.Validate("workflow", faults)
	} else {
		s.validateStore(faults)
	}
	s.Security.Validate("security", faults)
	s.Clients.Validate("clients", faults)
	if !slices.Contains(framework.Policies.Names(), s.Policy) {
		faults.Add("policy", "unknown policy %q, known: %v", s.Policy, framework.Policies.Names())
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		faults.Add("log_level", "%q must be debug, info, warn or error", s.LogLevel)
	}
	if s.BootstrapConfig != "" {
		if _, err := os.Stat(s.BootstrapConfig); err != nil {
			faults.Add("bootstrap_config", "%v", err)
		}
	}
}

func (s *Settings) validateStore(faults *kernel.ValidationErrors) {
	if !slices.Contains(store.Plugins.Names(), s.Store.Type) {
		faults.Add("store.type", "unknown store %q, known: %v", s.Store.Type, store.Plugins.Names())
	}
	if len(s.Store.Addresses) == 0 {
		faults.Add("store.addresses", "at least one address is required")
	}
	if s.Store.TimeoutMS < 1 || s.Store.TimeoutMS > maxStoreTimeoutMS {
		faults.Add("store.timeout_ms", "must be from 1 to %d", maxStoreTimeoutMS)
	}
}

// checkAddress adds a fault if addr is not host:port. An advertised address must also
// name a host that other processes can reach, and a port.
func checkAddress(faults *kernel.ValidationErrors, path, addr string, advertised bool) {
	host, port, err := net.SplitHostPort(addr)
	switch {
	case err != nil:
		faults.Add(path, "%q must be host:port", addr)
	case advertised && (host == "" || net.ParseIP(host).IsUnspecified()):
		faults.Add(path, "%q must name a host that other processes can reach; set advertise_address", addr)
	case advertised && (port == "" || port == "0"):
		faults.Add(path, "%q must name the port; set advertise_address", addr)
	}
}
