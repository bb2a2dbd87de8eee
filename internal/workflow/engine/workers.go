package engine

import (
	"slices"
	"strings"
	"time"

	"snipegw/internal/workflow"
)

// worker is a worker host, known by its agent's node name.
type worker struct {
	node  string
	index int    // tells workers apart in slices
	key   string // of the incarnation; empty before the first report
	// instance and born name the incarnation to the agent.
	instance  string
	born      int64
	announced *workflow.Announcement
	clockMS   int64     // of the latest report
	seen      time.Time // when it arrived; zero before the first one of this term
	maxUntil  int64     // latest time on the worker's clock until which anything may run
	lastEnd   uint64    // highest end that was processed
	left      bool
	members   []*member // that may be running, in order of their starts
	health    health
}

// AddWorker makes a node known. Its worker takes part after its first report.
func (e *Engine) AddWorker(node string) {
	if e.workers[node] != nil {
		return
	}
	w := &worker{node: node, index: len(e.ordered)}
	e.workers[node] = w
	at, _ := slices.BinarySearchFunc(e.ordered, node, func(o *worker, n string) int { return strings.Compare(o.node, n) })
	e.ordered = slices.Insert(e.ordered, at, w)
}

// Report takes in what an agent says at now.
func (e *Engine) Report(node string, r *workflow.SyncReply, now time.Time) {
	e.AddWorker(node)
	w := e.workers[node]
	if r.Lists == nil {
		if r.Left {
			e.lose(w, now)
			w.left = true
		}
		return
	}
	if w.key != "" && r.Lists.Born < w.born {
		return // said by an earlier incarnation
	}
	if key := workflow.WorkerKey(node, r.Lists.Instance, r.Lists.Born); key != w.key {
		e.reborn(w, key, r.Lists, now)
	}
	if r.Lists.ClockMS < w.clockMS {
		return // overtaken by a newer report
	}
	w.clockMS, w.seen, w.left = r.Lists.ClockMS, now, false
	if r.Lists.Instance != "" {
		w.instance = r.Lists.Instance
	}
	if a := r.Announced; a != nil && workflow.WorkerKey(node, a.Instance, a.Born) == w.key {
		w.instance = a.Instance
		if w.announced == nil || a.Seq >= w.announced.Seq {
			w.announced = a
		}
	}
	e.takeLists(w, r.Lists, now)
}

// reborn starts a new incarnation; what ran in the former one is gone.
func (e *Engine) reborn(w *worker, key string, l *workflow.WorkerLists, now time.Time) {
	w.key, w.instance, w.born = key, l.Instance, l.Born
	w.announced, w.clockMS, w.maxUntil, w.lastEnd, w.left = nil, 0, 0, 0, false
	w.health = health{}
	for _, m := range slices.Clone(w.members) {
		if m.key != key {
			e.ended(m, workflow.EndLost, "", now)
		}
	}
}

// lose ends everything on a worker that is certainly gone.
func (e *Engine) lose(w *worker, now time.Time) {
	for _, m := range slices.Clone(w.members) {
		e.ended(m, workflow.EndLost, "", now)
	}
}

type runKey struct {
	ref workflow.Ref
	run int
}

// takeLists compares what the worker lists with what is believed to run there.
func (e *Engine) takeLists(w *worker, l *workflow.WorkerLists, now time.Time) {
	known := make(map[runKey]*member, len(w.members))
	for _, m := range w.members {
		known[runKey{m.unit.ref(m.index), m.run}] = m
	}
	listed := make(map[*member]bool, len(l.Running))
	for i := range l.Running {
		r := &l.Running[i]
		if m := known[runKey{r.Ref, r.Run}]; m != nil {
			listed[m] = true
			e.progress(m, r, now)
		}
	}
	for i := range l.Ended {
		end := &l.Ended[i]
		w.lastEnd = max(w.lastEnd, end.N)
		if m := known[runKey{end.Ref, end.Run}]; m != nil {
			listed[m] = true
			e.ended(m, end.How, end.Checkpoint, now)
		}
	}
	for _, m := range slices.Clone(w.members) {
		if !listed[m] && m.over(l.ClockMS) {
			how := workflow.EndNever
			if m.listed || m.confirmedMS > 0 {
				how = workflow.EndLost
			}
			e.ended(m, how, "", now)
		}
	}
}

// over reports whether a run that the worker does not list at clockMS cannot be
// there and cannot come.
func (m *member) over(clockMS int64) bool {
	switch {
	case m.inherited:
		// The report was made under the present epoch, so the worker
		// refuses any order of an earlier planner from now on.
		return true
	case !m.ordered:
		return false
	case m.confirmedMS > 0 && clockMS > m.confirmedMS, m.stoppedMS > 0 && clockMS > m.stoppedMS:
		return true
	default:
		return clockMS > m.untilMS
	}
}

func (e *Engine) progress(m *member, r *workflow.RunningItem, now time.Time) {
	if !m.listed {
		m.listed, m.since, m.percentAt, m.percent0, m.percent = true, now, now, r.Percent, r.Percent
	}
	if r.Percent != m.percent {
		m.percent, m.percentAt = r.Percent, now
	}
	if r.Checkpoint != "" {
		m.unit.checkpoint = r.Checkpoint
	}
}

// Expire ends the runs on workers whose lease has certainly expired.
func (e *Engine) Expire(now time.Time) {
	for _, w := range e.ordered {
		if len(w.members) > 0 && now.After(e.expiry(w)) {
			for _, m := range slices.Clone(w.members) {
				e.ended(m, workflow.EndLapsed, "", now)
			}
		}
	}
}

// expiry returns the time after which nothing runs on a worker that stays
// silent.
func (e *Engine) expiry(w *worker) time.Time {
	if w.seen.IsZero() {
		return e.began.Add(e.s.ZombieLimit + drifted(e.s.Lease) + expiryMargin)
	}
	remaining := time.Duration(max(w.maxUntil-w.clockMS, 0)) * time.Millisecond
	return w.seen.Add(drifted(remaining) + expiryMargin)
}

func drifted(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift)
}

// Sync returns what to tell the agent of node: the lease to grant and the ends
// up to acked, which the caller has stored.
func (e *Engine) Sync(node string, acked uint64) workflow.SyncRequest {
	w := e.workers[node]
	req := workflow.SyncRequest{Epoch: e.epoch}
	if w == nil || w.key == "" {
		return req
	}
	req.Instance, req.Born, req.AckedEnds = w.instance, w.born, acked
	req.LeaseUntilMS = w.clockMS + e.s.Lease.Milliseconds()
	w.maxUntil = max(w.maxUntil, req.LeaseUntilMS)
	return req
}

// LastEnd returns the incarnation of a node and the number of its latest end
// that was processed. The end may be acknowledged once the records are stored.
func (e *Engine) LastEnd(node string) (key string, n uint64) {
	w := e.workers[node]
	if w == nil {
		return "", 0
	}
	return w.key, w.lastEnd
}

// usable reports whether new items may start on w.
func (e *Engine) usable(w *worker, now time.Time) bool {
	return w.key != "" && !w.left && w.announced != nil && !w.announced.Draining &&
		now.Sub(w.seen) < silentAfter && !w.health.excluded(now)
}

// free returns the resources of w that no run holds.
func (w *worker) free() workflow.Resources {
	if w.announced == nil {
		return workflow.Resources{}
	}
	r := w.announced.Capacity
	for _, m := range w.members {
		r = r.Add(m.unit.spec().Needs(), -1)
	}
	return r
}
