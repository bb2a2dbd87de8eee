package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["restarts"] = restarts }

// restarts: two services run on the only worker that has their label, and their processes end as failed now and then.
func restarts(record *Record, repo string, trouble bool) (bool, error) {
	const (
		// An item that lasts has to run again from 6 s after its last run on; 3 s without a run from then on break the rule.
		longest  = 9 * time.Second
		watchFor = 70 * time.Second
	)
	f, err := smallFleet(record, repo, 4)
	if err != nil {
		return false, err
	}
	var ids []string
	for _, failMS := range []int{6000, 10_000} {
		spec := `{"lasts":true}`
		if trouble {
			spec = fmt.Sprintf(`{"lasts":true,"failMs":%d}`, failMS)
		}
		id := NewID()
		if !f.submit("/middle/"+id, keyA, job(spec, step{"count": 1, "cpu": 2000, "memMb": 4000, "gpus": 1, "longRunning": true, "requirements": special})) {
			return false, errNotRun
		}
		ids = append(ids, id)
	}
	time.Sleep(watchFor)
	worst := time.Duration(0)
	for _, id := range ids {
		var runs []*Run
		f.eachRun(func(r *Run) {
			if strings.HasPrefix(r.Task, id+".") {
				runs = append(runs, r)
			}
		})
		slices.SortFunc(runs, func(a, b *Run) int { return a.Arrived.Compare(b.Arrived) })
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
	}
	record.Say("longest time of a work item without a run after its first: %.1f s (at most %v)", worst.Seconds(), longest)
	return worst <= longest, nil
}
