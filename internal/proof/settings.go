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

// Tokens of the development configuration.
const OperatorToken = "operator-token"

// TeamToken returns the bearer token of a team.
func TeamToken(team string) string { return "token-" + team }

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Spec describes a set of processes.
type Spec struct {
	Entries int
	Agents  int
	// PerRack is the number of workers of a rack; racks are spread over Domains.
	PerRack  int
	Domains  []string
	Region   string
	Policy   string
	Service  string
	Capacity model.Resources
	Teams    []model.Team
	Limits   model.Limits
	// StoreWrites and StoreReads limit the rates of the store; 0 is no limit.
	StoreWrites, StoreReads int
	// Relayed puts a relay in front of every QUIC address and between every
	// entry and the store, so that links can be cut.
	Relayed bool
}

// DefaultSpec is a set of 2 entries and 3 agents on one rack with two teams
// without guarantees.
func DefaultSpec() Spec {
	return Spec{
		Entries: 2, Agents: 3, PerRack: 3,
		Domains: []string{"valle-elqui", "paso-agua-negra", "vicuna-corral"},
		Region:  "cordillera-norte", Policy: "loads", Service: "booking",
		Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
		Teams:    []model.Team{{ID: "cargo", Weight: 1}, {ID: "routes", Weight: 1}},
		Limits:   model.Limits{MaxBodyBytes: 4 << 20, MaxQueuedJobs: 1000, MaxQueuedRequest: 1000, DefaultTimeoutMS: 30_000, MaxTimeoutMS: 60_000},
	}
}

// document returns the first configuration document.
func (s Spec) document() model.Config {
	c := model.Config{
		Version: 1, Policy: s.Policy, Limits: s.Limits,
		Weights:        model.Weights{CompletionTime: 0.7, Fragmentation: 0.3},
		OperatorHashes: []string{tokenHash(OperatorToken)},
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

// Free ports are taken below the range from which the operating system takes
// the ports of outgoing connections, so that none of them occupies one while
// its process restarts.
const (
	firstPort = 20000
	lastPort  = 31000
)

// portsPerProcess keeps proofs that run side by side, often with process ids that
// follow each other, from taking each other's ports between the look and the use:
// the largest proof needs some 150.
const portsPerProcess = 499

var portState struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	portState.Lock()
	defer portState.Unlock()
	if portState.next == 0 {
		portState.next = firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)
	}
	for range lastPort - firstPort {
		portState.next++
		if portState.next >= lastPort {
			portState.next = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", portState.next)
		if isPortFree(addr) {
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// isPortFree tries addr. No process is started meanwhile: the child would hold copies
// of the sockets, and with them the port, until it executes its program.
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
