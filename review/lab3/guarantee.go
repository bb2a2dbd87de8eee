package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["guarantee"] = guarantee }

// guarantee: a lasting job of another tenant uses the whole idle pool. It may lose one item at a time. A job of priority 0 within the
// guarantee of its tenant, which needs the room of one item, must begin in time.
func guarantee(rec *record, root string, trouble bool) (outcome, error) {
	sys, err := startSystem(rec, root, shape{
		entries: 3, workers: 11, cpu: 32000, gpus: 8, perRack: 3,
		queues: []queue{
			{Name: "desks", Hostname: callerHost, PathPrefix: "/desks/", Backend: service, Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMs: 3000},
			{Name: "checks", Hostname: callerHost, PathPrefix: "/checks/", Backend: service, Priority: 0, MaxAttempts: 3, SlackFactor: 1.5, TargetMs: 250},
		},
		tenants: []tenant{
			{Name: "t1", APIKeys: []string{"key-1"}, Guaranteed: map[string]int64{"gpus": 16}},
			{Name: "t2", APIKeys: []string{"key-2"}, Guaranteed: map[string]int64{"gpus": 16}},
		},
	})
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return "", err
	}
	first, second := &caller{sys: sys, key: "key-1"}, &caller{sys: sys, key: "key-2"}
	const desks, check = "00000000000000a9", "00000000000000ba"
	if trouble {
		rec.printf("disruption: a large job comes, of items that last and of which one may be away")
		if !second.submit("/desks/", desks, spec(payload{Long: true}), jobStep{"count": 11, "cpu": 16000, "memMb": 8000, "gpus": 8, "longRunning": true, "maxUnavailable": 1}) ||
			!await(10*time.Second, func() bool { return sys.pool.runningOf(desks) == 11 }) {
			return "", errors.New("the lasting job was not accepted or has not started")
		}
	}
	time.Sleep(8 * time.Second)
	if !first.submit("/checks/", check, spec(payload{MS: 2500, Gang: 2}), jobStep{"count": 2, "cpu": 3700, "memMb": 1000, "gpus": 4, "estimatedMs": 2500, "gang": true}) {
		return "", errors.New("the job was not accepted")
	}
	confirmed := time.Now()
	started := func() bool {
		return len(sys.pool.runsOf(taskName(check, 0, 0))) > 0 && len(sys.pool.runsOf(taskName(check, 0, 1))) > 0
	}
	await(20*time.Second, started)
	late := time.Duration(0)
	for i := range 2 {
		began := time.Now()
		if runs := sys.pool.runsOf(taskName(check, 0, i)); len(runs) > 0 {
			began = runs[0].arrived
		}
		late = max(late, began.Sub(confirmed))
	}
	if late > reclaimTime {
		return outcome(fmt.Sprintf("RECLAIM: a job within its tenant's guarantee has not begun %.1f s after its confirmation, its state is %s; the bound is 2.7 s", late.Seconds(), first.state("/checks/", check))), nil
	}
	return "", nil
}
