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

// Timeouts and backoff of the manager.
const (
	// watchTimeout bounds one watch of the key in the store.
	watchTimeout = 30 * time.Second
	// minBackoff and maxBackoff bound the backoff, before jitter, after a call that
	// failed or brought nothing new. The maximum keeps the recovery after an outage
	// of the store within the 9 s in which a version has to be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// fetchTimeout bounds the fetch of a document from a peer.
	fetchTimeout = 2 * time.Second
)

// Options holds the dependencies of a Manager.
type Options struct {
	// Store is nil in a process without access to the store. Such a process learns
	// of versions through Offer only.
	Store store.Store
	// Bootstrap is the first document, which is written to the store if the key
	// does not exist.
	Bootstrap []byte
	// CheckGuarantees checks the guarantees of a patched document. If it is nil, all
	// guarantees are accepted.
	CheckGuarantees GuaranteeCheck
}

// Manager is the Source of a process. It implements kernel.Component.
type Manager struct {
	store           store.Store
	bootstrap       []byte
	checkGuarantees GuaranteeCheck

	snapshot atomic.Pointer[snapshot]

	mu        sync.Mutex // serialises adopt and guards listeners
	listeners []func(*model.Config)

	fetching   atomic.Bool // a fetch for Offer is in progress
	cancel     context.CancelFunc
	ctx        context.Context
	background sync.WaitGroup // goroutines that Stop waits for
}

// snapshot is the document in force. It is immutable.
type snapshot struct {
	config  *model.Config
	encoded []byte
	// withoutHistory is the encoded document without the patch history.
	withoutHistory []byte
}

var _ Source = (*Manager)(nil)

// New returns a Manager. It reads no document before Start.
func New(o Options) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{store: o.Store, bootstrap: o.Bootstrap, checkGuarantees: o.CheckGuarantees, ctx: ctx, cancel: cancel}
}

// Name implements kernel.Component.
func (m *Manager) Name() string { return "config" }

// Start implements kernel.Component. It returns an error if the bootstrap document
// is invalid, and does not wait for the first document.
func (m *Manager) Start(context.Context) error {
	if len(m.bootstrap) > 0 {
		if _, err := Parse(m.bootstrap); err != nil {
			return fmt.Errorf("bootstrap document: %w", err)
		}
	}
	if m.store != nil {
		m.background.Go(m.watch)
	}
	return nil
}

// Stop implements kernel.Component.
func (m *Manager) Stop(context.Context) error {
	m.cancel()
	m.background.Wait()
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
	case s.config.Version <= req.HaveVersion:
	case req.OmitHistory:
		reply.Document = s.withoutHistory
	default:
		reply.Document = s.encoded
	}
	return reply, nil
}

// WithoutHistory returns a document without its patch history. It keeps fields
// that this release does not know.
func WithoutHistory(data []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
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

// Version returns the version in force, 0 while no document is known.
func (m *Manager) Version() uint64 {
	if c := m.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Document implements Source.
func (m *Manager) Document() []byte {
	if s := m.snapshot.Load(); s != nil {
		return s.encoded
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

// Offer implements Source. Only one fetch runs at a time. An offer that arrives
// during a fetch is dropped, since peers repeat their version.
func (m *Manager) Offer(version uint64, fetch func(context.Context) ([]byte, error)) {
	if version <= m.Version() || m.ctx.Err() != nil || !m.fetching.CompareAndSwap(false, true) {
		return
	}
	m.background.Go(func() {
		defer m.fetching.Store(false)
		ctx, cancel := context.WithTimeout(m.ctx, fetchTimeout)
		defer cancel()
		data, err := fetch(ctx)
		if err == nil && len(data) > 0 {
			err = m.adopt(data, "peer")
		}
		if err != nil {
			log.WithFields(log.Fields{"event": "config_fetch_failed", "version": version, "error": err.Error()}).Warn("the configuration that a peer offered was not adopted; the next offer is tried")
		}
	})
}

// adopt puts a document into force if its version is higher than the current one.
// A document that came from an agent has no patch history. The same version with
// a longer history replaces it without a call of the listeners.
func (m *Manager) adopt(data []byte, origin string) error {
	c, err := parseStored(data)
	if err != nil {
		return err
	}
	withoutHistory, err := WithoutHistory(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Current()
	switch {
	case current == nil || c.Version > current.Version:
	case c.Version == current.Version && len(c.Patches) > len(current.Patches):
		m.snapshot.Store(&snapshot{config: c, encoded: append([]byte(nil), data...), withoutHistory: withoutHistory})
		return nil
	default:
		return nil
	}
	m.snapshot.Store(&snapshot{config: c, encoded: append([]byte(nil), data...), withoutHistory: withoutHistory})
	log.WithFields(log.Fields{"event": "config_in_force", "version": c.Version, "origin": origin, "teams": len(c.Teams)}).Info("a new version of the configuration is in force")
	for _, f := range m.listeners {
		f(c)
	}
	return nil
}

// watch adopts every change of the key in the store until the manager stops.
func (m *Manager) watch() {
	var rev uint64
	backoff := minBackoff
	for m.ctx.Err() == nil {
		progress, next, err := m.watchOnce(rev)
		if err != nil {
			log.WithFields(log.Fields{"event": "config_watch_failed", "error": err.Error()}).Warn("the watch of the configuration in the store failed and is retried")
		}
		rev = next
		if progress {
			backoff = minBackoff
			continue
		}
		m.sleepWithJitter(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchOnce waits for one change of the key after revision rev and returns the
// revision to continue from. progress is set if there was a new version or the
// call took at least a second; otherwise the caller must back off, since a store
// that answers at once without a change must not be called in a tight loop.
func (m *Manager) watchOnce(rev uint64) (progress bool, next uint64, err error) {
	before := m.Version()
	watchStart := time.Now()
	var e store.Entry
	if rev == 0 {
		e, err = m.store.Get(m.ctx, Key)
	} else {
		e, err = m.store.Watch(m.ctx, Key, rev, watchTimeout)
	}
	if err != nil {
		return false, rev, err
	}
	if e.Revision == 0 {
		return m.writeBootstrap()
	}
	if before == 0 {
		if ok, err := m.confirmRead(e); err != nil || !ok {
			return false, 0, err
		}
	}
	if err := m.adopt(e.Value, "store"); err != nil {
		return false, e.Revision, err
	}
	waited := time.Since(watchStart) >= time.Second
	return waited || m.Version() > before, e.Revision, nil
}

// confirmRead proves that a read did not return an older state, by writing the
// same value at the same revision. A process that has just started knows no
// version to compare with, and could otherwise go back to the version of a stale
// read.
func (m *Manager) confirmRead(e store.Entry) (bool, error) {
	return m.store.CompareAndSwap(m.ctx, Key, e.Revision, e.Value)
}

// writeBootstrap writes the bootstrap document to the store if the key does not exist.
// It does nothing if there is no bootstrap document. The results are those of
// watchOnce.
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

// sleepWithJitter waits for a random time from d/2 to 3d/2, so that processes that
// failed together do not call the store again together.
func (m *Manager) sleepWithJitter(d time.Duration) {
	t := time.NewTimer(d/2 + rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.ctx.Done():
	}
}
