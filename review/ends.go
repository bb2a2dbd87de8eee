package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["ends"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{play: playEnds}
}

const (
	endsJobs  = 3
	endsItems = 220 // the largest width of a step in the site files is 230
	// endsFirstMS and endsStepMS spread the ends of the work items over 4 s.
	endsFirstMS = 4000
	endsStepMS  = 18
	// outageAfter and outageFor place the outage of the store over these ends.
	outageAfter = 3500 * time.Millisecond
	outageFor   = 4500 * time.Millisecond
)

// playEnds lets more work items end on one worker than it lists at a time, while the store is down.
// It looks for a start of a work item after its end as done was listed and taken note of.
func playEnds(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{MS: endsFirstMS, StepMS: endsStepMS})
	var ids []string
	begin := time.Now()
	for i := range endsJobs {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		ids = append(ids, id)
		status, text := c.request(i%edges, http.MethodPost, "/bopu901/"+id, map[string]any{
			"spec": string(spec), "steps": []any{map[string]any{"count": endsItems, "cpu": 95, "memMb": 300, "estimatedMs": 6000}},
		})
		if status != http.StatusOK {
			return verdict{}, fmt.Errorf("job %s was not accepted: %d %s", id, status, text)
		}
	}
	if trouble {
		time.Sleep(time.Until(begin.Add(outageAfter)))
		if err := c.setFault(fault{Down: true}); err != nil {
			return verdict{}, err
		}
		c.note("the store is down")
		time.Sleep(outageFor)
		if err := c.setFault(fault{}); err != nil {
			return verdict{}, err
		}
		c.note("the store is back")
	}
	for _, id := range ids {
		if err := c.await("job "+id, 40*time.Second, func() bool {
			_, text := c.request(0, http.MethodGet, "/bopu901/"+id, nil)
			time.Sleep(time.Second)
			return text == `{"state":"complete"}`
		}); err != nil {
			c.note("%v", err)
		}
	}
	time.Sleep(3 * time.Second)
	return judgeTwice(c.seenEvents()), nil
}

// judgeTwice applies the rule TWICE: a start after a run has ended done, if that end is taken note of
// then or later, and the worker's lease did not lapse in between.
func judgeTwice(events []seen) verdict {
	type key struct {
		task string
		run  int
	}
	noted, starts := map[key]bool{}, 0
	done := map[string]seen{}
	perWorker := map[int]int{}
	for _, e := range events {
		if e.Event == "noted" && e.How == "" {
			noted[key{e.Task, e.Run}] = true
		}
		if e.Event == "start" {
			starts++
			perWorker[e.worker]++
		}
	}
	var first string
	twice := 0
	for _, e := range events {
		switch e.Event {
		case "end":
			if _, known := done[e.Task]; e.How == "done" && !known && noted[key{e.Task, e.Run}] {
				done[e.Task] = e
			}
		case "start":
			if d, known := done[e.Task]; known && e.AtMS > d.AtMS {
				twice++
				if first == "" {
					first = fmt.Sprintf("%s: run %d starts on %s %d ms after run %d had ended done on %s, and that end was taken note of", e.Task, e.Run, workerName(e.worker), e.AtMS-d.AtMS, d.Run, workerName(d.worker))
				}
			}
		}
	}
	most := 0
	for _, n := range perWorker {
		most = max(most, n)
	}
	text := fmt.Sprintf("%d starts, at most %d on one worker, %d of work items that were done", starts, most, twice)
	if twice > 0 {
		return verdict{broken: true, reason: "TWICE: " + text + "; first: " + first}
	}
	return verdict{reason: text}
}
