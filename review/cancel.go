package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["cancel"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{play: playCancel}
}

const (
	cancelID = "9b0e7a21d94b36f1"
	// lateBy is how long after their arrival the writes without an answer are carried out.
	lateBy = 5900 * time.Millisecond
	// lossFor is how long answers get lost.
	lossFor = 1500 * time.Millisecond
	// otherJobs is the number of jobs of other requesters in that time, and maxLost the share of the
	// writes without an answer that the site file allows.
	otherJobs = 12
	maxLost   = 0.35
	// cancelBound is cancel_ms.
	cancelBound = 3 * time.Second
)

// playCancel hands a job in while the store answers the writes of jobs too late, and cancels it.
func playCancel(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{MS: 2000})
	if trouble {
		if err := c.setFault(fault{LatePrefix: "snipegw/jobs/" + cancelID, LateMs: lateBy.Milliseconds()}); err != nil {
			return verdict{}, err
		}
		c.note("the store carries writes of this job out %v late and gives no answer", lateBy)
		time.AfterFunc(lossFor, func() { _ = c.setFault(fault{}); c.note("the store answers all calls again") })
	}
	go func() {
		for i := range otherJobs {
			c.request(1+i%2, http.MethodPost, fmt.Sprintf("/bopu901/1b0e7a21d94b3%03x", i), map[string]any{
				"spec": string(spec), "steps": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 1024, "estimatedMs": 2000}},
			})
			time.Sleep(lossFor / (otherJobs + 1))
		}
	}()
	c.request(0, http.MethodPost, "/lohu930/"+cancelID, map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "gpus": 1, "estimatedMs": 2000}},
	})
	time.Sleep(300 * time.Millisecond)
	status, _ := c.request(1, http.MethodDelete, "/lohu930/"+cancelID, nil)
	cancelled := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		return verdict{}, fmt.Errorf("the cancel was not acknowledged: %d", status)
	}
	if trouble {
		lost, answered, err := c.writes()
		if err != nil {
			return verdict{}, err
		}
		share := float64(lost) / float64(max(lost+answered, 1))
		c.note("%d writes got no answer while answers were lost, %d got one: a share of %.2f", lost, answered, share)
		if share > maxLost {
			return verdict{}, fmt.Errorf("a share of %.2f of the writes got no answer", share)
		}
	}
	for time.Since(cancelled) < lateBy+6*time.Second {
		time.Sleep(time.Second)
		c.request(2, http.MethodGet, "/lohu930/"+cancelID, nil)
	}
	for _, e := range c.seenEvents() {
		if e.Task != cancelID+".0.0.0" {
			continue
		}
		if after := time.UnixMilli(e.AtMS).Sub(cancelled); e.Event == "start" && after > cancelBound {
			return verdict{broken: true, reason: fmt.Sprintf("UNASKED: %s starts on %s %.1f s after the cancel of its job was acknowledged with %d", e.Task, workerName(e.worker), after.Seconds(), status)}, nil
		}
	}
	return verdict{reason: "nothing started later than cancel_ms after the cancel"}, nil
}

// writes returns how many writes got no answer and how many got one, since the latest change of the
// store's fault switches that began a loss.
func (c *cluster) writes() (lost, answered int, err error) {
	resp, err := c.client.Get("http://" + c.at(storeIP, portFaults) + "/rig/state")
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	var state struct{ Lost, Answered int }
	err = json.NewDecoder(resp.Body).Decode(&state)
	return state.Lost, state.Answered, err
}
