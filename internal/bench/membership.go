package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// packetOverhead is the length of UDP and IPv4 headers.
	packetOverhead = 28
	// changeEvery is the number of heartbeats between two changes of an agent's
	// state. Most changes at the target scale come from the 1,400 configuration
	// versions a day, which each agent confirms: one change in 62 s.
	changeEvery = 62
	// settleTime lets an entry finish handshakes and a garbage collection.
	settleTime = 5 * time.Second
	// maxDials bounds the handshakes in progress.
	maxDials = 20
)

// lightAgent speaks the protocol of an agent's heartbeats over a connection of
// its own.
type lightAgent struct {
	pool  *transport.Pool
	state wire.WorkerState
	acked bool
	hash  uint64
	beats int
}

// sample is what one entry used per second of a measurement.
type sample struct {
	agents   int
	resident float64 // MB
	cpu      float64 // share of one core
	bytes    float64 // per second, with UDP and IP headers
	packets  float64 // per second
}

// entryNames are the entries of a measurement in the order of their start.
var entryNames = []string{"P (planner)", "A (home)", "B"}

// homeEntry is the index of the entry that all agents report to.
const homeEntry = 1

// membershipSection measures three entries: P holds the planner lease, A is the
// home of all agents, P and B learn them through the exchange. The baseline is
// the same set without agents.
func membershipSection(o *options, r *report) error {
	r.title("Membership: entry A is home to all agents (heartbeat each second, a change each %d s), P and B learn them from A, P is the planner", changeEvery)
	r.row("agents", "entry", "resident MB", "added MB", "core share", "added", "bytes/s", "packets/s", "store bytes/s (all)", "store calls/s (all)", "missed heartbeats")
	series := make([][]sample, len(entryNames))
	for _, n := range append([]int{0}, o.Peers...) {
		row, err := membershipRow(o, r, n, series)
		if err != nil {
			return err
		}
		for i, s := range row {
			series[i] = append(series[i], s)
		}
	}
	r.title("Slopes by least squares over %d sizes", len(series[0]))
	r.row("entry", "KB resident per agent", "core share per 1,000 agents", "bytes/s per agent")
	for i, samples := range series {
		r.row(entryNames[i], 1024*slope(samples, func(x sample) float64 { return x.resident }),
			fmt.Sprintf("%.2f%%", 1000*100*slope(samples, func(x sample) float64 { return x.cpu })),
			slope(samples, func(x sample) float64 { return x.bytes }))
	}
	if o.Plot == "" {
		return nil
	}
	return plotMembership(o.Plot, series)
}

