package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// startTimeout bounds each wait for something to be ready, such as a program, a
	// gang or the connections of all agents. A program that is stopped is killed after
	// the same time.
	startTimeout = 15 * time.Second
	// pollInterval is the interval at which waitFor checks its condition.
	pollInterval = 20 * time.Millisecond
	// clockTicksPerSecond is the resolution of processor times in /proc: USER_HZ of
	// Linux.
	clockTicksPerSecond = 100
)

// process is a started program.
type process struct {
	cmd *exec.Cmd
}

// processGroup is a set of started programs. Their settings and logs are in one
// temporary directory.
type processGroup struct {
	bin       string
	dir       string
	processes []*process
}

func newProcessGroup(bin string) (*processGroup, error) {
	dir, err := os.MkdirTemp("", "snipegw-bench-")
	if err != nil {
		return nil, err
	}
	return &processGroup{bin: bin, dir: dir}, nil
}

// close sends SIGTERM to all programs in the reverse order of their start, waits
// until they have ended, and removes the directory. It kills a program that does not
// end within startTimeout.
func (g *processGroup) close() {
	for i := len(g.processes) - 1; i >= 0; i-- {
		p := g.processes[i]
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range g.processes {
		timer := time.AfterFunc(startTimeout, func() { _ = p.cmd.Process.Kill() })
		_ = p.cmd.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(g.dir)
}

// start writes settings to the file <name>.json in the group's directory and starts
// the program with that file. The program's output goes to <name>.log.
func (g *processGroup) start(name, program string, args []string, settings any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(g.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(g.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(g.bin, program), append(args, "--settings", file)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd}
	g.processes = append(g.processes, p)
	return p, nil
}

// logTail returns the last 600 bytes of a program's log, for error messages.
func (g *processGroup) logTail(name string) string {
	data, _ := os.ReadFile(filepath.Join(g.dir, name+".log"))
	return string(data[max(0, len(data)-600):])
}

// usage holds the processor time that a process has used since its start and its
// resident memory.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
}

// readUsage reads the usage of the process from /proc.
func (p *process) readUsage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The program's name in parentheses may contain spaces. After it, user and system
	// time are the 12th and 13th field, and the resident pages the 22nd.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	resident, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpuTime:       time.Duration(user+system) * time.Second / clockTicksPerSecond,
		residentBytes: resident * int64(os.Getpagesize()),
	}, nil
}

// freeAddress returns a loopback address whose port is free for TCP and UDP when
// it returns. Another process may still take the port before it is used.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			return addr, u.Close()
		}
	}
}

func freeAddresses(n int) ([]string, error) {
	list := make([]string, n)
	for i := range list {
		var err error
		if list[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// waitFor polls until ready returns true, and fails after startTimeout. what is the
// subject of the error message.
func waitFor(what string, ready func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for !ready() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not ready within %v", what, startTimeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// respondsOK returns a function that reports whether a GET of url with the bearer
// token is answered with status 200.
func respondsOK(url, token string) func() bool {
	return func() bool {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return false
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}
