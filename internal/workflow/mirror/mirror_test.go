package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/store"
)

// panickingTable is a store whose first list and second watch panic. Each watch returns a change.
type panickingTable struct {
	store.Table
	lists, watches int
}

// List implements store.Table.
func (p *panickingTable) List(context.Context, string) ([]store.Record, uint64, error) {
	if p.lists++; p.lists == 1 {
		panic("odd list")
	}
	return []store.Record{{Key: "p/listed", Revision: 1}}, 1, nil
}

// Changes implements store.Table.
func (p *panickingTable) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if p.watches++; p.watches == 2 {
		panic("odd change")
	}
	kernel.Sleep(ctx, wait)
	return []store.Event{{Record: store.Record{Key: "p/changed", Revision: after + 1}}}, after + 1, nil
}

// Guards against a response of the store that ends every process which reads it, and against a copy
// that is not continued or lacks changes afterwards.
func TestCallsOfTheStoreThatPanicCountAsFailed(t *testing.T) {
	log.SetHandler(discard.New())
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := new(panickingTable)
		m := New(table, "p/")
		var revisions []uint64
		m.Listen(func(events []store.Event) {
			for _, e := range events {
				revisions = append(revisions, e.Revision)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { m.Run(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		wg.Wait()
		g.Expect(m.Synced()).To(BeTrue())
		g.Expect(table.lists).To(Equal(2))
		g.Expect(len(revisions)).To(BeNumerically(">", 5))
		for i, r := range revisions {
			g.Expect(r).To(BeEquivalentTo(i + 1))
		}
	})
}
