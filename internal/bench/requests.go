package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipegw/internal/model"
)

const (
	benchService = "bench"
	connections  = 60
	bodyBytes    = 64
	// pacedRatePerConnection is the rate of each connection in the paced rows, in
	// requests per second. All connections together send 1,800 requests per second,
	// far below saturation.
	pacedRatePerConnection = 30
	warmUp                 = time.Second
	// nonLimitingSlots is more than the 60 connections, so that slots do not limit
	// the concurrency.
	nonLimitingSlots = 64
	// deploymentSlots is the number of slots of a worker in the two deployments of
	// snipegw, loads and casa. The last rows of the table use it.
	deploymentSlots = 8
	// maxLatencyMicros is the upper bound of the latency histograms.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
)

// load describes the requests of a measurement. A paced load has a fixed rate; any
// other sends the next request on a connection after the answer to the last.
type load struct {
	url    string
	method string
	header http.Header
	paced  bool
}

// loadResult holds the measurements of one load.
type loadResult struct {
	p50, p99 time.Duration // latency
	rate     float64       // successful requests per second
	failed   int64         // number of failed requests
}

// requestsSection measures requests through an entry and an agent. The baseline is
// requests sent directly to the same backend server.
func requestsSection(o *options, r *report) error {
	r.title("Request path, %d connections, body of %d bytes; all processes share the machine", connections, bodyBytes)
	r.row("load", "path", "p50 ms", "p99 ms", "requests/s", "added p50 ms", "added p99 ms", "of direct throughput", "failed")
	for _, slots := range []int{nonLimitingSlots, deploymentSlots} {
		if err := requestRows(o, r, slots); err != nil {
			return err
		}
	}
	return nil
}

// requestRows prints the rows for a backend server with the given number of slots.
// With deploymentSlots it measures only saturated loads, otherwise paced loads too.
func requestRows(o *options, r *report, slots int) error {
	reg, backend, err := startWorkerRegion(o.BinDir, slots)
	if err != nil {
		return err
	}
	defer reg.close()
	directURL := "http://" + backend + "/x"
	entryURL := "http://" + reg.entries[0].httpAddr + "/v1/services/" + benchService + "/request/x"
	if err := waitFor("service", respondsOK(entryURL, benchToken)); err != nil {
		return fmt.Errorf("%w: %s", err, reg.logTail("agent"))
	}
	modes := []bool{false, true}
	if slots == deploymentSlots {
		modes = modes[:1]
	}
	for _, paced := range modes {
		name := fmt.Sprintf("saturated, %d slots", slots)
		if paced {
			name = fmt.Sprintf("paced at %d/s, %d slots", connections*pacedRatePerConnection, slots)
		}
		base := runLoad(o, load{url: directURL, method: http.MethodPost, paced: paced})
		r.row(name, "direct", ms(base.p50), ms(base.p99), fmt.Sprintf("%.0f", base.rate), "", "", "", base.failed)
		for _, idempotent := range []string{"true", "false"} {
			got := runLoad(o, load{url: entryURL, method: http.MethodPost, paced: paced, header: http.Header{
				"Authorization": {"Bearer " + benchToken}, "Snipegw-Idempotent": {idempotent},
			}})
			path := "entry and agent"
			if idempotent == "false" {
				path = "entry and agent, with ticket (103)"
			}
			r.row(name, path, ms(got.p50), ms(got.p99), fmt.Sprintf("%.0f", got.rate),
				ms(got.p50-base.p50), ms(got.p99-base.p99), fmt.Sprintf("%.0f%%", 100*got.rate/base.rate), got.failed)
		}
	}
	return nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// startWorkerRegion starts a region with one entry, one worker, its agent and its
// backend server, and returns the address of the backend server as host:port.
func startWorkerRegion(bin string, slots int) (*region, string, error) {
	reg, err := startRegion(bin, 1)
	if err != nil {
		return nil, "", err
	}
	addrs, err := freeAddresses(4)
	if err == nil {
		err = reg.startWorkerProcesses(addrs, slots)
	}
	if err != nil {
		reg.close()
		return nil, "", err
	}
	return reg, addrs[3], nil
}

// startWorkerProcesses starts a worker, its agent and its backend server. addrs holds
// the three addresses for startAgent, followed by that of the backend server.
func (r *region) startWorkerProcesses(addrs []string, slots int) error {
	var err error
	if r.agent, err = r.startAgent(r.entries[0].quicAddr, addrs); err != nil {
		return err
	}
	_, err = r.start("backend", "snipegw-standin", []string{"backend"}, map[string]any{
		"address": addrs[3], "agent": "http://" + addrs[2], "service": benchService, "slots": slots,
	})
	return err
}

// startAgent starts a stand-in for a worker, and its agent, which sends its heartbeats
// to the entry at entryAddr. addrs holds the addresses of the worker interface, of the
// agent and of the agent's local HTTP server, in this order.
func (g *processGroup) startAgent(entryAddr string, addrs []string) (*process, error) {
	worker := model.Worker{ID: benchWorker, Rack: "r1", FailureDomain: benchDomain, Region: benchRegion, Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}}
	if _, err := g.start("worker", "snipegw-standin", []string{"worker"}, map[string]any{"address": addrs[0], "worker": worker}); err != nil {
		return nil, err
	}
	if err := waitFor("worker", respondsOK("http://"+addrs[0]+"/v1/worker", "")); err != nil {
		return nil, err
	}
	return g.start("agent", "snipegw-agent", nil, map[string]any{
		"region": benchRegion, "failure_domain": benchDomain, "address": addrs[1], "local_http_address": addrs[2],
		"entries": []string{entryAddr}, "security": developmentSecurity, "log_level": "warn",
		"worker_api": map[string]any{"type": "httpworker", "address": "http://" + addrs[0], "timeout_ms": 1000},
	})
}

