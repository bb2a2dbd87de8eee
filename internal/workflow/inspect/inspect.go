// Package inspect reads the records of jobs, teams and processes from the store
// and explains them to operators. It is read-only.
package inspect

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/intake"
)

// System is the state of the scheduler as read from the store.
type System struct {
	Config  *workflow.Config
	Planner *workflow.PlannerRecord // nil if no entry is the planner
	Epoch   uint64                  // epoch of the planner; 0 if there is none
	Entries map[string]workflow.ProcessRecord
	Agents  map[string]workflow.ProcessRecord
	Jobs    []*Job // in order of acceptance
	// Evacuations are the failure domains that operators want to be evacuated, sorted.
	Evacuations []string
	// Unreadable holds the keys of records that cannot be decoded.
	Unreadable []string
}

// Job is an accepted job with its progress.
type Job struct {
	ID        string
	Record    *workflow.JobRecord
	Progress  *workflow.Progress // nil before the planner has recorded any
	Cancelled bool               // a caller has cancelled the job
}

// Read reads all records and the configuration from the store. It fails with
// code StoreUnavailable if the store does not respond, with ConfigVersionUnknown
// if there is no configuration, and with Internal if it cannot be decoded.
func Read(ctx context.Context, table store.Table, format intake.ConfigFormat) (*System, error) {
	records, _, err := table.List(ctx, workflow.Prefix)
	if err != nil {
		return nil, err
	}
	s := &System{Entries: make(map[string]workflow.ProcessRecord), Agents: make(map[string]workflow.ProcessRecord)}
	jobs := make(map[string]*Job)
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.JobPrefix) {
			id := workflow.IDOfKey(r.Key)
			if rec := decodeRecord(s, r, func(value []byte) (*workflow.JobRecord, error) { return workflow.DecodeJob(id, value) }); rec != nil && !rec.IsClosing() {
				j := &Job{ID: id, Record: rec}
				jobs[j.ID] = j
				s.Jobs = append(s.Jobs, j)
			}
		}
	}
	for _, r := range records {
		s.addRecord(r, jobs)
	}
	slices.SortFunc(s.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Record.AcceptedMS, b.Record.AcceptedMS), cmp.Compare(a.ID, b.ID))
	})
	return s, s.readOperators(ctx, table, format)
}

// readOperators reads the configuration and the requests of the operators.
func (s *System) readOperators(ctx context.Context, table store.Table, format intake.ConfigFormat) error {
	records, _, err := table.List(ctx, format.Prefix)
	if err != nil {
		return err
	}
	for _, r := range records {
		if r.Key == format.Key {
			if s.Config, err = format.Decode(r.Value); err != nil {
				return result.Errorf(result.Internal, "%s: %w", format.Key, err)
			}
			s.Config.Provision()
		} else if format.Evacuation.Decode != nil {
			if domain, ok, _ := format.Evacuation.Decode(r.Key, r.Value); ok && domain != "" {
				s.Evacuations = append(s.Evacuations, domain)
			}
		}
	}
	slices.Sort(s.Evacuations)
	if s.Config == nil {
		return result.Errorf(result.ConfigVersionUnknown, "the store has no configuration at key %s", format.Key)
	}
	return nil
}

func (s *System) addRecord(r store.Record, jobs map[string]*Job) {
	id := workflow.IDOfKey(r.Key)
	decodeProcess := func(value []byte) (*workflow.ProcessRecord, error) { return workflow.DecodeProcess(id, value) }
	switch {
	case strings.HasPrefix(r.Key, workflow.ProgressPrefix):
		if j := jobs[id]; j != nil {
			j.Progress = decodeRecord(s, r, workflow.Decode[workflow.Progress])
		}
	case strings.HasPrefix(r.Key, workflow.CancelPrefix):
		if j := jobs[id]; j != nil {
			j.Cancelled = true
		}
	case strings.HasPrefix(r.Key, workflow.EntryPrefix):
		if p := decodeRecord(s, r, decodeProcess); p != nil {
			s.Entries[id] = *p
		}
	case strings.HasPrefix(r.Key, workflow.AgentPrefix):
		if p := decodeRecord(s, r, decodeProcess); p != nil {
			s.Agents[id] = *p
		}
	case r.Key == workflow.PlannerKey:
		if s.Planner = decodeRecord(s, r, workflow.Decode[workflow.PlannerRecord]); s.Planner != nil {
			s.Epoch = r.Revision
		}
	}
}

// decodeRecord decodes a record. If it cannot, it adds the key to s.Unreadable and
// returns nil.
func decodeRecord[T any](s *System, r store.Record, decode func([]byte) (*T, error)) *T {
	v, err := decode(r.Value)
	if err != nil {
		s.Unreadable = append(s.Unreadable, r.Key)
		return nil
	}
	return v
}

