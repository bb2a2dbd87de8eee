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
	// startTimeout bounds the start of a program.
	startTimeout = 15 * time.Second
	// pollInterval is the time between two looks at a program that starts.
	pollInterval = 20 * time.Millisecond
	// clockTicks is the unit of processor times in /proc, in 1/s.
	clockTicks = 100
)

// process is a started program.
type process struct {
	cmd *exec.Cmd
}

// fleet is a set of programs with their settings in one directory.
type fleet struct {
	bin   string
	dir   string
	procs []*process
}

func newFleet(bin string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "snipegw-bench-")
	if err != nil {
		return nil, err
	}
	return &fleet{bin: bin, dir: dir}, nil
}

// close stops all programs in reverse order and removes the directory.
func (f *fleet) close() {
	for i := len(f.procs) - 1; i >= 0; i-- {
		p := f.procs[i]
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range f.procs {
		timer := time.AfterFunc(startTimeout, func() { _ = p.cmd.Process.Kill() })
		_ = p.cmd.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(f.dir)
}

// start writes settings and runs a program with them.
func (f *fleet) start(name, program string, args []string, settings any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(f.bin, program), append(args, "--settings", file)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd}
	f.procs = append(f.procs, p)
	return p, nil
}

// log returns the end of a program's log for error messages.
func (f *fleet) log(name string) string {
	data, _ := os.ReadFile(filepath.Join(f.dir, name+".log"))
	return string(data[max(0, len(data)-600):])
}

// usage is what a process has used so far.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
}

func (p *process) usage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may contain spaces; user and system time are the
	// 12th and 13th field after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	resident, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu:      time.Duration(user+system) * time.Second / clockTicks,
		resident: resident * int64(os.Getpagesize()),
	}, nil
}

// freeAddress returns a loopback address whose port is free at the moment for
// TCP and UDP.
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

// waitFor polls until ready reports true.
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

// answers reports whether url answers with status 200.
func answers(url, token string) func() bool {
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
