// Package gate admits requests to the slots of the backend servers on this host
// and forwards them. It records the outcome of requests with a ticket.
package gate

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/agent/tickets"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// AnnounceTimeout is the time since its latest announcement after which a
	// backend server gets no more requests.
	AnnounceTimeout = 2 * time.Second
	// silentServiceRetention is the time since its latest announcement after which
	// a service is forgotten and no longer reported.
	silentServiceRetention = time.Minute
	// MaxTimeout bounds the timeout of a request. It is shorter than the 70 s of a
	// graceful stop, so that every request can finish.
	MaxTimeout = 60 * time.Second
	// maxServices bounds the number of services on one host.
	maxServices = 64
	// maxRetiredInstances bounds the instances of a service that are remembered as
	// having left or been replaced.
	maxRetiredInstances = 64
	// maxConsecutiveFailures is the number of consecutive failed exchanges after
	// which a backend server gets no requests until a probe succeeds.
	maxConsecutiveFailures = 3
	// dialTimeout bounds the connection setup to a backend server on this host, and
	// the sending of an error to the caller when the deadline may have passed.
	dialTimeout = time.Second
	// idleConnTimeout is shorter than the idle timeouts of common HTTP servers
	// (5 s and more). If the server closed the connection while a request is sent
	// on it, the outcome of that request would be unknown.
	idleConnTimeout = 3 * time.Second
)

// Gate forwards requests to the backend servers of this host. It is safe for
// concurrent use. Admission takes no lock of the gate.
type Gate struct {
	now            func() time.Time
	tickets        *tickets.Store
	client         *http.Transport
	services       atomic.Pointer[map[string]*service]
	draining       atomic.Bool
	activeRequests atomic.Int64
	// onChange is called after each change that heartbeats report.
	onChange func()

	mu      sync.Mutex          // serializes changes of services
	retired map[string][]string // instances that left or were replaced, by service
}

// New returns a gate without backend servers. It calls onChange after each change
// of ServiceStates, except when an announcement expires.
func New(store *tickets.Store, now func() time.Time, onChange func()) *Gate {
	dialer := &net.Dialer{Timeout: dialTimeout}
	g := &Gate{
		now:      now,
		tickets:  store,
		onChange: onChange,
		retired:  make(map[string][]string),
		client: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true, // bodies are forwarded unchanged
			MaxIdleConnsPerHost:    maxSlots,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         4 << 10,
			WriteBufferSize:        4 << 10,
		},
	}
	g.services.Store(&map[string]*service{})
	return g
}

// Announce records that a backend server is running. A new instance replaces the
// old one. An instance that has left or has been replaced is refused with the code
// Draining, so that a delayed announcement does not bring it back.
func (g *Gate) Announce(a Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if slices.Contains(g.retired[a.Service], a.Instance) {
		return result.Errorf(result.Draining, "instance %s has left or has been replaced", a.Instance)
	}
	s := (*g.services.Load())[a.Service]
	if s == nil {
		return g.addService(a, now)
	}
	b := s.backend.Load()
	switch {
	case b.announcement == a:
		wasFresh := b.fresh(now)
		b.announcedAt.Store(now.UnixNano())
		if !wasFresh {
			g.onChange()
		}
		return nil
	case b.announcement.Instance != a.Instance:
		g.retireInstance(a.Service, b.announcement.Instance)
	}
	s.backend.Store(newBackend(a, now))
	g.onChange()
	return nil
}

func newBackend(a Announcement, now time.Time) *backend {
	b := &backend{announcement: a}
	b.announcedAt.Store(now.UnixNano())
	return b
}

func (g *Gate) addService(a Announcement, now time.Time) error {
	old := *g.services.Load()
	if len(old) >= maxServices {
		return result.Errorf(result.Overloaded, "the host already has the maximum of %d services", maxServices)
	}
	s := &service{name: a.Service}
	s.backend.Store(newBackend(a, now))
	updated := maps.Clone(old)
	updated[a.Service] = s
	g.services.Store(&updated)
	g.onChange()
	return nil
}