// runLoad sends requests on all connections for the measurement time, after a
// warm-up whose requests are not counted.
func runLoad(o *options, l load) loadResult {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), warmUp+o.MeasureTime)
	defer cancel()
	begin := time.Now().Add(warmUp)
	var wg sync.WaitGroup
	var failed, done atomic.Int64
	perConnection := make([]*hdrhistogram.Histogram, connections)
	for i := range perConnection {
		h := hdrhistogram.New(1, maxLatencyMicros, 3)
		perConnection[i] = h
		wg.Go(func() {
			l.sendRequests(ctx, client, i, func(sentAt time.Time, took time.Duration, err error) {
				switch {
				case sentAt.Before(begin):
				case err != nil:
					failed.Add(1)
				default:
					done.Add(1)
					_ = h.RecordValue(took.Microseconds())
				}
			})
		})
	}
	wg.Wait()
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	for _, h := range perConnection {
		all.Merge(h)
	}
	percentile := func(q float64) time.Duration { return time.Duration(all.ValueAtQuantile(q)) * time.Microsecond }
	return loadResult{p50: percentile(50), p99: percentile(99), rate: float64(done.Load()) / o.MeasureTime.Seconds(), failed: failed.Load()}
}

// sendRequests sends requests on connection i until ctx ends, one after the other
// or at the fixed rate of a paced load. It passes the start, the latency and the
// error of each to record.
func (l *load) sendRequests(ctx context.Context, client *http.Client, i int, record func(time.Time, time.Duration, error)) {
	interval := time.Second / pacedRatePerConnection
	next := time.Now().Add(interval * time.Duration(i) / connections)
	for ctx.Err() == nil {
		if l.paced {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			next = next.Add(interval)
		}
		sentAt := time.Now()
		err := l.send(ctx, client)
		if ctx.Err() != nil {
			return
		}
		record(sentAt, time.Since(sentAt), err)
	}
}

// send sends one request and reads its response. Any status but 200 is an error.
func (l *load) send(ctx context.Context, client *http.Client) error {
	req, err := http.NewRequestWithContext(ctx, l.method, l.url, bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return err
	}
	for name, values := range l.header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}
