package main

import "time"

func init() { cases["crashes"] = crashes }

// crashes: one of nine workers goes down and up by turns for 6.5 s while it runs the only work item of a job that needs its
// label, and is sound afterwards.
func crashes(record *Record, repo string, trouble bool) (bool, error) {
	const (
		maxAttempts = 2
		workMS      = 11_000 // as lot-appraisal
		flapFor     = 6500 * time.Millisecond
		down, up    = 400 * time.Millisecond, 600 * time.Millisecond // together gap_s
	)
	f, err := smallFleet(record, repo, 9)
	if err != nil {
		return false, err
	}
	bad := f.Workers[8]
	id := NewID()
	path := "/middle/" + id
	if !f.submit(path, keyA, job(`{"ms":11000}`, step{"count": 1, "cpu": 26000, "memMb": 140000, "gpus": 1, "estimatedMs": workMS, "requirements": special})) {
		return false, errNotRun
	}
	time.Sleep(up)
	if trouble {
		for until := time.Now().Add(flapFor); time.Now().Before(until); {
			bad.Crash()
			time.Sleep(down)
			if err := bad.Start(); err != nil {
				return false, err
			}
			time.Sleep(up)
		}
		record.Printf("worker %s stays up from now on", bad.name)
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		_, state := f.State(0, path, keyA)
		if state != "complete" && state != "failed" {
			continue
		}
		ends := map[string]int{}
		for _, w := range f.Workers {
			w.Ends(id, ends)
		}
		record.Say("job %s is shown as %s; how its runs ended: %v; maxAttempts is %d", id, state, ends, maxAttempts)
		return state == "complete" || ends["failed"] >= maxAttempts, nil
	}
	record.Say("job %s has not ended", id)
	return true, nil
}
