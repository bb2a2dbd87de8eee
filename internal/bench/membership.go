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
	// packetOverhead is the size of the UDP and IPv4 headers of a packet, in bytes.
	packetOverhead = 28
	// heartbeatsPerChange is the number of heartbeats from one change of an agent's
	// state to the next. At the target scale most changes come from the 1,400
	// configuration versions a day, each of which every agent confirms: one change
	// every 62 s, at one heartbeat a second.
	heartbeatsPerChange = 62
	// settleTime is the delay before a measurement, in which an entry finishes
	// handshakes and a garbage collection.
	settleTime = 5 * time.Second
	// maxHandshakes bounds the number of concurrent QUIC handshakes.
	maxHandshakes = 20
)

// simulatedAgent sends an agent's heartbeats over a QUIC connection of its own.
type simulatedAgent struct {
	pool        *transport.Pool
	state       wire.WorkerState
	stateAcked  bool
	entriesHash uint64 // of the last list of entries in a reply
	heartbeats  int    // sent so far, plus a random offset
}

// sample holds the resources that one process used during a measurement.
type sample struct {
	size             int // number of agents or gang members
	residentMB       float64
	coreShare        float64 // 1 is one core in full use
	bytesPerSecond   float64 // with UDP and IP headers
	packetsPerSecond float64
}

// entryNames are the names of the entries of a region in the order of their start.
var entryNames = []string{"P (planner)", "A (home)", "B"}

// homeEntry is the index of the entry to which all agents send their heartbeats.
const homeEntry = 1

// membershipSection measures three entries: P holds the planner lease, A is the
// home of all agents, and P and B learn of the agents from A by the exchange of
// membership between entries. The baseline is the same region without agents.
func membershipSection(o *options, r *report) error {
	r.title("Membership: entry A is home to all agents (heartbeat each second, a change each %d s), P and B learn them from A, P is the planner", heartbeatsPerChange)
	r.row("agents", "entry", "resident MB", "added MB", "core share", "added", "bytes/s", "packets/s", "store bytes/s (all)", "store calls/s (all)", "missed heartbeats")
	series := make([][]sample, len(entryNames))
	for _, n := range append([]int{0}, o.AgentCounts...) {
		rowSamples, err := membershipRow(o, r, n, series)
		if err != nil {
			return err
		}
		for i, s := range rowSamples {
			series[i] = append(series[i], s)
		}
	}
	r.title("Slopes by least squares over %d sizes", len(series[0]))
	r.row("entry", "KB resident per agent", "core share per 1,000 agents", "bytes/s per agent")
	for i, samples := range series {
		r.row(entryNames[i], 1024*slope(samples, func(x sample) float64 { return x.residentMB }),
			fmt.Sprintf("%.2f%%", 1000*100*slope(samples, func(x sample) float64 { return x.coreShare })),
			slope(samples, func(x sample) float64 { return x.bytesPerSecond }))
	}
	if o.PlotDir == "" {
		return nil
	}
	return plotMembership(o.PlotDir, series)
}

// membershipRow measures a region with n agents, prints a row for each entry and
// returns a sample of each entry. series holds the earlier samples of each entry,
// of which the first is the baseline.
func membershipRow(o *options, r *report, n int, series [][]sample) ([]sample, error) {
	reg, err := startRegion(o.BinDir, len(entryNames))
	if err != nil {
		return nil, err
	}
	defer reg.close()
	creds, err := transport.NewCredentials(developmentSecurity)
	if err != nil {
		return nil, err
	}
	agents, err := newAgents(n, creds)
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
	handshakeSlots := make(chan struct{}, maxHandshakes)
	for _, ag := range agents {
		wg.Go(func() { ag.sendHeartbeats(ctx, reg.entries[homeEntry].quicAddr, handshakeSlots, &connected, &missed) })
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
	samples, storeBytes, err := measureEntries(reg, o.MeasureTime, n)
	if err != nil {
		return nil, err
	}
	callsAfter, err := storeCalls(reg.storeURL)
	if err != nil {
		return nil, err
	}
	calls := float64(callsAfter-callsBefore) / o.MeasureTime.Seconds()
	for i, s := range samples {
		base := s
		if len(series[i]) > 0 {
			base = series[i][0]
		}
		r.row(n, entryNames[i], s.residentMB, s.residentMB-base.residentMB, fmt.Sprintf("%.2f%%", 100*s.coreShare),
			fmt.Sprintf("%.2f%%", 100*(s.coreShare-base.coreShare)), fmt.Sprintf("%.0f", s.bytesPerSecond), fmt.Sprintf("%.0f", s.packetsPerSecond), fmt.Sprintf("%.0f", storeBytes), calls, missed.Load())
	}
	cancel()
	wg.Wait()
	return samples, nil
}

// measureEntries measures all entries of a region with n agents for the duration d.
// It returns a sample of each entry, and the bytes per second between all entries and
// the store.
func measureEntries(reg *region, d time.Duration, n int) ([]sample, float64, error) {
	type reading struct {
		usage
		transport.Stats
	}
	read := func() ([]reading, error) {
		list := make([]reading, len(reg.entries))
		for i, e := range reg.entries {
			var err error
			if list[i].Stats, err = e.quicStats(); err != nil {
				return nil, err
			}
			if list[i].usage, err = e.readUsage(); err != nil {
				return nil, err
			}
		}
		return list, nil
	}
	before, err := read()
	if err != nil {
		return nil, 0, err
	}
	storeBefore, begin := reg.storeProxy.byteCount.Load(), time.Now()
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
			size:             n,
			residentMB:       float64(y.residentBytes) / (1 << 20),
			coreShare:        (y.cpuTime - x.cpuTime).Seconds() / seconds,
			bytesPerSecond:   float64(y.BytesSent+y.BytesReceived-x.BytesSent-x.BytesReceived)/seconds + packets*packetOverhead,
			packetsPerSecond: packets,
		}
	}
	return samples, float64(reg.storeProxy.byteCount.Load()-storeBefore) / seconds, nil
}

