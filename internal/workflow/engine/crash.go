package engine

import (
	"slices"
	"time"

	"snipegw/internal/workflow"
)

const (
	// crashProbation is the time from the first report of a run, and startPercent its progress,
	// after which a crash of its worker is no longer attributed to its start.
	crashProbation = time.Second
	startPercent   = 10
	// lastingProbation is the time after which the crashes under an item that runs until it
	// is cancelled are forgotten.
	lastingProbation = 30 * time.Second
	// lastingCrashDelay is the time from the latest report of an item that runs until it is
	// cancelled to its restart, after the first crash of its worker. Each further crash doubles it,
	// up to maxLastingCrashDelay. The platform asks that such an item is at work again 6 s after
	// its last run; the rest of these 6 s is left for the order and the startup.
	lastingCrashDelay    = 500 * time.Millisecond
	maxLastingCrashDelay = 4 * time.Second
	// maxStartCrashes is the number of crashes at its start, with no run between them that
	// outlived it, after which an item is given up. The platform allows two; the third spares
	// items that were hit by two unrelated crashes. After the first, no other run starts beside
	// the item.
	maxStartCrashes = 3
	// maxUnexplainedStartCrashes replaces maxStartCrashes for unexplainedCrashPeriod after a
	// worker has crashed on which nothing had started recently.
	maxUnexplainedStartCrashes = 4
	unexplainedCrashPeriod     = 10 * time.Second
	// maxSuspectWait is how long a suspect unit waits, after its last run, for a worker without
	// a recent start. On a busy pool there may never be one. A unit that lasts waits no longer
	// than maxLastingCrashDelay after the latest report of its last run.
	maxSuspectWait = 2 * time.Second
	// maxCrashes is the number of crashes of any kind after which an item is given up. The
	// platform allows two starts after the third crash.
	maxCrashes = 5
)

// crashCount counts the crashes of workers under one item.
type crashCount struct {
	atStart int // soon after the item's start, since a run last outlived crashProbation
	total   int
	// lapsed counts the runs that ended with the lease of a silent worker, until it is known
	// whether the worker has crashed; lapsedAtStart those of them that had started recently.
	lapsed, lapsedAtStart int
}

// lapsedRun is a run that ended with the lease of its worker.
type lapsedRun struct {
	member     *member
	atStart    bool
	at         time.Time
	reportedAt time.Time // of the worker's latest report before
}

// lapseTimeout is the time after which a silent worker is taken for gone for good. Whether it
// has crashed remains unknown then.
const lapseTimeout = 30 * time.Second

// recordLapse notes that the run of m has ended with its worker's lease.
func (e *Engine) recordLapse(m *member, now time.Time) {
	if m.endPending {
		return // it had ended before the worker fell silent
	}
	u, w := m.unit, m.worker
	l := lapsedRun{member: m, atStart: m.startedRecently(w.reportedAt), at: now, reportedAt: w.reportedAt}
	w.lapsed = append(w.lapsed, l)
	u.changeCrashes(m.index, func(c *crashCount) {
		c.lapsed++
		if l.atStart {
			c.lapsedAtStart++
		}
	})
	// An item can crash its worker, but not the agent beside it.
	u.lostInherited, u.crashReportedAt = u.lostInherited || m.mayBeStarting(w.reportedAt) && !w.agentIsSilent(now), w.reportedAt
	e.markDirty(u.job)
}

// resolveLapses settles the lapsed runs of a worker. The argument crashed is false also if it
// did not become known in time whether the worker has crashed.
func (e *Engine) resolveLapses(w *worker, crashed bool, now time.Time) {
	for _, l := range w.lapsed {
		u := l.member.unit
		u.changeCrashes(l.member.index, func(c *crashCount) {
			c.lapsed = max(c.lapsed-1, 0)
			if l.atStart {
				c.lapsedAtStart = max(c.lapsedAtStart-1, 0)
			}
		})
		e.markDirty(u.job)
		if !crashed || u.done {
			continue
		}
		e.recordCrash(l.member, l.atStart, l.reportedAt, now)
		e.stopIfFailed(u.job)
		e.endJobIfFinished(u.job, now)
	}
	w.lapsed = nil
}

