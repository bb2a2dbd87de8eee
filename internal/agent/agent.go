// Package agent implements the agent process, which runs on each host. It admits
// requests to the slots of the backend servers, allocates the resources of the
// worker, runs and supervises gangs, and reports its state to its home entry.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/agent/arbiter"
	"snipegw/internal/agent/gang"
	"snipegw/internal/agent/gate"
	"snipegw/internal/agent/heartbeat"
	"snipegw/internal/agent/tickets"
	"snipegw/internal/kernel"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workerapi"
)

const (
	// workerRetryInterval is the interval between attempts to reach the worker
	// interface at the start.
	workerRetryInterval = 200 * time.Millisecond
	// gateTickInterval is the interval at which failed backend servers are probed
	// and unused tickets expire.
	gateTickInterval = 500 * time.Millisecond
)

// Agent is the agent process of one worker. It implements kernel.Component and
// heartbeat.Source.
type Agent struct {
	settings    Settings
	api         workerapi.WorkerAPI
	creds       *transport.Credentials
	incarnation string
	worker      model.Worker
	config      configHolder
	dumper      *kernel.Dumper
	stopping    atomic.Bool

	arbiter     *arbiter.Arbiter
	tickets     *tickets.Store
	gate        *gate.Gate
	gangs       *gang.Manager
	heartbeats  *heartbeat.Sender
	pool        *transport.Pool
	server      *transport.Server
	localServer *http.Server

	localAddress string
	cancel       context.CancelFunc
	loopGroup    sync.WaitGroup
}

// New returns an agent that uses the worker interface api. It does not start it.
func New(s Settings, api workerapi.WorkerAPI) (*Agent, error) {
	creds, err := transport.NewCredentials(s.Security)
	if err != nil {
		return nil, err
	}
	return &Agent{settings: s, api: api, creds: creds, incarnation: wire.NewIncarnation(time.Now()), dumper: kernel.NewDumper()}, nil
}

// Name implements kernel.Component.
func (a *Agent) Name() string { return "agent" }

// Start implements kernel.Component. It waits for the worker interface, adopts the
// tasks that the worker already runs, and then accepts calls.
func (a *Agent) Start(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	tasks, err := a.discoverWorker(ctx)
	if err != nil {
		return err
	}
	pool, err := transport.NewPool(poolAddress(a.settings.Address), a.creds)
	if err != nil {
		return err
	}
	a.pool = pool
	a.buildParts()
	a.gangs.Adopt(tasks)
	if err := a.listen(); err != nil {
		_ = pool.Close()
		return err
	}
	a.startLoop(func() { a.runEvery(ctx, gang.TickInterval, a.gangs.Tick) })
	a.startLoop(func() { a.runEvery(ctx, gateTickInterval, func() { a.gate.Tick(ctx); a.tickets.Tick() }) })
	a.startLoop(func() { a.heartbeats.Run(ctx) })
	log.WithFields(log.Fields{
		"event": "agent_started", "worker": a.worker.ID, "incarnation": a.incarnation, "address": a.advertisedAddress(), "adopted": len(tasks),
	}).Info("agent started")
	return nil
}

// discoverWorker reads the description and the tasks of the worker. It retries until
// the worker interface answers or ctx ends.
func (a *Agent) discoverWorker(ctx context.Context) ([]workerapi.Task, error) {
	for {
		worker, err := a.api.Worker(ctx)
		var tasks []workerapi.Task
		if err == nil {
			tasks, err = a.api.Tasks(ctx)
		}
		if err == nil {
			return tasks, a.setWorker(worker)
		}
		log.WithFields(log.Fields{"event": "worker_api_unavailable", "code": int(result.CodeOf(err))}).Warn(err.Error())
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(workerRetryInterval):
		}
	}
}

// setWorker sets the description of the worker, with the region and the failure
// domain from the settings.
func (a *Agent) setWorker(w model.Worker) error {
	if w.ID == "" {
		return errors.New("the worker interface returned a worker without an id")
	}
	w.Region = a.settings.Region
	w.FailureDomain = a.settings.FailureDomain
	a.worker = w
	return nil
}

// poolAddress returns the local address of outgoing connections: the host of the
// listen address and port 0.
func poolAddress(listen string) string {
	host, _, _ := net.SplitHostPort(listen)
	return net.JoinHostPort(host, "0")
}

