package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin/backend"
)

const (
	// leaveBound is the bound of P6.
	leaveBound = 3 * time.Second
	// leaveObservation is the time for which a leaving backend server is observed. It is longer
	// than leaveBound, so that late requests are seen.
	leaveObservation = 6 * time.Second
	leaveCallers     = 40
)

// leaveProof checks P6. Under load, one backend server after the other leaves: by its own
// request, by the end of its announcements, by the drain of its worker, and by the graceful stop
// of its agent; also while its agent is frozen, crashes or is cut off from an entry. Its request
// log must not show a request that started more than 3 s after the leave.
func leaveProof() Proof {
	return Proof{
		Name: "leaving-backend", Property: "P6", Timeout: 120 * time.Second,
		Bound: "no new request from 3s after the leave",
		Run:   runLeaveProof,
	}
}

// leaveCase is one way in which a backend server leaves.
type leaveCase struct {
	name  string
	leave func(c *Cluster, agent, server *Node) error
}

func leaveCases(ctx context.Context, c *Cluster, operator *Client) []leaveCase {
	orderLeave := func(server *Node) error { return SetFaults(server, map[string]any{"leave": true}) }
	return []leaveCase{
		{"leave", func(_ *Cluster, _, server *Node) error { return orderLeave(server) }},
		{"drain", func(_ *Cluster, agent, _ *Node) error {
			return firstSuccess(c.Entries, func(e *Node) error {
				return operator.JSON(ctx, http.MethodPost, e.URL()+"/v1/workers/"+agent.ID+"/drain", nil, nil)
			})
		}},
		{"leave while cut off from an entry", func(c *Cluster, agent, server *Node) error {
			c.SetLinkCut(agent, c.Entries[0], true)
			return orderLeave(server)
		}},
		{"end of the announcements", func(_ *Cluster, _, server *Node) error {
			return SetFaults(server, map[string]any{"silent": true})
		}},
		{"leave while the agent is frozen", func(_ *Cluster, agent, server *Node) error {
			agent.Freeze()
			time.AfterFunc(time.Second, agent.Thaw)
			return orderLeave(server)
		}},
		{"leave and a crash of the agent", func(c *Cluster, agent, server *Node) error {
			if err := orderLeave(server); err != nil {
				return err
			}
			_, err := c.Restart(agent, false)
			return err
		}},
		{"stop of the agent", func(_ *Cluster, agent, _ *Node) error {
			go func() { _, _ = agent.Terminate(StopTimeout) }()
			return nil
		}},
	}
}

func runLeaveProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Agents, spec.PerRack, spec.Relayed = 9, 3, true
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stopLoad()
	client := NewClient(TeamToken("cargo"))
	for i := range leaveCallers {
		callers.Go(func() { sendShortRequests(loadCtx, c, client, i) })
	}
	kernel.Sleep(ctx, time.Second) // all backend servers receive requests before one leaves
	var latest time.Duration
	var worst string
	before, late := 0, 0
	for i, lc := range leaveCases(ctx, c, NewClient(OperatorToken)) {
		agent, server := c.Agents[i], c.Backends[i]
		began := time.Now()
		e.tracef("%s: %s", lc.name, server.Name)
		if !e.Control {
			if err := lc.leave(c, agent, server); err != nil {
				return Verdict{}, fmt.Errorf("%s: %w", lc.name, err)
			}
		}
		kernel.Sleep(ctx, leaveObservation)
		starts, err := requestStarts(server)
		if err != nil {
			return Verdict{}, err
		}
		for _, at := range starts {
			after := at.Sub(began)
			if after < 0 {
				before++
				continue
			}
			if after > leaveBound {
				late++
			}
			if after > latest {
				latest, worst = after, lc.name
			}
		}
	}
	measured := fmt.Sprintf("latest %s (%s), %d later than 3s, %d before the leave", latest.Round(time.Millisecond), worst, late, before)
	return Verdict{Pass: late == 0 && before > 0, Measured: measured}, nil
}

// sendShortRequests sends idempotent requests until ctx ends.
func sendShortRequests(ctx context.Context, c *Cluster, client *Client, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		e := c.Entries[(caller+n)%len(c.Entries)]
		url := fmt.Sprintf("%s/v1/services/%s/request/short/%d/%d?delay_ms=20", e.URL(), c.Spec.Service, caller, n)
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		resp := client.Call(callCtx, http.MethodGet, url, nil, nil)
		cancel()
		if !resp.Complete() {
			kernel.Sleep(ctx, 20*time.Millisecond)
		}
	}
}

// requestStarts returns the start times of all requests in the log of a backend server.
func requestStarts(server *Node) ([]time.Time, error) {
	data, err := os.ReadFile(server.RequestLog)
	if err != nil {
		return nil, err
	}
	var starts []time.Time
	for _, line := range strings.Split(string(data), "\n") {
		var rec backend.Record
		if line == "" || json.Unmarshal([]byte(line), &rec) != nil || rec.EndedMS != 0 {
			continue
		}
		starts = append(starts, time.UnixMilli(rec.AtMS))
	}
	return starts, nil
}
