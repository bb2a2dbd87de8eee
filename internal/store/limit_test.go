package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/store/storetest"
)

// Guards against a burst of calls after an outage, and against a lease that
// expires because its renewal waits behind other calls.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		s := store.Limit(storetest.New(0), 10, 5)
		began := time.Now()
		for range 25 {
			_, err := s.Get(ctx, "k")
			g.Expect(err).NotTo(HaveOccurred())
		}
		took := time.Since(began)
		g.Expect(took).To(BeNumerically(">=", 2*time.Second))
		g.Expect(took).To(BeNumerically("<", 2500*time.Millisecond))
		began = time.Now()
		_, err := s.Get(store.WithPriority(ctx), "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeZero())
		ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = s.Get(ctx, "k")
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
	})
}