// changeCrashes applies a change to the counts of an item.
func (u *unit) changeCrashes(index int, change func(*crashCount)) {
	if u.crashes == nil {
		u.crashes = make(map[int]crashCount)
	}
	c := u.crashes[index]
	change(&c)
	u.crashes[index] = c
	u.job.hasCrashes = true
}

// awaitsLapses reports whether u must not start before it is known which of its lapsed runs
// were crashes, because all of them together reach maxCrashes.
func (u *unit) awaitsLapses() bool {
	if u.spec().LongRunning {
		return false // restarted however many there are
	}
	for _, c := range u.crashes {
		if c.lapsed > 0 && c.total+c.lapsed >= maxCrashes {
			return true
		}
	}
	return false
}

// startedRecently reports whether, at the given time, the run of m may still be starting.
// It is false for runs that another planner has started, whose start time is not known.
func (m *member) startedRecently(at time.Time) bool {
	return !m.inherited && !m.endPending && (!m.listed || !m.hasOutlivedStart(at))
}

// mayBeStarting reports whether the run of m, which an earlier planner has started, may still be
// starting at the given time, because it has not been listed for long enough in this term.
func (m *member) mayBeStarting(at time.Time) bool {
	return m.inherited && !(m.listed && m.hasOutlivedStart(at))
}

// hasOutlivedStart reports whether the run of m has lasted for crashProbation since its first
// report in this term or has made progress. Progress of an item that lasts says nothing, nor
// does that of a run that another planner has started.
func (m *member) hasOutlivedStart(at time.Time) bool {
	return at.Sub(m.startedAt) >= crashProbation || m.percent >= startPercent && !m.inherited && !m.unit.spec().LongRunning
}

// recordCrash counts a crash of the worker under m, of which the latest report came at
// reportedAt. If the item has crashed too many workers, it gives the job up, or delays the
// restart of an item that lasts.
func (e *Engine) recordCrash(m *member, startedRecently bool, reportedAt, now time.Time) {
	u := m.unit
	if u.done || u.job.state.Terminal() {
		return
	}
	u.changeCrashes(m.index, func(c *crashCount) {
		c.total++
		if startedRecently {
			c.atStart++
		}
	})
	c := u.crashes[m.index]
	u.lostInherited = u.lostInherited || m.mayBeStarting(reportedAt)
	e.markDirty(u.job)
	if u.spec().LongRunning {
		e.delayRestart(m, c.total, reportedAt)
		return
	}
	limit := maxStartCrashes
	if now.Sub(e.unexplainedCrashAt) < unexplainedCrashPeriod {
		limit = maxUnexplainedStartCrashes
	}
	u.job.givenUp = u.job.givenUp || c.atStart >= limit || c.total >= maxCrashes
}

// delayRestart delays the next run of an item that lasts after a number of crashes. The delay
// begins with the latest report of the worker that crashed, so that the time until the crash
// became known is part of it.
func (e *Engine) delayRestart(m *member, crashes int, reportedAt time.Time) {
	delay := maxLastingCrashDelay
	if doublings := crashes - 1; doublings < 8 { // more would overflow in the end
		delay = min(lastingCrashDelay<<doublings, maxLastingCrashDelay)
	}
	m.unit.crashReportedAt = reportedAt
	m.unit.delayUntil(reportedAt.Add(delay))
	e.endEvents = append(e.endEvents, EndEvent{Delay: &RestartDelay{Item: m.unit.itemRef(m.index), Run: m.run, Worker: m.incarnation, Crashes: crashes, Delay: delay}})
}

// delayUntil lets the next run of u start at t or later.
func (u *unit) delayUntil(t time.Time) {
	if t.After(u.notBefore) {
		u.notBefore = t
	}
}

// risksWorker reports whether u should run apart from other units where there is a choice,
// because it may crash its worker.
func (e *Engine) risksWorker(u *unit) bool {
	return e.isSuspect(u) || u.spec().LongRunning && u.crashTotal() >= 2
}

// crashTotal returns the largest number of crashes under an item of u.
func (u *unit) crashTotal() int {
	most := 0
	for _, c := range u.crashes {
		most = max(most, c.total)
	}
	return most
}

// forgetCrashes drops the counts of an item that lasts, once its run has lasted for
// lastingProbation: over its life it meets any number of unrelated crashes.
func (e *Engine) forgetCrashes(m *member, now time.Time) {
	if _, ok := m.unit.crashes[m.index]; ok && m.unit.spec().LongRunning && now.Sub(m.startedAt) >= lastingProbation {
		delete(m.unit.crashes, m.index)
		e.markDirty(m.unit.job)
	}
}

