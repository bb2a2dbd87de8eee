package planner

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workflow"
)

const (
	// recallTimeout limits one call to an entry that has been planner.
	recallTimeout = 600 * time.Millisecond
	// recallRetryDelay is the delay between two calls to an entry that does not answer.
	recallRetryDelay = 500 * time.Millisecond
	// recallPeriod exceeds MaxStoreOutage by more than a renewal of the planner's lease takes.
	recallPeriod = MaxStoreOutage + 5*time.Second
)

var errOtherAddress = errors.New("the record holds another address than its key")

// Register registers the handler of calls from other planners on mux.
func (h *Host) Register(mux *transport.Mux) {
	mux.Handle(wire.KindPlannerRecall, transport.Unary(h.recall))
}

// recall ends a term of this entry with an epoch below that of the request, and lets none begin
// any more. It fails with code Fenced if this entry knows a higher epoch.
func (h *Host) recall(_ context.Context, req *workflow.RecallRequest) (*workflow.RecallReply, error) {
	h.mu.Lock()
	known, t := h.recalledBelow, h.term
	h.recalledBelow = max(known, req.Epoch)
	h.mu.Unlock()
	if t != nil {
		known = max(known, t.epoch)
	}
	if req.Epoch < known {
		return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", req.Epoch, known)
	}
	if t != nil && t.epoch < req.Epoch {
		log.WithFields(log.Fields{"event": "planner_recalled", "epoch": t.epoch, "by_epoch": req.Epoch}).Info("a new planner has called: this term ends")
		// No request to an agent is sent after this. One in flight extends a lease by what the
		// worker's latest report allows, like any earlier one.
		t.endTerm(errReplaced)
	}
	return &workflow.RecallReply{}, nil
}

// recallHolders calls all entries that have been planner until each has confirmed that its terms
// have ended, and passes that on to the engine. It gives up after recallPeriod, when no earlier
// planner extends leases anyway, and removes their records then, too.
func (t *term) recallHolders(parent context.Context, holders []string) {
	ctx, cancel := context.WithTimeout(parent, recallPeriod)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range holders {
		if address == t.host.options.Address {
			continue // an earlier process at this address is gone
		}
		wg.Go(func() { t.guard("planner recall", func() { t.recallHolder(ctx, address) }) })
	}
	wg.Wait()
	if parent.Err() != nil {
		return
	}
	// Without any record before this term's own, earlier planners may be of a version that
	// recorded none.
	if ctx.Err() == nil && t.knewHolder {
		t.locked(func() { t.engine.EndEarlierPlanners(time.Now()) })
		log.WithFields(log.Fields{"event": "planners_recalled", "epoch": t.epoch, "entries": len(holders)}).Info("no earlier planner extends leases any more")
	}
	if !t.withdrawalsStored() {
		return // their records tell a successor not to trust the suspensions; a later term removes them
	}
	t.removeHolders(parent, holders)
}

// recallHolder calls one entry until it confirms or ctx ends.
func (t *term) recallHolder(ctx context.Context, address string) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, recallTimeout)
		err := t.host.options.Pool.Call(callCtx, address, wire.KindPlannerRecall, &workflow.RecallRequest{Epoch: t.epoch}, new(workflow.RecallReply))
		cancel()
		switch {
		case err == nil:
			return
		case result.CodeOf(err) == result.Fenced:
			t.endTerm(errReplaced)
			return
		}
		t.host.options.Pool.CloseConnections(address)
		kernel.Sleep(ctx, recallRetryDelay)
	}
}

// holderAddresses returns the addresses of the entries that have been planner. It skips records of
// other writers, whose key is not the address in the record.
func holderAddresses(records []store.Record) []string {
	var addresses []string
	for _, r := range records {
		address, ok := strings.CutPrefix(r.Key, workflow.HolderPrefix)
		if !ok {
			continue
		}
		p, err := workflow.Decode[workflow.PlannerRecord](r.Value)
		if err == nil && p.Address != address {
			err = errOtherAddress
		}
		if err == nil {
			err = workflow.ValidateAddress(address)
		}
		if err != nil {
			workflow.ReportUnreadable(r.Key, err)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// removeHolders deletes the records of the given holders but this entry's own. The caller must know that
// their terms have ended.
func (t *term) removeHolders(ctx context.Context, holders []string) {
	txn := store.Txn{Conditions: []store.Condition{{Key: workflow.PlannerKey, Revision: t.epoch}}}
	for _, address := range holders {
		if address != t.host.options.Address && txn.Entries() < store.MaxTxnEntries {
			txn.Deletes = append(txn.Deletes, workflow.HolderPrefix+address)
		}
	}
	if len(txn.Deletes) == 0 {
		return
	}
	if _, err := t.host.options.Table.Commit(ctx, txn); err != nil {
		log.WithFields(log.Fields{"event": "holders_not_removed", "epoch": t.epoch, "code": int(result.CodeOf(err))}).Warn("records of earlier planners could not be removed; a later term tries again")
	}
}