// newAgents returns n simulated agents. After an error it returns those made
// before, whose pools the caller has to close as well.
func newAgents(n int, creds *transport.Credentials) ([]*simulatedAgent, error) {
	agents := make([]*simulatedAgent, 0, n)
	for i := range n {
		pool, err := transport.NewPool("127.0.0.1:0", creds)
		if err != nil {
			return agents, err
		}
		id := fmt.Sprintf("w%04d", i)
		// Each agent starts at a random point of its cycle, so that the changes are
		// spread over time.
		agents = append(agents, &simulatedAgent{pool: pool, heartbeats: rand.N(heartbeatsPerChange), state: wire.WorkerState{
			Worker: model.Worker{
				ID: id, Rack: fmt.Sprint("rack-", i/3), FailureDomain: benchDomain, Region: benchRegion,
				Capacity: model.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128},
			},
			Incarnation: wire.NewIncarnation(time.Now()), Seq: 1, Address: "127.0.0.1:1",
			// The agent reports no gangs: the planner stops gangs that it does not know.
			Services: []wire.ServiceState{{Service: benchService, Slots: 8, Healthy: true}},
		}})
	}
	return agents, nil
}

// sendHeartbeats sends a heartbeat each second until ctx ends. It counts the agent
// in connected once a heartbeat has been answered, and each failed heartbeat but the
// first in missed. handshakeSlots limits how many agents send their first heartbeat,
// and with it the QUIC handshake, at the same time.
func (a *simulatedAgent) sendHeartbeats(ctx context.Context, addr string, handshakeSlots chan struct{}, connected, missed *atomic.Int64) {
	handshakeSlots <- struct{}{}
	isConnected := a.sendHeartbeat(ctx, addr)
	<-handshakeSlots
	if isConnected {
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
		if !a.sendHeartbeat(ctx, addr) {
			missed.Add(1)
		} else if !isConnected {
			isConnected = true
			connected.Add(1)
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was answered within a
// second. After each change of the worker's state, heartbeats carry the state until a
// reply no longer asks for it.
func (a *simulatedAgent) sendHeartbeat(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if a.heartbeats++; a.heartbeats%heartbeatsPerChange == 0 {
		a.state.Seq++
		a.stateAcked = false
	}
	hb := &wire.Heartbeat{Worker: a.state.Worker.ID, Incarnation: a.state.Incarnation, Seq: a.state.Seq, FreeSlots: 8, EntriesHash: a.entriesHash}
	if !a.stateAcked {
		hb.State = &a.state
	}
	var reply wire.HeartbeatReply
	if err := a.pool.Call(ctx, addr, wire.KindHeartbeat, hb, &reply); err != nil {
		return false
	}
	a.stateAcked = !reply.NeedState
	if len(reply.Entries) > 0 {
		a.entriesHash = wire.HashEntries(reply.Entries)
	}
	return true
}

// slope returns the slope of value over the size of the samples by least squares, or
// 0 if all samples have the same size.
func slope(samples []sample, value func(sample) float64) float64 {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		x, y := float64(s.size), value(s)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0
	}
	return (n*sxy - sx*sy) / d
}
