package striped

import (
	"sync"
	"testing"
	"unsafe"
)

// Guards against cells that share a cache line, which would undo the striping.
func TestCellsFillCacheLines(t *testing.T) {
	if size := unsafe.Sizeof(cell{}); size != 64 {
		t.Fatalf("a cell has %d bytes", size)
	}
}

// Guards against additions that get lost between stripes and refreshes.
func TestCounterAddsUp(t *testing.T) {
	var c Counter
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				c.Add(Here(), 2)
				c.Add(Here(), -1)
			}
		})
	}
	for range 100 {
		c.Refresh()
	}
	wg.Wait()
	if got := c.Sum(); got != 8000 {
		t.Fatalf("sum %d", got)
	}
	c.Refresh()
	for i := range Index(Stripes) {
		if got := c.Estimate(i); got != 8000 {
			t.Fatalf("estimate of stripe %d is %d after a refresh", i, got)
		}
	}
	c.Add(3, 5)
	if c.Estimate(3) != 8005 || c.Estimate(4) != 8000 || c.Sum() != 8005 {
		t.Fatalf("estimates %d and %d", c.Estimate(3), c.Estimate(4))
	}
}
