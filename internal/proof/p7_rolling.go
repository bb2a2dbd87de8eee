package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/kernel"
)

const (
	rollingCallers = 24
	// longRequestMS is the run time of the longest requests of the load, in milliseconds.
	// Requests of 60 s would make the proof last longer than all others together.
	longRequestMS = 8000
	// healthCheckInterval is the interval between two health checks of an entry, as a load
	// balancer makes them.
	healthCheckInterval = 300 * time.Millisecond
)

// rollingProof checks P7. All entries and agents are restarted one after the other under load,
// and no request in progress may be interrupted. The callers choose entries by /healthz as a load
// balancer does.
func rollingProof() Proof {
	return Proof{
		Name: "rolling-restart", Property: "P7", Timeout: 180 * time.Second,
		Bound: "0 interrupted, each stop at most 70s",
		Run:   runRollingProof,
	}
}

// rollingLoad sends requests through healthy entries and counts their outcomes. examples holds
// descriptions of interrupted requests.
type rollingLoad struct {
	cluster                        *Cluster
	client                         *Client
	healthy                        []atomic.Bool
	complete, refused, interrupted atomic.Int64
	mu                             sync.Mutex
	examples                       []string
}

func runRollingProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	l := &rollingLoad{cluster: c, client: NewClient(TeamToken("cargo")), healthy: make([]atomic.Bool, len(c.Entries))}
	// If a server closes an idle connection while a request is on its way, that looks like an
	// interrupted request. So every request opens a connection of its own.
	l.client.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var running sync.WaitGroup
	for i := range c.Entries {
		running.Go(func() { l.pollHealth(loadCtx, i) })
	}
	kernel.Sleep(ctx, time.Second) // the first health checks are made before the load starts
	for i := range rollingCallers {
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		running.Go(func() { l.sendRequests(loadCtx, random, i) })
	}
	kernel.Sleep(ctx, time.Second)
	var longest time.Duration
	for _, n := range append(append([]*Node{}, c.Entries...), c.Agents...) {
		took, err := c.Restart(n, !e.Control)
		longest = max(longest, took)
		e.tracef("restarted %s: stop took %s, %d requests interrupted so far", n.Name, took.Round(time.Millisecond), l.interrupted.Load())
		if err == nil {
			err = c.AwaitReady(ctx, readyTimeout)
		}
		if err != nil {
			return Verdict{Measured: l.String()}, err
		}
		kernel.Sleep(ctx, time.Second)
	}
	stopLoad()
	running.Wait()
	for _, text := range l.examples {
		e.tracef("interrupted request: %s", text)
	}
	pass := l.interrupted.Load() == 0 && longest <= StopTimeout && l.complete.Load() > 0
	return Verdict{Pass: pass, Measured: fmt.Sprintf("%s, longest stop %s", l, longest.Round(10*time.Millisecond))}, nil
}

func (l *rollingLoad) String() string {
	return fmt.Sprintf("%d interrupted; %d complete, %d refused as not run", l.interrupted.Load(), l.complete.Load(), l.refused.Load())
}

// pollHealth polls the health of the entry with index i until ctx ends.
func (l *rollingLoad) pollHealth(ctx context.Context, i int) {
	client := &http.Client{Timeout: healthCheckInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get(l.cluster.Entries[i].URL() + "/healthz")
		isHealthy := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		l.healthy[i].Store(isHealthy)
		kernel.Sleep(ctx, healthCheckInterval)
	}
}

func (l *rollingLoad) sendRequests(ctx context.Context, random *rand.Rand, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		i := random.IntN(len(l.cluster.Entries))
		if !l.healthy[i].Load() {
			kernel.Sleep(ctx, 10*time.Millisecond)
			continue
		}
		delayMS := 50 + random.IntN(400)
		if n%20 == caller%20 {
			delayMS = longRequestMS
		}
		url := fmt.Sprintf("%s/v1/services/%s/request/rolling/%d/%d?delay_ms=%d", l.cluster.Entries[i].URL(), l.cluster.Spec.Service, caller, n, delayMS)
		method := []string{http.MethodGet, http.MethodPost}[n%2]
		resp := l.client.Call(context.Background(), method, url, map[string]string{headerTimeout: strconv.Itoa(20_000)}, nil)
		l.record(resp, method, delayMS)
	}
}

func (l *rollingLoad) record(resp Response, method string, delayMS int) {
	switch {
	case resp.Complete() && resp.Status == http.StatusOK:
		l.complete.Add(1)
	case resp.NotRun() || isConnRefused(resp.Err):
		l.refused.Add(1)
		time.Sleep(20 * time.Millisecond) // backs off after a refusal
	default:
		l.interrupted.Add(1)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.examples) < 10 {
			l.examples = append(l.examples, fmt.Sprintf("%s of %d ms: status %d code %v error %v body %.200s", method, delayMS, resp.Status, resp.Code, resp.Err, resp.Body))
		}
	}
}
