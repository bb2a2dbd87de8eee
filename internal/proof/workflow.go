package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin/platformstore"
	"snipegw/internal/standin/platformworker"
	"snipegw/internal/workflow"
)

const (
	workflowHost    = "queue.example"
	workflowToken   = "workflow-token"
	workflowService = "service"
	// workflowTimeout bounds the waits for the start of an entry, for the jobs of the
	// demonstration, and for the first accepted job after an outage of the store.
	workflowTimeout = 30 * time.Second
	// callerTimeout is the time that a caller waits for a response.
	callerTimeout  = 3 * time.Second
	workersPerRack = 2
	// workflowRetention is how long entries keep ended jobs. It outlasts every run, so
	// that callers can ask for all their jobs at its end.
	workflowRetention = 20 * time.Minute
)

// WorkflowNode is the process of an entry or an agent of a WorkflowCluster.
type WorkflowNode struct {
	*Process
	FrontAddress   string                  // address for callers, of an entry only
	ControlAddress string                  // address for the worker's announcements, of an agent only
	storeEndpoint  *platformstore.Endpoint // own access to the store, with fault switches of its own
	relay          *udpRelay               // in front of its address for other processes
	cut            atomic.Bool             // whether the relay drops all datagrams
	// kills and stops count the kills and graceful stops that soak.applyFault has begun,
	// stopsInProgress the graceful stops that have not ended.
	kills, stops, stopsInProgress atomic.Int64
}

// WorkflowCluster is a cluster that serves workflows. Entries and agents run as processes; the
// platform's store and workers are stand-ins in this program.
type WorkflowCluster struct {
	Store   *platformstore.Store
	Pool    *platformworker.Pool
	Workers []*platformworker.Worker
	Entries []*WorkflowNode
	Agents  []*WorkflowNode
	bin     string
	dir     string
	parts   WorkflowParts
	cancel  context.CancelFunc
}

// LaunchWorkflows starts a cluster with the given numbers of entries and workers and the given
// optional parts, and waits until its entries are ready and its agents have registered: a stop that comes before ends a program
// without grace.
func LaunchWorkflows(ctx context.Context, bin, dir string, entries, workers int, parts WorkflowParts) (*WorkflowCluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &WorkflowCluster{Store: platformstore.New(), Pool: platformworker.NewPool(), bin: bin, dir: dir, parts: parts, cancel: cancel}
	document, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "urgent", "hostname": workflowHost, "pathPrefix": "/urgent/", "backend": workflowService, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250},
			map[string]any{"name": "batch", "hostname": workflowHost, "pathPrefix": "/batch/", "backend": workflowService, "priority": 1, "maxAttempts": 3, "slackFactor": 3, "targetLatencyMs": 1000},
		},
		"services": []any{map[string]any{"name": workflowService}},
		"tenants":  []any{map[string]any{"name": "team", "apiKeys": []string{workflowToken}, "guaranteed": map[string]int{"gpus": 8}}},
	})
	if err != nil {
		cancel()
		return nil, err
	}
	c.Store.Put("op/config", document)
	for i := range entries {
		err = firstError(err, c.addEntry(fmt.Sprintf("entry-%d", i+1)))
	}
	for i := range workers {
		err = firstError(err, c.addWorker(ctx, fmt.Sprintf("worker-%d", i+1), fmt.Sprintf("rack-%d", 1+i/workersPerRack)))
	}
	if err == nil {
		err = c.awaitAgents(ctx)
	}
	if err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

// zoneOf returns the zone that a worker announces. Each has its own, so that an evacuation leaves
// most of the room to the load.
func zoneOf(worker string) string { return "zone-of-" + worker }

