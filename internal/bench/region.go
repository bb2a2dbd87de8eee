package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"

	"snipegw/internal/entry"
	"snipegw/internal/store"
	"snipegw/internal/transport"
)

const (
	benchToken  = "bench"
	benchRegion = "bench"
	benchDomain = "domain-1"
	benchWorker = "w1"
)

// developmentSecurity lets the processes run without certificate files.
var developmentSecurity = transport.Security{Mode: transport.ModeDevelopment}

// region is the set of processes that a section measures: a store, entries and, in
// some sections, an agent. The entries reach the store through storeProxy.
type region struct {
	*processGroup
	storeProxy *countingProxy
	// storeURL is the URL of the store itself. Calls to it bypass the proxy.
	storeURL string
	entries  []*entryProcess
	agent    *process // nil in a region without an agent
}

// entryProcess is a running entry with its addresses as host:port.
type entryProcess struct {
	*process
	httpAddr string
	quicAddr string
}

// startRegion starts a store and n entries. Each entry is started after the one
// before is ready, so that the first one becomes the planner.
func startRegion(bin string, n int) (*region, error) {
	group, err := newProcessGroup(bin)
	if err != nil {
		return nil, err
	}
	r := &region{processGroup: group}
	if err := r.startProcesses(n); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// startProcesses starts the store, its proxy and n entries, and waits after the start
// of each entry until it is ready.
func (r *region) startProcesses(n int) error {
	addrs, err := freeAddresses(1 + 2*n)
	if err != nil {
		return err
	}
	if _, err := r.start("store", "snipegw-standin", []string{"store"}, map[string]any{"address": addrs[0]}); err != nil {
		return err
	}
	r.storeURL = "http://" + addrs[0]
	if r.storeProxy, err = newCountingProxy(addrs[0]); err != nil {
		return err
	}
	bootstrap := filepath.Join(r.dir, "bootstrap.json")
	if err := os.WriteFile(bootstrap, bootstrapConfig(), 0o600); err != nil {
		return err
	}
	for i := range n {
		e := &entryProcess{httpAddr: addrs[1+2*i], quicAddr: addrs[2+2*i]}
		name := fmt.Sprint("entry-", i+1)
		e.process, err = r.start(name, "snipegw-entry", nil, entry.Settings{
			ID: name, Region: benchRegion, FailureDomain: benchDomain, HTTPAddress: e.httpAddr, Address: e.quicAddr,
			Store:    store.Settings{Type: "consulkv", Addresses: []string{"http://" + r.storeProxy.addr()}, TimeoutMS: 1000},
			Security: developmentSecurity, Policy: "loads", LogLevel: "warn", AdvertiseAddress: e.quicAddr, BootstrapConfig: bootstrap,
		})
		if err != nil {
			return err
		}
		r.entries = append(r.entries, e)
		if err := r.waitReady(e, name); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until entry e is healthy and the first entry, as the planner,
// answers requests for jobs.
func (r *region) waitReady(e *entryProcess, name string) error {
	healthy := respondsOK("http://"+e.httpAddr+"/healthz", benchToken)
	plannerAnswers := respondsOK("http://"+r.entries[0].httpAddr+"/v1/jobs", benchToken)
	if err := waitFor("entry", func() bool { return healthy() && plannerAnswers() }); err != nil {
		return fmt.Errorf("%w: %s", err, r.logTail(name))
	}
	return nil
}

// bootstrapConfig returns the first configuration document of the region, with one
// team and its token.
func bootstrapConfig() []byte {
	sum := sha256.Sum256([]byte(benchToken))
	data, _ := json.Marshal(map[string]any{
		"version": 1,
		"teams":   []map[string]any{{"id": "bench", "weight": 1, "token_hashes": []string{hex.EncodeToString(sum[:])}}},
		"weights": map[string]any{"completion_time": 1, "fragmentation": 0.3},
		"limits":  map[string]any{},
	})
	return data
}

// quicStats returns the sum of the QUIC counters that an entry exposes.
func (e *entryProcess) quicStats() (transport.Stats, error) {
	resp, err := http.Get("http://" + e.httpAddr + "/debug/vars")
	if err != nil {
		return transport.Stats{}, err
	}
	defer resp.Body.Close()
	var vars struct {
		Transport map[string]transport.Stats `json:"transport"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return transport.Stats{}, err
	}
	var sum transport.Stats
	for _, s := range vars.Transport {
		sum.Add(s)
	}
	return sum, nil
}

// countingProxy forwards TCP connections to target and counts the bytes of both
// directions.
type countingProxy struct {
	listener  net.Listener
	target    string
	byteCount atomic.Int64
}

func newCountingProxy(target string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: listener, target: target}
	go p.accept()
	return p, nil
}

func (p *countingProxy) addr() string { return p.listener.Addr().String() }

func (p *countingProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *countingProxy) forward(client net.Conn) {
	defer client.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, countingReader{client, &p.byteCount})
		upstream.Close()
	}()
	_, _ = io.Copy(client, countingReader{upstream, &p.byteCount})
}

// countingReader adds the bytes read from r to n.
type countingReader struct {
	r io.Reader
	n *atomic.Int64
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n.Add(int64(n))
	return n, err
}
