package score_test

import (
	"fmt"
	"math/bits"
	"math/rand"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/score"
)

const accelerators = 8

func newPool(racks, perRack int) *pool.Pool {
	p := pool.New()
	for i := range racks * perRack {
		w, _ := p.Add(model.Worker{ID: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/perRack), FailureDomain: "d",
			Capacity: model.Resources{Accelerators: accelerators, Cores: 64, MemoryGB: 256}})
		w.Up = true
	}
	return p
}

func shape(tasks, perTask int, a model.Adjacency) model.Shape {
	return model.Shape{Tasks: tasks, AcceleratorsPerTask: perTask, Adjacent: a}
}

// Guards against small jobs that break whole hosts while a used one has room.
func TestFindPrefersHostsInUse(t *testing.T) {
	g := NewWithT(t)
	p := newPool(2, 2)
	p.Allocate(&pool.Gang{ID: "a", PerTask: model.Resources{Accelerators: 3}, Workers: []*pool.Worker{p.Workers[2]}})
	f := score.Finder{}
	found := f.Find(p, score.Request{Shape: shape(1, 4, model.AdjacentHost), Room: (*pool.Worker).Free})
	g.Expect(found).To(Equal([]*pool.Worker{p.Workers[2]}))
	g.Expect(f.Find(p, score.Request{Shape: shape(3, 8, model.AdjacentRack), Room: (*pool.Worker).Free})).To(BeNil())
}

// allocator is a way to place gangs.
type allocator interface {
	place(id int, s model.Shape) bool
	release(id int)
	pool() *pool.Pool
}

// direct searches the counts of hosts and racks.
type direct struct {
	p     *pool.Pool
	f     score.Finder
	gangs map[int]*pool.Gang
}

func (d *direct) pool() *pool.Pool { return d.p }

func (d *direct) place(id int, s model.Shape) bool {
	workers := d.f.Find(d.p, score.Request{Shape: s, Room: (*pool.Worker).Free})
	if workers == nil {
		return false
	}
	d.gangs[id] = &pool.Gang{PerTask: s.PerTask(), Workers: workers}
	d.p.Allocate(d.gangs[id])
	return true
}

func (d *direct) release(id int) {
	if d.gangs[id] != nil {
		d.p.Release(d.gangs[id])
		delete(d.gangs, id)
	}
}

// buddy divides each host into cells of 8, 4, 2 and 1 accelerators. A task takes
// the smallest cell of at least its size, at a multiple of its size; cells of a
// host are bits of a byte. It is the alternative that was weighed against the
// direct search and is kept here so that the figures can be repeated.
type buddy struct {
	p     *pool.Pool
	used  []uint8
	cells map[int][]cell
}

type cell struct {
	host int
	mask uint8
}

func (b *buddy) pool() *pool.Pool { return b.p }

func ceil(n int) int { return 1 << bits.Len(uint(n-1)) }

// fit returns the free cell of the given size in a host that leaves the
// smallest free neighbour, 0 if there is none.
func fit(used uint8, size int) uint8 {
	base := uint8(1<<size - 1)
	var found uint8
	for at := 0; at < accelerators; at += size {
		mask := base << at
		if used&mask != 0 {
			continue
		}
		pair := base << (at ^ size%accelerators)
		if used&pair != 0 {
			return mask // the neighbour is in use, so no larger cell is split
		}
		found = mask
	}
	return found
}

func (b *buddy) place(id int, s model.Shape) bool {
	size := ceil(s.AcceleratorsPerTask)
	var best []cell
	for _, r := range b.p.Racks {
		var got []cell
		for _, whole := range []bool{false, true} { // hosts in use come first
			for i := r.From; i < r.To && len(got) < s.Tasks; i++ {
				if (b.used[i] == 0) != whole {
					continue
				}
				if mask := fit(b.used[i], size); mask != 0 {
					got = append(got, cell{i, mask})
				}
			}
		}
		if len(got) == s.Tasks && (best == nil || b.used[got[0].host] != 0) {
			best = got
			if b.used[got[0].host] != 0 {
				break
			}
		}
	}
	for _, c := range best {
		b.used[c.host] |= c.mask
		b.p.Workers[c.host].Used.Accelerators = bits.OnesCount8(b.used[c.host])
	}
	b.cells[id] = best
	return best != nil
}

func (b *buddy) release(id int) {
	for _, c := range b.cells[id] {
		b.used[c.host] &^= c.mask
		b.p.Workers[c.host].Used.Accelerators = bits.OnesCount8(b.used[c.host])
	}
	delete(b.cells, id)
}

// useless is the share of free accelerators that a gang of 2 x 8 in one rack
// cannot use.
func useless(p *pool.Pool) float64 {
	free, whole := 0, 0
	for _, r := range p.Racks {
		hosts := 0
		for _, w := range p.Workers[r.From:r.To] {
			n := w.Free().Accelerators
			free += n
			if n == accelerators {
				hosts++
			}
		}
		whole += hosts / 2 * 2 * accelerators
	}
	if free == 0 {
		return 0
	}
	return float64(free-whole) / float64(free)
}

// BenchmarkPlacement compares direct search with buddy cells over the same
// random arrivals and ends, at three quarters of the pool in use.
func BenchmarkPlacement(b *testing.B) {
	shapes := []model.Shape{shape(1, 1, "host"), shape(1, 1, "host"), shape(1, 2, "host"), shape(1, 3, "host"),
		shape(1, 4, "host"), shape(1, 6, "host"), shape(1, 8, "host"), shape(2, 8, "rack")}
	for _, racks := range []int{4, 92} {
		for _, kind := range []string{"direct", "buddy"} {
			b.Run(fmt.Sprintf("%s/%d", kind, racks*3), func(b *testing.B) {
				p := newPool(racks, 3)
				var a allocator = &direct{p: p, gangs: map[int]*pool.Gang{}}
				if kind == "buddy" {
					a = &buddy{p: p, used: make([]uint8, len(p.Workers)), cells: map[int][]cell{}}
				}
				churn(b, a, shapes)
			})
		}
	}
}

func churn(b *testing.B, a allocator, shapes []model.Shape) {
	r := rand.New(rand.NewSource(1))
	type held struct{ id, size int }
	var running []held
	asked, refused, wasted, took := 0, 0, 0.0, time.Duration(0)
	goal := len(a.pool().Workers) * accelerators * 3 / 4
	for i := range b.N {
		for asked > goal {
			k := r.Intn(len(running))
			a.release(running[k].id)
			asked -= running[k].size
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		s := shapes[r.Intn(len(shapes))]
		start := time.Now()
		ok := a.place(i, s)
		took += time.Since(start)
		if !ok {
			refused++
		}
		// A refused gang counts as held, so that both kinds see the same ends.
		asked += s.Accelerators()
		running = append(running, held{i, s.Accelerators()})
		wasted += useless(a.pool())
	}
	b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "ns/place")
	b.ReportMetric(wasted/float64(b.N), "useless-share")
	b.ReportMetric(float64(refused)/float64(b.N), "refused-share")
}
