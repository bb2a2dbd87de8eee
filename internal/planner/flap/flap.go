// Package flap finds workers that fail and return again and again. Gangs that
// are placed on such a worker after each return are lost with it each time, so
// that it is held out of use for a time that doubles with every loss.
//
// A first return takes effect at once: most lost workers were restarted or
// replaced once and stay. Counting failed gangs instead was considered, but a
// lost worker proves nothing about its gangs, and an idle worker flaps as well.
package flap

import "time"

const (
	// memory is the time after which a loss is forgotten.
	memory = 10 * time.Minute
	// firstHold is the hold after the second loss within memory; it is longer
	// than the 5 s after which silence counts as a loss.
	firstHold = 10 * time.Second
	// maxHold bounds the hold.
	maxHold = 5 * time.Minute
	// maxRecords bounds the workers that are remembered.
	maxRecords = 4096
)

type record struct {
	losses int
	last   time.Time
}

// Tracker remembers the losses of workers. The zero value is ready for use.
type Tracker struct {
	records map[string]record
}

// Lost notes that a worker was lost.
func (t *Tracker) Lost(now time.Time, id string) {
	if t.records == nil {
		t.records = make(map[string]record)
	}
	r := t.records[id]
	if now.Sub(r.last) > memory {
		r.losses = 0
	}
	t.records[id] = record{losses: r.losses + 1, last: now}
	if len(t.records) > maxRecords {
		t.forget(now)
	}
}

func (t *Tracker) forget(now time.Time) {
	for id, r := range t.records {
		if now.Sub(r.last) > memory {
			delete(t.records, id)
		}
	}
}

// Hold returns how long a worker that returns now stays out of use.
func (t *Tracker) Hold(now time.Time, id string) time.Duration {
	r := t.records[id]
	if r.losses < 2 || now.Sub(r.last) > memory {
		return 0
	}
	hold := firstHold
	for i := 2; i < r.losses && hold < maxHold; i++ {
		hold *= 2
	}
	return min(hold, maxHold)
}
