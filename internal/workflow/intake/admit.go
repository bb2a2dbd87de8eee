package intake

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/admission"
)

// lookupTimeout limits the look-up of a job before its refusal. A healthy store responds in
// a few milliseconds.
const lookupTimeout = 100 * time.Millisecond

// receivedBacklog is a statement of the planner and when it reached this entry.
type receivedBacklog struct {
	backlog    *workflow.Backlog
	receivedAt time.Time
}

// SetAdmission switches the refusals at acceptance on. It must be called before Subscribe.
func (in *Intake) SetAdmission(s *admission.Settings) { in.admission = s }

func (in *Intake) applyBacklog(e store.Event) {
	if e.Deleted {
		in.backlog.Store(nil)
		return
	}
	b, err := workflow.Decode[workflow.Backlog](e.Value)
	if err != nil {
		workflow.ReportUnreadable(e.Key, err)
		in.backlog.Store(nil)
		return
	}
	in.backlog.Store(&receivedBacklog{backlog: b, receivedAt: time.Now()})
}

// observation returns what this entry knows of the waiting work at now.
func (in *Intake) observation(now time.Time) admission.Observation {
	b := in.backlog.Load()
	if b == nil {
		return admission.Observation{}
	}
	return admission.Observation{Backlog: b.backlog, ReceivedAgo: now.Sub(b.receivedAt)}
}

// AdmissionState returns what the debug dump shows of the refusals at acceptance.
func (in *Intake) AdmissionState() any {
	if in.admission == nil {
		return map[string]any{"on": false}
	}
	o := in.observation(time.Now())
	age, known := o.Age(time.Now())
	return map[string]any{"on": true, "settings": in.admission, "backlog": o.Backlog, "age_ms": age.Milliseconds(), "age_known": known}
}

// admit returns an error if the job is to be refused now. It reports whether the store
// already has a job of this id, which another entry has accepted. A refusal must be true,
// so the store is asked for the id first, and a job is not refused if it does not respond.
func (in *Intake) admit(ctx context.Context, q *workflow.Queue, team, id string, job *workflow.Job) (known bool, err error) {
	if in.admission == nil || in.backlog.Load() == nil {
		return false, nil
	}
	begin := time.Now()
	r := &admission.Request{ID: id, Job: job, Queue: q, Team: team, Service: q.Service, Guaranteed: in.guaranteeCovers(q, team, job)}
	d := admission.Decide(*in.admission, r, in.observation(begin), begin)
	if d.Code == result.OK {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	record, found, err := in.table.Lookup(ctx, workflow.JobPrefix+id)
	if err != nil {
		return false, nil
	}
	if found {
		in.recordMirror.Apply([]store.Event{{Record: record}})
		if !isClosing(record) {
			return true, nil
		}
	}
	kernel.Metrics.Count("snipegw_jobs_not_admitted_total", "code", d.Code.String(), "class", workflow.ClassNames[d.Class], "team", team)
	log.WithFields(log.Fields{
		"event": "job_not_admitted", "job": id, "queue": q.Name, "team": team, "code": int(d.Code), "class": workflow.ClassNames[d.Class], "reason": d.Reason,
		"statement_age_ms": d.Age.Milliseconds(), "needed": d.Needed, "room": d.Room, "useful_end_ms": d.UsefulEnd.Milliseconds(),
		"refusal_cost": d.RefusalCost, "held_up_cost": d.HeldUpCost, "retry_after_ms": d.RetryAfter.Milliseconds(),
		"steps": describeSteps(job), "took_ms": time.Since(begin).Milliseconds(),
	}).Info("job refused at acceptance")
	refusal := result.Errorf(d.Code, "%s; retry in %d ms", d.Reason, d.RetryAfter.Milliseconds())
	refusal.RetryAfter = d.RetryAfter
	return false, refusal
}

// guaranteeCovers reports whether the guarantee of a team covers a new job, as the planner
// does by the order of acceptance. The mirror may not show yet that a job has ended, so the
// largest open one is not counted.
func (in *Intake) guaranteeCovers(q *workflow.Queue, team string, job *workflow.Job) bool {
	c := in.Config()
	if c == nil || q.Priority != 0 {
		return false
	}
	used, largest := int64(0), int64(0)
	in.jobs.Range(func(k, v any) bool {
		rec := v.(*workflow.JobRecord)
		if rec.Team != team || c.PriorityOf(rec) != 0 {
			return true
		}
		if p, ok := in.progress.Load(k); ok && p.(*workflow.Progress).State.Terminal() {
			return true
		}
		if _, cancelled := in.recordMirror.Get(workflow.CancelPrefix + k.(string)); cancelled {
			return true
		}
		used += rec.GuaranteeNeed()
		largest = max(largest, rec.GuaranteeNeed())
		return true
	})
	return used-largest+job.GuaranteeNeed() <= c.Teams[team].Guarantee
}
