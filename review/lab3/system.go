package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of all machines. Each machine has a loopback address of its own.
const (
	portPeers   = 7000
	portDebug   = 7015
	portFront   = 8521
	portReady   = 8523
	portStore   = 8524
	portControl = 8526
	portWorker  = 9000
)

const callerHost = "cases.example"

// system is a small deployment: the store, entries, and agents with their workers.
type system struct {
	rec     *record
	root    string // of the repository
	dir     string // temporary
	network string // the first three bytes of all addresses
	store   *store
	pool    *pool
	entries []*process
	agents  []*process
}

// process is a program of the project.
type process struct {
	name, program, settings, log, ip string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

type queue struct {
	Name        string  `json:"name"`
	Hostname    string  `json:"hostname"`
	PathPrefix  string  `json:"pathPrefix"`
	Backend     string  `json:"backend"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"maxAttempts"`
	SlackFactor float64 `json:"slackFactor"`
	TargetMs    int64   `json:"targetLatencyMs"`
}

type tenant struct {
	Name       string           `json:"name"`
	APIKeys    []string         `json:"apiKeys"`
	Guaranteed map[string]int64 `json:"guaranteed"`
}

// shape is what a deployment consists of.
type shape struct {
	entries int
	workers int
	cpu     int64 // thousandths of a core of each worker
	gpus    int64
	perRack int
	queues  []queue
	tenants []tenant
	label   string // kind of the first worker, the others are of kind a
	others  int    // so many of the first workers are of another service
}

const service, otherService = "svc-1", "svc-2"

// startSystem starts the store, the workers and the programs, and waits until the entries are ready and all
// workers are known.
func startSystem(rec *record, root string, s shape) (*system, error) {
	dir, err := os.MkdirTemp("", "snipegw-case-")
	if err != nil {
		return nil, err
	}
	sys := &system{rec: rec, root: root, dir: dir}
	for range 50 {
		sys.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.2:%d", sys.network, portStore))
		if err == nil {
			_ = ln.Close()
			break
		}
	}
	if sys.store, err = startStore(fmt.Sprintf("%s.2:%d", sys.network, portStore)); err != nil {
		return sys, err
	}
	sys.configure(1, s)
	sys.pool = &pool{byTask: make(map[string][]*run), rec: rec}
	for i := range s.workers {
		ip := fmt.Sprintf("%s.%d", sys.network, 100+i)
		w := &worker{
			pool: sys.pool, name: fmt.Sprintf("w%d", i), id: fmt.Sprintf("i-%04x", i), address: fmt.Sprintf("%s:%d", ip, portWorker), control: fmt.Sprintf("%s:%d", ip, portControl),
			service: service, labels: []string{"a", fmt.Sprintf("rack-%d", i/s.perRack)}, cpu: s.cpu, mem: 131072, gpus: s.gpus,
		}
		if i == 0 && s.label != "" {
			w.labels[0] = s.label
		}
		if i < s.others {
			w.service = otherService
		}
		sys.pool.workers = append(sys.pool.workers, w)
		if err := w.start(); err != nil {
			return sys, err
		}
		agent := &process{name: fmt.Sprintf("side-%d", i), program: "target/snipegw-agent", ip: ip}
		sys.agents = append(sys.agents, agent)
		if err := sys.launch(agent, sys.agentSettings(agent, w)); err != nil {
			return sys, err
		}
	}
	for i := range s.entries {
		entry := &process{name: fmt.Sprintf("edge-%d", i), program: "target/snipegw-entry", ip: fmt.Sprintf("%s.%d", sys.network, 10+i)}
		sys.entries = append(sys.entries, entry)
	}
	for _, entry := range sys.entries {
		if err := sys.launch(entry, sys.entrySettings(entry)); err != nil {
			return sys, err
		}
	}
	return sys, sys.awaitReady()
}

// configure writes a version of the configuration as the operator does.
func (sys *system) configure(version int, s shape) {
	services := []map[string]any{{"name": service}}
	if s.others > 0 {
		services = append(services, map[string]any{"name": otherService})
	}
	config, _ := json.Marshal(map[string]any{
		"version": version, "routes": s.queues, "services": services, "tenants": s.tenants,
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	sys.store.put("op/config", config)
}

// entrySettings and agentSettings return the settings as the templates of the deploy file make them, with the bounds
// of sites/arrieros-sched.toml.
func (sys *system) entrySettings(p *process) map[string]any {
	var seeds []string
	for _, e := range sys.entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip, portControl))
	}
	return map[string]any{
		"id": p.name, "region": "region-1", "failure_domain": "zone-1", "address": fmt.Sprintf("%s:%d", p.ip, portPeers), "http_address": fmt.Sprintf("%s:%d", p.ip, portDebug),
		"security": map[string]any{"mode": "development"}, "log_level": "info", "clients": map[string]any{"machine_memory_mb": 284},
		"workflow": map[string]any{
			"front_address": fmt.Sprintf("%s:%d", p.ip, portFront), "ready_address": fmt.Sprintf("%s:%d", p.ip, portReady), "front": "platform", "config_format": "platform",
			"store": map[string]any{"type": "platform", "addresses": []string{fmt.Sprintf("%s.2:%d", sys.network, portStore)}}, "seeds": seeds,
			"max_lease_ms": 6000, "stop_timeout_ms": 200, "min_store_lease_ms": 1000, "reclaim_ms": 2700, "admission": map[string]any{}, "plugins": map[string]any{"worker_speed": map[string]any{}},
		},
	}
}

