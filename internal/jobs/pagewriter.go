package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

const (
	// pageCallTimeout bounds one call to the store for a page.
	pageCallTimeout = 2 * time.Second
	// loadConcurrency bounds the pages that a new planner loads at the same time,
	// because the store serves only a few hundred writes per second.
	loadConcurrency = 16
)

// whenDurable calls done with nil once the changes of p up to version are durable.
// It calls done with an error if the term ends first, or if the store fails
// before the change has been sent to it and withdraw is not nil; withdraw is then
// called first. At the end of the term, a change that has been sent may or may
// not be in the store.
func (t *term) whenDurable(p *page, version uint64, done func(error), withdraw func()) {
	if version <= p.durableVersion {
		done(nil)
		return
	}
	p.waiters = append(p.waiters, waiter{version: version, done: done, withdraw: withdraw})
}

// flush starts a write of every changed page that has no write in flight. Changes
// made during a write go into the next one.
func (t *term) flush() {
	for p := range t.dirty {
		if p.inFlightVersion != 0 {
			continue
		}
		delete(t.dirty, p)
		doc := p.snapshot(t.epoch) // also brings p.encodedBytes up to date
		if t.trimEnded(p) {
			doc = p.snapshot(t.epoch)
		}
		p.inFlightVersion = p.version
		metrics.Add("page_writes", 1)
		go t.writePage(p, doc, p.rev, p.revKnown)
	}
}

// trimEnded drops ended jobs, the oldest first, until the page is within
// MaxPageBytes. It reports whether it dropped any.
func (t *term) trimEnded(p *page) bool {
	trimmed := false
	for _, j := range p.endedJobs() {
		if p.encodedBytes <= MaxPageBytes {
			break
		}
		p.remove(j)
		delete(t.jobs, j.id())
		metrics.Add("dropped", 1)
		trimmed = true
	}
	return trimmed
}