// buildParts creates the components of the agent and registers their state dumps.
func (a *Agent) buildParts() {
	a.heartbeats = heartbeat.New(heartbeat.Config{
		Worker: a.worker.ID, Incarnation: a.incarnation, FailureDomain: a.settings.FailureDomain,
		Seeds: a.settings.Entries, Caller: a.pool, Source: a, Now: time.Now,
	})
	a.arbiter = arbiter.New(a.incarnation, a.worker.Capacity, time.Now)
	a.tickets = tickets.NewStore(a.worker.ID, a.incarnation, time.Now)
	a.gate = gate.New(a.tickets, time.Now, a.heartbeats.RequestBeat)
	a.gangs = gang.New(gang.Config{
		Worker: a.worker.ID, API: a.api, Arbiter: a.arbiter, Caller: a.pool, Now: time.Now,
		Spawn: func(f func()) { go f() }, OnChange: a.heartbeats.RequestBeat,
	})
	a.registerDumps()
}

// listen starts the server for calls from entries, planners and other agents, and
// the local HTTP server.
func (a *Agent) listen() error {
	server, err := transport.Listen(a.settings.Address, a.creds, a.mux())
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", a.settings.LocalHTTPAddress)
	if err != nil {
		_ = server.Close()
		return fmt.Errorf("listen %s: %w", a.settings.LocalHTTPAddress, err)
	}
	a.server = server
	a.localAddress = ln.Addr().String()
	a.localServer = &http.Server{
		Handler: kernel.LogHandlerPanics(a.localHandler()), ReadTimeout: localReadTimeout, WriteTimeout: localWriteTimeout, IdleTimeout: localIdleTimeout,
	}
	clients := kernel.NewClientLimiter(a.settings.Clients)
	a.dumper.Add("clients", func() any { return clients.State() })
	go func() { _ = clients.Serve(a.localServer, ln, "local", localReadTimeout) }() // ends with a.localServer.Close
	return nil
}

// startLoop runs f in a goroutine that Stop waits for.
func (a *Agent) startLoop(f func()) {
	a.loopGroup.Add(1)
	go func() {
		defer a.loopGroup.Done()
		f()
	}()
}

func (a *Agent) runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// advertisedAddress returns the address at which other processes reach the agent. If
// the configured port is 0, it is the address that the server is bound to.
func (a *Agent) advertisedAddress() string {
	if _, port, err := net.SplitHostPort(a.settings.AdvertiseAddress); err == nil && port != "0" {
		return a.settings.AdvertiseAddress
	}
	return a.server.Addr()
}

// LocalAddr returns the address of the local HTTP server.
func (a *Agent) LocalAddr() string { return a.localAddress }

// Addr returns the address at which other processes reach the agent.
func (a *Agent) Addr() string { return a.advertisedAddress() }

// State implements heartbeat.Source.
func (a *Agent) State() wire.WorkerState {
	availability := a.arbiter.Availability()
	return wire.WorkerState{
		Worker:        a.worker,
		Incarnation:   a.incarnation,
		Address:       a.advertisedAddress(),
		Services:      a.gate.ServiceStates(),
		Gangs:         append(a.gangs.States(), a.reservations()...),
		Draining:      availability.Draining,
		Quarantined:   availability.Quarantined,
		Stopping:      a.stopping.Load(),
		ConfigVersion: a.config.version(),
		Epoch:         a.arbiter.Epoch(),
	}
}

// reservations returns the reservations that are not armed. Armed ones have a member
// and are reported by the gang manager.
func (a *Agent) reservations() []wire.GangState {
	var out []wire.GangState
	for _, h := range a.arbiter.Holds() {
		if h.State == arbiter.Reserved {
			out = append(out, wire.GangState{Job: h.Job, Attempt: h.Attempt, State: string(h.State), Ranks: h.Ranks})
		}
	}
	return out
}

// FreeSlots implements heartbeat.Source.
func (a *Agent) FreeSlots() int { return a.gate.FreeSlots() }

// Events implements heartbeat.Source.
func (a *Agent) Events() []wire.GangEvent { return a.gangs.Events() }

// Acknowledge implements heartbeat.Source.
func (a *Agent) Acknowledge(seq uint64) { a.gangs.Acknowledge(seq) }

// ConfigVersion implements heartbeat.Source.
func (a *Agent) ConfigVersion() uint64 { return a.config.version() }

// AdoptConfig implements heartbeat.Source.
func (a *Agent) AdoptConfig(version uint64, document []byte) {
	if err := a.config.adopt(version, document); err != nil {
		log.WithFields(log.Fields{"event": "config_refused", "version": version, "code": int(result.CodeOf(err))}).Error(err.Error())
	}
}
