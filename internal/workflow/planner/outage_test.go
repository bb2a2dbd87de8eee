package planner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/mirror"
)

// silentTable is a store that has stopped responding. A call fails after the time that the relay's attempts
// take together, three peers and the direct route.
type silentTable struct{ store.Table }

// Renew implements store.Table.
func (silentTable) Renew(ctx context.Context, _ uint64) error {
	select {
	case <-time.After(2700 * time.Millisecond):
	case <-ctx.Done():
	}
	return errors.New("no response")
}

// A planner is cut off from the store. A successor takes over DefaultLeaseDuration after the latest renewal at the earliest, and
// takes the leases for no longer extended MaxStoreOutage later. Guards against a planner that goes on beyond that: items
// on workers that only it reaches would run twice.
func TestTermEndsWithTheLongestOutage(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := silentTable{}
		h := New(Options{Entry: "e", Table: table, Records: mirror.New(table, workflow.Prefix), LeaseDuration: DefaultLeaseDuration})
		ctx, endTerm := context.WithCancelCause(t.Context())
		begin := time.Now()
		tm := newTerm(h, 1, 5, endTerm)
		go tm.renewLease(ctx)
		<-ctx.Done()
		g.Expect(time.Since(begin)).To(BeNumerically("<=", DefaultLeaseDuration+MaxStoreOutage))
	})
}
