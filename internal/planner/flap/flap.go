// Package flap detects flapping workers: those that fail and return repeatedly. Gangs
// placed on such a worker after each return would be lost with it each time, so the
// worker is kept out of use after its return by a hold-down that doubles with every
// loss.
//
// The first return takes effect at once, since most lost workers were restarted or
// replaced once and then stay up. Losses of workers are counted rather than failed
// gangs, because the loss of a worker says nothing about its gangs and idle workers flap
// as well.
package flap

import "time"

const (
	// lossWindow is the time without a further loss after which losses are forgotten.
	lossWindow = 10 * time.Minute
	// firstHoldDown is the hold-down after the second loss within lossWindow. It is
	// longer than the 5 s of silence after which a worker counts as lost.
	firstHoldDown = 10 * time.Second
	// maxHoldDown is the longest hold-down.
	maxHoldDown = 5 * time.Minute
	// maxRecords is the number of recorded workers above which old records are removed.
	maxRecords = 4096
)

// lossRecord holds the recent losses of one worker.
type lossRecord struct {
	losses   int
	lastLoss time.Time
}

// Tracker records the losses of workers. The zero value is ready for use.
type Tracker struct {
	records map[string]lossRecord
}

// RecordLoss records that a worker was lost.
func (t *Tracker) RecordLoss(now time.Time, id string) {
	if t.records == nil {
		t.records = make(map[string]lossRecord)
	}
	r := t.records[id]
	if now.Sub(r.lastLoss) > lossWindow {
		r.losses = 0
	}
	t.records[id] = lossRecord{losses: r.losses + 1, lastLoss: now}
	if len(t.records) > maxRecords {
		t.forgetOld(now)
	}
}

// forgetOld removes the records of losses before lossWindow.
func (t *Tracker) forgetOld(now time.Time) {
	for id, r := range t.records {
		if now.Sub(r.lastLoss) > lossWindow {
			delete(t.records, id)
		}
	}
}

// HoldDown returns how long a worker that returns now is kept out of use.
func (t *Tracker) HoldDown(now time.Time, id string) time.Duration {
	r := t.records[id]
	if r.losses < 2 || now.Sub(r.lastLoss) > lossWindow {
		return 0
	}
	hold := firstHoldDown
	for i := 2; i < r.losses && hold < maxHoldDown; i++ {
		hold *= 2
	}
	return min(hold, maxHoldDown)
}