func (g *Gate) retireInstance(service, instance string) {
	list := append(g.retired[service], instance)
	if len(list) > maxRetiredInstances {
		list = list[1:]
	}
	g.retired[service] = list
}

// Leave records that a backend server is stopping. After Leave has returned, the
// backend server gets no new requests; requests in progress continue.
func (g *Gate) Leave(a Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := (*g.services.Load())[a.Service]
	if s == nil {
		return result.Errorf(result.UnknownService, "service %s has not been announced", a.Service)
	}
	b := s.backend.Load()
	if b.announcement.Instance != a.Instance {
		return nil // a newer instance has replaced it
	}
	if !b.leaving.Swap(true) {
		g.retireInstance(a.Service, a.Instance)
		g.onChange()
	}
	return nil
}

// SetDraining sets whether new requests are refused for all services.
func (g *Gate) SetDraining(on bool) { g.draining.Store(on) }

// ActiveRequests returns the number of requests in progress.
func (g *Gate) ActiveRequests() int64 { return g.activeRequests.Load() }

// FreeSlots returns the number of free slots of all services that accept requests.
func (g *Gate) FreeSlots() int {
	if g.draining.Load() {
		return 0
	}
	now := g.now()
	free := 0
	for _, s := range *g.services.Load() {
		if b := s.backend.Load(); b.healthy(now) && !b.leaving.Load() {
			free += s.freeSlots()
		}
	}
	return free
}

// ServiceStates returns the state of all services for heartbeats, ordered by name.
func (g *Gate) ServiceStates() []wire.ServiceState {
	now := g.now()
	services := *g.services.Load()
	out := make([]wire.ServiceState, 0, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		b := services[name].backend.Load()
		out = append(out, wire.ServiceState{
			Service: name,
			Slots:   b.announcement.Slots,
			Leaving: b.leaving.Load(),
			Healthy: b.healthy(now),
		})
	}
	return out
}

// Tick probes the backend servers that were taken out of use after failures, and
// forgets services that have not been announced for silentServiceRetention.
func (g *Gate) Tick(ctx context.Context) {
	now := g.now()
	for _, s := range *g.services.Load() {
		b := s.backend.Load()
		if b.down.Load() && b.fresh(now) && !b.leaving.Load() {
			g.probe(ctx, b)
		}
	}
	g.forgetSilent(now)
}

// probe puts a backend server back into use if it accepts a connection.
func (g *Gate) probe(ctx context.Context, b *backend) {
	conn, err := g.client.DialContext(ctx, "tcp", b.announcement.Address)
	if err != nil {
		return
	}
	_ = conn.Close()
	b.failures.Store(0)
	b.down.Store(false)
	g.onChange()
}

func (g *Gate) forgetSilent(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := *g.services.Load()
	var updated map[string]*service
	for name, s := range old {
		silent := now.UnixNano() - s.backend.Load().announcedAt.Load()
		if silent > int64(silentServiceRetention) && s.inFlight.Load() == 0 {
			if updated == nil {
				updated = maps.Clone(old)
			}
			delete(updated, name)
			delete(g.retired, name)
		}
	}
	if updated != nil {
		g.services.Store(&updated)
		g.onChange()
	}
}

// ServiceDump describes a service in the state dump.
type ServiceDump struct {
	Announcement
	InFlight int64  `json:"in_flight"`
	Served   uint64 `json:"served"`
	Refused  uint64 `json:"refused"`
	Leaving  bool   `json:"leaving"`
	Healthy  bool   `json:"healthy"`
}

// Dump returns all services for the state dump, ordered by name.
func (g *Gate) Dump() []ServiceDump {
	now := g.now()
	services := *g.services.Load()
	out := make([]ServiceDump, 0, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		b := s.backend.Load()
		out = append(out, ServiceDump{
			Announcement: b.announcement,
			InFlight:     s.inFlight.Load(),
			Served:       s.served.Load(),
			Refused:      s.refused.Load(),
			Leaving:      b.leaving.Load(),
			Healthy:      b.healthy(now),
		})
	}
	return out
}