// writePage repeats the write of doc until it is durable or the term ends. It runs
// on a goroutine of its own and accesses only the fields of p that never change.
func (t *term) writePage(p *page, doc *pageDoc, rev uint64, revKnown bool) {
	data := doc.encode()
	backoff := minStoreBackoff
	for t.ctx.Err() == nil {
		if !revKnown {
			outcome, e, err := t.readBack(p, doc.Seq)
			switch {
			case err != nil:
				t.post(func() { t.markPageFailing(p, err) })
			case outcome == readFenced:
				t.stepDown("a successor has written a job page")
				return
			case outcome == readWritten:
				t.post(func() { t.markPageDurable(p, doc.Seq, e.Revision, true) })
				return
			case outcome == readPredecessor:
				rev, revKnown = e.Revision, true
			}
		}
		if revKnown {
			ok, err := t.compareAndSwap(p, rev, data)
			if err == nil && ok {
				t.post(func() { t.markPageDurable(p, doc.Seq, 0, false) })
				t.fetchRevision(p, doc.Seq)
				return
			}
			revKnown = false
			if err == nil {
				continue // read the page to learn who changed it
			}
			metrics.Add("page_write_failed", 1)
			t.post(func() { t.markPageFailing(p, err) })
		}
		if !sleepWithJitter(t.ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

func (t *term) compareAndSwap(p *page, rev uint64, data []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	return t.host.opts.Store.CompareAndSwap(ctx, p.key, rev, data)
}

// readBackResult says what a read of a page reveals about a write.
type readBackResult int

const (
	readStale       readBackResult = iota // the store answered with an older state
	readPredecessor                       // the page is as it was before the write
	readWritten                           // the write took effect
	readFenced                            // a process with a higher epoch wrote the page
)

// readBack reads the page to learn the outcome of write seq of this term. It is
// not for the first write of a term, which replaces a page of another epoch;
// fencePage handles that one.
func (t *term) readBack(p *page, seq uint64) (readBackResult, store.Entry, error) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	e, err := t.host.opts.Store.Get(ctx, p.key)
	if err != nil {
		return readStale, e, err
	}
	d, err := decodeHeader(e.Value)
	switch {
	case err != nil:
		return readStale, e, err
	case d.Epoch > t.epoch:
		return readFenced, e, nil
	case d.Epoch == t.epoch && d.Seq == seq:
		return readWritten, e, nil
	case d.Epoch == t.epoch && d.Seq == seq-1:
		return readPredecessor, e, nil
	}
	return readStale, e, nil
}

// decodeHeader returns the epoch and the sequence number from the start of a page
// without decoding the jobs. An empty page has epoch 0.
func decodeHeader(data []byte) (pageDoc, error) {
	var d pageDoc
	if len(data) == 0 {
		return d, nil
	}
	head := data[:min(len(data), 64)] // the longest header has 57 bytes
	if _, err := fmt.Sscanf(string(head), `{"epoch":%d,"seq":%d,`, &d.Epoch, &d.Seq); err != nil {
		return d, fmt.Errorf("decode header of job page: %w", err)
	}
	return d, nil
}

// fetchRevision reads the revision of the durable write seq, since the store does
// not return it with the write. If that fails, the next write reads the page
// first.
func (t *term) fetchRevision(p *page, seq uint64) {
	outcome, e, err := t.readBack(p, seq)
	known := err == nil && outcome == readWritten
	if outcome == readFenced {
		t.stepDown("a successor has written a job page")
	}
	t.post(func() { t.markPageIdle(p, e.Revision, known) })
}

// markPageDurable records that write seq is durable. If idle is set, rev is its
// revision and the page is marked idle too; otherwise the goroutine of the write is
// still fetching the revision and marks the page idle afterwards.
func (t *term) markPageDurable(p *page, seq, rev uint64, idle bool) {
	p.failing = false
	p.seq = seq
	p.durableVersion = p.inFlightVersion
	ready := p.waiters[:0:0]
	remaining := p.waiters[:0:0]
	for _, w := range p.waiters {
		if w.version <= p.durableVersion {
			ready = append(ready, w)
		} else {
			remaining = append(remaining, w)
		}
	}
	p.waiters = remaining
	if idle {
		t.markPageIdle(p, rev, true)
	}
	for _, w := range ready {
		w.done(nil)
	}
}

// markPageIdle records that no write of p is in flight, so that the next one can
// start. Known is set if rev is the current revision of the page.
func (t *term) markPageIdle(p *page, rev uint64, known bool) {
	p.inFlightVersion = 0
	p.rev, p.revKnown = rev, known
	if p.durableVersion < p.version {
		t.dirty[p] = true
	}
}

// markPageFailing records that the write in flight has met an error of the store.
// Changes that are not part of that write are certainly not in the store; those of
// them that can be withdrawn are withdrawn and refused.
func (t *term) markPageFailing(p *page, err error) {
	if !p.failing {
		logEvent("page_write_failing", log.Fields{"page": p.key, "error": err.Error(), "code": int(result.StoreUnavailable)}).Warn("job page not written; the write is repeated")
	}
	p.failing = true
	t.failUnsent(p, result.Errorf(result.StoreUnavailable, "the store does not answer; the job was not accepted"))
}

// failUnsent withdraws the changes that have not been sent to the store and can be
// withdrawn, and calls their waiters with reason.
func (t *term) failUnsent(p *page, reason error) {
	kept := p.waiters[:0:0]
	var withdrawn []waiter
	for _, w := range p.waiters {
		if w.version > p.inFlightVersion && w.withdraw != nil {
			withdrawn = append(withdrawn, w)
		} else {
			kept = append(kept, w)
		}
	}
	p.waiters = kept
	for _, w := range withdrawn {
		w.withdraw()
		w.done(reason)
	}
}

// failWaiters calls all waiters with an error at the end of the term. A change in
// flight may or may not have reached the store.
func (t *term) failWaiters(p *page) {
	t.failUnsent(p, errNotPlanner())
	waiters := p.waiters
	p.waiters = nil
	for _, w := range waiters {
		w.done(result.Errorf(result.OutcomeUnknown, "the planner's term ended before the change was confirmed"))
	}
}
