package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["serving"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{play: playServing}
}

const (
	fillingID = "6e0e7a21d94b36f1"
	servingID = "6e0e7a21d94b36f2"
	// servingWait is the time after the loss of the worker until the job is judged: the lease of 6 s, the
	// 6 s after the last run, the 7 s that must be calm, and as much again.
	servingWait = 40 * time.Second
)

// playServing runs a job that fills, of a tenant without a guarantee, on all workers but one, and on that
// one an urgent job that serves users, within the guarantee of its tenant. Then that worker is lost.
func playServing(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{})
	status, text := c.requestAs(other, 0, http.MethodPost, "/bopu901/"+fillingID, map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": sides - 1, "cpu": 4000, "memMb": 4096, "estimatedMs": 60000, "longRunning": true, "fills": true, "antiAffinity": 1, "image": "crawl"}},
	})
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the filling job was not accepted: %d %s", status, text)
	}
	if err := c.await("the filling work items", 15*time.Second, func() bool { return c.lastingCount() == sides-1 }); err != nil {
		return verdict{}, err
	}
	status, text = c.request(0, http.MethodPost, "/lohu930/"+servingID, map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": 1, "cpu": 4000, "memMb": 4096, "gpus": 1, "estimatedMs": 60000, "longRunning": true, "targetMs": 200, "image": "shop"}},
	})
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the serving job was not accepted: %d %s", status, text)
	}
	if err := c.await("the serving work item", 15*time.Second, func() bool { return c.lastingCount() == sides }); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	victim := c.lastStart(servingID).worker
	lost := time.Now()
	if trouble {
		c.signal(workerName(victim), syscall.SIGKILL)
		c.note("%s, which ran the serving work item, has gone for good", workerName(victim))
	}
	time.Sleep(servingWait)
	last := c.lastStart(servingID)
	_, state := c.request(1, http.MethodGet, "/lohu930/"+servingID, nil)
	reason := fmt.Sprintf("run %d of the serving work item was the last one, on %s; its job is shown as %s", last.Run, workerName(last.worker), state)
	if trouble && last.AtMS < lost.UnixMilli() {
		return verdict{broken: true, reason: fmt.Sprintf("LOST: the serving work item has not started again in %v, with 11 sound workers that use 1/16 of their processors and no GPU: %s", servingWait, reason)}, nil
	}
	return verdict{reason: reason}, nil
}

// lastStart returns the latest start of a work item of a job.
func (c *cluster) lastStart(id string) seen {
	var last seen
	for _, e := range c.seenEvents() {
		if e.Event == "start" && e.Task[:16] == id {
			last = e
		}
	}
	return last
}
