package striped

import (
	"sync"
	"testing"
	"unsafe"
)

// Guards against stripes that share a cache line, so that threads slow each other down.
func TestStripeFillsCacheLine(t *testing.T) {
	if size := unsafe.Sizeof(stripe{}); size != 64 {
		t.Fatalf("a stripe has %d bytes, want the 64 bytes of a cache line", size)
	}
}

// Guards against additions that are lost when stripes change during a Refresh.
func TestCounterAddsUp(t *testing.T) {
	var c Counter
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				c.Add(CurrentStripe(), 2)
				c.Add(CurrentStripe(), -1)
			}
		})
	}
	for range 100 {
		c.Refresh()
	}
	wg.Wait()
	if got := c.Sum(); got != 8000 {
		t.Fatalf("the sum is %d, want 8000", got)
	}
	c.Refresh()
	for i := range Index(Stripes) {
		if got := c.Estimate(i); got != 8000 {
			t.Fatalf("the estimate on stripe %d is %d after a refresh, want 8000", i, got)
		}
	}
	c.Add(3, 5)
	if c.Estimate(3) != 8005 || c.Estimate(4) != 8000 || c.Sum() != 8005 {
		t.Fatalf("the estimates on stripes 3 and 4 are %d and %d, want 8005 and 8000", c.Estimate(3), c.Estimate(4))
	}
}