func (sys *system) agentSettings(p *process, w *worker) map[string]any {
	return map[string]any{
		"region": "region-1", "failure_domain": "zone-1", "address": fmt.Sprintf("%s:%d", p.ip, portPeers),
		"security": map[string]any{"mode": "development"}, "log_level": "info", "clients": map[string]any{"machine_memory_mb": 152},
		"workflow": map[string]any{
			"node": p.name, "control_address": w.control, "announcements": "platform", "worker": map[string]any{"type": "platform", "address": w.address},
			"store": map[string]any{"type": "platform", "addresses": []string{fmt.Sprintf("%s.2:%d", sys.network, portStore)}},
		},
	}
}

// launch writes the settings of a process and starts it.
func (sys *system) launch(p *process, settings map[string]any) error {
	data, _ := json.MarshalIndent(settings, "", "  ")
	p.settings, p.log = filepath.Join(sys.dir, p.name+".json"), filepath.Join(sys.dir, p.name+".log")
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return err
	}
	return sys.restart(p)
}

// restart starts a process with the settings that it has.
func (sys *system) restart(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(sys.root, p.program), "--settings", p.settings)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = sys.root, out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// stop ends all processes.
func (sys *system) stop() {
	for _, p := range append(append([]*process(nil), sys.entries...), sys.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
	if sys.pool != nil {
		for _, w := range sys.pool.workers {
			if w.up {
				w.stop()
				_ = w.server.Close()
			}
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(sys.dir)
	}
}

var errNotReady = errors.New("the system has not become ready")

// awaitReady waits until the entries are ready and a short job has run to its end.
func (sys *system) awaitReady() error {
	limit := time.Now().Add(20 * time.Second)
	for _, p := range sys.entries {
		for {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // all workers have checked in and reported
	sys.rec.printf("the system is ready, at %s.x", sys.network)
	return nil
}

// caller sends the calls of one tenant.
type caller struct {
	sys *system
	key string
}

type jobStep map[string]any

// call sends one call through an entry and returns the status, 0 without an answer, and the body.
func (c *caller) call(entry *process, method, path string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry.ip, portFront, path), bytes.NewReader(data))
	req.Host = callerHost
	req.Close = true
	req.Header.Set("Authorization", "Token "+c.key)
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.sys.rec.printf("%s %s at %s: no answer (%v)", method, path, entry.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.sys.rec.printf("%s %s at %s: no complete answer (%v)", method, path, entry.name, err)
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// try calls the entries in turn until one answers with something else than 502, 503 or 504, for up to limit.
func (c *caller) try(method, path string, body any, limit time.Duration) (int, string) {
	begin := time.Now()
	for i := 0; ; i++ {
		entry := c.sys.entries[i%len(c.sys.entries)]
		status, text := c.call(entry, method, path, body)
		if status != 0 && status != 429 && status < 500 || time.Since(begin) > limit {
			c.sys.rec.printf("%s %s at %s: %d %s", method, path, entry.name, status, text)
			return status, text
		}
		c.sys.rec.printf("%s %s at %s: %d %s, tried again", method, path, entry.name, status, text)
		time.Sleep(200 * time.Millisecond)
	}
}

// submit hands a job in and reports whether it was accepted.
func (c *caller) submit(path, id, spec string, steps ...jobStep) bool {
	status, _ := c.try(http.MethodPost, path+id, map[string]any{"spec": spec, "steps": steps}, 6*time.Second)
	return status/100 == 2
}

// state returns the state of a job, or the status if it is not 200.
func (c *caller) state(path, id string) string {
	status, text := c.try(http.MethodGet, path+id, nil, 6*time.Second)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &reply)
	return reply.State
}

// Bounds of sites/arrieros-sched.toml.
const (
	finishTime    = 14 * time.Second // from the end of the traffic until jobs are asked for
	stillTime     = 3 * time.Second  // without a run of a job for which there is room
	watchInterval = 200 * time.Millisecond
)

// restsAtTheEnd waits for finishTime after the end of the traffic, which is now. It reports whether nothing of the job runs for
// stillTime from then on, and records it.
func (sys *system) restsAtTheEnd(job string) bool {
	sys.rec.printf("the traffic ends")
	time.Sleep(finishTime)
	for end := time.Now().Add(stillTime + watchInterval); time.Now().Before(end); time.Sleep(watchInterval) {
		n := sys.pool.runningOf(job)
		sys.rec.printf("job %s has %d runs, all jobs have %d", job, n, sys.pool.count())
		if n > 0 {
			return false
		}
	}
	return true
}

// await calls f every 20 ms until it returns true, for up to limit.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
