package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

const (
	gangJob     = "bench-gang"
	gangAttempt = 1
	// gangReservationMS is the TTL of the reservation of resources, in milliseconds.
	// The start of the gang has to fit into it.
	gangReservationMS = 3000
)

// gangSizes are the numbers of members of the measured gangs, with the measured
// agent as the member of rank 0. 128 is the largest gang of the target scale. The
// first size is the baseline without a gang.
var gangSizes = []int{0, 2, 32, 64, 128}

// simulatedMember answers the orders of a gang's supervisor like an agent with one
// running task.
type simulatedMember struct {
	server    *transport.Server
	worker    string
	rank      int
	startedAt time.Time
	renewals  atomic.Int64
}

// newSimulatedMember starts a member that listens on loopback.
func newSimulatedMember(rank int, creds *transport.Credentials) (*simulatedMember, error) {
	m := &simulatedMember{worker: fmt.Sprintf("member-%03d", rank), rank: rank, startedAt: time.Now()}
	mux := new(transport.Mux)
	mux.Handle(wire.KindArm, transport.Unary(func(context.Context, *wire.GangOrder) (*wire.Ack, error) { return &wire.Ack{}, nil }))
	mux.Handle(wire.KindHandover, transport.Unary(func(context.Context, *wire.Handover) (*wire.Ack, error) { return &wire.Ack{}, nil }))
	mux.Handle(wire.KindStart, transport.Unary(m.reportState(workerapi.TaskRunning)))
	mux.Handle(wire.KindRenew, transport.Unary(func(ctx context.Context, o *wire.GangOrder) (*wire.MemberReport, error) {
		m.renewals.Add(1)
		return m.reportState(workerapi.TaskRunning)(ctx, o)
	}))
	mux.Handle(wire.KindAbort, transport.Unary(m.reportState(workerapi.TaskStopped)))
	var err error
	m.server, err = transport.Listen("127.0.0.1:0", creds, mux)
	return m, err
}

// reportState returns a handler that answers an order with the given state of the
// task.
func (m *simulatedMember) reportState(state workerapi.TaskState) func(context.Context, *wire.GangOrder) (*wire.MemberReport, error) {
	return func(context.Context, *wire.GangOrder) (*wire.MemberReport, error) {
		return &wire.MemberReport{Worker: m.worker, Tasks: []wire.TaskReport{{
			Rank: m.rank, State: string(state), WorkMS: time.Since(m.startedAt).Milliseconds(), PeakMemoryGB: 1.5,
		}}}, nil
	}
}

// simulatedEntry answers the heartbeats of an agent. It replaces a real entry,
// whose planner would stop a gang that it did not place.
type simulatedEntry struct {
	server           *transport.Server
	agentIncarnation atomic.Pointer[string] // nil before the first heartbeat
	gangRunning      atomic.Bool            // by the agent's latest event
}

// newSimulatedEntry starts an entry that listens on loopback.
func newSimulatedEntry(creds *transport.Credentials) (*simulatedEntry, error) {
	e := new(simulatedEntry)
	mux := new(transport.Mux)
	mux.Handle(wire.KindHeartbeat, transport.Unary(func(_ context.Context, hb *wire.Heartbeat) (*wire.HeartbeatReply, error) {
		e.agentIncarnation.Store(&hb.Incarnation)
		reply := new(wire.HeartbeatReply)
		for _, event := range hb.Events {
			reply.AckedEventSeq = max(reply.AckedEventSeq, event.Seq)
			e.gangRunning.Store(event.Outcome == "running")
		}
		return reply, nil
	}))
	var err error
	e.server, err = transport.Listen("127.0.0.1:0", creds, mux)
	return e, err
}

// gangSection measures an agent that supervises a gang, for each of gangSizes. The
// baseline is an agent without a gang.
func gangSection(o *options, r *report) error {
	r.title("Supervisor of a gang: one agent, the other members answer in the process of the benchmark")
	r.row("members", "resident MB", "added MB", "core share", "added", "bytes/s to and from members", "packets/s", "renewals/s")
	var samples []sample
	for _, n := range gangSizes {
		s, renewals, err := measureGangSize(o, n)
		if err != nil {
			return fmt.Errorf("gang of %d: %w", n, err)
		}
		samples = append(samples, s)
		base := samples[0]
		r.row(n, s.residentMB, s.residentMB-base.residentMB, fmt.Sprintf("%.2f%%", 100*s.coreShare), fmt.Sprintf("%.2f%%", 100*(s.coreShare-base.coreShare)),
			fmt.Sprintf("%.0f", s.bytesPerSecond), fmt.Sprintf("%.0f", s.packetsPerSecond), renewals)
	}
	r.title("Slopes by least squares over %d sizes", len(samples))
	r.row("KB resident per member", "core share per member", "bytes/s per member")
	r.row(1024*slope(samples, func(x sample) float64 { return x.residentMB }),
		fmt.Sprintf("%.4f%%", 100*slope(samples, func(x sample) float64 { return x.coreShare })),
		slope(samples, func(x sample) float64 { return x.bytesPerSecond }))
	return nil
}

