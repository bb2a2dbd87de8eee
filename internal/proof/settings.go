package proof

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"snipegw/internal/model"
)

// OperatorToken is the bearer token of operators in the development configuration.
const OperatorToken = "operator-token"

// TeamToken returns the bearer token of a team.
func TeamToken(team string) string { return "token-" + team }

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Spec describes the processes of a cluster.
type Spec struct {
	Entries int
	// Agents is the number of agents. Each has a worker and, if Service is set, a backend server.
	Agents int
	// PerRack is the number of workers per rack; racks are spread over Domains, the failure
	// domains.
	PerRack  int
	Domains  []string
	Region   string
	Policy   string
	Service  string // service of the backend servers; empty for a cluster without backend servers
	Capacity model.Resources
	Teams    []model.Team
	Limits   model.Limits
	// StoreWrites and StoreReads limit the rates of the store, in calls per second; 0 is no
	// limit.
	StoreWrites, StoreReads int
	// Relayed puts a relay in front of every QUIC address and between every
	// entry and the store, so that links can be cut.
	Relayed bool
}

// DefaultSpec returns a spec with 2 entries, 3 agents in one rack, and two teams without
// guarantees.
func DefaultSpec() Spec {
	return Spec{
		Entries: 2, Agents: 3, PerRack: 3,
		Domains: []string{"valle-elqui", "paso-agua-negra", "vicuna-corral"},
		Region:  "cordillera-norte", Policy: "loads", Service: "booking",
		Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
		Teams:    []model.Team{{ID: "cargo", Weight: 1}, {ID: "routes", Weight: 1}},
		Limits:   model.Limits{MaxBodyBytes: 4 << 20, MaxQueuedJobs: 1000, MaxQueuedRequests: 1000, DefaultTimeoutMS: 30_000, MaxTimeoutMS: 60_000},
	}
}

// document returns the initial configuration document.
func (s Spec) document() model.Config {
	c := model.Config{
		Version: 1, Policy: s.Policy, Limits: s.Limits,
		Weights:             model.Weights{CompletionTime: 0.7, Fragmentation: 0.3},
		OperatorTokenHashes: []string{tokenHash(OperatorToken)},
	}
	for _, t := range s.Teams {
		t.TokenHashes = []string{tokenHash(TeamToken(t.ID))}
		c.Teams = append(c.Teams, t)
	}
	return c
}

// worker returns the worker of the agent with the given index.
func (s Spec) worker(i int) model.Worker {
	rack := i / s.PerRack
	return model.Worker{
		ID: fmt.Sprintf("w%d", i+1), Rack: fmt.Sprintf("rack-%d", rack+1),
		FailureDomain: s.Domains[rack%len(s.Domains)], Region: s.Region, Capacity: s.Capacity,
	}
}

// Free ports are chosen below the ephemeral port range of the operating system, so that no
// outgoing connection takes the port of a process while that process restarts. endPort is the
// first port above the range and is not used.
const (
	firstPort = 20000
	endPort   = 31000
)

// portsPerProcess is the distance between the first ports of two proofs with consecutive process
// IDs. It keeps proofs that run in parallel from taking each other's ports between the check and
// the use; the largest proof needs about 150 ports.
const portsPerProcess = 499

// portState holds the port that freeAddress checked last, 0 before its first call. All clusters of
// this program share it.
var portState struct {
	sync.Mutex
	lastChecked int
}

// freeAddress returns a loopback address whose port is free for TCP and UDP. The port isn't
// reserved: another process may take it before it is used.
func freeAddress() (string, error) {
	portState.Lock()
	defer portState.Unlock()
	if portState.lastChecked == 0 {
		portState.lastChecked = firstPort + os.Getpid()*portsPerProcess%(endPort-firstPort)
	}
	for range endPort - firstPort {
		portState.lastChecked++
		if portState.lastChecked >= endPort {
			portState.lastChecked = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portState.lastChecked)
		if isPortFree(addr) {
			return addr, nil
		}
	}
	return "", fmt.Errorf("no port from %d up to, but not including, %d is free for TCP and UDP", firstPort, endPort)
}

// isPortFree reports whether addr can be listened on for TCP and UDP. It keeps other goroutines
// from starting a process meanwhile: the child would hold copies of the sockets, and with them
// the port, until it executes its program. One fork can still happen, once per program: before
// the first start of a process, package os probes for pidfd support with a fork that doesn't take
// ForkLock, and whose child exits at once.
func isPortFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// writeJSON writes v to a file of dir and returns its path.
func writeJSON(dir, name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	return path, os.WriteFile(path, append(data, '\n'), 0o644)
}
