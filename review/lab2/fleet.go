package main

import (
	"bytes"
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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines, as the platform would choose them.
const (
	portFrom    = 7000
	portTo      = 7015
	portFront   = 8521
	portReady   = 8523
	portControl = 8526
	portStore   = 8524
	portApp     = 8529
)

// zone is the zone of all machines, one of arrieros-sched.
const zone = "paso-agua-negra"

// service is the service of all workers.
const service = "svc"

const restartDelay = 500 * time.Millisecond

// Fleet is a small deployment on loopback addresses.
type Fleet struct {
	record  *Record
	repo    string
	dir     string
	block   string // first three parts of the addresses
	Store   *Store
	Entries []*Process
	Agents  []*Process
	Workers []*Worker
	config  map[string]any

	mu      sync.Mutex
	closing bool
}

// Process is one of the system's processes on its machine.
type Process struct {
	fleet    *Fleet
	name     string
	role     string
	ip       string
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	Ends int // unrequested ends
}

// NewFleet starts the store and prepares entries and workers with their agents; capacity and labels are those of
// each worker.
func NewFleet(record *Record, repo string, entries int, workers []*Worker) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "snipegw-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{record: record, repo: repo, dir: dir}
	for try := 0; ; try++ {
		f.block = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", f.ip(2, portStore))
		if err == nil {
			f.Store = NewStore(record)
			go func() { _ = http.Serve(l, f.Store) }()
			go f.Store.Run()
			break
		}
		if try == 20 {
			return nil, err
		}
	}
	for i := range entries {
		f.Entries = append(f.Entries, &Process{fleet: f, name: fmt.Sprintf("edge-"+zone+"-%d", i+1), role: "entry", ip: fmt.Sprintf("%s.%d", f.block, 10+i)})
	}
	for i, w := range workers {
		p := &Process{fleet: f, name: fmt.Sprintf("side-"+zone+"-%d", i+1), role: "agent", ip: fmt.Sprintf("%s.%d", f.block, 100+i)}
		f.Agents = append(f.Agents, p)
		w.fleet, w.record, w.name = f, record, p.name
		w.addr, w.control, w.service = fmt.Sprintf("%s:%d", p.ip, portApp), fmt.Sprintf("%s:%d", p.ip, portControl), service
		w.id, w.wake = fmt.Sprintf("i-%08x", rand.Uint32()), make(chan struct{}, 1)
		f.Workers = append(f.Workers, w)
	}
	return f, nil
}

func (f *Fleet) ip(last, port int) string { return fmt.Sprintf("%s.%d:%d", f.block, last, port) }

// Start starts workers, agents and entries, writes the first configuration and waits until the entries are ready.
func (f *Fleet) Start(config map[string]any) error {
	for _, w := range f.Workers {
		if err := w.Start(); err != nil {
			return err
		}
		go w.Announce()
	}
	for _, p := range append(append([]*Process{}, f.Agents...), f.Entries...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	f.Configure(config)
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range f.Entries {
		for !p.Ready() {
			if time.Now().After(deadline) {
				return errors.New("an entry does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Configure writes a version of the configuration as the operator.
func (f *Fleet) Configure(config map[string]any) {
	data, _ := json.Marshal(config)
	f.Store.Put("op/config", data)
	f.record.Printf("operator: writes op/config version %v", config["version"])
}

// Close ends all processes.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	for _, p := range append(append([]*Process{}, f.Entries...), f.Agents...) {
		p.Signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(f.dir)
}

// fields are the settings that the platform fills into the template of a role.
func (p *Process) fields() map[string]any {
	seeds := []any{}
	for _, e := range p.fleet.Entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip, portControl))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	memory := 284
	bind := map[string]any{"front": at(portFront), "ready": at(portReady), "control": at(portControl)}
	if p.role == "agent" {
		memory = 152
	}
	return map[string]any{
		"nodeName": p.name, "ip": p.ip, "zone": zone, "region": "cordillera-norte", "portRange": []any{portFrom, portTo}, "seeds": seeds, "heartbeatMs": 1500,
		"app": at(portApp), "bindAddresses": bind, "limits": map[string]any{"memoryMb": memory},
		"bounds":   map[string]any{"maxHoldMs": 6000, "stopTimeoutMs": 400, "reclaimMs": 2900},
		"platform": map[string]any{"address": p.fleet.ip(2, portStore), "minTtlMs": 1000},
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills a template in, as DEPLOY.md describes it, as far as the templates of the repository need it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		list, ok := v.([]any)
		switch {
		case v == nil:
			return ""
		case !ok:
			return render(m[2], fields)
		}
		out := ""
		for i, e := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			data, _ := json.Marshal(e)
			out += strings.NewReplacer("{{.|json}}", string(data), "{{,}}", comma).Replace(m[2])
		}
		return out
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		if m[2] != "" {
			data, _ := json.Marshal(v)
			return string(data)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []any:
			i := int(part[0] - '0')
			if i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	if p.settings == "" {
		tmpl, err := os.ReadFile(filepath.Join(p.fleet.repo, "deploy", p.role+".json.tmpl"))
		if err != nil {
			return err
		}
		p.settings = filepath.Join(p.fleet.dir, p.name+".json")
		if err := os.WriteFile(p.settings, []byte(render(string(tmpl), p.fields())), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/snipegw-"+p.role, "--settings", p.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.fleet.repo, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	p.fleet.record.Printf("platform: starts %s", p.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.fleet.mu.Lock()
		closing := p.fleet.closing
		p.fleet.mu.Unlock()
		if closing {
			return
		}
		p.mu.Lock()
		p.Ends++
		p.mu.Unlock()
		p.fleet.record.Printf("platform: %s has ended (%v), starts it again", p.name, err)
		time.Sleep(restartDelay)
		_ = p.Start()
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Ready asks the process whether it is ready, as the platform does.
func (p *Process) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Call makes a requester's call to an entry. The status is 0 if there was no answer.
func (f *Fleet) Call(entry int, method, path, key string, body any) (int, map[string]any) {
	var payload io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		payload = bytes.NewReader(data)
	}
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", f.Entries[entry].ip, portFront, path), payload)
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		f.record.Printf("requester: %s %s at %s: no answer (%v)", method, path, f.Entries[entry].name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &out)
	f.record.Printf("requester: %s %s at %s: %d %s", method, path, f.Entries[entry].name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, out
}

// State asks for the state of a job; empty if there is no 200.
func (f *Fleet) State(entry int, path, key string) (int, string) {
	status, out := f.Call(entry, http.MethodGet, path, key, nil)
	state, _ := out["state"].(string)
	return status, state
}

// NewID returns an id for a job.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
