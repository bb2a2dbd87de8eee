package members

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/model"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

const (
	// publishDelay is the time in which changes are collected into one view. Each view
	// copies the table and makes the planner compare all workers, so that the delay
	// limits views to 40 per second.
	publishDelay = 25 * time.Millisecond
	// tickInterval is the interval between two calls of Table.Tick.
	tickInterval = 200 * time.Millisecond
	// callTimeout is the timeout of a call to another process.
	callTimeout = time.Second
)

// Metrics of the exchange, exposed through expvar.
var (
	heartbeatsReceived = expvar.NewInt("members_heartbeats_received")
	statesReceived     = expvar.NewInt("members_states_received")
	updatesSent        = expvar.NewInt("members_updates_sent")
	updatesReceived    = expvar.NewInt("members_updates_received")
	updatesFailed      = expvar.NewInt("members_updates_failed")
	directoryWrites    = expvar.NewInt("members_directory_writes")
)

// ConfigSource is the part of config.Source that a Service needs.
type ConfigSource interface {
	Current() *model.Config
	Offer(version uint64, fetch func(context.Context) ([]byte, error))
}

// Options holds the dependencies of a Service.
type Options struct {
	Self   wire.EntryInfo
	Store  store.Store
	Pool   *transport.Pool
	Config ConfigSource
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// OnFreeSlots is called with the free slots of each heartbeat.
	OnFreeSlots func(worker string, free int)
}

// Service keeps the Table of an entry. It serves heartbeats and the updates of other
// entries, sends updates to them, and maintains the record of this entry in the directory
// of entries.
type Service struct {
	Options
	table         *Table
	relay         *eventRelay
	sink          atomic.Pointer[EventSink]
	highestEpoch  atomic.Uint64 // highest planner epoch seen
	cachedEntries atomic.Pointer[entryList]
	mu            sync.Mutex
	links         map[string]*peerLink
	cancel        context.CancelFunc
	loops         sync.WaitGroup
}

// entryList is the list of entries that agents receive, with its hash and the generation
// of the view from which it was built.
type entryList struct {
	generation uint64
	hash       uint64
	entries    []wire.EntryInfo
}

// New returns a Service. Its handlers may be called before Start.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnFreeSlots == nil {
		o.OnFreeSlots = func(string, int) {}
	}
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = wire.NewIncarnation(o.Clock())
	}
	return &Service{
		Options: o,
		table:   NewTable(o.Self, o.Clock()),
		relay:   newEventRelay(),
		links:   make(map[string]*peerLink),
	}
}

// SetSink sets the receiver of gang events.
func (s *Service) SetSink(sink EventSink) { s.sink.Store(&sink) }

// View implements Membership.
func (s *Service) View() *View { return s.table.View() }

// Changed implements Membership.
func (s *Service) Changed() <-chan struct{} { return s.table.Changed() }

// HighestEpoch returns the highest planner epoch that this entry has seen.
func (s *Service) HighestEpoch() uint64 { return s.highestEpoch.Load() }

// Register registers the handlers of the service with mux.
func (s *Service) Register(mux *transport.Mux) {
	mux.Handle(wire.KindHeartbeat, transport.Unary(s.handleHeartbeat))
	mux.Handle(wire.KindPeerUpdate, transport.Unary(s.handlePeerUpdate))
}

// Name implements kernel.Component.
func (s *Service) Name() string { return "members" }

// Start implements kernel.Component.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.updateSelf()
	s.startLoop(ctx, s.publishLoop)
	s.startLoop(ctx, s.tickLoop)
	s.startLoop(ctx, s.directoryLoop)
	return nil
}

// Stop implements kernel.Component. It removes this entry from the directory.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	s.loops.Wait()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return s.leaveDirectory(ctx)
}

func (s *Service) startLoop(ctx context.Context, loop func(context.Context)) {
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		loop(ctx)
	}()
}

func (s *Service) publishLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.table.PublishNeeded():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishDelay):
		}
		s.table.Publish()
	}
}

func (s *Service) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.updateSelf()
		s.table.Tick(s.Clock())
		view := s.View()
		s.relay.RetainWorkers(view.Workers)
		s.ensureLinks(ctx, view)
	}
}

func (s *Service) updateSelf() {
	planner, epoch := false, uint64(0)
	if sink := s.sink.Load(); sink != nil {
		planner, epoch = (*sink).PlannerState()
	}
	s.observeEpoch(epoch)
	if !planner {
		epoch = s.highestEpoch.Load()
	}
	s.table.SetSelf(s.Clock(), SelfState{ConfigVersion: s.configVersion(), Planner: planner, PlannerEpoch: epoch})
}

func (s *Service) configVersion() uint64 {
	if c := s.Config.Current(); c != nil {
		return c.Version
	}
	return 0
}

// observeEpoch records an epoch and passes a new highest one on to the sink.
func (s *Service) observeEpoch(epoch uint64) {
	for {
		old := s.highestEpoch.Load()
		if epoch <= old {
			return
		}
		if s.highestEpoch.CompareAndSwap(old, epoch) {
			break
		}
	}
	if sink := s.sink.Load(); sink != nil {
		(*sink).ObserveEpoch(epoch)
	}
}

// offerConfigFrom offers the configuration with the given version, which the process at
// addr has, to the ConfigSource if it is newer than the current one.
func (s *Service) offerConfigFrom(version uint64, addr string) {
	have := s.configVersion()
	if version <= have {
		return
	}
	s.Config.Offer(version, func(ctx context.Context) ([]byte, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var reply wire.ConfigReply
		err := s.Pool.Call(ctx, addr, wire.KindConfigFetch, &wire.ConfigFetch{HaveVersion: have}, &reply)
		return reply.Document, err
	})
}

// entriesForAgents returns the list of entries for agents. It is built once per
// generation of the view.
func (s *Service) entriesForAgents() *entryList {
	view := s.View()
	if l := s.cachedEntries.Load(); l != nil && l.generation == view.Generation {
		return l
	}
	list := view.EntryList()
	l := &entryList{generation: view.Generation, hash: wire.HashEntries(list), entries: list}
	s.cachedEntries.Store(l)
	return l
}
