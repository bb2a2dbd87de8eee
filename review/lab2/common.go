package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	host    = "queue.example"
	keyA    = "key-of-team-a-0001"
	keyB    = "key-of-team-b-0001"
	special = "b" // label that only the last worker has
)

var (
	fleetsMu sync.Mutex
	fleets   []*Fleet
)

func closeFleets() {
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	for _, f := range fleets {
		f.Close()
	}
}

// smallFleet starts three entries and n workers as those of arenaria-sched, with three workers a rack. The program ends
// them.
func smallFleet(record *Record, repo string, n int) (*Fleet, error) {
	var workers []*Worker
	for i := range n {
		kind := "a"
		if i == n-1 {
			kind = special
		}
		workers = append(workers, &Worker{cap: Capacity{CPU: 64000, MemMB: 262144, GPUs: 8}, labels: []string{kind, fmt.Sprintf("r1-%d", i/3)}})
	}
	f, err := NewFleet(record, repo, 3, workers)
	if err != nil {
		return nil, err
	}
	fleetsMu.Lock()
	fleets = append(fleets, f)
	fleetsMu.Unlock()
	if err := f.Start(config()); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // all workers have checked in
	return f, nil
}

// route describes a queue in the form of op/config.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priority,
		"backend": service, "maxAttempts": attempts, "slackFactor": 3.0, "public": false,
	}
}

// config is the configuration of all cases: three queues as those of arenaria-sched, and two tenants that hold guarantees
// on half of the accelerators of four workers each.
func config() map[string]any {
	tenant := func(name, key string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []any{key}, "priority": 1, "guaranteed": map[string]any{"gpus": 16}}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("first", "/first/", 0, 4), route("middle", "/middle/", 1, 2), route("last", "/last/", 2, 2)},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{tenant("team-a", keyA), tenant("team-b", keyB)},
	}
}

// step is a step of a job on the wire.
type step map[string]any

// job is a job on the wire.
func job(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// submit hands a job in until it is accepted.
func (f *Fleet) submit(path, key string, job map[string]any) bool {
	for range 5 {
		for e := range f.Entries {
			if status, _ := f.Call(e, "POST", path, key, job); status == 200 {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return false
}

// eachRun calls visit for all runs that the workers have begun, those of former lives included.
func (f *Fleet) eachRun(visit func(*Run)) {
	for _, w := range f.Workers {
		w.mu.Lock()
		w.advance()
		for _, r := range w.Runs {
			visit(r)
		}
		w.mu.Unlock()
	}
}

// runsOf returns the number of runs of a job that are going on.
func (f *Fleet) runsOf(id string) int {
	n := 0
	f.eachRun(func(r *Run) {
		if r.How == "" && r.Task[:len(id)] == id {
			n++
		}
	})
	return n
}
