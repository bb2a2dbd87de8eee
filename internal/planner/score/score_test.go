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

// Guards against small jobs that are placed on idle hosts while a partly used host has
// room for them.
func TestFindPrefersPartlyUsedHosts(t *testing.T) {
	g := NewWithT(t)
	p := newPool(2, 2)
	p.Allocate(&pool.Gang{ID: "a", TaskResources: model.Resources{Accelerators: 3}, Workers: []*pool.Worker{p.Workers[2]}})
	f := score.Finder{}
	found := f.Find(p, score.Request{Shape: shape(1, 4, model.AdjacentHost), Room: (*pool.Worker).Free})
	g.Expect(found).To(Equal([]*pool.Worker{p.Workers[2]}))
	g.Expect(f.Find(p, score.Request{Shape: shape(3, 8, model.AdjacentRack), Room: (*pool.Worker).Free})).To(BeNil())
}

// allocator places gangs in a pool by one method.
type allocator interface {
	place(id int, s model.Shape) bool
	release(id int)
	pool() *pool.Pool
}

// directSearch places gangs by the search of score.Finder.
type directSearch struct {
	p     *pool.Pool
	f     score.Finder
	gangs map[int]*pool.Gang
}

func (d *directSearch) pool() *pool.Pool { return d.p }

func (d *directSearch) place(id int, s model.Shape) bool {
	workers := d.f.Find(d.p, score.Request{Shape: s, Room: (*pool.Worker).Free})
	if workers == nil {
		return false
	}
	d.gangs[id] = &pool.Gang{TaskResources: s.PerTask(), Workers: workers}
	d.p.Allocate(d.gangs[id])
	return true
}

func (d *directSearch) release(id int) {
	if d.gangs[id] != nil {
		d.p.Release(d.gangs[id])
		delete(d.gangs, id)
	}
}

// buddyCells is a buddy allocator. It divides each host into cells of 8, 4, 2 and 1
// accelerators. A task takes the smallest cell of at least its size, at a multiple of
// that size. The cells of a host are bits of a byte. It is the alternative to the
// direct search, kept here so that the comparison can be repeated.
type buddyCells struct {
	p     *pool.Pool
	used  []uint8
	cells map[int][]cell
}

type cell struct {
	host int
	mask uint8
}

func (b *buddyCells) pool() *pool.Pool { return b.p }

func nextPowerOfTwo(n int) int { return 1 << bits.Len(uint(n-1)) }

// findCell returns a free cell of the given size in a host, preferably one whose
// neighbour is in use, and 0 if there is none.
func findCell(used uint8, size int) uint8 {
	base := uint8(1<<size - 1)
	var found uint8
	for at := 0; at < accelerators; at += size {
		mask := base << at
		if used&mask != 0 {
			continue
		}
		pair := base << (at ^ size%accelerators)
		if used&pair != 0 {
			return mask // the neighbour is in use, so that no larger cell is split
		}
		found = mask
	}
	return found
}

func (b *buddyCells) place(id int, s model.Shape) bool {
	size := nextPowerOfTwo(s.AcceleratorsPerTask)
	var best []cell
	for _, r := range b.p.Racks {
		var got []cell
		for _, whole := range []bool{false, true} { // hosts in use come first
			for i := r.From; i < r.To && len(got) < s.Tasks; i++ {
				if (b.used[i] == 0) != whole {
					continue
				}
				if mask := findCell(b.used[i], size); mask != 0 {
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

func (b *buddyCells) release(id int) {
	for _, c := range b.cells[id] {
		b.used[c.host] &^= c.mask
		b.p.Workers[c.host].Used.Accelerators = bits.OnesCount8(b.used[c.host])
	}
	delete(b.cells, id)
}

// unusableShare returns the share of the free accelerators that gangs of 2 tasks x 8
// accelerators in one rack cannot use.
func unusableShare(p *pool.Pool) float64 {
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

// BenchmarkPlacement compares the direct search with a buddy allocator over the same
// random arrivals and ends, with three quarters of the pool in use.
func BenchmarkPlacement(b *testing.B) {
	shapes := []model.Shape{shape(1, 1, "host"), shape(1, 1, "host"), shape(1, 2, "host"), shape(1, 3, "host"),
		shape(1, 4, "host"), shape(1, 6, "host"), shape(1, 8, "host"), shape(2, 8, "rack")}
	for _, racks := range []int{4, 92} {
		for _, kind := range []string{"direct", "buddy"} {
			b.Run(fmt.Sprintf("%s/%d", kind, racks*3), func(b *testing.B) {
				p := newPool(racks, 3)
				var a allocator = &directSearch{p: p, gangs: map[int]*pool.Gang{}}
				if kind == "buddy" {
					a = &buddyCells{p: p, used: make([]uint8, len(p.Workers)), cells: map[int][]cell{}}
				}
				churn(b, a, shapes)
			})
		}
	}
}

// churn places and releases random gangs and reports the metrics of an allocator.
func churn(b *testing.B, a allocator, shapes []model.Shape) {
	r := rand.New(rand.NewSource(1))
	type held struct{ id, size int }
	var running []held
	requested, refused, wasted, elapsed := 0, 0, 0.0, time.Duration(0)
	goal := len(a.pool().Workers) * accelerators * 3 / 4
	for i := range b.N {
		for requested > goal {
			k := r.Intn(len(running))
			a.release(running[k].id)
			requested -= running[k].size
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		s := shapes[r.Intn(len(shapes))]
		start := time.Now()
		ok := a.place(i, s)
		elapsed += time.Since(start)
		if !ok {
			refused++
		}
		// A refused gang counts as running, so that both allocators see the same ends.
		requested += s.Accelerators()
		running = append(running, held{i, s.Accelerators()})
		wasted += unusableShare(a.pool())
	}
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N), "ns/place")
	b.ReportMetric(wasted/float64(b.N), "useless-share")
	b.ReportMetric(float64(refused)/float64(b.N), "refused-share")
}
