package planner

import (
	"math"
	"strings"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/engine"
)

// logDecisions writes log entries and metrics for the decisions of a pass.
func logDecisions(epoch uint64, starts []engine.Placement, stops []engine.StopDecision) {
	for _, s := range starts {
		kernel.Metrics.Count("snipegw_runs_decided_total", "class", s.Class)
		if s.Run == 1 {
			kernel.Metrics.Observe(s.Waited, "snipegw_first_start_seconds", "class", s.Class)
			kernel.Metrics.Observe(s.Waited, "snipegw_delay_seconds", "class", s.Class, "team", s.Team)
		}
		log.WithFields(log.Fields{
			"event": "placed", "job": s.Unit.Job, "unit": s.Unit.String(), "items": s.Count, "run": s.Run, "epoch": epoch,
			"workers": strings.Join(s.Workers, ","), "class": s.Class, "since_accepted_ms": s.Waited.Milliseconds(),
			"value": round(s.Cost.Value), "loss_per_s": round(s.Cost.PerSecond),
		}).Info("run decided")
	}
	for _, s := range stops {
		if s.Preempted {
			kernel.Metrics.Count("snipegw_preemptions_total", "class", s.Class, "team", s.Team)
			kernel.Metrics.Add(s.Loss, "snipegw_preemption_loss_total", "class", s.Class, "team", s.Team)
		}
		log.WithFields(log.Fields{
			"event": "stop_decided", "job": s.Unit.Job, "unit": s.Unit.String(), "run": s.Run, "epoch": epoch, "reason": s.Reason,
			"loss": round(s.Loss), "preemptions": s.Preemptions,
		}).Info("stop decided")
	}
}

// round returns a value in thousandths, for logs.
func round(value float64) float64 { return math.Round(1000*value) / 1000 }

// logEndEvents writes log entries and metrics for runs and jobs that have ended, and for
// runs that should have.
func logEndEvents(epoch uint64, endEvents []engine.EndEvent) {
	for _, end := range endEvents {
		if u := end.Unexpected; u != nil {
			kernel.Metrics.Count("snipegw_runs_unexpected_total")
			log.WithFields(log.Fields{
				"event": "run_unexpected", "job": u.Item.Job, "item": u.Item.String(), "run": u.Run, "epoch": epoch, "worker": u.Worker,
			}).Warn("a worker lists a run that the planner does not hold")
		}
		if p := end.Truncated; p != nil {
			kernel.Metrics.Count("snipegw_ends_truncated_total")
			log.WithFields(log.Fields{
				"event": "worker_ends_truncated", "epoch": epoch, "worker": p.Worker, "listed": p.Listed, "pending": p.Pending,
			}).Warn("a worker has more ends than fit into its report; runs that the report leaves out stay open")
		}
		if d := end.Delay; d != nil {
			kernel.Metrics.Count("snipegw_restart_delays_total")
			log.WithFields(log.Fields{
				"event": "restart_delayed", "job": d.Item.Job, "item": d.Item.String(), "run": d.Run, "epoch": epoch, "worker": d.Worker,
				"crashes": d.Crashes, "delay_ms": d.Delay.Milliseconds(),
			}).Warn("the worker has crashed under an item that lasts; its restart is delayed")
		}
		if s := end.Speed; s != nil {
			kernel.Metrics.Count("snipegw_worker_speed_changes_total", "to", s.To)
			log.WithFields(log.Fields{
				"event": "worker_speed_changed", "node": s.Node, "from": s.From, "to": s.To, "slowness": s.Slowness, "epoch": epoch,
			}).Info("the learned speed of a worker has changed")
		}
		if s := end.Silence; s != nil {
			logSilence(epoch, s)
		}
		if r := end.Run; r != nil {
			kernel.Metrics.Count("snipegw_runs_ended_total", "how", string(r.How))
			log.WithFields(log.Fields{
				"event": "run_ended", "job": r.Item.Job, "item": r.Item.String(), "run": r.Run, "epoch": epoch, "worker": r.Worker, "how": r.How,
				"took_ms": r.Took.Milliseconds(), "estimate_ms": r.Estimate.Milliseconds(), "percent": r.Percent, "failed_before": r.FailedRuns, "stop_reason": r.Reason,
				"cores": r.Cores, "saves": r.SavesCheckpoints,
			}).Info("run ended")
		}
		if j := end.Job; j != nil {
			kernel.Metrics.Count("snipegw_jobs_ended_total", "state", string(j.State))
			kernel.Metrics.Observe(j.Took, "snipegw_job_seconds", "state", string(j.State))
			log.WithFields(log.Fields{
				"event": "job_ended", "job": j.ID, "queue": j.Queue, "team": j.Team, "state": j.State, "epoch": epoch,
				"took_ms": j.Took.Milliseconds(), "objective_ms": j.Objective.Milliseconds(),
			}).Info("job ended")
		}
	}
}

// logSilence writes the log entry and the metric of a worker that does not report.
func logSilence(epoch uint64, s *engine.WorkerSilence) {
	fields := log.WithFields(log.Fields{
		"event": "worker_unreported", "node": s.Node, "items": s.Items, "epoch": epoch, "basis": s.Basis,
		"expires_in_ms": s.ExpiresIn.Milliseconds(), "agent_answers": s.AgentAnswers, "silent_ms": s.Silent.Milliseconds(),
	})
	if !s.Expired {
		fields.Warn("a worker with open runs has not reported to the new planner")
		return
	}
	kernel.Metrics.Count("snipegw_worker_leases_expired_total", "basis", s.Basis)
	fields.WithField("event", "worker_lease_expired").Warn("the lease of a silent worker has expired; its runs have ended")
}

// countHeadroom updates the metrics of the headroom after a pass.
func countHeadroom(use engine.HeadroomUse) {
	if use.Asked {
		source := "fixed"
		if use.Forecast {
			source = "forecast"
		}
		kernel.Metrics.Count("snipegw_headroom_decisions_total", "source", source)
		kernel.Metrics.Set(float64(use.Accelerators), "snipegw_headroom_kept_accelerators")
		kernel.Metrics.Set(float64(use.MilliCPU)/1000, "snipegw_headroom_kept_cores")
	}
	if use.Held {
		kernel.Metrics.Count("snipegw_headroom_held_total")
	}
	for range use.Used {
		kernel.Metrics.Count("snipegw_headroom_used_total")
	}
}
