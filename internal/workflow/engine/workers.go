package engine

import (
	"slices"
	"strings"
	"time"

	"snipegw/internal/workflow"
)

// worker is a worker host, identified by its agent's node name.
type worker struct {
	node        string
	index       int    // position in freeResources.free, in the order of AddWorker
	incarnation string // key of the latest incarnation; empty before the first report
	// instance and startedMS identify the incarnation in requests to the agent.
	instance        string
	startedMS       int64
	generation      uint64                 // number of incarnations since the first of this term
	announcement    *workflow.Announcement // latest one, nil before the first
	agentDomain     string                 // failure domain of the agent
	coldUntil       time.Time              // the worker runs items slowly until then
	clockMS         int64                  // worker's clock in the latest report
	reportedAt      time.Time              // arrival of the latest report; zero before the first of this term
	maxLeaseUntilMS int64                  // latest lease expiry that was sent, on the worker's clock
	lastEndNumber   uint64                 // highest number of an end that was processed
	agentRepliedAt  time.Time              // arrival of the latest reply of the agent without a report
	silentSince     time.Time              // the worker's latest response to its agent, by that reply
	hasLeft         bool                   // the agent has reported that the worker left
	unconfirmed     bool                   // the agent has refused a start for the incarnation since the latest report
	unanswered      bool                   // a call to the agent has failed since its latest reply
	members         []*member              // that may be running, in order of their starts
	lapsed          []lapsedRun            // of the incarnation, since its latest report
	// inheritedRuns reports that the term began with runs of an earlier planner here, and
	// lostInheritedRuns that a crash has ended them.
	inheritedRuns, lostInheritedRuns bool
	// unreportedNoted and agentAnswerNoted tell what recordUnreported has noted.
	unreportedNoted, agentAnswerNoted bool
	unexpected                        map[runKey]bool // runs in the latest report that no member stands for
	health                            health
	slowness                          float64 // learned from run times, see relativeSlowness; 0 is 1
	endsTruncated                     bool    // the latest report may have left out ends
	// suspended reports that no planner extends the lease, see SuspendLease. It is set at
	// suspendedAt, by this planner or an earlier one.
	suspended   bool
	suspendedAt time.Time
	// unextendedSince is the time from which earlier planners have not extended the lease, zero if
	// they have made no such promise.
	unextendedSince time.Time
	stoppedAgent    stoppedAgent
}

// AddWorker adds the worker of a node, if it is new. Nothing starts on it before its
// first report.
func (e *Engine) AddWorker(node string) {
	if e.workers[node] != nil {
		return
	}
	w := &worker{node: node, index: len(e.sortedWorkers)}
	e.workers[node] = w
	at, _ := slices.BinarySearchFunc(e.sortedWorkers, node, func(o *worker, n string) int { return strings.Compare(o.node, n) })
	e.sortedWorkers = slices.Insert(e.sortedWorkers, at, w)
}

// HandleReport processes a report from the agent of node that arrived at now. It
// ignores reports of an earlier incarnation and reports that are out of order or repeated.
func (e *Engine) HandleReport(node string, reply *workflow.SyncReply, now time.Time) {
	e.AddWorker(node)
	w := e.workers[node]
	w.unanswered = false
	if reply.Report == nil {
		w.recordAgentReply(time.Duration(reply.SilentMS)*time.Millisecond, now)
		if reply.Left {
			e.resolveLapses(w, false, now)
			e.endAllRuns(w, now)
			w.hasLeft = true
		}
		return
	}
	if w.incarnation != "" && reply.Report.StartedMS < w.startedMS {
		return // sent by an earlier incarnation
	}
	if incarnation := workflow.WorkerKey(node, reply.Report.Instance, reply.Report.StartedMS); incarnation != w.incarnation {
		e.startIncarnation(w, incarnation, reply.Report, now)
	}
	if reply.Report.Instance != "" {
		w.instance = reply.Report.Instance
	}
	if a := reply.Announced; a != nil && workflow.WorkerKey(node, a.Instance, a.StartedMS) == w.incarnation {
		w.instance = a.Instance
		if w.announcement == nil || a.Seq > w.announcement.Seq {
			w.coldUntil = now.Add(time.Duration(a.ColdMS) * time.Millisecond)
		}
		if w.announcement == nil || a.Seq >= w.announcement.Seq {
			w.announcement = a
		}
	}
	if reply.Report.ClockMS <= w.clockMS {
		// Overtaken by a newer report, or repeated by the agent while the worker does not
		// answer. It does not show that the worker is alive.
		return
	}
	w.clockMS, w.reportedAt, w.hasLeft, w.unconfirmed = reply.Report.ClockMS, now, false, false
	e.resolveLapses(w, false, now)
	e.reconcileRuns(w, reply.Report, reply.Generation == w.generation, now)
}

