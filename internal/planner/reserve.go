package planner

import (
	"time"

	"snipegw/internal/planner/pool"
	"snipegw/internal/planner/queue"
	"snipegw/internal/planner/score"
)

// reservation keeps later jobs off the workers on which a large job is expected
// to start, or marks them as the first to leave.
type reservation struct {
	made, start time.Time
	on          map[*pool.Worker]bool
}

// mayBackfill reports whether a job may start on reserved workers: if it is
// expected to end before the reservation starts, or if it is small, loses little
// when it is in the way, and has some time until then. Without the last
// condition a job was started and stopped a hundred times in a row.
func (p *Planner) mayBackfill(now time.Time, j *job, runs time.Duration, r *reservation) bool {
	if r == nil || !now.Add(runs).After(r.start) {
		return true
	}
	return size(j.Shape) < queue.LargeSize && j.CheckpointMS > 0 && j.stops < maxShareStops &&
		r.start.Sub(now) > minBackfill
}

// minBackfill is the shortest time for which a backfill beyond its end is worth
// a stop.
const minBackfill = 2 * time.Minute

// reservedCost makes every other place better than a reserved one.
const reservedCost = 200

// reserved returns the reservation on a worker, nil if there is none.
func (p *Planner) reserved(w *pool.Worker) *reservation {
	for _, r := range p.reservations {
		if r.on[w] {
			return r
		}
	}
	return nil
}

// holds reports whether the workers of a reservation are in use and not taken by
// another one.
func (p *Planner) holds(r *reservation) bool {
	for w := range r.on {
		if !w.Usable() || p.reserved(w) != nil {
			return false
		}
	}
	return true
}

// reservationAge is the time for which a reservation is kept; choosing one looks
// at every worker.
const reservationAge = 10 * time.Second

// reserve chooses the workers on which a large job is expected to start first.
func (p *Planner) reserve(now time.Time, j *job) {
	if r := j.reservation; r != nil && now.Sub(r.made) < reservationAge && p.holds(r) {
		p.reservations = append(p.reservations, r)
		return
	}
	ends := func(w *pool.Worker) time.Duration {
		var latest time.Duration
		for _, g := range w.Gangs {
			if v := p.jobs[g.ID]; !g.Fixed && !g.Backfilled && !g.Stopping && v != nil {
				latest = max(latest, p.item(now, v).Remaining)
			}
		}
		return latest
	}
	workers := p.finder.Find(p.pool, score.Request{
		Shape:   j.Shape,
		Room:    movable,
		Exclude: func(w *pool.Worker) bool { return p.closed(j, w) || w.Probing || p.reserved(w) != nil },
		Cost: func(w *pool.Worker, _ int) float64 {
			if j.reservation != nil && j.reservation.on[w] { // keep to the former choice
				return keepReserved * ends(w).Seconds()
			}
			return ends(w).Seconds()
		},
	})
	if workers == nil {
		return
	}
	r := &reservation{made: now, on: make(map[*pool.Worker]bool)}
	for _, w := range workers {
		r.on[w] = true
		if at := now.Add(ends(w)); at.After(r.start) {
			r.start = at
		}
	}
	j.reservation = r
	p.reservations = append(p.reservations, r)
}
