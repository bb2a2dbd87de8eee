package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["lasting"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{play: playLasting}
}

const (
	lastingID = "7d21c4a09be35f10"
	// crashes is how often the worker crashes, crashDown how long it is away each time, and crashUp how
	// long the work item has run again before the next crash.
	crashes   = 5
	crashDown = 1500 * time.Millisecond
	crashUp   = 2500 * time.Millisecond
	// lastingQuiet is the time after the last crash until the job is judged.
	lastingQuiet = 14 * time.Second
)

// playLasting crashes one worker under a job that lasts, again and again. The job has one work item on
// each worker and is never cancelled.
func playLasting(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{})
	status, text := c.request(0, http.MethodPost, "/bopu901/"+lastingID, map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": sides, "cpu": 20000, "memMb": 4096, "estimatedMs": 60000, "longRunning": true, "antiAffinity": 1, "maxUnavailable": 1, "image": "web"}},
	})
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the job was not accepted: %d %s", status, text)
	}
	const victim = 4
	atWork := func(run int) func() bool {
		return func() bool { return c.startsOn(victim) >= run && c.lastingOn(victim) }
	}
	if err := c.await("all work items at work", 15*time.Second, func() bool { return c.lastingCount() == sides }); err != nil {
		return verdict{}, err
	}
	for i := range crashes {
		if !trouble {
			break
		}
		if err := c.await("the work item on "+workerName(victim), 15*time.Second, atWork(i+1)); err != nil {
			c.note("crash %d is left out: %v", i+1, err)
			break
		}
		time.Sleep(crashUp)
		c.signal(workerName(victim), syscall.SIGKILL)
		time.Sleep(crashDown)
		if err := c.startWorker(victim, fmt.Sprintf("a,r1-%d", victim/3+1)); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(lastingQuiet)
	shown := ""
	for edge := range edges {
		_, text := c.request(edge, http.MethodGet, "/bopu901/"+lastingID, nil)
		if strings.Contains(text, `"failed"`) || strings.Contains(text, `"canceled"`) {
			shown = text
		}
	}
	failed, stopped := 0, 0
	for _, e := range c.seenEvents() {
		if e.Event == "end" && e.How == "failed" {
			failed++
		}
		if e.Event == "end" && e.How == "stopped" {
			stopped++
		}
	}
	n := c.lastingCount()
	reason := fmt.Sprintf("%d of %d work items are at work %v after the last crash, %d runs ended failed, %d were stopped; the job is shown as %s", n, sides, lastingQuiet, failed, stopped, text)
	if shown != "" {
		return verdict{broken: true, reason: "LOST: the job is shown as " + shown + " without cause: " + reason}, nil
	}
	if n < sides {
		return verdict{broken: true, reason: "LOST: " + reason}, nil
	}
	return verdict{reason: reason}, nil
}

// lastingOn reports whether a run goes on on the present incarnation of a worker.
func (c *cluster) lastingOn(side int) bool {
	running := false
	for _, e := range c.seenEvents() {
		if e.worker != side {
			continue
		}
		switch e.Event {
		case "born":
			running = false
		case "start":
			running = true
		case "end":
			running = false
		}
	}
	return running
}

// startsOn returns the number of starts on a worker, over all of its incarnations.
func (c *cluster) startsOn(side int) int {
	n := 0
	for _, e := range c.seenEvents() {
		if e.worker == side && e.Event == "start" {
			n++
		}
	}
	return n
}

func (c *cluster) lastingCount() int {
	n := 0
	for i := range sides {
		if c.lastingOn(i) {
			n++
		}
	}
	return n
}