// startIncarnation resets a worker to a new incarnation. A worker may restart under its id,
// and then an order for the former incarnation reaches the new one. So the runs of the former
// one are open until a report under the new generation, from which on the worker refuses
// such orders. They end as lost at once if the new incarnation has another id.
func (e *Engine) startIncarnation(w *worker, incarnation string, report *workflow.WorkerReport, now time.Time) {
	otherID := w.instance != "" && report.Instance != "" && w.instance != report.Instance
	crashed := !w.hasLeft && (w.announcement == nil || !w.announcement.Draining)
	inherited := w.incarnation == ""
	if !inherited {
		w.generation++
		if crashed && !w.hasRecentStart(w.reportedAt) {
			e.unexplainedCrashAt = now
		}
	}
	w.incarnation, w.instance, w.startedMS = incarnation, report.Instance, report.StartedMS
	w.announcement, w.coldUntil, w.clockMS, w.maxLeaseUntilMS, w.lastEndNumber, w.hasLeft = nil, time.Time{}, 0, 0, 0, false
	if inherited {
		// An earlier planner may have extended the lease, by that much at most.
		w.maxLeaseUntilMS = report.ClockMS + e.settings.LeaseDuration.Milliseconds()
	}
	w.health = health{}
	e.resolveLapses(w, crashed, now)
	for _, m := range slices.Clone(w.members) {
		crashed := crashed && !m.endPending // such a run had ended before the restart
		switch {
		case m.incarnation == incarnation:
		case !m.startSent && !m.inherited:
			e.endMember(m, workflow.EndNever, "", now)
		case otherID:
			e.loseMember(m, crashed, m.startedRecently(w.reportedAt), w.reportedAt, now)
		default:
			if m.moved && m.listed && crashed {
				e.recordCrash(m, m.startedRecently(w.reportedAt), w.reportedAt, now)
			}
			e.moveToIncarnation(m, crashed, report)
		}
	}
}

// loseMember ends the run of a member whose worker has restarted, by a crash or after it
// had drained, with its latest report before at reportedAt.
func (e *Engine) loseMember(m *member, crashed, startedRecently bool, reportedAt, now time.Time) {
	if m.inherited {
		m.worker.lostInheritedRuns = true
		e.updateMassRestart()
	}
	if crashed {
		e.recordCrash(m, startedRecently, reportedAt, now)
	}
	e.endMember(m, workflow.EndLost, "", now)
}

// moveToIncarnation assigns a member to the present incarnation of its worker, which may
// carry the order out. What is known of the start in terms of the former clock no longer holds.
func (e *Engine) moveToIncarnation(m *member, crashed bool, report *workflow.WorkerReport) {
	w := m.worker
	if !m.moved || m.listed {
		m.crashed, m.crashedAtStart, m.crashReportedAt = crashed, m.startedRecently(w.reportedAt), w.reportedAt
	}
	m.incarnation, m.moved, m.listed, m.endPending = w.incarnation, true, false, false
	m.startConfirmedMS, m.stopConfirmedMS, m.lastStopSent = 0, 0, time.Time{}
	// The order has extended the lease by an amount that is not known on the new clock.
	w.maxLeaseUntilMS = report.ClockMS + e.settings.LeaseDuration.Milliseconds()
	e.markDirty(m.unit.job)
}

// endAllRuns ends all members on a worker that has left as lost, also those with pending
// ends, which nobody will list or acknowledge any more.
func (e *Engine) endAllRuns(w *worker, now time.Time) {
	for _, m := range slices.Clone(w.members) {
		e.endMember(m, workflow.EndLost, "", now)
	}
}

// runKey identifies one run of an item.
type runKey struct {
	ref workflow.ItemRef
	run int
}