func membershipRow(o *options, r *report, n int, series [][]sample) ([]sample, error) {
	reg, err := startRegion(o.Bin, len(entryNames))
	if err != nil {
		return nil, err
	}
	defer reg.close()
	creds, err := transport.NewCredentials(development)
	if err != nil {
		return nil, err
	}
	agents, err := makeAgents(n, creds)
	defer func() {
		for _, ag := range agents {
			_ = ag.pool.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var missed, connected atomic.Int64
	var wg sync.WaitGroup
	gate := make(chan struct{}, maxDials)
	for _, ag := range agents {
		wg.Go(func() { ag.run(ctx, reg.entries[homeEntry].quic, gate, &connected, &missed) })
	}
	if err := waitFor("agents", func() bool { return connected.Load() == int64(n) }); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	missed.Store(0)
	callsBefore, err := storeCalls(reg.storeURL)
	if err != nil {
		return nil, err
	}
	samples, storeBytes, err := measure(reg, o.Measure, n)
	if err != nil {
		return nil, err
	}
	callsAfter, err := storeCalls(reg.storeURL)
	if err != nil {
		return nil, err
	}
	calls := float64(callsAfter-callsBefore) / o.Measure.Seconds()
	for i, s := range samples {
		base := s
		if len(series[i]) > 0 {
			base = series[i][0]
		}
		r.row(n, entryNames[i], s.resident, s.resident-base.resident, fmt.Sprintf("%.2f%%", 100*s.cpu),
			fmt.Sprintf("%.2f%%", 100*(s.cpu-base.cpu)), fmt.Sprintf("%.0f", s.bytes), fmt.Sprintf("%.0f", s.packets), fmt.Sprintf("%.0f", storeBytes), calls, missed.Load())
	}
	cancel()
	wg.Wait()
	return samples, nil
}

// measure returns what each entry used per second, and the bytes per second
// between both entries and the store.
func measure(reg *region, d time.Duration, n int) ([]sample, float64, error) {
	type reading struct {
		usage
		transport.Stats
	}
	read := func() ([]reading, error) {
		list := make([]reading, len(reg.entries))
		for i, e := range reg.entries {
			var err error
			if list[i].Stats, err = e.traffic(); err != nil {
				return nil, err
			}
			if list[i].usage, err = e.usage(); err != nil {
				return nil, err
			}
		}
		return list, nil
	}
	before, err := read()
	if err != nil {
		return nil, 0, err
	}
	storeBefore, begin := reg.store.bytes.Load(), time.Now()
	time.Sleep(d)
	after, err := read()
	if err != nil {
		return nil, 0, err
	}
	seconds := time.Since(begin).Seconds()
	samples := make([]sample, len(after))
	for i := range after {
		x, y := before[i], after[i]
		packets := float64(y.PacketsSent+y.PacketsReceived-x.PacketsSent-x.PacketsReceived) / seconds
		samples[i] = sample{
			agents:   n,
			resident: float64(y.resident) / (1 << 20),
			cpu:      (y.cpu - x.cpu).Seconds() / seconds,
			bytes:    float64(y.BytesSent+y.BytesReceived-x.BytesSent-x.BytesReceived)/seconds + packets*packetOverhead,
			packets:  packets,
		}
	}
	return samples, float64(reg.store.bytes.Load()-storeBefore) / seconds, nil
}

func makeAgents(n int, creds *transport.Credentials) ([]*lightAgent, error) {
	agents := make([]*lightAgent, 0, n)
	for i := range n {
		pool, err := transport.NewPool("127.0.0.1:0", creds)
		if err != nil {
			return agents, err
		}
		id := fmt.Sprintf("w%04d", i)
		// Agents start at random places of the cycle, so that changes are spread.
		agents = append(agents, &lightAgent{pool: pool, beats: rand.N(changeEvery), state: wire.WorkerState{
			Worker: model.Worker{
				ID: id, Rack: fmt.Sprint("rack-", i/3), FailureDomain: benchDomain, Region: benchRegion,
				Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
			},
			Incarnation: wire.NewIncarnation(time.Now()), Seq: 1, Address: "127.0.0.1:1",
			// No gangs: the planner would try to stop gangs that it does not know.
			Services: []wire.ServiceState{{Service: benchService, Slots: 8, Healthy: true}},
		}})
	}
	return agents, nil
}

func (a *lightAgent) run(ctx context.Context, addr string, gate chan struct{}, connected, missed *atomic.Int64) {
	gate <- struct{}{}
	ok := a.beat(ctx, addr)
	<-gate
	if ok {
		connected.Add(1)
	}
	next := time.Now().Add(rand.N(time.Second))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(time.Second)
		if !a.beat(ctx, addr) {
			missed.Add(1)
		} else if !ok {
			ok = true
			connected.Add(1)
		}
	}
}

func (a *lightAgent) beat(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if a.beats++; a.beats%changeEvery == 0 {
		a.state.Seq++
		a.acked = false
	}
	hb := &wire.Heartbeat{Worker: a.state.Worker.ID, Incarnation: a.state.Incarnation, Seq: a.state.Seq, FreeSlots: 8, EntriesHash: a.hash}
	if !a.acked {
		hb.State = &a.state
	}
	var reply wire.HeartbeatReply
	if err := a.pool.Call(ctx, addr, wire.KindHeartbeat, hb, &reply); err != nil {
		return false
	}
	a.acked = !reply.NeedState
	if len(reply.Entries) > 0 {
		a.hash = wire.HashEntries(reply.Entries)
	}
	return true
}

// slope returns the slope of f over the number of agents by least squares.
func slope(samples []sample, f func(sample) float64) float64 {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		x, y := float64(s.agents), f(s)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0
	}
	return (n*sxy - sx*sy) / d
}
