package kernel

import (
	"bufio"
	"bytes"
	"math"
	"os"
	"path"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"snipegw/internal/connlimit"
	"snipegw/internal/result"
)

const (
	// memoryLimitShare is the share of the machine's memory, in percent, that the runtime may use; the rest is for the code
	// of the program and the system.
	memoryLimitShare = 75
	// clientMemoryDivisor is the part of the runtime's memory that clients may hold. The garbage collector needs
	// as much again, and the rest is for the work of the process.
	clientMemoryDivisor = 3
	// connectionBytes is the memory for a connection without a request, and connectionMemoryDivisor the part of the
	// runtime's memory for all connections.
	connectionBytes         = 20 << 10
	connectionMemoryDivisor = 3
	// descriptorShare is the share of the descriptors, in percent, for the connections of clients; the rest is for those to
	// other processes and for files.
	descriptorShare = 75
	// minClientMemoryMB and minClientConnections keep room for any single legal request, and for health checks.
	minClientMemoryMB    = 16
	minClientConnections = 16
	// minMachineMemoryMB is enough for a process without clients.
	minMachineMemoryMB = 64
	// clientLogInterval is the minimum interval between two log lines of one server for one reason.
	clientLogInterval = 6 * time.Second
)

// ClientSettings bound what the clients of all HTTP servers of a process hold together. 0 selects a default
// for the memory and the descriptors that the process has.
type ClientSettings struct {
	// MachineMemoryMB is the memory of the machine, for processes that cannot see it. With 0 it is read from the system.
	MachineMemoryMB int64 `json:"machine_memory_mb"`
	// MemoryMB limits the memory for requests that have not arrived completely or are in progress.
	MemoryMB int64 `json:"memory_mb"`
	// Connections limits the open connections.
	Connections int `json:"connections"`
}

// Validate appends the faults of s to faults; path is the path of s in the settings file.
func (s ClientSettings) Validate(path string, faults *ValidationErrors) {
	if s.MachineMemoryMB != 0 && (s.MachineMemoryMB < minMachineMemoryMB || s.MachineMemoryMB > math.MaxInt64>>20) {
		faults.Add(path+".machine_memory_mb", "must be 0 or at least %d", minMachineMemoryMB)
	}
	if s.MemoryMB != 0 && (s.MemoryMB < minClientMemoryMB || s.MemoryMB > math.MaxInt64>>20) {
		faults.Add(path+".memory_mb", "must be 0 or at least %d", minClientMemoryMB)
	}
	if s.Connections != 0 && s.Connections < minClientConnections {
		faults.Add(path+".connections", "must be 0 or at least %d", minClientConnections)
	}
}

// NewClientLimiter returns the limiter for the clients of a process. It makes the garbage collector keep within the
// memory of the machine, unless the environment (GOMEMLIMIT) has set a limit, which counts then.
func NewClientLimiter(s ClientSettings) *connlimit.Limiter {
	memory := limitMemory(s.MachineMemoryMB << 20)
	clientBytes := max(memory/clientMemoryDivisor, minClientMemoryMB<<20)
	if s.MemoryMB > 0 {
		clientBytes = s.MemoryMB << 20
	}
	connections := max(min(descriptorLimit()/100*descriptorShare, int(min(memory/connectionMemoryDivisor/connectionBytes, math.MaxInt32))), minClientConnections)
	if s.Connections > 0 {
		connections = s.Connections
	}
	reports := clientReports{latest: make(map[[2]string]time.Time)}
	return connlimit.New(clientBytes, connections, reports.report)
}

// clientReports counts and logs what a limiter refuses.
type clientReports struct {
	mu         sync.Mutex
	latest     map[[2]string]time.Time // latest log line by server and reason
	suppressed int
}

func (c *clientReports) report(server, reason string) {
	Metrics.Count("snipegw_clients_refused_total", "server", server, "reason", reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	key, now := [2]string{server, reason}, time.Now()
	if now.Sub(c.latest[key]) < clientLogInterval {
		c.suppressed++
		return
	}
	c.latest[key] = now
	log.WithFields(log.Fields{"event": "client_refused", "server": server, "reason": reason, "code": int(result.Overloaded), "suppressed": c.suppressed}).Warn("clients hold too much: the request or connection of one is ended")
	c.suppressed = 0
}

// limitMemory returns the memory limit of the runtime in bytes. If the environment sets none, it becomes a share of the memory
// of the machine, which is read from the system if it is 0.
func limitMemory(machine int64) int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	if machine == 0 {
		machine = machineMemory()
	}
	if machine == 0 {
		return math.MaxInt64
	}
	limit := machine / 100 * memoryLimitShare
	debug.SetMemoryLimit(limit)
	return limit
}

// machineMemory returns the memory of the machine, or that of the control group if it is less, in bytes; 0 if neither
// can be read.
func machineMemory() int64 {
	memory := int64(0)
	data, _ := os.ReadFile("/proc/meminfo")
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			memory = kilobytes << 10
		}
	}
	data, _ = os.ReadFile("/proc/self/cgroup")
	for line := range strings.Lines(string(data)) {
		group, ok := strings.CutPrefix(strings.TrimSpace(line), "0::")
		for ; ok; group = path.Dir(group) {
			text, _ := os.ReadFile(path.Join("/sys/fs/cgroup", group, "memory.max"))
			if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && (memory == 0 || limit < memory) {
				memory = limit
			}
			ok = group != "/" && group != "."
		}
	}
	return memory
}

// descriptorLimit returns the limit of open descriptors of the process.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
