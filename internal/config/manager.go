package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/model"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
)

// Times of the manager.
const (
	// watchWait bounds one watch of the key.
	watchWait = 30 * time.Second
	// minPause and maxPause bound the randomised pause after a failed or
	// fruitless call. The maximum keeps the recovery after an outage of the
	// store within the 9 s in which a version has to be in force.
	minPause = 100 * time.Millisecond
	maxPause = 3 * time.Second
	// fetchTimeout bounds the fetch of a document from a peer.
	fetchTimeout = 2 * time.Second
)

// Options are the parts that a Manager uses.
type Options struct {
	// Store is nil in a process without access to the store, which then learns
	// of versions through Offer only.
	Store store.Store
	// Bootstrap is the first document, written if the key does not exist.
	Bootstrap []byte
	// Pack checks the guarantees of a patched document; nil accepts all.
	Pack Packer
}

// Manager is the Source of a process. It implements kernel.Component.
type Manager struct {
	store     store.Store
	bootstrap []byte
	pack      Packer

	snapshot atomic.Pointer[snapshot]

	mu        sync.Mutex // serialises adopt and guards listeners
	listeners []func(*model.Config)

	fetching atomic.Bool
	cancel   context.CancelFunc
	ctx      context.Context
	done     sync.WaitGroup
}

type snapshot struct {
	config *model.Config
	data   []byte
	// brief is data without the patch history.
	brief []byte
}

var _ Source = (*Manager)(nil)

// New returns a Manager that starts its work in Start.
func New(o Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{store: o.Store, bootstrap: o.Bootstrap, pack: o.Pack, ctx: ctx, cancel: cancel}
}

// Name implements kernel.Component.
func (m *Manager) Name() string { return "config" }

// Start implements kernel.Component. It does not wait for the first document.
func (m *Manager) Start(context.Context) error {
	if len(m.bootstrap) > 0 {
		if _, err := Parse(m.bootstrap); err != nil {
			return fmt.Errorf("bootstrap document: %w", err)
		}
	}
	if m.store != nil {
		m.done.Go(m.watch)
	}
	return nil
}

// Stop implements kernel.Component.
func (m *Manager) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// Register adds the handler of KindConfigFetch to mux.
func (m *Manager) Register(mux *transport.Mux) {
	mux.Handle(wire.KindConfigFetch, transport.Unary(m.serveFetch))
}

func (m *Manager) serveFetch(_ context.Context, req *wire.ConfigFetch) (*wire.ConfigReply, error) {
	s := m.snapshot.Load()
	if s == nil {
		return &wire.ConfigReply{}, nil
	}
	reply := &wire.ConfigReply{Version: s.config.Version}
	switch {
	case s.config.Version <= req.Have:
	case req.OmitHistory:
		reply.Document = s.brief
	default:
		reply.Document = s.data
	}
	return reply, nil
}

// WithoutHistory drops the patch history of a document. It keeps fields that
// this release does not know.
func WithoutHistory(data []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	delete(fields, "patches")
	return json.Marshal(fields)
}

// Current implements Source.
func (m *Manager) Current() *model.Config {
	if s := m.snapshot.Load(); s != nil {
		return s.config
	}
	return nil
}

