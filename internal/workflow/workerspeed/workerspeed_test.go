package workerspeed

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/framework"
)

// pool feeds a Model with the progress of items on workers. The items of a step take
// times that differ as much as was measured, and their progress is reported in whole
// percents each second.
type pool struct {
	model    *Model
	rng      *rand.Rand
	now      time.Time
	workers  int
	runs     [][]*poolRun                // by worker
	slowness func(worker int) float64    // at present
	length   func(worker int) float64    // of a new item, as a multiple of the usual one; nil for random lengths
	clock    func(worker int) int64      // milliseconds
	percent  func(r *poolRun) float64    // as reported
	seen     func(worker int, s float64) // called after each report
	steps    int
}

type poolRun struct {
	worker int
	ref    workflow.ItemRef
	work   float64 // seconds on a typical worker
	done   float64 // 0 to 1
}

func newPool(workers, runsPerWorker int) *pool {
	p := &pool{model: New(Settings{}), rng: rand.New(rand.NewPCG(1, 2)), now: time.UnixMilli(1_800_000_000_000), workers: workers, runs: make([][]*poolRun, workers)}
	for w := range p.runs {
		p.runs[w] = make([]*poolRun, runsPerWorker)
	}
	p.slowness = func(int) float64 { return 1 }
	p.clock = func(int) int64 { return p.now.UnixMilli() }
	p.percent = func(r *poolRun) float64 { return math.Floor(100 * r.done) }
	return p
}

func node(w int) string { return fmt.Sprint("n", w) }

func (p *pool) level(w int) float64 { return p.model.Slowness(node(w), p.now) }

// advance lets the given number of seconds pass.
func (p *pool) advance(seconds int) {
	for range seconds {
		p.now = p.now.Add(time.Second)
		p.steps++
		for w, runs := range p.runs {
			for i, r := range runs {
				if r != nil {
					r.done += 1 / (r.work * p.slowness(w))
				}
				if r != nil && r.done >= 1 {
					p.model.ObserveEnd(node(w), framework.Run{Item: r.ref, Number: 1})
					r = nil
				}
				if r == nil {
					length := math.Exp(0.4 * p.rng.NormFloat64())
					if p.length != nil {
						length = p.length(w)
					}
					r = &poolRun{worker: w, ref: workflow.ItemRef{Job: fmt.Sprint(p.steps / 4), Index: w*len(runs) + i + 10_000*p.steps}, work: 8 * length}
					r.done = p.rng.Float64() / (r.work * p.slowness(w))
					p.runs[w][i] = r
				}
				p.model.ObserveProgress(framework.Progress{
					Worker: node(w), Run: framework.Run{Item: r.ref, Number: 1}, Clock: time.Duration(p.clock(w)) * time.Millisecond, At: p.now,
					Percent: p.percent(r), Expected: 8 * time.Second,
				})
			}
			if p.seen != nil {
				p.seen(w, p.level(w))
			}
		}
	}
}

func (p *pool) expectTypical(g Gomega) {
	p.seen = func(w int, s float64) { g.Expect(s).To(Equal(1.0), "worker %d after %d s", w, p.steps) }
}

// Guards against a pool of equal workers that is served differently because the lengths
// of items, or of jobs against their estimates, are taken for speeds of workers. Some items
// take seven times as long, and a burst brings ten times the items of a single job, all
// longer than estimated.
func TestEqualWorkersStayTypical(t *testing.T) {
	g := NewWithT(t)
	p := newPool(30, 4)
	p.expectTypical(g)
	p.advance(60)
	p.length = func(int) float64 {
		if p.rng.Float64() < 0.03 {
			return 7
		}
		return 1
	}
	p.advance(60)
	burst := p.steps
	p.length = func(int) float64 { p.steps = burst; return 4 } // one step for all items
	for w := range p.runs {
		p.runs[w] = make([]*poolRun, 40)
	}
	p.advance(20)
}

// Guards against a slowdown within seconds that is not seen within a few reports, or is
// kept after its end; also when it hits half of the workers at once, so that the medians of
// steps change with it.
func TestSlowdownIsFollowed(t *testing.T) {
	for _, every := range []int{3, 2} {
		g := NewWithT(t)
		p := newPool(20, 3)
		p.length = func(int) float64 { return 3 * math.Exp(0.4*p.rng.NormFloat64()) } // so that runs go on over the change
		p.advance(15)
		slow := func(w int) bool { return w%every == 0 }
		p.slowness = func(w int) float64 {
			if slow(w) {
				return 3
			}
			return 1
		}
		count := func() (slowFound, wrong int) {
			for w := range p.workers {
				switch s := p.level(w); {
				case slow(w) && s >= 1.8 && s <= 4.5:
					slowFound++
				case !slow(w) && s != 1:
					wrong++
				}
			}
			return slowFound, wrong
		}
		p.advance(5)
		found, wrong := count()
		// A worker of which all runs have just begun is not known to be slow yet.
		g.Expect(found).To(BeNumerically(">=", p.workers/every-1), "slow: each %d", every)
		g.Expect(wrong).To(BeZero(), "slow: each %d", every)
		p.advance(15)
		p.slowness = func(int) float64 { return 1 }
		p.advance(10)
		found, wrong = count()
		g.Expect(found).To(BeNumerically("<=", 1), "recovered: each %d", every)
		g.Expect(wrong).To(BeZero(), "recovered: each %d", every)
		p.advance(20)
		found, wrong = count()
		g.Expect(found+wrong).To(BeZero(), "recovered long ago: each %d", every)
	}
}

