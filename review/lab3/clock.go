package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["clock"] = clockStep }

// clockStep: the time of day of a worker's machine is 2 s ahead for some seconds. The worker starts anew while it is, and once more
// just after it is back. It must be used again.
func clockStep(rec *record, root string, trouble bool) (outcome, error) {
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
	w := sys.pool.workers[0]
	restart := func(ahead time.Duration) error {
		w.crash()
		time.Sleep(300 * time.Millisecond)
		w.ahead = ahead
		return w.start()
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = 2 * time.Second
		rec.printf("disruption: the time of day of worker %s is 2 s ahead from now on", w.name)
	}
	time.Sleep(3 * time.Second)
	if err := restart(ahead); err != nil {
		return "", err
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		rec.printf("the time of day of worker %s is right again", w.name)
	}
	if err := restart(0); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second)
	const job = "00000000000000d4"
	if !c.submit("/plans/", job, spec(payload{MS: 2000}), jobStep{"count": 1, "cpu": 4000, "memMb": 4000, "gpus": 4, "estimatedMs": 2000, "requirements": "b"}) {
		return "", errors.New("the job was not accepted")
	}
	if sys.restsAtTheEnd(job) && len(sys.pool.runsOf(taskName(job, 0, 0))) == 0 {
		return outcome(fmt.Sprintf("LOST: the job has not started although the worker with its label is up and idle; its state is %s", c.state("/plans/", job))), nil
	}
	return "", nil
}
