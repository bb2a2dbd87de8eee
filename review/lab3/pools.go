package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["pools"] = pools }

// pools: the only workers of a service are away for some seconds, so that a job there misses its objective. When they are back
// and idle it must run, although another service is in full use.
func pools(rec *record, root string, trouble bool) (outcome, error) {
	sys, err := startSystem(rec, root, shape{
		entries: 3, workers: 11, cpu: 32000, gpus: 8, perRack: 3,
		queues: []queue{
			{Name: "plans", Hostname: callerHost, PathPrefix: "/plans/", Backend: service, Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000},
			{Name: "lists", Hostname: callerHost, PathPrefix: "/lists/", Backend: otherService, Priority: 1, MaxAttempts: 3, SlackFactor: 1.5, TargetMs: 250},
		},
		tenants: []tenant{{Name: "t1", APIKeys: []string{"key-1"}, Guaranteed: map[string]int64{"gpus": 16}}},
		others:  1,
	})
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return "", err
	}
	c := &caller{sys: sys, key: "key-1"}
	const desk, list = "00000000000000a7", "00000000000000b8"
	if !c.submit("/plans/", desk, spec(payload{Long: true}), jobStep{"count": 10, "cpu": 30000, "memMb": 8000, "gpus": 8, "longRunning": true}) ||
		!await(10*time.Second, func() bool { return sys.pool.runningOf(desk) == 10 }) {
		return "", errors.New("the lasting job was not accepted or has not started")
	}
	w := sys.pool.workers[0]
	if trouble {
		rec.printf("disruption: worker %s, the only one of its service, is down for 6 s", w.name)
		w.crash()
	}
	time.Sleep(500 * time.Millisecond)
	if !c.submit("/lists/", list, spec(payload{MS: 1000}), jobStep{"count": 1, "cpu": 2000, "memMb": 2000, "gpus": 1, "estimatedMs": 1000}) {
		return "", errors.New("the job was not accepted")
	}
	if trouble {
		time.Sleep(5500 * time.Millisecond)
		if err := w.start(); err != nil {
			return "", err
		}
	}
	if sys.restsAtTheEnd(list) && len(sys.pool.runsOf(taskName(list, 0, 0))) == 0 {
		return outcome(fmt.Sprintf("LOST: the job has not started although the worker of its service is idle; its state is %s", c.state("/lists/", list))), nil
	}
	return "", nil
}
