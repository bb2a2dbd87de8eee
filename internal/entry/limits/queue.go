package limits

// waiter is a request in the queue. It receives true with capacity and false
// if it was evicted.
type waiter struct {
	team    *Team
	granted chan bool
	start   float64
	finish  float64
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	waiters []*waiter
	weight  float64
	// lastFinish is the virtual finish time of the last waiter.
	lastFinish float64
}

// fairQueue is a start-time fair queue: every waiter costs 1/weight of virtual
// time, and the one that finishes first in virtual time is served first.
type fairQueue struct {
	teams       map[*Team]*teamQueue
	virtualTime float64
	size        int
}

func newFairQueue() fairQueue { return fairQueue{teams: make(map[*Team]*teamQueue)} }

func (q *fairQueue) push(t *Team, weight int) *waiter {
	tq := q.teams[t]
	if tq == nil {
		tq = &teamQueue{lastFinish: q.virtualTime}
		q.teams[t] = tq
	}
	tq.weight = float64(weight)
	start := max(q.virtualTime, tq.lastFinish)
	w := &waiter{team: t, granted: make(chan bool, 1), start: start, finish: start + 1/tq.weight}
	tq.lastFinish = w.finish
	tq.waiters = append(tq.waiters, w)
	q.size++
	return w
}

// pop removes the waiter with the lowest finish time; nil if there is none.
func (q *fairQueue) pop() *waiter {
	var best *waiter
	for _, tq := range q.teams {
		if len(tq.waiters) > 0 && (best == nil || tq.waiters[0].finish < best.finish) {
			best = tq.waiters[0]
		}
	}
	if best == nil {
		return nil
	}
	tq := q.teams[best.team]
	tq.waiters[0] = nil
	tq.waiters = tq.waiters[1:]
	q.virtualTime = max(q.virtualTime, best.start)
	q.size--
	q.dropIdleTeams()
	return best
}

// dropIdleTeams drops teams without waiters that are not ahead of virtual time. When
// nothing waits, virtual time starts again, so that it never loses precision.
func (q *fairQueue) dropIdleTeams() {
	if q.size == 0 {
		clear(q.teams)
		q.virtualTime = 0
		return
	}
	for t, tq := range q.teams {
		if len(tq.waiters) == 0 && tq.lastFinish <= q.virtualTime {
			delete(q.teams, t)
		}
	}
}

// evictWaiter removes the latest waiter of the team that has most waiters in
// proportion to its weight, so that one team cannot fill the queue.
func (q *fairQueue) evictWaiter() *waiter {
	var worst *teamQueue
	for _, tq := range q.teams {
		if len(tq.waiters) == 0 {
			continue
		}
		if worst == nil || float64(len(tq.waiters))/tq.weight > float64(len(worst.waiters))/worst.weight {
			worst = tq
		}
	}
	w := worst.waiters[len(worst.waiters)-1]
	q.remove(w)
	return w
}

// remove takes w out of the queue and reports whether it was in it.
func (q *fairQueue) remove(w *waiter) bool {
	tq := q.teams[w.team]
	if tq == nil {
		return false
	}
	for i, other := range tq.waiters {
		if other != w {
			continue
		}
		tq.waiters = append(tq.waiters[:i], tq.waiters[i+1:]...)
		for _, later := range tq.waiters[i:] {
			later.start -= 1 / tq.weight
			later.finish -= 1 / tq.weight
		}
		tq.lastFinish -= 1 / tq.weight
		q.size--
		return true
	}
	return false
}

func (q *fairQueue) waitingOf(t *Team) int {
	if tq := q.teams[t]; tq != nil {
		return len(tq.waiters)
	}
	return 0
}

// capacityShare returns the part of the capacity that falls to t among the teams that
// wait, from 0 to 1.
func (q *fairQueue) capacityShare(t *Team) float64 {
	own := float64(t.Weight())
	total := own
	for other, tq := range q.teams {
		if other != t && len(tq.waiters) > 0 {
			total += tq.weight
		}
	}
	return own / total
}