// awaitAgents waits until all agents have registered in the store.
func (c *WorkflowCluster) awaitAgents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, workflowTimeout)
	defer cancel()
	for _, a := range c.Agents {
		for c.Store.Value(workflow.AgentPrefix+a.Name) == nil {
			if ctx.Err() != nil {
				return fmt.Errorf("agent %s has not registered: %w", a.Name, ctx.Err())
			}
			kernel.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// freeAddresses returns n loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		var err error
		if out[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// connectNode opens the node's own access to the store, and starts a relay from the address that
// the node advertises to the one that it listens on.
func (c *WorkflowCluster) connectNode(n *WorkflowNode, listen, advertise string) error {
	var err error
	if n.storeEndpoint, err = c.Store.OpenEndpoint(); err != nil {
		return err
	}
	n.relay, err = newUDPRelay(advertise, listen, func(int) bool { return n.cut.Load() })
	return err
}

func (c *WorkflowCluster) storeSettings(n *WorkflowNode) map[string]any {
	return map[string]any{"type": "platform", "addresses": []string{n.storeEndpoint.Addr()}, "timeout_ms": 600}
}

func (c *WorkflowCluster) addEntry(id string) error {
	addrs, err := freeAddresses(5) // front, ready, HTTP, QUIC to listen on, QUIC to advertise
	if err != nil {
		return err
	}
	n := &WorkflowNode{FrontAddress: addrs[0]}
	if err := c.connectNode(n, addrs[3], addrs[4]); err != nil {
		return err
	}
	workflows := map[string]any{
		"front_address": addrs[0], "ready_address": addrs[1], "front": "platform", "config_format": "platform", "store": c.storeSettings(n),
		"keep_ended_ms": workflowRetention.Milliseconds(),
	}
	c.parts.addTo(workflows)
	file, err := writeJSON(c.dir, id+".json", map[string]any{
		"id": id, "region": "r", "failure_domain": "d", "address": addrs[3], "advertise_address": addrs[4], "http_address": addrs[2],
		"security": map[string]string{"mode": "development"},
		"workflow": workflows,
	})
	if err != nil {
		return err
	}
	n.Process = newProcess(c.dir, c.bin, "snipegw-entry", id, "--settings", file)
	c.Entries = append(c.Entries, n)
	if err := n.Start(); err != nil {
		return err
	}
	return awaitHTTP("http://"+addrs[1]+"/api/readyz", workflowTimeout)
}

func (c *WorkflowCluster) addWorker(ctx context.Context, id, rack string) error {
	addrs, err := freeAddresses(3) // control, QUIC to listen on, QUIC to advertise
	if err != nil {
		return err
	}
	w, err := c.Pool.Add(id, rack, workflowService)
	if err != nil {
		return err
	}
	w.SetZone(zoneOf(id))
	n := &WorkflowNode{ControlAddress: addrs[0]}
	if err := c.connectNode(n, addrs[1], addrs[2]); err != nil {
		return err
	}
	file, err := writeJSON(c.dir, id+".json", map[string]any{
		"region": "r", "failure_domain": "d", "address": addrs[1], "advertise_address": addrs[2], "security": map[string]string{"mode": "development"},
		"workflow": map[string]any{
			"node": id, "control_address": addrs[0], "announcements": "platform", "store": c.storeSettings(n),
			"worker": map[string]string{"type": "platform", "address": w.Addr()},
		},
	})
	if err != nil {
		return err
	}
	n.Process = newProcess(c.dir, c.bin, "snipegw-agent", id, "--settings", file)
	c.Workers, c.Agents = append(c.Workers, w), append(c.Agents, n)
	go w.Announce(ctx, addrs[0])
	return n.Start()
}

func (c *WorkflowCluster) nodes() []*WorkflowNode {
	return append(append([]*WorkflowNode{}, c.Entries...), c.Agents...)
}

// Kill ends all processes with SIGKILL and closes the relays and stand-ins.
func (c *WorkflowCluster) Kill() {
	c.cancel()
	for _, n := range c.nodes() {
		if n.Process != nil {
			n.Thaw()
			n.Process.Kill()
		}
		if n.relay != nil {
			n.relay.close()
		}
		if n.storeEndpoint != nil {
			_ = n.storeEndpoint.Close()
		}
	}
	for _, w := range c.Workers {
		_ = w.Close()
	}
}

// WorkflowSteps returns the body of a job with one step for each of counts, with that many items
// that run p. Each step starts after the one before it.
func WorkflowSteps(p platformworker.Payload, counts ...int) []byte {
	var steps []any
	for i, count := range counts {
		step := map[string]any{"count": count, "cpu": 1000, "gpus": p.GPUs, "estimatedMs": p.MS, "gang": p.Gang > 1}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	spec, _ := json.Marshal(p) // cannot fail: numbers and flags only
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	return body
}

var workflowClient = &http.Client{Timeout: callerTimeout + time.Second}

// Call sends a request to an entry as a caller does. Status 0 means that there was no complete
// response.
func (c *WorkflowCluster) Call(e *WorkflowNode, method, path string, body []byte) (status int, answer []byte) {
	req, err := http.NewRequest(method, "http://"+e.FrontAddress+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = workflowHost
	req.Header.Set("Authorization", "Token "+workflowToken)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	resp, err := workflowClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// State returns the HTTP status of an entry's response about a job, and the state of the job. The
// state is empty if the response has none.
func (c *WorkflowCluster) State(e *WorkflowNode, path string) (status int, state string) {
	status, body := c.Call(e, http.MethodGet, path, nil)
	var r struct{ State string }
	if status != http.StatusOK || json.Unmarshal(body, &r) != nil {
		return status, ""
	}
	return status, r.State
}

// demoWorkflows runs a job of two steps and a gang through the interfaces of the platform.
func demoWorkflows(ctx context.Context, e Env) (string, error) {
	c, err := LaunchWorkflows(ctx, e.Bin, e.Dir, 2, 2, WorkflowParts{Evacuation: true})
	if err != nil {
		return "", err
	}
	defer c.Kill()
	jobs := []struct {
		path string
		body []byte
	}{
		{"/batch/00000000000000a1", WorkflowSteps(platformworker.Payload{MS: 200, GPUs: 1}, 3, 2)},
		{"/urgent/00000000000000a2", WorkflowSteps(platformworker.Payload{MS: 200, GPUs: 8, Gang: 2}, 2)},
	}
	began := time.Now()
	for i, j := range jobs {
		if status, body := c.Call(c.Entries[i], http.MethodPost, j.path, j.body); status != http.StatusOK {
			return "", fmt.Errorf("%s: status %d: %s", j.path, status, body)
		}
	}
	for _, j := range jobs {
		for {
			_, state := c.State(c.Entries[0], j.path)
			if state == "complete" {
				break
			}
			if state == "failed" || time.Since(began) > workflowTimeout {
				return "", fmt.Errorf("%s is %q after %v", j.path, state, time.Since(began))
			}
			kernel.Sleep(ctx, 20*time.Millisecond)
		}
	}
	if violations := c.Pool.Violations(); len(violations) > 0 {
		return "", fmt.Errorf("the workers recorded violations: %v", violations)
	}
	return fmt.Sprintf("a job of two steps and a gang of 2 x 8 accelerators are complete after %s", time.Since(began).Round(10*time.Millisecond)), nil
}
