// Package admission checks jobs before they reach the planner.
package admission

import (
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Bounds of a job.
const (
	maxIDBytes      = 64
	maxTasks        = 1024
	maxPerTask      = 1 << 20
	maxCommandParts = 256
	maxCommandBytes = 16 << 10
	maxDurationMS   = 366 * 24 * 3600 * 1000
)

// CheckID accepts a job id of 1 to 64 letters, digits, '.', '_' and '-'.
func CheckID(id string) error {
	ok := len(id) >= 1 && len(id) <= maxIDBytes
	for i := 0; ok && i < len(id); i++ {
		c := id[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		ok = letter || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-'
	}
	if !ok {
		return result.Errorf(result.BadRequest, "the job id %.80q must have 1 to %d letters, digits, '.', '_' or '-'", id, maxIDBytes)
	}
	return nil
}

// CheckJob checks the fields of a job.
func CheckJob(j *model.Job) error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	switch j.Class {
	case model.ClassGuaranteed, model.ClassPreemptible, model.ClassUrgent:
	default:
		return bad("the field class is %.40q and must be guaranteed, preemptible or urgent", j.Class)
	}
	if err := checkShape(j.Shape); err != nil {
		return err
	}
	if j.DeclaredMS < 0 || j.DeclaredMS > maxDurationMS || j.CheckpointMS < 0 || j.CheckpointMS > maxDurationMS {
		return bad("the fields declared_ms and checkpoint_ms must be from 0 to %d", maxDurationMS)
	}
	bytes := 0
	for _, part := range j.Command {
		bytes += len(part)
	}
	if len(j.Command) > maxCommandParts || bytes > maxCommandBytes {
		return bad("the field command has %d parts with %d bytes and may have %d parts with %d bytes", len(j.Command), bytes, maxCommandParts, maxCommandBytes)
	}
	return nil
}

func bad(format string, args ...any) error {
	return result.Errorf(result.BadRequest, format, args...)
}

func checkShape(s model.Shape) error {
	switch s.Adjacent {
	case model.AdjacentHost, model.AdjacentRack, model.AdjacentFailureDomain, model.AdjacentAny:
	default:
		return bad("the field shape.adjacent is %.40q and must be host, rack, failure_domain or any", s.Adjacent)
	}
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return bad("the field shape.tasks is %d and must be from 1 to %d", s.Tasks, maxTasks)
	}
	for _, n := range []int{s.AcceleratorsPerTask, s.CoresPerTask, s.MemoryGBPerTask} {
		if n < 0 || n > maxPerTask {
			return bad("the resources per task of the shape must be from 0 to %d", maxPerTask)
		}
	}
	if s.PerTask() == (model.Resources{}) {
		return bad("the shape asks for no resources; set accelerators_per_task, cores_per_task or memory_gb_per_task")
	}
	return nil
}

// CheckFits refuses a shape that would not fit the workers of the view even if
// all were idle. With no worker known it accepts, and the planner decides.
func CheckFits(j *model.Job, v *members.View) error {
	if len(v.Workers) == 0 {
		return nil
	}
	need := j.Shape.PerTask()
	var largest model.Resources
	places := make(map[string]int)
	for _, w := range v.Workers {
		c := w.State.Worker.Capacity
		largest = model.Resources{
			Accelerators: max(largest.Accelerators, c.Accelerators),
			Cores:        max(largest.Cores, c.Cores),
			MemoryGB:     max(largest.MemoryGB, c.MemoryGB),
		}
		places[group(j.Shape.Adjacent, w.State.Worker)] += tasksOn(need, c)
	}
	most := 0
	for _, n := range places {
		most = max(most, n)
	}
	if most >= j.Shape.Tasks {
		return nil
	}
	if most == 0 {
		return result.Errorf(result.ImpossibleShape,
			"one task needs %d accelerators, %d cores and %d GB, and no worker has them together; no worker has more than %d accelerators, %d cores or %d GB",
			need.Accelerators, need.Cores, need.MemoryGB, largest.Accelerators, largest.Cores, largest.MemoryGB)
	}
	return result.Errorf(result.ImpossibleShape,
		"the shape asks for %d tasks within adjacency %s, and at most %d fit; ask for fewer tasks or a wider adjacency",
		j.Shape.Tasks, j.Shape.Adjacent, most)
}

// group names the set of workers that a gang with adjacency a may share with w.
func group(a model.Adjacency, w model.Worker) string {
	switch a {
	case model.AdjacentHost:
		return w.ID
	case model.AdjacentRack:
		return w.FailureDomain + "\x00" + w.Rack
	case model.AdjacentFailureDomain:
		return w.FailureDomain
	}
	return ""
}

// tasksOn returns the number of tasks that fit on a worker.
func tasksOn(need, capacity model.Resources) int {
	n := maxTasks
	limit := func(need, have int) {
		if need > 0 {
			n = min(n, have/need)
		}
	}
	limit(need.Accelerators, capacity.Accelerators)
	limit(need.Cores, capacity.Cores)
	limit(need.MemoryGB, capacity.MemoryGB)
	return n
}
