package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["large-job"] = largeJob }

// largeJob: a job of many items that save their progress comes. Jobs that come later must run, and one that is cancelled must be gone
// in time. Without the disruption the same items come as several jobs.
func largeJob(rec *record, root string, trouble bool) (outcome, error) {
	sys, err := startSystem(rec, root, shape{
		entries: 3, workers: 11, cpu: 32000, gpus: 8, perRack: 3,
		queues: []queue{
			{Name: "lists", Hostname: callerHost, PathPrefix: "/lists/", Backend: service, Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMs: 3000},
			{Name: "checks", Hostname: callerHost, PathPrefix: "/checks/", Backend: service, Priority: 0, MaxAttempts: 3, SlackFactor: 1.5, TargetMs: 250},
		},
		tenants: []tenant{{Name: "t1", APIKeys: []string{"key-1"}, Guaranteed: map[string]int64{"gpus": 16}}},
	})
	if sys != nil {
		defer sys.stop()
	}
	if err != nil {
		return "", err
	}
	sys.pool.quiet = true
	c := &caller{sys: sys, key: "key-1"}
	const steps, count = 4, 4000
	step := jobStep{"count": count, "cpu": 250, "memMb": 64, "estimatedMs": 2500, "checkpoints": true}
	items := spec(payload{MS: 2500, Save: true})
	if trouble {
		rec.printf("disruption: a large job comes")
		if !c.submit("/lists/", "00000000000000c0", items, step, step, step, step) {
			return "", errors.New("the large job was not accepted")
		}
	} else {
		for i := range steps {
			if !c.submit("/lists/", fmt.Sprintf("00000000000000c%x", i), items, step) {
				return "", errors.New("a job was not accepted")
			}
		}
	}
	done := func() int {
		sys.pool.mu.Lock()
		defer sys.pool.mu.Unlock()
		n := 0
		for _, r := range sys.pool.runs {
			if r.how == "done" {
				n++
			}
		}
		return n
	}
	for last, since := 0, time.Now(); time.Since(since) < 6*time.Second && last < steps*count; time.Sleep(time.Second) {
		n := done()
		rec.printf("%d items are done, %d runs go on", n, sys.pool.count())
		if n != last {
			last, since = n, time.Now()
		}
	}
	const check = "00000000000000d0"
	if !c.submit("/checks/", check, spec(payload{MS: 1000, Gang: 2}), jobStep{"count": 2, "cpu": 4000, "memMb": 1000, "gpus": 4, "estimatedMs": 1000, "gang": true}) {
		return "", errors.New("the urgent job was not accepted")
	}
	if sys.restsAtTheEnd(check) && len(sys.pool.runsOf(taskName(check, 0, 0))) == 0 {
		return outcome(fmt.Sprintf("LOST: another job has not started %.0f s after its confirmation on idle workers, its state is %s", finishTime.Seconds()+stillTime.Seconds(), c.state("/checks/", check))), nil
	}
	return "", nil
}