// measureGangSize measures an agent that supervises a gang of n members, or no gang
// if n is 0. It returns the sample and the lease renewals per second that reached the
// members on other workers.
func measureGangSize(o *options, n int) (sample, float64, error) {
	group, err := newProcessGroup(o.BinDir)
	if err != nil {
		return sample{}, 0, err
	}
	defer group.close()
	creds, err := transport.NewCredentials(developmentSecurity)
	if err != nil {
		return sample{}, 0, err
	}
	entry, err := newSimulatedEntry(creds)
	if err != nil {
		return sample{}, 0, err
	}
	defer entry.server.Close()
	var members []*simulatedMember
	defer func() {
		for _, m := range members {
			_ = m.server.Close()
		}
	}()
	for rank := 1; rank < n; rank++ {
		m, err := newSimulatedMember(rank, creds)
		if err != nil {
			return sample{}, 0, err
		}
		members = append(members, m)
	}
	addrs, err := freeAddresses(3)
	if err != nil {
		return sample{}, 0, err
	}
	agent, err := group.startAgent(entry.server.Addr(), addrs)
	if err != nil {
		return sample{}, 0, err
	}
	if err := waitFor("agent", func() bool { return entry.agentIncarnation.Load() != nil }); err != nil {
		return sample{}, 0, fmt.Errorf("%w: %s", err, group.logTail("agent"))
	}
	if n > 0 {
		if err := startGang(creds, entry, addrs[1], members); err != nil {
			return sample{}, 0, fmt.Errorf("%w: %s", err, group.logTail("agent"))
		}
	}
	time.Sleep(settleTime)
	s, renewals, err := measureSupervisor(agent, members, o.MeasureTime)
	s.size = n
	if err == nil && n > 0 && !entry.gangRunning.Load() {
		err = fmt.Errorf("the gang ended during the measurement: %s", group.logTail("agent"))
	}
	return s, renewals, err
}

// startGang starts a gang as a planner does: it reserves resources on the agent's
// worker, hands the gang over to the agent as its supervisor, and waits for the
// agent's event that every task runs. The simulated members need no reservation.
func startGang(creds *transport.Credentials, entry *simulatedEntry, agentAddr string, members []*simulatedMember) error {
	pool, err := transport.NewPool("127.0.0.1:0", creds)
	if err != nil {
		return err
	}
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	order := wire.Order{Epoch: 1, Incarnation: *entry.agentIncarnation.Load()}
	reserve := &wire.Reserve{Order: order, Job: gangJob, Attempt: gangAttempt, Ranks: []int{0}, PerTask: model.Resources{Accelerators: 8, Cores: 8, MemoryGB: 32}, TTLMS: gangReservationMS}
	if err := pool.Call(ctx, agentAddr, wire.KindReserve, reserve, &wire.Ack{}); err != nil {
		return err
	}
	start := &wire.StartGang{
		Order: order, Attempt: gangAttempt,
		Job: model.Job{
			ID: gangJob, Team: "bench", Class: model.ClassPreemptible, Command: []string{"sleep", "3600000"},
			Shape: model.Shape{Tasks: 1 + len(members), AcceleratorsPerTask: 8, CoresPerTask: 8, MemoryGBPerTask: 32},
		},
		Members: []wire.Member{{Worker: benchWorker, Address: agentAddr, Incarnation: order.Incarnation, Ranks: []int{0}}},
	}
	for _, m := range members {
		start.Members = append(start.Members, wire.Member{Worker: m.worker, Address: m.server.Addr(), Incarnation: order.Incarnation, Ranks: []int{m.rank}})
	}
	if err := pool.Call(ctx, agentAddr, wire.KindStartGang, start, &wire.Ack{}); err != nil {
		return err
	}
	return waitFor("gang", entry.gangRunning.Load)
}

// measureSupervisor measures the agent for the duration d. It returns a sample
// without its size, and the lease renewals per second. The traffic in the sample is
// counted at the simulated members, in both directions.
func measureSupervisor(agent *process, members []*simulatedMember, d time.Duration) (sample, float64, error) {
	read := func() (transport.Stats, int64) {
		var sum transport.Stats
		var renewals int64
		for _, m := range members {
			sum.Add(m.server.Stats())
			renewals += m.renewals.Load()
		}
		return sum, renewals
	}
	before, err := agent.readUsage()
	if err != nil {
		return sample{}, 0, err
	}
	statsBefore, renewalsBefore := read()
	begin := time.Now()
	time.Sleep(d)
	after, err := agent.readUsage()
	if err != nil {
		return sample{}, 0, err
	}
	statsAfter, renewalsAfter := read()
	seconds := time.Since(begin).Seconds()
	packets := float64(statsAfter.PacketsSent+statsAfter.PacketsReceived-statsBefore.PacketsSent-statsBefore.PacketsReceived) / seconds
	return sample{
		residentMB:       float64(after.residentBytes) / (1 << 20),
		coreShare:        (after.cpuTime - before.cpuTime).Seconds() / seconds,
		bytesPerSecond:   float64(statsAfter.BytesSent+statsAfter.BytesReceived-statsBefore.BytesSent-statsBefore.BytesReceived)/seconds + packets*packetOverhead,
		packetsPerSecond: packets,
	}, float64(renewalsAfter-renewalsBefore) / seconds, nil
}
