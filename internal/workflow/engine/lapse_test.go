package engine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/workflow"
)

// Workers with runs of an earlier planner go for good, and their leases expire in the new term. Guards
// against the suspicion that each of the lost runs has crashed its worker: the items of a step would
// restart one after the other while the pool is idle. An item that lasts has to start within 6 s of its last run and 3 s.
func TestItemsOfManySilentWorkersRestartTogether(t *testing.T) {
	t.Run("items that last", func(t *testing.T) { restartTogether(t, true, true, false) })
	t.Run("the agents are gone as well", func(t *testing.T) { restartTogether(t, false, false, false) })
	t.Run("listed in the new term", func(t *testing.T) { restartTogether(t, false, false, true) })
}

// restartTogether loses workers at a takeover, or two seconds after it if they list their runs in the new
// term, and expects that their items restart within the bound.
func restartTogether(t *testing.T, lasting, agentsAnswer, listed bool) {
	const (
		silentWorkers = 10
		bound         = 9 * time.Second
	)
	g := NewWithT(t)
	start := time.UnixMilli(1_800_000_000_000)
	e := New(Settings{LeaseDuration: silenceLease, MaxStoreOutage: silenceOutage}, 7, start)
	config := &workflow.Config{Version: 1, Queues: []workflow.Queue{{Name: "q", Service: "s", MaxAttempts: 3}}}
	config.Provision()
	e.SetConfig(config)
	progress := &workflow.Progress{State: workflow.StateActive, Seq: 1}
	for i := range silentWorkers {
		worker := workflow.WorkerKey(fmt.Sprintf("gone%d", i), fmt.Sprintf("i-gone%d", i), 1000)
		progress.Units = append(progress.Units, workflow.UnitProgress{First: i, Run: 1, Members: []workflow.MemberProgress{{Worker: worker}}})
	}
	e.AddJob("j", &workflow.JobRecord{
		Job:   workflow.Job{Steps: []workflow.Step{{Count: silentWorkers, Accelerators: 1, EstimateMS: 3_600_000, LongRunning: lasting}}},
		Queue: "q", Service: "s", MaxAttempts: 3, AcceptedMS: start.UnixMilli(),
	}, progress, 1)

	if !agentsAnswer {
		e.EndEarlierPlanners(start)
	}
	running := make(map[string][]workflow.RunningItem)
	var ended time.Time
	for since := time.Duration(0); ended.IsZero() || start.Add(since).Before(ended.Add(bound)); since += 100 * time.Millisecond {
		now := start.Add(since)
		if since%time.Second == 0 { // as often as an agent without news replies
			for i := range silentWorkers {
				reply := &workflow.SyncReply{SilentMS: since.Milliseconds()}
				if listed {
					reply.Report = &workflow.WorkerReport{Instance: fmt.Sprintf("i-gone%d", i), StartedMS: 1000, ClockMS: 1000 + since.Milliseconds(), Running: []workflow.RunningItem{{Ref: workflow.ItemRef{Job: "j", Index: i}, Run: 1}}}
				}
				if agentsAnswer || listed && since <= 2*time.Second {
					e.HandleReport(fmt.Sprintf("gone%d", i), reply, now)
				}
			}
			for i := range 2 * silentWorkers {
				node := fmt.Sprintf("n%d", i)
				e.HandleReport(node, &workflow.SyncReply{
					Report:    &workflow.WorkerReport{Instance: "i-" + node, StartedMS: 1000, ClockMS: 1000 + since.Milliseconds(), Running: running[node]},
					Announced: &workflow.Announcement{Instance: "i-" + node, StartedMS: 1000, Service: "s", Capacity: workflow.Resources{Accelerators: 1}, Seq: 1},
				}, now)
				e.NextSyncRequest(node, 0)
			}
		}
		e.ExpireLeases(now)
		starts, _ := e.Decide(now)
		if len(starts) > 0 && ended.IsZero() {
			ended = now
		}
		for _, c := range e.TakeChanges() {
			e.MarkStored(c, 2, now)
		}
		for _, o := range e.StartOrders(now) {
			reply := &workflow.OrderReply{}
			for _, s := range o.Request.Starts {
				running[o.Node] = append(running[o.Node], workflow.RunningItem{Ref: s.Ref, Run: s.Run})
				reply.Starts = append(reply.Starts, workflow.OrderOutcome{Verdict: workflow.VerdictDone, ClockMS: 1000 + since.Milliseconds()})
			}
			e.HandleOrderReply(o, reply, now)
		}
	}
	g.Expect(len(running)).To(Equal(silentWorkers), "items that have started %v after the first", bound)
}