// Job returns the job with the given id; nil if there is none.
func (s *System) Job(id string) *Job {
	for _, j := range s.Jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// State returns the state of the job as callers see it.
func (j *Job) State() workflow.State {
	if j.Progress == nil {
		return workflow.StatePending
	}
	return j.Progress.State
}

// IsQueued reports whether the job counts as queued for callers: it may be active, because a start
// was decided, without any worker having begun an item.
func (j *Job) IsQueued() bool { return !j.Cancelled && j.Progress.IsQueued() }

// Counts holds how many items of a job are done and running. The others are
// waiting.
type Counts struct {
	Items   int `json:"items"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// Failed is the largest number of failed runs of a unit.
	Failed int `json:"failed_runs"`
	// Accelerators is the number of accelerators of the running items.
	Accelerators int64 `json:"accelerators"`
	// Workers are the nodes with running items, sorted by name.
	Workers []string `json:"workers,omitempty"`
}

// Counts returns the counts of j over all steps and occurrences.
func (j *Job) Counts() Counts {
	var c Counts
	for i := range j.Record.Steps {
		c.Items += j.Record.Steps[i].Count * j.Record.OccurrenceCount()
	}
	if j.Progress == nil {
		return c
	}
	for i := range j.Progress.Units {
		u := &j.Progress.Units[i]
		c.Failed = max(c.Failed, u.Failed)
		if u.Step < 0 || u.Step >= len(j.Record.Steps) {
			continue // no such step in this job; the planner ignores the unit too
		}
		step := &j.Record.Steps[u.Step]
		switch {
		case u.Done && step.Gang:
			c.Done += step.Count
		case u.Done:
			c.Done++
		}
		for _, m := range u.Members {
			if m.End == "" && !u.Done {
				c.Running++
				c.Accelerators += step.Accelerators
				c.Workers = append(c.Workers, workflow.NodeOf(m.Worker))
			}
		}
	}
	slices.Sort(c.Workers)
	c.Workers = slices.Compact(c.Workers)
	return c
}

// Team is the share of the pool that a team is guaranteed and uses, in
// accelerators.
type Team struct {
	Name      string `json:"team"`
	Guarantee int64  `json:"guaranteed_accelerators"`
	// Urgent is used by the team's jobs of priority 0, Other by its other jobs.
	Urgent int64 `json:"urgent_accelerators"`
	Other  int64 `json:"other_accelerators"`
	// Borrows is the use beyond the guarantee. Lends is the unused part of the
	// guarantee while any team borrows.
	Borrows int64 `json:"borrows"`
	Lends   int64 `json:"lends"`
}

// Teams returns the shares of all teams, sorted by name. Only jobs of priority 0
// claim a guarantee; everything else that a team uses is borrowed.
func (s *System) Teams() []Team {
	byName := make(map[string]*Team)
	for name, t := range s.Config.Teams {
		byName[name] = &Team{Name: name, Guarantee: t.Guarantee}
	}
	for _, j := range s.Jobs {
		t := byName[j.Record.Team]
		if t == nil {
			t = &Team{Name: j.Record.Team} // the configuration no longer has the team
			byName[t.Name] = t
		}
		if n := j.Counts().Accelerators; s.Priority(j) == 0 {
			t.Urgent += n
		} else {
			t.Other += n
		}
	}
	borrowed := int64(0)
	out := make([]Team, 0, len(byName))
	for _, t := range byName {
		t.Borrows = max(t.Urgent-t.Guarantee, 0) + t.Other
		borrowed += t.Borrows
		out = append(out, *t)
	}
	for i := range out {
		if borrowed > 0 {
			out[i].Lends = max(out[i].Guarantee-out[i].Urgent, 0)
		}
	}
	slices.SortFunc(out, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Priority returns the priority of j's queue.
func (s *System) Priority(j *Job) int { return s.Config.PriorityOf(j.Record) }

// Explain returns one sentence that says why j is in its state. The argument
// waiting is the planner's reason why items wait; empty if it is not known.
func (s *System) Explain(j *Job, waiting string) string {
	counts := j.Counts()
	attempts := s.Config.MaxAttemptsOf(j.Record)
	switch j.State() {
	case workflow.StateComplete:
		return fmt.Sprintf("All %d items are done.", counts.Items)
	case workflow.StateCanceled:
		return fmt.Sprintf("A caller cancelled the job; %d of %d items were done.", counts.Done, counts.Items)
	case workflow.StateFailed:
		if j.Progress.GivenUp {
			most := 0
			for _, c := range j.Progress.Crashes {
				most = max(most, c.Total)
			}
			return fmt.Sprintf("Workers crashed under an item %d times, so the job was given up; %d of %d items were done.", most, counts.Done, counts.Items)
		}
		return fmt.Sprintf("An item failed %d times, and its queue allows %d attempts; %d of %d items were done.", counts.Failed, attempts, counts.Done, counts.Items)
	}
	text := fmt.Sprintf("%d of %d items are done", counts.Done, counts.Items)
	if counts.Running > 0 {
		text += fmt.Sprintf(", %d run on %s", counts.Running, strings.Join(counts.Workers, ", "))
	}
	waitingItems := counts.Items - counts.Done - counts.Running
	switch {
	case j.Cancelled:
		return text + "; the job is cancelled and its runs are being stopped."
	case waitingItems == 0:
		return text + "."
	case s.Planner == nil:
		return text + fmt.Sprintf(", %d wait: no entry plans at the moment.", waitingItems)
	case waiting == "":
		return text + fmt.Sprintf(", %d wait; the planner %s did not tell why.", waitingItems, s.Planner.Entry)
	}
	return text + fmt.Sprintf(", %d wait: %s.", waitingItems, waiting)
}