// reconcileRuns updates the members on w from the runs and ends that the worker
// reports, and ends the members that it neither reports nor can still run. If the report is
// fenced, it was made under the worker's generation. A truncated report ends only the members
// that it lists, because the ends of others may be on a later page.
func (e *Engine) reconcileRuns(w *worker, report *workflow.WorkerReport, fenced bool, now time.Time) {
	known := make(map[runKey]*member, len(w.members))
	for _, m := range w.members {
		known[runKey{m.unit.itemRef(m.index), m.run}] = m
	}
	listed := make(map[*member]bool, len(report.Running))
	var unexpected map[runKey]bool
	for i := range report.Running {
		r := &report.Running[i]
		if m := known[runKey{r.Ref, r.Run}]; m != nil {
			listed[m] = true
			e.updateProgress(m, r, now)
			continue
		}
		key := runKey{r.Ref, r.Run}
		if unexpected == nil {
			unexpected = make(map[runKey]bool)
		}
		unexpected[key] = true
		if !w.unexpected[key] {
			e.endEvents = append(e.endEvents, EndEvent{Unexpected: &UnexpectedRun{Item: r.Ref, Run: r.Run, Worker: w.incarnation}})
		}
	}
	w.unexpected = unexpected
	for i := range report.Ended {
		end := &report.Ended[i]
		w.lastEndNumber = max(w.lastEndNumber, end.Seq)
		if m := known[runKey{end.Ref, end.Run}]; m != nil {
			listed[m] = true
			e.markBegun(m.unit.job, now)
			e.endMember(m, end.End, end.Checkpoint, now)
		}
	}
	for _, m := range slices.Clone(w.members) {
		switch {
		case listed[m]:
			m.endPending = false
		case report.EndsTruncated:
			m.endPending = m.moved && fenced || !m.moved && m.cannotRun(report.ClockMS)
		case m.moved && fenced && !m.listed:
			e.loseMember(m, m.crashed, m.crashedAtStart, m.crashReportedAt, now)
		case m.moved && fenced, !m.moved && m.cannotRun(report.ClockMS):
			how := workflow.EndNever
			if m.listed || m.startConfirmedMS > 0 {
				how = workflow.EndLost
			} else if m.startSent && !m.unit.stopping {
				m.unit.recordSetback(m.incarnation)
			}
			e.endMember(m, how, "", now)
		}
	}
	e.noteTruncation(w, report)
}

// noteTruncation records when a worker begins to have more ends than a report holds.
func (e *Engine) noteTruncation(w *worker, report *workflow.WorkerReport) {
	if report.EndsTruncated && !w.endsTruncated {
		e.endEvents = append(e.endEvents, EndEvent{Truncated: &TruncatedEnds{Worker: w.incarnation, Listed: len(report.Ended), Pending: w.pendingEnds()}})
	}
	w.endsTruncated = report.EndsTruncated
}

// pendingEnds returns the number of members whose ends the latest report may have left out.
func (w *worker) pendingEnds() int {
	n := 0
	for _, m := range w.members {
		if m.endPending {
			n++
		}
	}
	return n
}

// cannotRun reports whether a run that is missing from the worker's report of
// clockMS neither runs there nor can start there later.
func (m *member) cannotRun(clockMS int64) bool {
	switch {
	case m.inherited:
		// The report was made under the current epoch. From then on the worker
		// refuses orders of earlier planners (fencing).
		return true
	case !m.startSent:
		return false
	case m.startConfirmedMS > 0 && clockMS > m.startConfirmedMS, m.stopConfirmedMS > 0 && clockMS > m.stopConfirmedMS:
		return true
	default:
		return clockMS > m.startDeadlineMS
	}
}

// updateProgress updates a member from the worker's report of its run.
func (e *Engine) updateProgress(m *member, r *workflow.RunningItem, now time.Time) {
	if !m.listed {
		e.markBegun(m.unit.job, now)
		m.listed, m.startedAt, m.percentChangedAt, m.firstPercent, m.percent = true, now, now, r.Percent, r.Percent
	}
	if m.hasOutlivedStart(now) {
		e.recordSurvival(m)
	}
	e.forgetCrashes(m, now)
	if r.Percent != m.percent {
		m.percent, m.percentChangedAt = r.Percent, now
	}
	if r.Checkpoint != "" {
		m.unit.checkpoint = r.Checkpoint
	}
	e.observeProgress(m, now)
}

