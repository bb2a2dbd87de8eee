package router

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipegw/internal/entry/limits"
	"snipegw/internal/entry/striped"
	"snipegw/internal/members"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// SubsetSize is the maximum number of workers that an entry uses for one
	// service. It bounds the connections of the entry.
	SubsetSize = 48
	// clockInterval is the resolution of the clock by which loads decay, and the
	// interval of Refresh.
	clockInterval = 5 * time.Millisecond
)

// Target is a worker that serves a service. It is immutable except for its Load.
type Target struct {
	Worker      string
	Address     string
	Incarnation string
	Slots       int
	Load        *Load
}

// Service is the routing snapshot of one service. It is immutable except for its
// Limiter and the loads of its targets.
type Service struct {
	Name string
	// Targets are the workers that may receive requests.
	Targets []*Target
	Limiter *limits.Limiter
}

// routingSnapshot holds the services of one view of the membership.
type routingSnapshot struct {
	services map[string]*Service
	// byWorker holds a target of each worker that serves a service, also if the worker
	// accepts no requests. All targets of a worker share its Load.
	byWorker map[string]*Target
}

// Router follows the membership and chooses workers for requests.
type Router struct {
	self      string
	members   members.Membership
	started   time.Time
	nowMS     atomic.Uint32
	current   atomic.Pointer[routingSnapshot]
	maxQueued atomic.Int64
}

// New returns a Router for the entry self.
func New(self string, m members.Membership) *Router {
	r := new(Router)
	r.Init(self, m)
	return r
}

// Init initializes a zero Router for the entry self. ReportFree must not be called
// before Init.
func (r *Router) Init(self string, m members.Membership) {
	r.self = self
	r.members = m
	r.started = time.Now()
	r.current.Store(&routingSnapshot{})
}

// Run rebuilds the snapshots when the membership changes, and advances the clock
// and refreshes loads every clockInterval, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	t := time.NewTicker(clockInterval)
	defer t.Stop()
	for {
		changed := r.members.Changed()
		r.Rebuild()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				waiting = false
			case now := <-t.C:
				r.SetTime(now.Sub(r.started))
				r.Refresh()
			}
		}
	}
}

// SetTime sets the clock by which loads decay.
func (r *Router) SetTime(sinceStart time.Duration) {
	r.nowMS.Store(uint32(sinceStart.Milliseconds()))
}

// NowMS returns the time set by SetTime in milliseconds. It wraps every 49 days.
func (r *Router) NowMS() uint32 { return r.nowMS.Load() }

// Refresh makes the requests counted on all stripes visible to choices on each of
// them. Calls must not overlap.
func (r *Router) Refresh() {
	for _, s := range r.current.Load().services {
		for _, t := range s.Targets {
			t.Load.Refresh()
		}
	}
}

// SetMaxQueued sets the maximum number of queued requests of each service.
func (r *Router) SetMaxQueued(n int) {
	r.maxQueued.Store(int64(n))
	for _, s := range r.current.Load().services {
		s.Limiter.SetMaxQueued(n)
	}
}

// Service returns the snapshot of the service. It fails with
// result.UnknownService if no worker has announced the service, and with
// result.NoWorker if none of its workers accepts requests.
func (r *Router) Service(name string) (*Service, error) {
	s := r.current.Load().services[name]
	if s == nil {
		return nil, result.Errorf(result.UnknownService, "no backend server has announced the service %q; check its name", name)
	}
	if len(s.Targets) == 0 {
		return nil, result.Errorf(result.NoWorker, "no worker of the service %q accepts requests: each is down, unhealthy, draining, stopping, leaving or without slots", name)
	}
	return s, nil
}

// ReportFree records the free slots that a heartbeat of the worker reported.
func (r *Router) ReportFree(worker string, free int) {
	if t := r.current.Load().byWorker[worker]; t != nil {
		t.Load.ReportFree(t.Slots, free, r.NowMS())
	}
}

// Choice is the target chosen for a request, with the stripe on which the request
// is counted.
type Choice struct {
	*Target
	stripe striped.Index
}

// End counts the end of the request, and its failure at time ms if it failed.
func (c Choice) End(failed bool, ms uint32) { c.Load.End(c.stripe, failed, ms) }

// Begin picks a target as Pick does and counts a request on it until Choice.End.
// The Target of the Choice is nil if all targets have been tried.
func (r *Router) Begin(s *Service, tried []*Target) Choice {
	i := striped.CurrentStripe()
	t := r.pick(i, s, tried)
	if t != nil {
		t.Load.Begin(i)
	}
	return Choice{Target: t, stripe: i}
}

// Pick returns the one of two random targets that has less load per slot. It
// leaves out the targets in tried and returns nil if none is left. A target on
// which this entry already uses all slots is picked only if this entry uses all
// slots of every target.
func (r *Router) Pick(s *Service, tried []*Target) *Target {
	return r.pick(striped.CurrentStripe(), s, tried)
}

func (r *Router) pick(i striped.Index, s *Service, tried []*Target) *Target {
	if len(tried) > 0 {
		return r.pickUntried(i, s.Targets, tried)
	}
	return r.pickFrom(i, s.Targets)
}

