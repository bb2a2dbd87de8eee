// Package inspect reads what the store says about a system that serves
// workflows, and explains it to operators. It changes nothing.
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

// System is the state in the store at one time.
type System struct {
	Config  *workflow.Config
	Planner *workflow.PlannerRecord // nil if no entry plans
	Epoch   uint64                  // of the planner
	Entries map[string]workflow.ProcessRecord
	Agents  map[string]workflow.ProcessRecord
	Jobs    []*Job // in order of acceptance
	// Unreadable are the keys of records that cannot be decoded.
	Unreadable []string
}

// Job is a job with its progress.
type Job struct {
	ID        string
	Record    *workflow.JobRecord
	Progress  *workflow.Progress // nil before its first run
	Cancelled bool
}

// Read lists the records. It fails with code StoreUnavailable if the store does
// not answer.
func Read(ctx context.Context, table store.Table, format intake.ConfigFormat) (*System, error) {
	records, _, err := table.List(ctx, workflow.Prefix)
	if err != nil {
		return nil, err
	}
	s := &System{Entries: make(map[string]workflow.ProcessRecord), Agents: make(map[string]workflow.ProcessRecord)}
	jobs := make(map[string]*Job)
	for _, r := range records {
		if strings.HasPrefix(r.Key, workflow.JobPrefix) {
			if rec := decode[workflow.JobRecord](s, r); rec != nil {
				j := &Job{ID: workflow.IDOf(r.Key), Record: rec}
				jobs[j.ID] = j
				s.Jobs = append(s.Jobs, j)
			}
		}
	}
	for _, r := range records {
		s.take(r, jobs)
	}
	slices.SortFunc(s.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.Record.AcceptedMS, b.Record.AcceptedMS), cmp.Compare(a.ID, b.ID))
	})
	r, found, err := table.Lookup(ctx, format.Key)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, result.Errorf(result.ConfigVersionUnknown, "the store holds no configuration under %s", format.Key)
	}
	if s.Config, err = format.Decode(r.Value); err != nil {
		return nil, result.Errorf(result.Internal, "%s: %w", format.Key, err)
	}
	s.Config.Provision()
	return s, nil
}

func (s *System) take(r store.Record, jobs map[string]*Job) {
	id := workflow.IDOf(r.Key)
	switch {
	case strings.HasPrefix(r.Key, workflow.RunPrefix):
		if j := jobs[id]; j != nil {
			j.Progress = decode[workflow.Progress](s, r)
		}
	case strings.HasPrefix(r.Key, workflow.CancelPrefix):
		if j := jobs[id]; j != nil {
			j.Cancelled = true
		}
	case strings.HasPrefix(r.Key, workflow.EntryPrefix):
		if p := decode[workflow.ProcessRecord](s, r); p != nil {
			s.Entries[id] = *p
		}
	case strings.HasPrefix(r.Key, workflow.AgentPrefix):
		if p := decode[workflow.ProcessRecord](s, r); p != nil {
			s.Agents[id] = *p
		}
	case r.Key == workflow.PlannerKey:
		if s.Planner = decode[workflow.PlannerRecord](s, r); s.Planner != nil {
			s.Epoch = r.Revision
		}
	}
}

func decode[T any](s *System, r store.Record) *T {
	v, err := workflow.Decode[T](r.Value)
	if err != nil {
		s.Unreadable = append(s.Unreadable, r.Key)
		return nil
	}
	return v
}

// Job returns the job with that id, nil if there is none.
func (s *System) Job(id string) *Job {
	for _, j := range s.Jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// State is the state that callers see.
func (j *Job) State() workflow.State {
	if j.Progress == nil {
		return workflow.StatePending
	}
	return j.Progress.State
}

// Counts are the items of a job. Those that neither run nor are done wait.
type Counts struct {
	Items   int `json:"items"`
	Done    int `json:"done"`
	Running int `json:"running"`
	// Failed is the largest number of failed runs of a unit.
	Failed int `json:"failed_runs"`
	// Accelerators are held by the items that run.
	Accelerators int64 `json:"accelerators"`
	// Workers are the nodes on which items run.
	Workers []string `json:"workers,omitempty"`
}

// Count adds up the items of j.
func (j *Job) Count() Counts {
	var c Counts
	for i := range j.Record.Steps {
		c.Items += j.Record.Steps[i].Count * j.Record.Runs()
	}
	if j.Progress == nil {
		return c
	}
	for i := range j.Progress.Units {
		u := &j.Progress.Units[i]
		c.Failed = max(c.Failed, u.Failed)
		if u.Step >= len(j.Record.Steps) {
			continue // not of this job; the planner ignores it too
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

// Team is a team's share of the pool.
type Team struct {
	Name      string `json:"team"`
	Guarantee int64  `json:"guaranteed_accelerators"`
	// Urgent and Other are the accelerators in use by its jobs of priority 0 and
	// by the rest.
	Urgent int64 `json:"urgent_accelerators"`
	Other  int64 `json:"other_accelerators"`
	// Borrows are those beyond the guarantee, Lends those of the guarantee that
	// it does not use while others borrow.
	Borrows int64 `json:"borrows"`
	Lends   int64 `json:"lends"`
}

// Teams returns the shares of all teams, by name. Only jobs of priority 0 claim a
// guarantee; whatever else a team uses is borrowed.
func (s *System) Teams() []Team {
	byName := make(map[string]*Team)
	for name, t := range s.Config.Teams {
		byName[name] = &Team{Name: name, Guarantee: t.Guarantee}
	}
	for _, j := range s.Jobs {
		t := byName[j.Record.Team]
		if t == nil {
			t = &Team{Name: j.Record.Team} // of an earlier configuration
			byName[t.Name] = t
		}
		if n := j.Count().Accelerators; s.Priority(j) == 0 {
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

// Explain says in one sentence why j is in its state. Waiting is the planner's
// reason for the items that wait, empty if it is not known.
func (s *System) Explain(j *Job, waiting string) string {
	c := j.Count()
	attempts := s.Config.AttemptsOf(j.Record)
	switch j.State() {
	case workflow.StateComplete:
		return fmt.Sprintf("All %d items are done.", c.Items)
	case workflow.StateCanceled:
		return fmt.Sprintf("A caller cancelled the job; %d of %d items were done.", c.Done, c.Items)
	case workflow.StateFailed:
		return fmt.Sprintf("An item failed %d times, and its queue allows %d attempts; %d of %d items were done.", c.Failed, attempts, c.Done, c.Items)
	}
	text := fmt.Sprintf("%d of %d items are done", c.Done, c.Items)
	if c.Running > 0 {
		text += fmt.Sprintf(", %d run on %s", c.Running, strings.Join(c.Workers, ", "))
	}
	wait := c.Items - c.Done - c.Running
	switch {
	case j.Cancelled:
		return text + "; the job is cancelled and its runs are being stopped."
	case wait == 0:
		return text + "."
	case s.Planner == nil:
		return text + fmt.Sprintf(", %d wait: no entry plans at the moment.", wait)
	case waiting == "":
		return text + fmt.Sprintf(", %d wait; the planner %s did not tell why.", wait, s.Planner.Entry)
	}
	return text + fmt.Sprintf(", %d wait: %s.", wait, waiting)
}
