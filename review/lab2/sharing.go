package main

import "time"

func init() { cases["sharing"] = sharing }

// sharing: a service that serves users has an item on each worker, and uses little of it. Then a job comes whose items use
// what others leave unused.
func sharing(record *Record, repo string, trouble bool) (bool, error) {
	const (
		finish   = 14 * time.Second // finish_s
		idle     = 3 * time.Second
		watchFor = 45 * time.Second
	)
	f, err := smallFleet(record, repo, 4)
	if err != nil {
		return false, err
	}
	if trouble {
		service := job(`{"lasts":true}`, step{"count": 4, "cpu": 2000, "memMb": 4000, "gpus": 1, "longRunning": true, "targetMs": 200, "antiAffinity": 1})
		if !f.submit("/middle/"+NewID(), keyB, service) {
			return false, errNotRun
		}
	}
	time.Sleep(3 * time.Second)
	id := NewID()
	path := "/middle/" + id
	if !f.submit(path, keyA, job(`{"ms":3000}`, step{"count": 2, "cpu": 2000, "memMb": 4000, "estimatedMs": 3000, "fills": true})) {
		return false, errNotRun
	}
	confirmed := time.Now()
	held := false // a run was seen, or the job had ended, between finish and finish + idle after the last request
	for time.Since(confirmed) < watchFor {
		time.Sleep(500 * time.Millisecond)
		_, state := f.State(0, path, keyA)
		since := time.Since(confirmed)
		if state == "complete" {
			record.Say("job %s is complete %.1f s after its confirmation", id, since.Seconds())
			return held || since <= finish+idle, nil
		}
		held = held || since > finish && since < finish+idle && f.runsOf(id) > 0
	}
	runs := 0
	f.eachRun(func(r *Run) {
		if r.Task[:len(id)] == id {
			runs++
		}
	})
	record.Say("job %s has had %d runs in %v, beside a service that uses 2 of 64 cores, 4 of 256 GB and 1 of 8 GPUs of each worker", id, runs, watchFor)
	return held, nil
}
