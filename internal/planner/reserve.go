package planner

import (
	"time"

	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/score"
)

// reservation holds the workers on which a large job is expected to start. Other
// jobs may start there only as backfill, and are the first to be stopped.
type reservation struct {
	createdAt, startsAt time.Time
	reserved            map[*pool.Worker]bool
}

// mayBackfill reports whether a job may start on reserved workers. It may if it is
// expected to end before the reservation starts, or if it is small, checkpoints,
// was not preempted too often, and can run for more than minBackfillTime until then.
// Without the last condition a job was started and stopped a hundred times in a row.
func (p *Planner) mayBackfill(now time.Time, j *job, runTime time.Duration, r *reservation) bool {
	if r == nil || !now.Add(runTime).After(r.startsAt) {
		return true
	}
	return weightedSize(j.Shape) < queue.LargeSize && j.CheckpointIntervalMS > 0 && j.preemptions < maxShareStops &&
		r.startsAt.Sub(now) > minBackfillTime
}

// minBackfillTime is the shortest time until a reservation starts in which it is
// worthwhile to run a backfill job that will be stopped then.
const minBackfillTime = 2 * time.Minute

// reservedCost is the cost per reserved worker of a backfill job that is not expected to
// end before the reservation starts. It makes every other place better.
const reservedCost = 200

// reservationOn returns the reservation that holds a worker, nil if there is none.
func (p *Planner) reservationOn(w *pool.Worker) *reservation {
	for _, r := range p.reservations {
		if r.reserved[w] {
			return r
		}
	}
	return nil
}

// isReservationValid reports whether the workers of a reservation are usable and not
// part of another reservation.
func (p *Planner) isReservationValid(r *reservation) bool {
	for w := range r.reserved {
		if !w.Usable() || p.reservationOn(w) != nil {
			return false
		}
	}
	return true
}

// maxReservationAge is the time after which the workers of a reservation are chosen
// again. They are not chosen in every pass since that considers every worker.
const maxReservationAge = 10 * time.Second

// reserve makes a reservation for a large job on the workers that are expected to be
// free earliest, or keeps its previous one.
func (p *Planner) reserve(now time.Time, j *job) {
	if r := j.reservation; r != nil && now.Sub(r.createdAt) < maxReservationAge && p.isReservationValid(r) {
		p.reservations = append(p.reservations, r)
		return
	}
	timeUntilFree := func(w *pool.Worker) time.Duration {
		var latest time.Duration
		for _, g := range w.Gangs {
			if v := p.jobs[g.ID]; !g.Pinned && !g.Backfilled && !g.Stopping && v != nil {
				latest = max(latest, p.queueItem(now, v).Remaining)
			}
		}
		return latest
	}
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    preemptibleRoom,
		Exclude: func(w *pool.Worker) bool { return p.isExcluded(j, w) || w.Probing || p.reservationOn(w) != nil },
		Cost: func(w *pool.Worker, _ int) float64 {
			if j.reservation != nil && j.reservation.reserved[w] { // prefer the previous choice
				return sameReservationFactor * timeUntilFree(w).Seconds()
			}
			return timeUntilFree(w).Seconds()
		},
	})
	if workers == nil {
		return
	}
	r := &reservation{createdAt: now, reserved: make(map[*pool.Worker]bool)}
	for _, w := range workers {
		r.reserved[w] = true
		if at := now.Add(timeUntilFree(w)); at.After(r.startsAt) {
			r.startsAt = at
		}
	}
	j.reservation = r
	p.reservations = append(p.reservations, r)
}
