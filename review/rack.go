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
	cases["rack"] = struct {
		labels func(side int) string
		play   func(c *cluster, trouble bool) (verdict, error)
	}{play: playRack}
}

const (
	rackGang = "4d0e7a21d94b36f1"
	// rackWait is the time after the gang was handed in until it is judged, over which it must have run
	// for a moment: a gang whose items take 2 s, and three times as long on more than one rack.
	rackWait = 40 * time.Second
)

// playRack hands in a gang that is slower on more than one rack when no rack has the room for it: each
// of three racks holds a work item that lasts, and the fourth has lost a worker for good.
func playRack(c *cluster, trouble bool) (verdict, error) {
	spec, _ := json.Marshal(payload{})
	for rack := 2; rack <= 4; rack++ {
		status, text := c.request(rack%edges, http.MethodPost, fmt.Sprintf("/bopu901/2a0e7a21d94b36f%d", rack), map[string]any{
			"spec": string(spec), "steps": []any{map[string]any{"count": 1, "cpu": 20000, "memMb": 65536, "gpus": 8, "estimatedMs": 60000, "longRunning": true, "requirements": fmt.Sprintf("r1-%d", rack)}},
		})
		if status != http.StatusOK {
			return verdict{}, fmt.Errorf("job %d was not accepted: %d %s", rack, status, text)
		}
	}
	if err := c.await("the work items that last", 15*time.Second, func() bool { return c.lastingCount() == 3 }); err != nil {
		return verdict{}, err
	}
	if trouble {
		c.signal(workerName(0), syscall.SIGKILL)
		c.note("%s, of rack r1-1, has gone for good", workerName(0))
		time.Sleep(10 * time.Second) // its lease has lapsed
	}
	spec, _ = json.Marshal(payload{MS: 2000})
	status, text := c.request(0, http.MethodPost, "/bopu901/"+rackGang, map[string]any{
		"spec": string(spec), "steps": []any{map[string]any{"count": 3, "cpu": 13000, "memMb": 65536, "gpus": 8, "estimatedMs": 2000, "gang": true, "sameRack": true}},
	})
	if status != http.StatusOK {
		return verdict{}, fmt.Errorf("the gang was not accepted: %d %s", status, text)
	}
	handedIn := time.Now()
	state := ""
	for time.Since(handedIn) < rackWait && state != `{"state":"complete"}` {
		time.Sleep(2 * time.Second)
		_, state = c.request(1, http.MethodGet, "/bopu901/"+rackGang, nil)
	}
	runs := 0
	for _, e := range c.seenEvents() {
		if e.Event == "start" && strings.HasPrefix(e.Task, rackGang) {
			runs++
		}
	}
	reason := fmt.Sprintf("%d starts of the gang in %.0f s, its state is %s; 8 of 11 workers are empty, and it needs 3", runs, time.Since(handedIn).Seconds(), state)
	if runs == 0 {
		return verdict{broken: true, reason: "LOST: " + reason}, nil
	}
	return verdict{reason: reason}, nil
}