// ExpireLeases ends the runs on workers whose lease has expired for certain.
func (e *Engine) ExpireLeases(now time.Time) {
	for _, w := range e.sortedWorkers {
		if len(w.lapsed) > 0 && now.Sub(w.lapsed[0].at) > lapseTimeout {
			e.resolveLapses(w, false, now)
		}
		e.recordUnreported(w, now)
		if len(w.members) == 0 {
			continue
		}
		if expiry, _ := e.leaseExpiry(w); now.After(expiry) {
			e.endEvents = append(e.endEvents, EndEvent{Silence: e.silence(w, now)})
			for _, m := range slices.Clone(w.members) {
				e.recordLapse(m, now)
				e.endMember(m, workflow.EndLapsed, "", now)
			}
		}
	}
}

// leaseExpiry returns the time after which nothing runs on a worker that sends no
// further report, and what it is computed from. Before the first report of this term the
// lease comes from an earlier planner, which may go on extending it for up to MaxStoreOutage
// unless all have ended, unless they have promised not to, or unless the agent's latest reply or
// its stored statement shows that the worker's lease was not extended for longer than a lease.
func (e *Engine) leaseExpiry(w *worker) (at time.Time, basis string) {
	if w.reportedAt.IsZero() {
		longest := withClockDrift(e.settings.LeaseDuration) + expiryMargin
		// An earlier reply proves nothing about the time after it: if the agent has restarted
		// since, it does not know this term's epoch and may have served an earlier planner.
		if at := w.silentSince.Add(longest); !w.agentRepliedAt.Before(at) {
			return at, basisAgent
		}
		if s := &w.stoppedAgent; !s.since.IsZero() && !s.confirmedAt.Before(s.since.Add(longest)) {
			return s.since.Add(longest), basisStopped
		}
		at, basis := e.termStart.Add(e.settings.MaxStoreOutage+longest), basisOutage
		if !e.earlierEndedAt.IsZero() {
			at, basis = e.earlierEndedAt.Add(longest), basisPlanner
		}
		if bySuspension := w.unextendedSince.Add(longest); !w.unextendedSince.IsZero() && bySuspension.Before(at) {
			at, basis = bySuspension, basisSuspension
		}
		return at, basis
	}
	remaining := time.Duration(max(w.maxLeaseUntilMS-w.clockMS, 0)) * time.Millisecond
	return w.reportedAt.Add(withClockDrift(remaining) + expiryMargin), basisReport
}

// withClockDrift returns the longest time on the planner's clock during which a
// worker's clock advances by d.
func withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxClockDrift)
}

// NextSyncRequest returns the next request to the agent of node. It extends the
// lease and acknowledges the ends up to the number acked, which the caller has
// stored.
func (e *Engine) NextSyncRequest(node string, acked uint64) workflow.SyncRequest {
	w := e.workers[node]
	req := workflow.SyncRequest{Epoch: e.epoch}
	if w == nil || w.incarnation == "" {
		return req
	}
	req.Generation = w.generation
	req.Instance, req.StartedMS, req.AckedEnds = w.instance, w.startedMS, acked
	if w.suspended {
		return req
	}
	req.LeaseUntilMS = w.clockMS + e.settings.LeaseDuration.Milliseconds()
	w.maxLeaseUntilMS = max(w.maxLeaseUntilMS, req.LeaseUntilMS)
	return req
}

// LastProcessedEnd returns the incarnation of the worker on a node and the highest
// number of its ends that was processed. The ends may be acknowledged once the
// changes are stored.
func (e *Engine) LastProcessedEnd(node string) (incarnation string, n uint64) {
	w := e.workers[node]
	if w == nil {
		return "", 0
	}
	return w.incarnation, w.lastEndNumber
}

// usable reports whether new items may start on w.
func (e *Engine) usable(w *worker, now time.Time) bool {
	return w.incarnation != "" && !w.hasLeft && !w.unconfirmed && !w.unanswered && !w.suspended && w.announcement != nil && !w.announcement.Draining &&
		now.Sub(w.reportedAt) < reportTimeout && !w.health.excluded(now) && !e.isEvacuated(w)
}

// free returns the capacity of w that no member holds. It may be negative if the
// capacity has shrunk.
func (w *worker) free() workflow.Resources {
	if w.announcement == nil {
		return workflow.Resources{}
	}
	r := w.announcement.Capacity
	for _, m := range w.members {
		r = r.Add(m.unit.spec().Needs(), -1)
	}
	return r
}