// recordSurvival clears the suspicion against an item whose run has outlived crashProbation
// or has ended by itself.
func (e *Engine) recordSurvival(m *member) {
	m.unit.lostInherited = false
	if c := m.unit.crashes[m.index]; c.atStart > 0 || c.lapsedAtStart > 0 {
		c.atStart, c.lapsedAtStart = 0, 0
		m.unit.crashes[m.index] = c
		e.markDirty(m.unit.job)
	}
}

// isSuspect reports whether an item of u may crash each worker that starts it. When a crash
// ends a run that another planner started, the age of the run is not known: then the unit
// is under suspicion, unless so many workers have restarted that it cannot be the reason.
func (e *Engine) isSuspect(u *unit) bool {
	if u.done {
		return false
	}
	if u.lostInherited && !e.massRestart {
		return true
	}
	for _, c := range u.crashes {
		if c.atStart > 0 || c.lapsedAtStart > 0 {
			return true
		}
	}
	return false
}

// limitSuspects returns which of the ready units of j may start. The items of a step are
// alike, so while one is under suspicion only that one starts, and the others of the step
// wait until its run has outlived crashProbation. Items that last do not wait for each other:
// one that is never given up would hold the sound ones for ever.
func (e *Engine) limitSuspects(j *job, ready []*unit) []*unit {
	if !j.hasCrashes {
		return ready
	}
	type suspects struct {
		running bool
		first   *unit // that is ready
	}
	byStep := make(map[int]*suspects)
	for _, u := range j.units {
		if u.spec().LongRunning || !e.isSuspect(u) {
			continue
		}
		step := byStep[u.step]
		if step == nil {
			step = &suspects{}
			byStep[u.step] = step
		}
		step.running = step.running || u.isActive()
		if step.first == nil && slices.Contains(ready, u) {
			step.first = u
		}
	}
	return slices.DeleteFunc(ready, func(u *unit) bool {
		step := byStep[u.step]
		return step != nil && (step.running || u != step.first)
	})
}

// hostsSuspect reports whether a suspect unit may be running on w. Nothing else starts there
// then: it would be lost with the worker, and come under suspicion itself.
func (e *Engine) hostsSuspect(w *worker) bool {
	for _, m := range w.members {
		if e.isSuspect(m.unit) {
			return true
		}
	}
	return false
}

// hasRecentStart reports whether a run on w may still be starting.
func (w *worker) hasRecentStart(now time.Time) bool {
	for _, m := range w.members {
		if m.startedRecently(now) {
			return true
		}
	}
	for _, l := range w.lapsed {
		if l.atStart {
			return true
		}
	}
	return false
}

// updateMassRestart notes whether half of the workers with runs of an earlier planner, and
// two at least, have restarted since its term.
func (e *Engine) updateMassRestart() {
	inherited, restarted := 0, 0
	for _, w := range e.sortedWorkers {
		if w.inheritedRuns {
			inherited++
		}
		if w.lostInheritedRuns {
			restarted++
		}
	}
	e.massRestart = restarted >= 2 && 2*restarted >= inherited
}

// crashRecords returns the counts of crashes for the progress record.
func (j *job) crashRecords() []workflow.ItemCrashes {
	if !j.hasCrashes {
		return nil
	}
	var out []workflow.ItemCrashes
	for _, u := range j.units {
		for index := u.first; index < u.first+u.count; index++ {
			if c, ok := u.crashes[index]; ok {
				out = append(out, workflow.ItemCrashes{Occurrence: u.occurrence, Step: u.step, Index: index, AtStart: c.atStart, Total: c.total, Lapsed: c.lapsed})
			}
		}
	}
	return out
}

// restoreCrashes restores the counts that an earlier planner stored.
func (j *job) restoreCrashes(records []workflow.ItemCrashes) {
	for _, r := range records {
		for _, u := range j.units {
			if u.occurrence == r.Occurrence && u.step == r.Step && u.first <= r.Index && r.Index < u.first+u.count {
				// Whether the earlier planner's lapsed runs were crashes is no longer found out.
				u.changeCrashes(r.Index, func(c *crashCount) { c.atStart, c.total = r.AtStart, r.Total+r.Lapsed })
			}
		}
	}
}
