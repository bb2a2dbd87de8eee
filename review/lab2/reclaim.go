package main

import (
	"strings"
	"time"
)

func init() { cases["reclaim"] = reclaim }

// reclaim: a tenant holds all accelerators with items that run until their jobs are cancelled, and of which half of each step
// may be interrupted at a time. Then another tenant claims half of its guarantee.
func reclaim(record *Record, repo string, trouble bool) (bool, error) {
	const (
		reclaimMs = 2900
		watchFor  = 30 * time.Second
	)
	f, err := smallFleet(record, repo, 4)
	if err != nil {
		return false, err
	}
	if trouble {
		for range 4 {
			service := job(`{"lasts":true}`, step{"count": 8, "cpu": 2000, "memMb": 4000, "gpus": 1, "longRunning": true, "maxUnavailable": 4})
			if !f.submit("/last/"+NewID(), keyB, service) {
				return false, errNotRun
			}
		}
	}
	time.Sleep(6 * time.Second)
	id := NewID()
	if !f.submit("/first/"+id, keyA, job(`{"ms":2500}`, step{"count": 2, "cpu": 7500, "memMb": 39000, "gpus": 4, "estimatedMs": 2500})) {
		return false, errNotRun
	}
	confirmed := time.Now()
	begun := map[string]time.Duration{}
	for len(begun) < 2 && time.Since(confirmed) < watchFor {
		time.Sleep(20 * time.Millisecond)
		f.eachRun(func(r *Run) {
			if _, known := begun[r.Task]; !known && strings.HasPrefix(r.Task, id+".") {
				begun[r.Task] = r.Arrived.Sub(confirmed)
			}
		})
	}
	if len(begun) < 2 {
		_, state := f.State(0, "/first/"+id, keyA)
		record.Say("%d of 2 work items of job %s have begun %v after its confirmation (reclaimMs is %d); it is shown as %s", len(begun), id, watchFor, reclaimMs, state)
		return false, nil
	}
	last := time.Duration(0)
	for _, d := range begun {
		last = max(last, d)
	}
	record.Say("all work items of job %s have begun %d ms after its confirmation (reclaimMs is %d)", id, last.Milliseconds(), reclaimMs)
	return last.Milliseconds() <= reclaimMs, nil
}
