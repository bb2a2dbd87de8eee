// Package forecast is a headroom policy that forecasts how many jobs of priority 0
// arrive until room falls free by itself, and keeps enough room for them.
package forecast

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

const (
	// maxQueues bounds the queues that are learned; the arrivals of further ones are
	// counted together for each service.
	maxQueues = 32
	// maxArrivals bounds the arrivals that are kept for each queue. At higher rates the
	// long window is cut short, and the rate still comes from this many.
	maxArrivals = 128
	// minArrivals is the least number of arrivals in the long window with which a
	// forecast is made. With fewer, the error of the rate exceeds a factor of about 1.4.
	minArrivals = 8
	// maxClockDifference is how far the clock of the process that accepted a job may be
	// ahead of the planner's. Arrivals further ahead are left out.
	maxClockDifference = time.Second
	// recomputeInterval limits how often the distribution of demand is computed without a
	// new arrival. A window of seconds hardly moves within it.
	recomputeInterval = 100 * time.Millisecond
	// releaseDelay is the factor by which runs are taken to end later than expected,
	// since callers' estimates are wrong by about that much.
	releaseDelay = 2
	// horizonSteps is the number of times until which demand and releases are compared.
	horizonSteps = 4
)

// otherQueues, with the name of a service, stands for its queues beyond maxQueues.
const otherQueues = "*"

// arrival is a job of priority 0.
type arrival struct {
	at    time.Time
	needs workflow.Resources
	item  workflow.Resources
}

// Policy implements framework.HeadroomPolicy.
type Policy struct {
	settings Settings
	queues   map[string][]arrival // by queue, in order of time
	services map[string]string    // the latest service by queue, of those in queues
	firstAt  time.Time            // of the earliest arrival
	figures  map[string]*figure   // by service
}

// figure is the latest forecast for a service.
type figure struct {
	// steps caches the forecast at computedAt; nil if an arrival has come since. total is
	// the pool that it was computed for.
	steps      []demand
	computedAt time.Time
	total      workflow.Resources
	enough     bool
	arrivals   int                // that it rests on
	rate       float64            // jobs a second
	item       workflow.Resources // the usual item
	kept       workflow.Resources
	horizon    time.Duration // the one that decided, of kept
}

// demand is what the jobs that arrive within a horizon need, at the settings'
// probability.
type demand struct {
	within       time.Duration
	accelerators int64
	milliCPU     int64
}

// New returns a policy that has learned nothing.
func New(s Settings) *Policy {
	s.Provision()
	return &Policy{settings: s, queues: make(map[string][]arrival), services: make(map[string]string), figures: make(map[string]*figure)}
}

// ObserveArrival implements framework.HeadroomPolicy.
func (p *Policy) ObserveArrival(a framework.Arrival) {
	queue := a.Queue
	if p.queues[queue] == nil && len(p.queues) >= maxQueues {
		queue = otherQueues + a.Service
	}
	list := p.queues[queue]
	next := arrival{at: a.At, needs: a.Needs, item: a.Item}
	at, _ := slices.BinarySearchFunc(list, next, func(x, y arrival) int { return x.at.Compare(y.at) })
	list = slices.Insert(list, at, next)
	if len(list) > maxArrivals {
		list = slices.Delete(list, 0, len(list)-maxArrivals)
	}
	if p.firstAt.IsZero() || a.At.Before(p.firstAt) {
		p.firstAt = a.At
	}
	p.queues[queue], p.services[queue] = list, a.Service
	for _, f := range p.figures {
		f.steps = nil
	}
}

// Headroom implements framework.HeadroomPolicy. Demand grows with the horizon and so
// does what running jobs release; it keeps the largest difference of both.
func (p *Policy) Headroom(now time.Time, pool framework.Pool) (framework.Headroom, bool) {
	f := p.figures[pool.Service]
	if f == nil {
		f = new(figure)
		p.figures[pool.Service] = f
	}
	if age := now.Sub(f.computedAt); f.steps == nil || age < 0 || age >= recomputeInterval || f.total != pool.Total {
		p.forecast(f, now, pool)
	}
	f.kept, f.horizon = workflow.Resources{}, 0
	if !f.enough {
		return framework.Headroom{}, false
	}
	var released workflow.Resources
	next := 0
	for _, d := range f.steps {
		for ; next < len(pool.Releases) && releaseDelay*pool.Releases[next].After <= d.within; next++ {
			released = released.Add(pool.Releases[next].Needs, 1)
		}
		if need := d.accelerators - released.Accelerators; need > f.kept.Accelerators {
			f.kept.Accelerators, f.horizon = need, d.within
		}
		f.kept.MilliCPU = max(f.kept.MilliCPU, d.milliCPU-released.MilliCPU)
	}
	f.kept.Accelerators = p.bound(f.kept.Accelerators, pool.Total.Accelerators)
	f.kept.MilliCPU = p.bound(f.kept.MilliCPU, pool.Total.MilliCPU)
	return framework.Headroom{Amount: f.kept, Item: f.item}, true
}

