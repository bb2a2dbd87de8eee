package agent

import (
	"net"
	"net/netip"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/transport"
	"snipegw/internal/workerapi"
	"snipegw/internal/workflow/daemon"
)

const (
	defaultLogLevel        = "info"
	defaultWorkerAPI       = "httpworker"
	defaultWorkerTimeoutMS = 1000
	// maxWorkerTimeoutMS keeps the timeout of a call to the worker well below the
	// task lease.
	maxWorkerTimeoutMS = 2000
)

// Settings are the settings of snipegw-agent.
type Settings struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Address is the UDP address on which the agent listens, an IP address and a
	// port.
	Address string `json:"address"`
	// AdvertiseAddress is the address at which other processes reach the agent. The
	// default is Address.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// LocalHTTPAddress is the loopback address of the HTTP server for the backend
	// servers and the operators on this host.
	LocalHTTPAddress string `json:"local_http_address"`
	// Entries are the addresses of entries that the agent contacts before it has
	// received an entry list, and when no entry of the list answers.
	Entries   []string           `json:"entries"`
	WorkerAPI workerapi.Settings `json:"worker_api"`
	Security  transport.Security `json:"security"`
	LogLevel  string             `json:"log_level,omitempty"`
	// Clients limits what the clients of the HTTP servers hold together.
	Clients kernel.ClientSettings `json:"clients"`
	// Workflow, if set, makes the agent run workflows instead of gangs and requests.
	// LocalHTTPAddress, Entries and WorkerAPI are not used then.
	Workflow *daemon.AgentSettings `json:"workflow,omitempty"`
}

// Provision implements kernel.Settings.
func (s *Settings) Provision() {
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	if s.WorkerAPI.Type == "" {
		s.WorkerAPI.Type = defaultWorkerAPI
	}
	if s.WorkerAPI.TimeoutMS == 0 {
		s.WorkerAPI.TimeoutMS = defaultWorkerTimeoutMS
	}
	s.Security.Provision()
	if s.Workflow != nil {
		s.Workflow.Provision()
	}
}

// Validate implements kernel.Settings.
func (s *Settings) Validate(faults *kernel.ValidationErrors) {
	if s.Region == "" {
		faults.Add("region", "required")
	}
	if s.FailureDomain == "" {
		faults.Add("failure_domain", "required")
	}
	validateAddress("address", s.Address, faults)
	if s.AdvertiseAddress != s.Address {
		validateAddress("advertise_address", s.AdvertiseAddress, faults)
	}
	if host, _, err := net.SplitHostPort(s.AdvertiseAddress); err == nil {
		if ip, err := netip.ParseAddr(host); err != nil || ip.IsUnspecified() {
			faults.Add("advertise_address", "must be a specific IP address that other processes can reach")
		}
	}
	if s.Workflow != nil {
		s.Workflow.Validate("workflow", faults)
	} else {
		s.validateGangs(faults)
	}
	s.Security.Validate("security", faults)
	s.Clients.Validate("clients", faults)
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		faults.Add("log_level", "must be debug, info, warn or error")
	}
}

// validateGangs validates the settings that are used only for gangs and requests.
func (s *Settings) validateGangs(faults *kernel.ValidationErrors) {
	validateAddress("local_http_address", s.LocalHTTPAddress, faults)
	if a, err := netip.ParseAddrPort(s.LocalHTTPAddress); err == nil && !a.Addr().IsLoopback() {
		faults.Add("local_http_address", "must be a loopback address")
	}
	if len(s.Entries) == 0 {
		faults.Add("entries", "at least one address is required")
	}
	for _, e := range s.Entries {
		validateAddress("entries", e, faults)
	}
	s.validateWorkerAPI(faults)
}

func (s *Settings) validateWorkerAPI(faults *kernel.ValidationErrors) {
	if s.WorkerAPI.Address == "" {
		faults.Add("worker_api.address", "required")
	} else if _, err := workerapi.Open(s.WorkerAPI); err != nil {
		faults.Add("worker_api", "%v", err)
	}
	if s.WorkerAPI.TimeoutMS < 0 || s.WorkerAPI.TimeoutMS > maxWorkerTimeoutMS {
		faults.Add("worker_api.timeout_ms", "must be 1 to %d", maxWorkerTimeoutMS)
	}
}

func validateAddress(path, address string, faults *kernel.ValidationErrors) {
	if address == "" {
		faults.Add(path, "required")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		faults.Add(path, "must be an IP address and a port: %v", err)
	}
}