func (r *Router) pickFrom(stripe striped.Index, targets []*Target) *Target {
	n := len(targets)
	if n == 0 {
		return nil
	}
	if n == 1 {
		return targets[0]
	}
	random := rand.Uint64()
	i := int(uint32(random) % uint32(n))
	j := int(uint32(random>>32) % uint32(n-1))
	if j >= i {
		j++
	}
	best := lessLoaded(stripe, targets[i], targets[j], r.nowMS.Load())
	if best.Load.inflight.Estimate(stripe) < int64(best.Slots) {
		return best
	}
	for k := range n {
		if t := targets[(i+k)%n]; t.Load.inflight.Estimate(stripe) < int64(t.Slots) {
			return t
		}
	}
	return best
}

// lessLoaded returns the one of a and b that has less load per slot.
func lessLoaded(i striped.Index, a, b *Target, ms uint32) *Target {
	if a.Load.estimateAt(i, ms)*float32(b.Slots) <= b.Load.estimateAt(i, ms)*float32(a.Slots) {
		return a
	}
	return b
}

func (r *Router) pickUntried(i striped.Index, targets, tried []*Target) *Target {
	left := make([]*Target, 0, len(targets))
	for _, t := range targets {
		if !containsWorker(tried, t) {
			left = append(left, t)
		}
	}
	return r.pickFrom(i, left)
}

// containsWorker reports whether list has a target with the worker of t. It
// compares worker ids, since a rebuild replaces targets.
func containsWorker(list []*Target, t *Target) bool {
	for _, other := range list {
		if other.Worker == t.Worker {
			return true
		}
	}
	return false
}

// Rebuild builds new snapshots from the current view of the membership.
func (r *Router) Rebuild() {
	old := r.current.Load()
	next := &routingSnapshot{services: make(map[string]*Service), byWorker: make(map[string]*Target)}
	for _, w := range r.members.View().Workers {
		for i := range w.State.Services {
			r.addService(old, next, w, &w.State.Services[i])
		}
	}
	for _, s := range next.services {
		s.Targets = subset(r.self, s.Name, s.Targets)
		slots := 0
		for _, t := range s.Targets {
			slots += t.Slots
		}
		s.Limiter.SetSlots(slots)
	}
	r.current.Store(next)
}

// addService adds worker w to the service with the given state in next. It keeps
// the Limiter and the Load from old if they exist.
func (r *Router) addService(old, next *routingSnapshot, w *members.Worker, state *wire.ServiceState) {
	s := next.services[state.Service]
	if s == nil {
		s = &Service{Name: state.Service, Limiter: r.limiterFor(old, state.Service)}
		next.services[state.Service] = s
	}
	t := &Target{
		Worker:      w.State.Worker.ID,
		Address:     w.State.Address,
		Incarnation: w.State.Incarnation,
		Slots:       state.Slots,
	}
	t.Load = next.loadOf(t)
	if t.Load == nil {
		t.Load = old.loadOf(t)
	}
	if t.Load == nil {
		t.Load = &Load{}
	}
	next.byWorker[t.Worker] = t
	if acceptsRequests(w, state) {
		s.Targets = append(s.Targets, t)
	}
}

// limiterFor returns the Limiter of the service in old, or a new one if old does not
// have the service.
func (r *Router) limiterFor(old *routingSnapshot, service string) *limits.Limiter {
	if s := old.services[service]; s != nil {
		return s.Limiter
	}
	l := limits.NewLimiter(nil)
	l.SetMaxQueued(int(r.maxQueued.Load()))
	return l
}

// acceptsRequests reports whether a worker may receive new requests of a service.
// Quarantine concerns tasks only.
func acceptsRequests(w *members.Worker, state *wire.ServiceState) bool {
	s := &w.State
	return w.Health == members.Alive && !s.Draining && !s.Stopping && state.Healthy && !state.Leaving && state.Slots > 0
}

// loadOf returns the Load of the incarnation of t, or nil if there is none.
func (s *routingSnapshot) loadOf(t *Target) *Load {
	if o := s.byWorker[t.Worker]; o != nil && o.Incarnation == t.Incarnation {
		return o.Load
	}
	return nil
}

// subset returns the SubsetSize targets with the highest rendezvous hashes, so
// that the loss or arrival of one worker changes at most one member of the subset.
func subset(self, service string, targets []*Target) []*Target {
	hashes := make(map[*Target]uint64, len(targets))
	for _, t := range targets {
		hashes[t] = xxhash.Sum64String(self + "\x00" + service + "\x00" + t.Worker)
	}
	sort.Slice(targets, func(i, j int) bool { return hashes[targets[i]] > hashes[targets[j]] })
	if len(targets) > SubsetSize {
		targets = targets[:SubsetSize]
	}
	return targets
}

// ServiceCounts is a snapshot of the counters of one service.
type ServiceCounts struct {
	Limiter limits.LimiterCounts  `json:"limiter"`
	Targets map[string]LoadCounts `json:"targets"`
}

// Counts returns the current counters of all services.
func (r *Router) Counts() map[string]ServiceCounts {
	out := make(map[string]ServiceCounts)
	for name, s := range r.current.Load().services {
		c := ServiceCounts{Limiter: s.Limiter.Counts(), Targets: make(map[string]LoadCounts, len(s.Targets))}
		for _, t := range s.Targets {
			c.Targets[t.Worker] = t.Load.snapshotCounts(r.NowMS())
		}
		out[name] = c
	}
	return out
}

// Members returns the membership that the router follows.
func (r *Router) Members() members.Membership { return r.members }