// poolWithSlowQuarter returns a pool that a new planner has observed for a minute, and in
// which each fourth worker is slow all the time.
func poolWithSlowQuarter() *pool {
	p := newPool(20, 4)
	p.slowness = func(w int) float64 {
		if w%4 == 0 {
			return 2.5
		}
		return 1
	}
	p.advance(60)
	return p
}

// A planner takes over while a quarter of the workers are slow. Guards against a model that
// takes the others for slow, or the slow ones for fast when they recover.
func TestEmptyStateMistakesNoWorker(t *testing.T) {
	g := NewWithT(t)
	p := poolWithSlowQuarter()
	for w := range p.workers {
		if w%4 != 0 {
			g.Expect(p.level(w)).To(BeNumerically("<", 1.4), "worker %d", w)
		}
	}
	p.slowness = func(int) float64 { return 1 }
	p.seen = func(w int, s float64) { g.Expect(s).To(BeNumerically(">=", 0.8), "worker %d", w) }
	p.advance(60)
	for w := range p.workers {
		g.Expect(p.level(w)).To(BeNumerically("<", 1.4), "worker %d", w)
	}
}

// Guards against a model that never learns a worker which is slow all the time, by 60 items
// of which each differs by a factor of 1.5. See KNOWN-RED.txt.
func TestEmptyStateLearnsSlowWorkers(t *testing.T) {
	p := poolWithSlowQuarter()
	found := 0
	for w := 0; w < p.workers; w += 4 {
		if p.level(w) >= 1.4 {
			found++
		}
	}
	NewWithT(t).Expect(found).To(BeNumerically(">=", 4), "of 5 slow workers")
}

// Guards against progress that makes no sense, or stands still, changing the speed of a
// worker: one run of four goes backwards, exceeds 100, is not a number, jumps or hangs.
func TestNonsenseProgressIsIgnored(t *testing.T) {
	g := NewWithT(t)
	p := newPool(6, 4)
	p.length = func(int) float64 { return 3 }
	p.percent = func(r *poolRun) float64 {
		percent := math.Floor(100 * r.done)
		if r.ref.Index%4 != 0 {
			return percent
		}
		switch r.worker {
		case 0:
			return 99 - percent
		case 1:
			return 100 + percent
		case 2:
			return math.NaN()
		case 3:
			return 100 * p.rng.Float64()
		case 4:
			return 30
		}
		return -percent
	}
	p.expectTypical(g)
	p.advance(90)
}

// Guards against clocks of workers that jump, stand or go back.
func TestClockJumpsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	p := newPool(9, 2)
	p.clock = func(w int) int64 {
		switch now := p.now.UnixMilli(); {
		case p.steps%15 < 8 || w%3 == 2:
			return now
		case w%3 == 0:
			return now + int64(w+1)*5000
		default:
			return now - int64(w+1)*5000
		}
	}
	p.expectTypical(g)
	p.advance(90)
}

// Guards against a slow worker that is avoided and therefore never seen to be fast again:
// without runs its slowness has to fade.
func TestSlownessFadesOnAnIdleWorker(t *testing.T) {
	g := NewWithT(t)
	p := newPool(20, 4)
	p.length = func(int) float64 { return 3 }
	p.advance(10)
	p.slowness = func(w int) float64 { return 1 + 2*float64(w%4/3) }
	p.advance(6)
	g.Expect(p.level(3)).To(BeNumerically(">", 2))
	p.runs[3] = nil
	p.advance(8)
	g.Expect(p.level(3)).To(BeNumerically(">", 1.5))
	p.advance(40)
	g.Expect(p.level(3)).To(Equal(1.0))
}

// Guards against a state that grows without bound, and a slowness without bounds.
func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := newPool(4, 2)
	p.length = func(int) float64 { return 0.4 }
	p.slowness = func(w int) float64 { return 1 + 40*float64(w%2)*float64(p.steps/30%2) }
	p.seen = func(_ int, s float64) { g.Expect(s).To(And(BeNumerically(">=", 0.25), BeNumerically("<=", 8))) }
	p.advance(3000)
	g.Expect(len(p.model.groups)).To(BeNumerically("<=", maxGroups))
	g.Expect(p.model.order).To(HaveLen(len(p.model.groups)))
	for _, w := range p.model.workers {
		g.Expect(len(w.runs)).To(Equal(2))
	}
	g.Expect(json.Marshal(p.model.State(p.now))).NotTo(BeEmpty())
}

// Guards against settings with faults that are accepted.
func TestSettingsAreValidated(t *testing.T) {
	g := NewWithT(t)
	var faults kernel.ValidationErrors
	framework.Settings{"worker_speed": json.RawMessage(`{"max_slowness":0.5,"idle_half_life_ms":-1}`)}.Validate("p", &faults)
	g.Expect(faults).To(HaveLen(2))
	faults = nil
	framework.Settings{"worker_speed": json.RawMessage(`{}`)}.Validate("p", &faults)
	g.Expect(faults).To(BeEmpty())
}
