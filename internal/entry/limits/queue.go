package limits

// waiter is a request in the queue. The channel granted receives true when the
// request gets a permit and false when it is evicted.
type waiter struct {
	team    *Team
	granted chan bool
	start   float64 // virtual start time
	finish  float64 // virtual finish time
}

// teamQueue holds the waiters of one team in the order of their arrival.
type teamQueue struct {
	waiters []*waiter
	weight  float64
	// lastFinish is the virtual finish time of the team's last waiter.
	lastFinish float64
}

// fairQueue is a weighted fair queue. Each waiter costs 1/weight of virtual time,
// and the waiter with the lowest virtual finish time is served first. Virtual time
// advances to the virtual start time of each waiter that is served.
type fairQueue struct {
	teams       map[*Team]*teamQueue
	virtualTime float64
	size        int
}

func newFairQueue() fairQueue { return fairQueue{teams: make(map[*Team]*teamQueue)} }

// push appends a request of team t to the queue and returns its waiter.
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

// pop removes and returns the waiter with the lowest virtual finish time. It
// returns nil if the queue is empty.
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

// dropIdleTeams removes the teams that have no waiters and whose last finish time
// has passed in virtual time. When the queue is empty, virtual time restarts at 0,
// so that it never loses precision.
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

// evictWaiter removes and returns the newest waiter of the team with the most
// waiters in proportion to its weight, so that one team cannot fill the queue.
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

// remove removes w from the queue and reports whether it was queued.
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

// waitingOf returns the number of queued requests of team t.
func (q *fairQueue) waitingOf(t *Team) int {
	if tq := q.teams[t]; tq != nil {
		return len(tq.waiters)
	}
	return 0
}

// capacityShare returns the fraction of the capacity, from 0 to 1, that team t
// gets by weight among the teams with waiters.
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