// bound limits a figure to the shares of total that the settings allow.
func (p *Policy) bound(v, total int64) int64 {
	return min(max(v, int64(p.settings.MinShare*float64(total))), int64(p.settings.MaxShare*float64(total)))
}

// forecast computes the demand for each horizon from the arrivals up to now for the service of a pool.
func (p *Policy) forecast(f *figure, now time.Time, pool framework.Pool) {
	*f = figure{computedAt: now, total: pool.Total, steps: []demand{}}
	short := ms(p.settings.ShortWindowMS)
	long := min(ms(p.settings.LongWindowMS), now.Sub(p.firstAt)) // nothing is known of the time before
	accelerators, cpu := newSizes(pool.Total.Accelerators), newSizes(pool.Total.MilliCPU)
	var rate gammaRate
	var items []workflow.Resources
	for _, queue := range p.queueNames() {
		list := p.recent(queue, now)
		if len(list) == 0 || p.services[queue] != pool.Service {
			continue
		}
		r := rateOf(list, now, short, long)
		rate.shape, rate.seconds = rate.shape+r.shape, r.seconds
		for _, a := range list {
			weight := r.shape / float64(len(list))
			accelerators.add(a.needs.Accelerators, weight)
			cpu.add(a.needs.MilliCPU, weight)
			items = append(items, a.item)
		}
	}
	f.arrivals = len(items)
	if len(items) < minArrivals {
		return
	}
	slices.SortFunc(items, func(a, b workflow.Resources) int {
		return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MilliCPU, b.MilliCPU))
	})
	f.enough, f.rate, f.item = true, rate.shape/rate.seconds, items[len(items)/2]
	within := p.settings.minHorizon()
	factor := float64(ms(p.settings.MaxHorizonMS)) / float64(within)
	for i := range horizonSteps {
		t := time.Duration(float64(within) * math.Pow(factor, float64(i)/(horizonSteps-1)))
		f.steps = append(f.steps, demand{
			within: t, accelerators: accelerators.quantile(rate, t, p.settings.Probability), milliCPU: cpu.quantile(rate, t, p.settings.Probability),
		})
	}
}

// queueNames returns the names of the queues in a fixed order, so that sums of floating
// point numbers are the same in every run.
func (p *Policy) queueNames() []string {
	names := make([]string, 0, len(p.queues))
	for name := range p.queues {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// recent drops the arrivals of a queue that have left the long window, and returns the
// others up to now.
func (p *Policy) recent(queue string, now time.Time) []arrival {
	list := p.queues[queue]
	from := now.Add(-ms(p.settings.LongWindowMS))
	old := 0
	for old < len(list) && list[old].at.Before(from) {
		old++
	}
	list = slices.Delete(list, 0, old)
	p.queues[queue] = list
	if len(list) == 0 {
		delete(p.queues, queue)
		delete(p.services, queue)
	}
	ahead := len(list)
	for ahead > 0 && list[ahead-1].at.After(now.Add(maxClockDifference)) {
		ahead--
	}
	return list[:ahead]
}

// State is the state of the forecast for a service in the debug dump.
type State struct {
	Known bool `json:"known"` // false while the engine's fixed share is kept
	// Rate is the forecast of arrivals in jobs a second.
	Rate     float64 `json:"jobs_per_second"`
	Arrivals int     `json:"arrivals"` // in the long window
	// HorizonMS is the horizon that decided how many accelerators are kept.
	HorizonMS        int64 `json:"horizon_ms"`
	KeptAccelerators int64 `json:"kept_accelerators"`
	KeptMilliCPU     int64 `json:"kept_millicpu"`
	// ItemAccelerators and ItemMilliCPU are the needs of the usual item.
	ItemAccelerators int64 `json:"item_accelerators"`
	ItemMilliCPU     int64 `json:"item_millicpu"`
}

// State implements framework.Plugin. It shows the latest forecast by service.
func (p *Policy) State(time.Time) any {
	states := make(map[string]State, len(p.figures))
	for service, f := range p.figures {
		states[service] = State{
			Known: f.enough, Arrivals: f.arrivals, Rate: f.rate, HorizonMS: f.horizon.Milliseconds(), KeptAccelerators: f.kept.Accelerators,
			KeptMilliCPU: f.kept.MilliCPU, ItemAccelerators: f.item.Accelerators, ItemMilliCPU: f.item.MilliCPU,
		}
	}
	return states
}
