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
	// pageCallTimeout bounds one call for a page.
	pageCallTimeout = 2 * time.Second
	// loadConcurrency bounds the pages that a new planner reads at once; the
	// store serves a few hundred writes a second.
	loadConcurrency = 16
)

// await calls done once the changes of p up to version are durable, with nil,
// or when they will not become durable in this term. Withdraw may be nil.
func (t *term) await(p *page, version uint64, done func(error), withdraw func()) {
	if version <= p.durable {
		done(nil)
		return
	}
	p.waiters = append(p.waiters, waiter{version: version, done: done, withdraw: withdraw})
}

// flush begins a write of every changed page that has none in flight. Changes
// that come while a write is in flight go into the next one.
func (t *term) flush() {
	for p := range t.dirty {
		if p.inflight != 0 {
			continue
		}
		delete(t.dirty, p)
		doc := p.snapshot(t.epoch)
		if t.trim(p) {
			doc = p.snapshot(t.epoch)
		}
		p.inflight = p.version
		metrics.Add("page_writes", 1)
		go t.writePage(p, doc, p.rev, p.revKnown)
	}
}

// trim drops ended jobs, the oldest first, until the page is below its limit.
func (t *term) trim(p *page) bool {
	trimmed := false
	for _, j := range p.ended() {
		if p.bytes <= MaxPageBytes {
			break
		}
		p.remove(j)
		delete(t.jobs, j.id())
		metrics.Add("dropped", 1)
		trimmed = true
	}
	return trimmed
}

// writePage writes doc until it is durable or the term ends. It runs on its own
// goroutine and touches no field of p but its constants.
func (t *term) writePage(p *page, doc *pageDoc, rev uint64, revKnown bool) {
	data := doc.encode()
	pause := minPause
	for t.ctx.Err() == nil {
		if !revKnown {
			state, e, err := t.readBack(p, doc.Seq)
			switch {
			case err != nil:
				t.post(func() { t.pageFailing(p, err) })
			case state == pageFenced:
				t.end("a successor has written a job page")
				return
			case state == pageWritten:
				t.post(func() { t.pageDurable(p, doc.Seq, e.Revision, true) })
				return
			case state == pageBefore:
				rev, revKnown = e.Revision, true
			}
		}
		if revKnown {
			ok, err := t.swap(p, rev, data)
			if err == nil && ok {
				t.post(func() { t.pageDurable(p, doc.Seq, 0, false) })
				t.learnRevision(p, doc.Seq)
				return
			}
			revKnown = false
			if err == nil {
				continue // the read tells who changed the page
			}
			metrics.Add("page_write_failed", 1)
			t.post(func() { t.pageFailing(p, err) })
		}
		if !sleep(t.ctx, pause) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

func (t *term) swap(p *page, rev uint64, data []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	return t.h.o.Store.CompareAndSwap(ctx, p.key, rev, data)
}

// pageState is what a read says of a write.
type pageState int

const (
	pageStale   pageState = iota // the store answered with an older state
	pageBefore                   // the state on which the write builds
	pageWritten                  // the write took effect
	pageFenced                   // a process with a higher epoch wrote the page
)

// readBack reads the page to learn what became of write seq of this term. The
// first write of a term follows the page of another epoch; fencePage handles
// that one.
func (t *term) readBack(p *page, seq uint64) (pageState, store.Entry, error) {
	ctx, cancel := context.WithTimeout(t.ctx, pageCallTimeout)
	defer cancel()
	e, err := t.h.o.Store.Get(ctx, p.key)
	if err != nil {
		return pageStale, e, err
	}
	d, err := decodeHeader(e.Value)
	switch {
	case err != nil:
		return pageStale, e, err
	case d.Epoch > t.epoch:
		return pageFenced, e, nil
	case d.Epoch == t.epoch && d.Seq == seq:
		return pageWritten, e, nil
	case d.Epoch == t.epoch && d.Seq == seq-1:
		return pageBefore, e, nil
	}
	return pageStale, e, nil
}

// decodeHeader reads epoch and sequence from the start of a page without
// decoding the jobs. An empty page has epoch 0.
func decodeHeader(data []byte) (pageDoc, error) {
	var d pageDoc
	if len(data) == 0 {
		return d, nil
	}
	head := data[:min(len(data), 64)]
	if _, err := fmt.Sscanf(string(head), `{"epoch":%d,"seq":%d,`, &d.Epoch, &d.Seq); err != nil {
		return d, fmt.Errorf("header of job page: %w", err)
	}
	return d, nil
}

// learnRevision reads the revision of the durable write seq, since the store
// does not return it with the write. Without it the next write reads first.
func (t *term) learnRevision(p *page, seq uint64) {
	state, e, err := t.readBack(p, seq)
	known := err == nil && state == pageWritten
	if state == pageFenced {
		t.end("a successor has written a job page")
	}
	t.post(func() { t.pageIdle(p, e.Revision, known) })
}

// pageDurable records that write seq is durable. Unless idle, the goroutine of
// the write is still learning the revision.
func (t *term) pageDurable(p *page, seq, rev uint64, idle bool) {
	p.failing = false
	p.seq = seq
	p.durable = p.inflight
	due := p.waiters[:0:0]
	rest := p.waiters[:0:0]
	for _, w := range p.waiters {
		if w.version <= p.durable {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	p.waiters = rest
	if idle {
		t.pageIdle(p, rev, true)
	}
	for _, w := range due {
		w.done(nil)
	}
}

// pageIdle allows the next write of p.
func (t *term) pageIdle(p *page, rev uint64, known bool) {
	p.inflight = 0
	p.rev, p.revKnown = rev, known
	if p.durable < p.version {
		t.dirty[p] = true
	}
}

// pageFailing notes that the store does not answer. Changes that are not part
// of the write in flight are certainly not in the store; those that can be
// withdrawn are refused.
func (t *term) pageFailing(p *page, err error) {
	if !p.failing {
		logEvent("page_write_failing", log.Fields{"page": p.key, "error": err.Error(), "code": int(result.StoreUnavailable)}).Warn("job page not written yet")
	}
	p.failing = true
	t.failUnsent(p, result.Errorf(result.StoreUnavailable, "the store does not answer; the job was not accepted"))
}

// failUnsent withdraws what has not been sent to the store and answers reason.
func (t *term) failUnsent(p *page, reason error) {
	kept := p.waiters[:0:0]
	var refused []waiter
	for _, w := range p.waiters {
		if w.version > p.inflight && w.withdraw != nil {
			refused = append(refused, w)
		} else {
			kept = append(kept, w)
		}
	}
	p.waiters = kept
	for _, w := range refused {
		w.withdraw()
		w.done(reason)
	}
}

// failWaiters answers all waiters at the end of the term. A change in flight may
// or may not have reached the store.
func (t *term) failWaiters(p *page) {
	t.failUnsent(p, errNotPlanner())
	waiters := p.waiters
	p.waiters = nil
	for _, w := range waiters {
		w.done(result.Errorf(result.OutcomeUnknown, "the planner's term ended before the change was confirmed"))
	}
}
