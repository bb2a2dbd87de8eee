// Package crowd_test starts the programs of snipegw and sends them crowds of requests that are legal one by one.
// It checks that the processes live within the memory and the descriptors of their machines and still answer.
package crowd_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/proof"
)

// machine is what one process has.
type machine struct {
	memory      int // bytes
	descriptors int
}

// The machines on which the platform runs the programs.
var (
	entryMachine = machine{memory: 284e6, descriptors: 4100}
	agentMachine = machine{memory: 152e6, descriptors: 4096}
)

// goMemoryShare is the share of a machine's memory, in percent, that the test's settings allow the Go
// runtime: the program's code is not part of it.
const goMemoryShare = 75

// programs builds the programs into a directory in which each is started with the descriptors of its machine and
// told the memory of its machine. It returns the directory.
func programs(t *testing.T, entry, agent machine) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/real/", "snipegw/cmd/snipegw-entry", "snipegw/cmd/snipegw-agent", "snipegw/cmd/snipegw-standin").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	NewWithT(t).Expect(os.Symlink("real/snipegw-standin", filepath.Join(dir, "snipegw-standin"))).To(Succeed())
	for name, m := range map[string]machine{"snipegw-entry": entry, "snipegw-agent": agent} {
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nGOMEMLIMIT=%d exec %s/real/%s \"$@\"\n", m.descriptors, m.memory/100*goMemoryShare, dir, name)
		NewWithT(t).Expect(os.WriteFile(filepath.Join(dir, name), []byte(script), 0o755)).To(Succeed())
	}
	return dir
}

// startRequests starts a cluster that serves requests and returns its only entry.
func startRequests(t *testing.T, entry machine) *target {
	t.Helper()
	spec := proof.DefaultSpec()
	spec.Entries, spec.Agents = 1, 2
	c, err := proof.Launch(context.Background(), programs(t, entry, agentMachine), t.TempDir(), spec)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Kill)
	e := c.Entries[0]
	return &target{process: e.Process, machine: entry, address: e.HTTP, ordinary: requestHead("GET", requestPath, requestHost, 0), calm: 200}
}

// startWorkflows starts a cluster that serves workflows and returns its only entry and its only agent.
func startWorkflows(t *testing.T, entry, agent machine) (*target, *target) {
	t.Helper()
	c, err := proof.LaunchWorkflows(context.Background(), programs(t, entry, agent), t.TempDir(), 1, 1, proof.WorkflowParts{Evacuation: true})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Kill)
	e, a := c.Entries[0], c.Agents[0]
	return &target{process: e.Process, machine: entry, address: e.FrontAddress, ordinary: requestHead("GET", "/batch/", workflowHost, 0), calm: 200},
		&target{process: a.Process, machine: agent, address: a.ControlAddress, ordinary: requestHead("POST", announcePath, "agent", 0), calm: 200}
}

// target is a process that a crowd calls.
type target struct {
	process  *proof.Process
	machine  machine
	address  string
	ordinary []byte // an ordinary request
	calm     int    // status of its response
}

// statusLine returns one value of /proc/PID/status in bytes.
func (p *target) statusLine(name string) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.PID()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes * 1024, err
		}
	}
	return 0, fmt.Errorf("no line %s", name)
}

// descriptors returns the number of open descriptors.
func (p *target) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.PID()))
	return len(entries)
}

// status sends a request on a connection of its own and returns the status of the response, 0 if there is none.
func (p *target) status(request []byte) int {
	c, err := net.DialTimeout("tcp", p.address, answerTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.Write(request); err != nil {
		return 0
	}
	return readStatus(c)
}
