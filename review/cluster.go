package main

import (
	"bufio"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment sites/arenaria-sched.toml, but for the number of workers.
const (
	edges  = 3
	sides  = 12      // 1 of 12 workers is a share of 0.083
	apiKey = "key-1" // of tenant t1, which has a guarantee
	other  = "key-2" // of tenant t2, which has none
	host   = "nony24.example"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Offsets of the ports of a machine from the base port.
const (
	portPeers = iota // portRange.0
	portDebug        // portRange.1
	portFront
	portReady
	portControl
	portApp
	portSwitches
	portStore
	portFaults
	portCount
)

type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

type cluster struct {
	root, dir string
	base      int
	record    *os.File
	began     time.Time
	client    http.Client

	mu        sync.Mutex
	processes map[string]*process
	events    []seen // of all workers
}

// seen is an event of a worker.
type seen struct {
	event
	worker int
}

func edgeIP(i int) string { return fmt.Sprintf("127.1.0.%d", i+1) }
func sideIP(i int) string { return fmt.Sprintf("127.2.0.%d", i+1) }

func (c *cluster) at(ip string, offset int) string { return fmt.Sprintf("%s:%d", ip, c.base+offset) }

const storeIP = "127.3.0.1"

// note writes a line to record.txt.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f s  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeBase returns a base port whose ports are free on all addresses of the cluster.
func freeBase() (int, error) {
	ips := []string{storeIP}
	for i := range edges {
		ips = append(ips, edgeIP(i))
	}
	for i := range sides {
		ips = append(ips, sideIP(i))
	}
	for range 50 {
		base := 12000 + rand.IntN(18000)
		free := true
		for _, ip := range ips {
			for p := range portCount {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// launch starts the store, the workers, the agents and the entries, and waits until all entries are
// ready and all workers are known.
func launch(root, recordFile string, labels func(side int) string) (*cluster, error) {
	c := &cluster{root: root, began: time.Now(), processes: map[string]*process{}, client: http.Client{Timeout: 4 * time.Second}}
	var err error
	if c.record, err = os.Create(recordFile); err != nil {
		return c, err
	}
	if c.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return c, err
	}
	if c.base, err = freeBase(); err != nil {
		return c, err
	}
	if err := c.start("store", nil, os.Args[0], "store", "--listen", c.at(storeIP, portStore), "--control", c.at(storeIP, portFaults)); err != nil {
		return c, err
	}
	if err := c.await("the store", 10*time.Second, func() bool { return c.putConfig(1) == nil }); err != nil {
		return c, err
	}
	for i := range edges {
		if err := c.startEntry(i); err != nil {
			return c, err
		}
	}
	for i := range sides {
		if err := c.startAgent(i); err != nil {
			return c, err
		}
		if err := c.startWorker(i, labels(i)); err != nil {
			return c, err
		}
	}
	for i := range edges {
		if err := c.await("entry readiness", 20*time.Second, func() bool {
			resp, err := c.client.Get("http://" + c.at(edgeIP(i), portReady) + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return c, err
		}
	}
	time.Sleep(5 * time.Second) // the workers announce themselves each 1.5 s
	c.note("the cluster runs: %d entries, %d agents with a worker each, one store", edges, sides)
	return c, nil
}

func (c *cluster) await(what string, timeout time.Duration, ok func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, timeout)
}

// start starts a process. Its output goes to a file, or line by line to lines.
func (c *cluster) start(name string, lines func([]byte), program string, args ...string) error {
	cmd := exec.Command(program, args...)
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr, cmd.Stdout = out, out
	var pipe io.ReadCloser
	if lines != nil {
		cmd.Stdout = nil
		if pipe, err = cmd.StdoutPipe(); err != nil {
			return err
		}
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		if pipe != nil {
			for s := bufio.NewScanner(pipe); s.Scan(); {
				lines(s.Bytes())
			}
		}
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	return nil
}

// signal sends a signal to a process and, for SIGKILL, waits for its end.
func (c *cluster) signal(name string, s syscall.Signal) {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	c.note("%v to %s", s, name)
	if s == syscall.SIGKILL {
		<-p.done
	}
}

// stop ends all processes and removes the temporary folder.
func (c *cluster) stop() {
	c.mu.Lock()
	all := c.processes
	c.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// startRole starts a program of the deploy file with its settings template.
func (c *cluster) startRole(name, program, template string, fields map[string]any) error {
	text, err := os.ReadFile(filepath.Join(c.root, template))
	if err != nil {
		return err
	}
	settings, err := render(string(text), fields)
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return c.start(name, nil, filepath.Join(c.root, program), "--settings", file)
}

func (c *cluster) fields(name, ip string) map[string]any {
	seeds := []any{}
	for i := range min(edges, 3) {
		seeds = append(seeds, c.at(edgeIP(i), portControl))
	}
	return map[string]any{
		"nodeName": name, "ip": ip, "zone": "ica-norte", "region": "ica", "portRange": []any{c.base + portPeers, c.base + portDebug}, "seeds": seeds,
		"app":           c.at(ip, portApp),
		"bindAddresses": map[string]any{"front": c.at(ip, portFront), "ready": c.at(ip, portReady), "control": c.at(ip, portControl)},
		"platform":      map[string]any{"address": c.at(storeIP, portStore), "minTtlMs": 1000},
		"bounds":        map[string]any{"maxHoldMs": 6000, "stopTimeoutMs": 400, "reclaimMs": 2900},
	}
}

func (c *cluster) startEntry(i int) error {
	name := fmt.Sprintf("edge-%d", i+1)
	return c.startRole(name, "target/snipegw-entry", "deploy/entry.json.tmpl", c.fields(name, edgeIP(i)))
}

func (c *cluster) startAgent(i int) error {
	name := fmt.Sprintf("side-%d", i+1)
	return c.startRole(name, "target/snipegw-agent", "deploy/agent.json.tmpl", c.fields(name, sideIP(i)))
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i+1) }

func (c *cluster) startWorker(i int, labels string) error {
	return c.start(workerName(i), func(line []byte) { c.workerEvent(i, line) }, os.Args[0], "worker",
		"--listen", c.at(sideIP(i), portApp), "--agent", c.at(sideIP(i), portControl), "--switches", c.at(sideIP(i), portSwitches),
		"--id", fmt.Sprintf("i-%08d", i+1), "--service", "catalogue", "--zone", "ica-norte", "--labels", labels)
}

func (c *cluster) workerEvent(i int, line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, seen{event: e, worker: i})
	at := time.UnixMilli(e.AtMS).Sub(c.began).Seconds()
	fmt.Fprintf(c.record, "%8.3f s  %s: %s %s run %d %s\n", at, workerName(i), e.Event, e.Task, e.Run, e.How)
}

// seenEvents returns the events of all workers so far.
func (c *cluster) seenEvents() []seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]seen(nil), c.events...)
}

// putConfig writes the operator's configuration.
func (c *cluster) putConfig(version int) error {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "hostname": host, "pathPrefix": prefix, "backend": "catalogue", "priority": priority, "maxAttempts": 4, "slackFactor": 3, "targetLatencyMs": 1000}
	}
	doc, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("r-first", "/lohu930/", 0), route("r-other", "/bopu901/", 2)},
		"services": []any{map[string]any{"name": "catalogue"}}, "limits": map[string]any{"maxBodyBytes": 262144},
		"tenants": []any{
			map[string]any{"name": "t1", "apiKeys": []string{apiKey}, "guaranteed": map[string]int{"gpus": 8}},
			map[string]any{"name": "t2", "apiKeys": []string{other}},
		},
	})
	return c.post(c.at(storeIP, portFaults)+"/rig/put", map[string]any{"puts": []any{map[string]any{"key": "op/config", "value": doc}}})
}

// setFault sets the store's fault switches.
func (c *cluster) setFault(f fault) error { return c.post(c.at(storeIP, portFaults)+"/rig/fault", f) }

func (c *cluster) post(address string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := c.client.Post("http://"+address, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", address, resp.StatusCode)
	}
	return nil
}

// request is a call of tenant t1 to an entry. It returns status 0 if there was no answer.
func (c *cluster) request(edge int, method, path string, body any) (int, string) {
	return c.requestAs(apiKey, edge, method, path, body)
}

func (c *cluster) requestAs(key string, edge int, method, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.at(edgeIP(edge), portFront)+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	status, text := 0, ""
	if resp, err := c.client.Do(req); err == nil {
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, text = resp.StatusCode, strings.TrimSpace(string(data))
	} else {
		text = err.Error()
	}
	c.note("requester: %s %s at edge-%d -> %d %s", method, path, edge+1, status, text)
	return status, text
}
