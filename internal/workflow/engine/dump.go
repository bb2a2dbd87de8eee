package engine

import (
	"time"

	"snipegw/internal/workflow/framework"
)

// JobState describes an open job in the debug dump.
type JobState struct {
	ID           string `json:"id"`
	Queue        string `json:"queue"`
	Team         string `json:"team"`
	State        string `json:"state"`
	Cancelled    bool   `json:"cancelled,omitempty"`
	UnitsLeft    int    `json:"units_left"`
	RunningUnits int    `json:"units_running"`
	AgeMS        int64  `json:"age_ms"`
	// Class is the scheduling class of the job: guaranteed, first (priority 0 beyond
	// the guarantee) or other.
	Class string `json:"class"`
	// WaitReason is the reason why the job's first unit without a run waits; empty if
	// none waits.
	WaitReason string   `json:"waiting,omitempty"`
	Workers    []string `json:"workers,omitempty"` // nodes on which items may be running
	// Preemptions counts the runs of the job that this term stopped for others.
	Preemptions int `json:"preemptions,omitempty"`
	// Cost is what a further delay of a job with waiting units costs; nil without a cost
	// model.
	Cost *framework.Cost `json:"cost,omitempty"`
}

// WorkerState describes a worker in the debug dump.
type WorkerState struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Usable      bool   `json:"usable"`
	Draining    bool   `json:"draining"`
	ReportAgeMS int64  `json:"report_age_ms"` // -1 before the first report of the term
	Items       int    `json:"items"`
	// PendingEnds counts the items that no longer run and whose ends the latest report may have
	// left out.
	PendingEnds int  `json:"ends_pending,omitempty"`
	Excluded    bool `json:"excluded"`
	// Slowness is the learned factor of run times, 1 for a typical worker.
	Slowness float64 `json:"slowness"`
	// Rack and Accelerators are as announced; empty and 0 before an announcement.
	Rack             string `json:"rack,omitempty"`
	Accelerators     int64  `json:"accelerators"`
	FreeAccelerators int64  `json:"accelerators_free"`
	FailureDomain    string `json:"failure_domain,omitempty"`
	// Evacuated reports that the failure domain is evacuated, so that nothing starts here.
	Evacuated bool `json:"evacuated,omitempty"`
	Cold      bool `json:"cold,omitempty"` // runs items slowly after its start
	// SilentMS is how long the worker has not responded to its agent, if the agent replies
	// without a report.
	SilentMS int64 `json:"silent_ms,omitempty"`
	// LeaseSuspended reports that no planner extends the worker's lease, see Engine.SuspendLease.
	LeaseSuspended bool `json:"lease_suspended,omitempty"`
	// LeaseEndsMS is the time until the lease of a worker with items ends unless it reports.
	LeaseEndsMS int64 `json:"lease_ends_ms,omitempty"`
}

// State is the state of the engine in the debug dump: its open jobs and all workers.
type State struct {
	Jobs    []JobState    `json:"jobs"`
	Workers []WorkerState `json:"workers"`
	// EndedJobs counts the ended jobs whose records are kept; the end of the oldest has been stored for
	// OldestEndMS by the retention clock.
	EndedJobs   int   `json:"ended_jobs"`
	OldestEndMS int64 `json:"oldest_end_ms"`
	// Evacuations are the requests to evacuate failure domains that are in force.
	Evacuations []EvacuationState `json:"evacuations,omitempty"`
	// Plugins holds the states of the scheduling plug-ins, by name.
	Plugins map[string]any `json:"plugins,omitempty"`
}

// Dump returns the state of the engine at now.
func (e *Engine) Dump(now time.Time) State {
	var s State
	for _, j := range e.jobs {
		if j.state.Terminal() {
			s.EndedJobs++
			s.OldestEndMS = max(s.OldestEndMS, e.endAge(j, now).Milliseconds())
		}
	}
	r := e.freeResources(now)
	for _, j := range e.openJobs {
		js := JobState{
			ID: j.id, Queue: j.rec.Queue, Team: j.rec.Team, State: string(j.state), Cancelled: j.cancelled,
			UnitsLeft: j.unitsLeft, AgeMS: now.Sub(j.acceptance()).Milliseconds(),
			Class: classNames[e.classOf(j)], WaitReason: e.jobWaitReason(j, r, now), Workers: j.activeNodes(),
		}
		js.Cost = e.waitingCost(j, now)
		for _, u := range j.units {
			js.Preemptions += u.preemptions
			if u.isActive() {
				js.RunningUnits++
			}
		}
		s.Jobs = append(s.Jobs, js)
	}
	for _, w := range e.sortedWorkers {
		ws := WorkerState{
			Node: w.node, Incarnation: w.incarnation, Usable: e.usable(w, now), Draining: w.announcement != nil && w.announcement.Draining,
			ReportAgeMS: now.Sub(w.reportedAt).Milliseconds(), Items: len(w.members), Excluded: w.health.excluded(now), PendingEnds: w.pendingEnds(),
			FreeAccelerators: w.free().Accelerators, Slowness: w.relativeSlowness(),
			FailureDomain: w.failureDomain(), Evacuated: e.isEvacuated(w), Cold: w.isCold(now), LeaseSuspended: w.suspended,
		}
		if w.reportedAt.IsZero() {
			ws.ReportAgeMS = -1
		}
		if w.announcement != nil {
			ws.Rack, ws.Accelerators = w.announcement.Rack, w.announcement.Capacity.Accelerators
		}
		if len(w.members) > 0 {
			silence := e.silence(w, now)
			ws.SilentMS, ws.LeaseEndsMS = silence.Silent.Milliseconds(), silence.ExpiresIn.Milliseconds()
		}
		s.Workers = append(s.Workers, ws)
	}
	s.Evacuations = e.Evacuations(now)
	for name, p := range e.plugins.set {
		if s.Plugins == nil {
			s.Plugins = make(map[string]any)
		}
		s.Plugins[name] = p.State(now)
	}
	return s
}
