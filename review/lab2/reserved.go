package main

import (
	"slices"
	"strings"
	"time"
)

func init() { cases["reserved"] = reserved }

// reserved: a gang that needs all workers waits for a long run on one of them. Meanwhile the item of a service ends as
// failed, and the other workers are idle.
func reserved(record *Record, repo string, trouble bool) (bool, error) {
	const (
		// An item that lasts has to run again from 6 s after its last run on; 3 s without a run from then on break the rule.
		longest  = 9 * time.Second
		watchFor = 50 * time.Second
	)
	f, err := smallFleet(record, repo, 4)
	if err != nil {
		return false, err
	}
	long := job(`{"ms":80000}`, step{"count": 1, "cpu": 26000, "memMb": 140000, "gpus": 8, "estimatedMs": 80_000})
	if !f.submit("/middle/"+NewID(), keyB, long) {
		return false, errNotRun
	}
	id := NewID()
	if !f.submit("/middle/"+id, keyA, job(`{"lasts":true,"failMs":12000}`, step{"count": 1, "cpu": 2000, "memMb": 4000, "gpus": 1, "longRunning": true})) {
		return false, errNotRun
	}
	time.Sleep(4 * time.Second)
	if trouble {
		gang := job(`{"ms":11000,"gang":4}`, step{"count": 4, "cpu": 26000, "memMb": 140000, "gpus": 8, "estimatedMs": 11_000, "gang": true})
		if !f.submit("/middle/"+NewID(), keyB, gang) {
			return false, errNotRun
		}
	}
	time.Sleep(watchFor)
	var runs []*Run
	f.eachRun(func(r *Run) {
		if strings.HasPrefix(r.Task, id+".") {
			runs = append(runs, r)
		}
	})
	slices.SortFunc(runs, func(a, b *Run) int { return a.Arrived.Compare(b.Arrived) })
	worst := time.Duration(0)
	for i, r := range runs {
		next := time.Now()
		if i+1 < len(runs) {
			next = runs[i+1].Arrived
		}
		if !r.Ended.IsZero() {
			record.Printf("job %s: run %d ended as %s, and %.1f s without a run followed", id, r.Number, r.How, next.Sub(r.Ended).Seconds())
			worst = max(worst, next.Sub(r.Ended))
		}
	}
	record.Say("longest time of the service's item without a run: %.1f s (at most %v); the pool has 32 GPUs, of which 8 are in use then", worst.Seconds(), longest)
	return worst <= longest, nil
}
