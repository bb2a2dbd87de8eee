// Package proof runs the programs of snipegw as separate processes on loopback,
// injects faults into them, and checks the required properties from outside.
// It is for development only.
package proof

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// logSuffix is the suffix of the log files of processes. checkPanics reads all of them.
const logSuffix = ".log"

// Process runs a program that can be started again after it has ended.
type Process struct {
	Name    string
	binPath string
	args    []string
	logPath string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	exitErr error
	starts  int
	started time.Time
}

func newProcess(dir, bin, program, name string, args ...string) *Process {
	return &Process{Name: name, binPath: filepath.Join(bin, program), args: args, logPath: filepath.Join(dir, name+logSuffix)}
}

// Start starts the program. Its output is appended to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.Name)
	}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.binPath, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The process must not outlive the program that tests it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.exitErr, p.started = cmd, done, nil, time.Now()
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd, p.exitErr = nil, err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// PID returns the process ID, 0 if the program does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process exists; a frozen process counts as running.
func (p *Process) Running() bool { return p.PID() != 0 }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits until it has ended, for at most 10 s.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_, _ = p.waitForExit(10 * time.Second)
}

// Terminate requests a graceful stop with SIGTERM and kills the process if it has not ended within
// timeout. It returns the duration of the stop.
func (p *Process) Terminate(timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	ended, err := p.waitForExit(timeout)
	took := time.Since(began)
	if !ended {
		p.Kill()
		return took, fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return took, fmt.Errorf("%s: %w", p.Name, err)
	}
	return took, nil
}

// waitForExit waits for at most timeout. It reports whether the process has ended, and its exit
// error.
func (p *Process) waitForExit(timeout time.Duration) (ended bool, err error) {
	p.mu.Lock()
	done, running := p.done, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true, nil
	}
	select {
	case <-done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return true, p.exitErr
	case <-time.After(timeout):
		return false, nil
	}
}
