package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["crashes"] = crashes }

// crashes: the only worker with the label that a job requires crashes three times, each time soon after it has started
// the job's item. No run ends as failed, so the job must not be shown as failed.
func crashes(rec *record, root string, trouble bool) (outcome, error) {
	sys, err := startSystem(rec, root, shape{
		entries: 3, workers: 11, cpu: 32000, gpus: 8, perRack: 3,
		queues:  []queue{{Name: "plans", Hostname: callerHost, PathPrefix: "/plans/", Backend: service, Priority: 1, MaxAttempts: 4, SlackFactor: 3, TargetMs: 1000}},
		tenants: []tenant{{Name: "t1", APIKeys: []string{"key-1"}, Guaranteed: map[string]int64{"gpus": 16}}},
		label:   "b",
	})
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return "", err
	}
	c := &caller{sys: sys, key: "key-1"}
	const job = "00000000000000d4"
	if !c.submit("/plans/", job, spec(payload{MS: 12000}), jobStep{"count": 1, "cpu": 4000, "memMb": 4000, "gpus": 4, "estimatedMs": 12000, "requirements": "b"}) {
		return "", errors.New("the job was not accepted")
	}
	w, item := sys.pool.workers[0], taskName(job, 0, 0)
	if trouble {
		for i := range 3 {
			if !await(10*time.Second, func() bool { return len(sys.pool.runsOf(item)) > i }) {
				rec.printf("the item has not started for the %d. time", i+1)
				break
			}
			time.Sleep(500 * time.Millisecond)
			rec.printf("disruption: crash %d of worker %s", i+1, w.name)
			w.crash()
			time.Sleep(500 * time.Millisecond)
			if err := w.start(); err != nil {
				return "", err
			}
		}
	}
	state := ""
	await(40*time.Second, func() bool {
		state = c.state("/plans/", job)
		time.Sleep(500 * time.Millisecond)
		return state == "complete" || state == "failed"
	})
	failed := 0
	for _, r := range sys.pool.runsOf(item) {
		if r.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed < 4 {
		return outcome(fmt.Sprintf("LOST: the job is shown as failed after %d of 4 attempts have failed", failed)), nil
	}
	if state != "complete" {
		return "", fmt.Errorf("the job is %s in the end", state)
	}
	return "", nil
}
