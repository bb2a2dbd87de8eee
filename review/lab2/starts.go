package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["starts"] = starts }

// starts: a job of many small items comes, whose spec has the largest size.
func starts(record *Record, repo string, trouble bool) (bool, error) {
	const (
		items    = 1200
		maxSpec  = 4000
		finish   = 14 * time.Second // finish_s
		idle     = 3 * time.Second
		watchFor = 45 * time.Second
	)
	f, err := smallFleet(record, repo, 4)
	if err != nil {
		return false, err
	}
	spec := `{"ms":2000}`
	if trouble {
		spec = fmt.Sprintf(`{"ms":2000,"text":"%s"}`, strings.Repeat("x", maxSpec-len(`{"ms":2000,"text":""}`)))
	}
	id := NewID()
	path := "/middle/" + id
	if !f.submit(path, keyA, job(spec, step{"count": items, "cpu": 50, "memMb": 100, "estimatedMs": 2000})) {
		return false, errNotRun
	}
	confirmed := time.Now()
	held := false // a run was seen, or the job had ended, between finish and finish + idle after the last request
	for time.Since(confirmed) < watchFor {
		time.Sleep(500 * time.Millisecond)
		_, state := f.State(0, path, keyA)
		since := time.Since(confirmed)
		if state == "complete" {
			record.Say("job %s of %d items with a spec of %d bytes is complete %.1f s after its confirmation", id, items, len(spec), since.Seconds())
			return held || since <= finish+idle, nil
		}
		held = held || since > finish && since < finish+idle && f.runsOf(id) > 0
	}
	runs := 0
	f.eachRun(func(r *Run) {
		if strings.HasPrefix(r.Task, id+".") {
			runs++
		}
	})
	_, state := f.State(0, path, keyA)
	record.Say("job %s of %d items with a spec of %d bytes has had %d runs in %v; it is shown as %s", id, items, len(spec), runs, watchFor, state)
	return held, nil
}