// Version returns the version in force, 0 before the first is known.
func (m *Manager) Version() uint64 {
	if c := m.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Document implements Source.
func (m *Manager) Document() []byte {
	if s := m.snapshot.Load(); s != nil {
		return s.data
	}
	return nil
}

// OnChange implements Source. If a document is in force, f is called with it at
// once.
func (m *Manager) OnChange(f func(*model.Config)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners = append(m.listeners, f)
	if c := m.Current(); c != nil {
		f(c)
	}
}

// Offer implements Source. One fetch runs at a time; the peers repeat their
// version, so an offer that is dropped here comes again.
func (m *Manager) Offer(version uint64, fetch func(context.Context) ([]byte, error)) {
	if version <= m.Version() || m.ctx.Err() != nil || !m.fetching.CompareAndSwap(false, true) {
		return
	}
	m.done.Go(func() {
		defer m.fetching.Store(false)
		ctx, cancel := context.WithTimeout(m.ctx, fetchTimeout)
		defer cancel()
		data, err := fetch(ctx)
		if err == nil && len(data) > 0 {
			err = m.adopt(data, "peer")
		}
		if err != nil {
			log.WithFields(log.Fields{"event": "config_fetch_failed", "version": version, "error": err.Error()}).Warn("configuration not fetched from peer")
		}
	})
}

// adopt puts data into force if its version is higher than the present one. A
// document that came from an agent has no patch history; the same version with
// more of the history replaces it and changes nothing else.
func (m *Manager) adopt(data []byte, origin string) error {
	c, err := parseStored(data)
	if err != nil {
		return err
	}
	brief, err := WithoutHistory(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Current()
	switch {
	case current == nil || c.Version > current.Version:
	case c.Version == current.Version && len(c.Patches) > len(current.Patches):
		m.snapshot.Store(&snapshot{config: c, data: append([]byte(nil), data...), brief: brief})
		return nil
	default:
		return nil
	}
	m.snapshot.Store(&snapshot{config: c, data: append([]byte(nil), data...), brief: brief})
	log.WithFields(log.Fields{"event": "config_in_force", "version": c.Version, "origin": origin, "teams": len(c.Teams)}).Info("configuration in force")
	for _, f := range m.listeners {
		f(c)
	}
	return nil
}

// watch follows the key until the manager stops.
func (m *Manager) watch() {
	var rev uint64
	pause := minPause
	for m.ctx.Err() == nil {
		progress, next, err := m.watchOnce(rev)
		if err != nil {
			log.WithFields(log.Fields{"event": "config_watch_failed", "error": err.Error()}).Warn("configuration not read from store")
		}
		rev = next
		if progress {
			pause = minPause
			continue
		}
		m.sleep(pause)
		pause = min(2*pause, maxPause)
	}
}

// watchOnce waits for one change. It reports whether the wait was useful: a
// store that answers at once without news must not be called in a loop.
func (m *Manager) watchOnce(rev uint64) (progress bool, next uint64, err error) {
	before := m.Version()
	began := time.Now()
	var e store.Entry
	if rev == 0 {
		e, err = m.store.Get(m.ctx, Key)
	} else {
		e, err = m.store.Watch(m.ctx, Key, rev, watchWait)
	}
	if err != nil {
		return false, rev, err
	}
	if e.Revision == 0 {
		return m.writeBootstrap()
	}
	if before == 0 {
		if ok, err := m.confirm(e); err != nil || !ok {
			return false, 0, err
		}
	}
	if err := m.adopt(e.Value, "store"); err != nil {
		return false, e.Revision, err
	}
	waited := time.Since(began) >= time.Second
	return waited || m.Version() > before, e.Revision, nil
}

// confirm proves that a read was not an older state, by writing the same value
// at the same revision. A process that has just started knows no version to
// compare with, and would otherwise go back to the one of a stale read.
func (m *Manager) confirm(e store.Entry) (bool, error) {
	return m.store.CompareAndSwap(m.ctx, Key, e.Revision, e.Value)
}

func (m *Manager) writeBootstrap() (bool, uint64, error) {
	if len(m.bootstrap) == 0 {
		return false, 0, nil
	}
	c, err := Parse(m.bootstrap)
	if err != nil {
		return false, 0, err
	}
	c.Version = 1
	c.Patches = nil
	data, err := json.Marshal(c)
	if err != nil {
		return false, 0, err
	}
	_, err = m.store.CompareAndSwap(m.ctx, Key, 0, data)
	return err == nil, 0, err // the next read shows which document was written
}

// sleep waits for d, spread by half, so that processes that failed together do
// not call the store again together.
func (m *Manager) sleep(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.ctx.Done():
	}
}
