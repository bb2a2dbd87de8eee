package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["attempts"] = attempts }

// attempts: a job has failed once and waits for room when a configuration lowers the attempts of its queue to one. It must be
// shown as failed, or run again.
func attempts(rec *record, root string, trouble bool) (outcome, error) {
	s := shape{
		entries: 3, workers: 11, cpu: 32000, gpus: 8, perRack: 3,
		queues: []queue{
			{Name: "plans", Hostname: callerHost, PathPrefix: "/plans/", Backend: service, Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000},
			{Name: "lists", Hostname: callerHost, PathPrefix: "/lists/", Backend: service, Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMs: 3000},
		},
		tenants: []tenant{{Name: "t1", APIKeys: []string{"key-1"}, Guaranteed: map[string]int64{"gpus": 16}}},
		label:   "b",
	}
	sys, err := startSystem(rec, root, s)
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return "", err
	}
	c := &caller{sys: sys, key: "key-1"}
	const list, plan = "00000000000000e5", "00000000000000f6"
	item := taskName(list, 0, 0)
	onFirst := func(ms int64) jobStep {
		return jobStep{"count": 1, "cpu": 20000, "memMb": 8000, "gpus": 8, "estimatedMs": ms, "requirements": "b"}
	}
	if !c.submit("/lists/", list, spec(payload{MS: 2000, Fail: true}), onFirst(2000)) || !await(5*time.Second, func() bool { return sys.pool.runningOf(list) == 1 }) {
		return "", errors.New("the first job was not accepted or has not started")
	}
	if !c.submit("/plans/", plan, spec(payload{MS: 8000}), onFirst(8000)) || !await(8*time.Second, func() bool { return sys.pool.runningOf(plan) == 1 }) {
		return "", errors.New("the second job was not accepted or has not started")
	}
	if n := len(sys.pool.runsOf(item)); n != 1 || sys.pool.runningOf(list) != 0 {
		return "", fmt.Errorf("the first job has started %d times", n)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.queues[1].MaxAttempts = 1
		sys.configure(2, s)
		rec.printf("disruption: a configuration sets maxAttempts of the queue lists to 1")
	}
	if !await(20*time.Second, func() bool { return sys.pool.runningOf(plan) == 0 }) {
		return "", errors.New("the second job has not ended")
	}
	// All workers are idle from now on.
	rests := sys.restsAtTheEnd(list)
	state := c.state("/lists/", list)
	if rests && state == "active" {
		runs := sys.pool.runsOf(item)
		return outcome(fmt.Sprintf("LOST: the job is shown as active, and has not run for %.0f s on idle workers", time.Since(runs[len(runs)-1].ended).Seconds())), nil
	}
	if state != "failed" {
		return "", fmt.Errorf("the job is %s in the end", state)
	}
	return "", nil
}
