package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const queuedVictim = sides - 1

func init() {
	cases["queued"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{
		// One worker is of another kind than the others.
		labels: func(side int) string {
			kind := "a"
			if side == queuedVictim {
				kind = "b"
			}
			return fmt.Sprintf("%s,r1-%d", kind, side/3+1)
		},
		play: playQueued,
	}
}

const (
	queuedJobs = 4
	// busyFor is how long the worker is unhealthy.
	busyFor = 6500 * time.Millisecond
	// countedAfter is visible_ms + 2 s, from which on the count must show a job.
	countedAfter = 5 * time.Second
)

// playQueued hands in jobs that only one worker may run while that worker answers starts with 503, and
// asks each entry for the count of jobs that have not begun.
func playQueued(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{MS: 1500})
	busy := func(on bool) error {
		return c.post(c.at(sideIP(queuedVictim), portSwitches)+fmt.Sprintf("/rig/busy/%t", on), nil)
	}
	began := time.Now()
	if trouble {
		if err := busy(true); err != nil {
			return verdict{}, err
		}
		c.note("%s is unhealthy: it answers starts with 503", workerName(queuedVictim))
	}
	var accepted time.Time
	for i := range queuedJobs {
		status, text := c.request(i%edges, http.MethodPost, fmt.Sprintf("/lohu930/3c0e7a21d94b36f%d", i), map[string]any{
			"spec": string(spec), "steps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "gpus": 1, "estimatedMs": 1500, "requirements": "b"}},
		})
		if status != http.StatusOK {
			return verdict{}, fmt.Errorf("job %d was not accepted: %d %s", i, status, text)
		}
		accepted = time.Now()
	}
	worst, reason := false, ""
	for time.Sleep(time.Until(accepted.Add(countedAfter + 200*time.Millisecond))); time.Since(began) < busyFor-200*time.Millisecond; time.Sleep(200 * time.Millisecond) {
		for edge := range edges {
			before := queuedJobs - c.begun()
			_, text := c.request(edge, http.MethodGet, "/lohu930/", nil)
			waiting := queuedJobs - c.begun()
			var count struct {
				Queued int `json:"queuedCount"`
			}
			if json.Unmarshal([]byte(text), &count) != nil {
				return verdict{}, fmt.Errorf("no count: %s", text)
			}
			if waiting == before && 2*count.Queued < waiting && !worst {
				worst = true
				reason = fmt.Sprintf("edge-%d gives queuedCount %d, but %d jobs that were accepted %.1f s before have not begun", edge+1, count.Queued, waiting, time.Since(accepted).Seconds())
			}
		}
	}
	time.Sleep(time.Until(began.Add(busyFor)))
	if trouble {
		if err := busy(false); err != nil {
			return verdict{}, err
		}
		c.note("%s is healthy again", workerName(queuedVictim))
	}
	_ = c.await("the start of all jobs", 15*time.Second, func() bool { return c.begun() == queuedJobs })
	c.note("%d of %d jobs have begun in the end", c.begun(), queuedJobs)
	if worst {
		return verdict{broken: true, reason: "MIXED: " + reason}, nil
	}
	return verdict{reason: "no count was under half of the jobs that had not begun"}, nil
}

// begun returns the number of jobs of which a work item has begun.
func (c *cluster) begun() int {
	jobs := map[string]bool{}
	for _, e := range c.seenEvents() {
		if e.Event == "start" {
			jobs[e.Task[:16]] = true
		}
	}
	return len(jobs)
}
