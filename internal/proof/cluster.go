package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"snipegw/internal/standin/backend"
	"snipegw/internal/standin/kv"
	"snipegw/internal/standin/worker"
)

// StopTimeout is the longest time that a graceful stop may take; P7 checks it.
const StopTimeout = 70 * time.Second

// readyTimeout bounds the start of all processes. It is not a required property of the system.
const readyTimeout = 40 * time.Second

// Node is one process with its addresses.
type Node struct {
	*Process
	ID   string
	HTTP string // host:port of its HTTP server
	QUIC string // advertised QUIC address, empty for a stand-in
	// RequestLog is the file in which a backend server records its requests, empty for other
	// nodes.
	RequestLog  string
	storeRelay  *tcpRelay  // between an entry and the store
	packetRelay *udpRelay  // in front of the QUIC address, for datagrams
	streamRelay *linkRelay // in front of the QUIC address, for TCP
}

// URL returns the base URL of the node's HTTP server.
func (n *Node) URL() string { return "http://" + n.HTTP }

// Cluster is a set of running processes.
type Cluster struct {
	Spec     Spec
	Dir      string
	Store    *Node
	Workers  []*Node
	Backends []*Node
	Agents   []*Node
	Entries  []*Node
	binDir   string
	links    *links
}

// Launch starts all processes of spec from the programs in binDir and waits until every entry
// sees every worker and its service. Settings and logs are written to dir.
func Launch(ctx context.Context, binDir, dir string, spec Spec) (*Cluster, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	c := &Cluster{Spec: spec, Dir: dir, binDir: binDir, links: newLinks()}
	steps := []func() error{c.makeStore, c.makeWorkers, c.makeEntries, c.makeAgents, c.makeBackends, c.startAll}
	for _, step := range steps {
		if err := step(); err != nil {
			c.Kill()
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.awaitReady(ctx); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) newNode(program, name string, subcommand []string, httpAddr string, settings any) (*Node, error) {
	file, err := writeJSON(c.Dir, name+".json", settings)
	if err != nil {
		return nil, err
	}
	args := append(append([]string{}, subcommand...), "--settings", file)
	return &Node{Process: newProcess(c.Dir, c.binDir, program, name, args...), ID: name, HTTP: httpAddr}, nil
}

func (c *Cluster) makeStore() error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	s := kv.Settings{Address: addr, WritesPerSecond: c.Spec.StoreWrites, ReadsPerSecond: c.Spec.StoreReads}
	c.Store, err = c.newNode("snipegw-standin", "store", []string{"store"}, addr, s)
	return err
}

func (c *Cluster) makeWorkers() error {
	for i := range c.Spec.Agents {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		w := c.Spec.worker(i)
		n, err := c.newNode("snipegw-standin", "worker-"+w.ID, []string{"worker"}, addr, worker.Settings{Address: addr, Worker: w})
		if err != nil {
			return err
		}
		n.ID = w.ID
		c.Workers = append(c.Workers, n)
	}
	return nil
}

// quicAddresses returns the address for n to listen on and the one to advertise. If they
// differ, a relay forwards from the advertised address to the other.
func (c *Cluster) quicAddresses(n *Node) (listen, advertise string, err error) {
	if listen, err = freeAddress(); err != nil {
		return "", "", err
	}
	if !c.Spec.Relayed {
		return listen, listen, nil
	}
	if advertise, err = freeAddress(); err != nil {
		return "", "", err
	}
	if n.packetRelay, err = newUDPRelay(advertise, listen, c.links.udpFilter(n)); err != nil {
		return "", "", err
	}
	n.streamRelay, err = newLinkRelay(advertise, listen, c.links.tcpFilter(n))
	return listen, advertise, err
}

func (c *Cluster) makeEntries() error {
	document, err := writeJSON(c.Dir, "config.json", c.Spec.document())
	if err != nil {
		return err
	}
	for i := range c.Spec.Entries {
		if err := c.makeEntry(i, document); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) makeEntry(i int, document string) error {
	n := &Node{}
	httpAddr, err := freeAddress()
	if err != nil {
		return err
	}
	listen, advertise, err := c.quicAddresses(n)
	if err != nil {
		return err
	}
	storeURL := c.Store.URL()
	if c.Spec.Relayed {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		if n.storeRelay, err = newTCPRelay(addr, c.Store.HTTP); err != nil {
			return err
		}
		storeURL = "http://" + addr
	}
	id := fmt.Sprintf("entry-%d", i+1)
	created, err := c.newNode("snipegw-entry", id, nil, httpAddr, map[string]any{
		"id": id, "region": c.Spec.Region, "failure_domain": c.Spec.Domains[i%len(c.Spec.Domains)],
		"http_address": httpAddr, "address": listen, "advertise_address": advertise,
		"store":    map[string]any{"type": "consulkv", "addresses": []string{storeURL}, "timeout_ms": 1000},
		"security": map[string]string{"mode": "development"}, "policy": c.Spec.Policy,
		"log_level": "info", "bootstrap_config": document,
	})
	if err != nil {
		return err
	}
	n.Process, n.ID, n.HTTP, n.QUIC = created.Process, id, httpAddr, advertise
	c.Entries = append(c.Entries, n)
	return nil
}

func (c *Cluster) makeAgents() error {
	var seeds []string
	for _, e := range c.Entries {
		seeds = append(seeds, e.QUIC)
	}
	for i := range c.Spec.Agents {
		if err := c.makeAgent(i, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) makeAgent(i int, seeds []string) error {
	n := &Node{}
	httpAddr, err := freeAddress()
	if err != nil {
		return err
	}
	listen, advertise, err := c.quicAddresses(n)
	if err != nil {
		return err
	}
	w := c.Spec.worker(i)
	created, err := c.newNode("snipegw-agent", "agent-"+w.ID, nil, httpAddr, map[string]any{
		"region": w.Region, "failure_domain": w.FailureDomain, "address": listen, "advertise_address": advertise,
		"local_http_address": httpAddr, "entries": seeds,
		"worker_api": map[string]any{"type": "httpworker", "address": c.Workers[i].URL(), "timeout_ms": 500},
		"security":   map[string]string{"mode": "development"}, "log_level": "info",
	})
	if err != nil {
		return err
	}
	n.Process, n.ID, n.HTTP, n.QUIC = created.Process, w.ID, httpAddr, advertise
	c.Agents = append(c.Agents, n)
	return nil
}

func (c *Cluster) makeBackends() error {
	if c.Spec.Service == "" {
		return nil
	}
	for _, a := range c.Agents {
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		log := filepath.Join(c.Dir, "backend-"+a.ID+".requests")
		n, err := c.newNode("snipegw-standin", "backend-"+a.ID, []string{"backend"}, addr, backend.Settings{
			Address: addr, Agent: a.URL(), Service: c.Spec.Service, Slots: 8, LogFile: log,
		})
		if err != nil {
			return err
		}
		n.ID, n.RequestLog = a.ID, log
		c.Backends = append(c.Backends, n)
	}
	return nil
}

// nodes returns all nodes in the order in which they are started.
func (c *Cluster) nodes() []*Node {
	var all []*Node
	if c.Store != nil {
		all = append(all, c.Store)
	}
	all = append(all, c.Workers...)
	all = append(all, c.Entries...)
	all = append(all, c.Agents...)
	return append(all, c.Backends...)
}

func (c *Cluster) startAll() error {
	c.links.nodes = append(append([]*Node{}, c.Entries...), c.Agents...)
	for _, n := range c.nodes() {
		if err := n.Start(); err != nil {
			return err
		}
		if n == c.Store {
			if err := awaitHTTP(n.URL()+"/standin/counts", 5*time.Second); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitHTTP polls url until it answers with status 200, for at most timeout.
func awaitHTTP(url string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(timeout)
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not answer with status 200: %w", url, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Stop ends all processes with SIGTERM, the backend servers first and the store last. It
// returns the duration of the longest stop. A process that takes longer than timeout is killed
// and reported as an error.
func (c *Cluster) Stop(timeout time.Duration) (time.Duration, error) {
	var longest time.Duration
	var errs []error
	for _, group := range [][]*Node{c.Backends, c.Agents, c.Entries, c.Workers, {c.Store}} {
		took, err := terminateAll(group, timeout)
		longest = max(longest, took)
		errs = append(errs, err)
	}
	c.closeRelays()
	return longest, errors.Join(errs...)
}

// terminateAll stops the nodes gracefully in parallel and returns the duration of the longest stop.
func terminateAll(nodes []*Node, timeout time.Duration) (time.Duration, error) {
	var mu sync.Mutex
	var longest time.Duration
	var errs []error
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() {
			took, err := n.Terminate(timeout)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			errs = append(errs, err)
		})
	}
	wg.Wait()
	return longest, errors.Join(errs...)
}

// Kill ends all processes with SIGKILL and closes the relays.
func (c *Cluster) Kill() {
	var wg sync.WaitGroup
	for _, n := range c.nodes() {
		if n.Process != nil {
			wg.Go(n.Process.Kill)
		}
	}
	wg.Wait()
	c.closeRelays()
}

func (c *Cluster) closeRelays() {
	for _, n := range append(append([]*Node{}, c.Entries...), c.Agents...) {
		if n.packetRelay != nil {
			n.packetRelay.close()
		}
		if n.streamRelay != nil {
			n.streamRelay.close()
		}
		if n.storeRelay != nil {
			n.storeRelay.close()
		}
	}
}

// Restart stops a node, gracefully or with SIGKILL, and starts it again. It returns the
// duration of a graceful stop.
func (c *Cluster) Restart(n *Node, graceful bool) (time.Duration, error) {
	var took time.Duration
	if graceful {
		var err error
		if took, err = n.Terminate(StopTimeout); err != nil {
			return took, err
		}
	} else {
		n.Kill()
	}
	c.links.forgetPorts(n)
	return took, n.Start()
}

// SetLinkCut cuts or restores the link between two nodes.
func (c *Cluster) SetLinkCut(a, b *Node, cut bool) { c.links.setLinkCut(a, b, cut) }

// SetIsolated cuts or restores all links of a node, including the one to the store.
func (c *Cluster) SetIsolated(n *Node, isolated bool) {
	for _, other := range c.links.nodes {
		if other != n {
			c.links.setLinkCut(n, other, isolated)
		}
	}
	if n.storeRelay != nil {
		n.storeRelay.setCut(isolated)
	}
}
