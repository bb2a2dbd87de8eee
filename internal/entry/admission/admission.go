// Package admission validates jobs before an entry passes them to the planner.
package admission

import (
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Limits of the fields of a job.
const (
	maxIDBytes         = 64
	maxTasks           = 1024
	maxResourcePerTask = 1 << 20
	maxCommandBytes    = 16 << 10
	maxDurationMS      = 366 * 24 * 3600 * 1000
)

// CheckID checks that a job id consists of 1 to 64 letters, digits, '.', '_' or
// '-'. It fails with result.BadRequest.
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

// CheckJob checks the fields of a job without regard to the workers. It fails with
// result.BadRequest.
func CheckJob(j *model.Job) error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	switch j.Class {
	case model.ClassGuaranteed, model.ClassPreemptible, model.ClassUrgent:
	default:
		return badRequest("the field class is %.40q and must be guaranteed, preemptible or urgent", j.Class)
	}
	if err := checkShape(j.Shape); err != nil {
		return err
	}
	if j.DeclaredMS < 0 || j.DeclaredMS > maxDurationMS || j.CheckpointIntervalMS < 0 || j.CheckpointIntervalMS > maxDurationMS {
		return badRequest("the fields declared_ms and checkpoint_ms must be from 0 to %d", maxDurationMS)
	}
	bytes := 0
	for _, part := range j.Command {
		bytes += len(part)
	}
	if len(j.Command) > model.MaxCommandParts || bytes > maxCommandBytes {
		return badRequest("the field command has %d parts with %d bytes and may have at most %d parts with %d bytes", len(j.Command), bytes, model.MaxCommandParts, maxCommandBytes)
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return result.Errorf(result.BadRequest, format, args...)
}

func checkShape(s model.Shape) error {
	switch s.Adjacent {
	case model.AdjacentHost, model.AdjacentRack, model.AdjacentFailureDomain, model.AdjacentAny:
	default:
		return badRequest("the field shape.adjacent is %.40q and must be host, rack, failure_domain or any", s.Adjacent)
	}
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return badRequest("the field shape.tasks is %d and must be from 1 to %d", s.Tasks, maxTasks)
	}
	for _, n := range []int{s.AcceleratorsPerTask, s.CoresPerTask, s.MemoryGBPerTask} {
		if n < 0 || n > maxResourcePerTask {
			return badRequest("the resources per task of the shape must each be from 0 to %d", maxResourcePerTask)
		}
	}
	if s.PerTask() == (model.Resources{}) {
		return badRequest("the shape asks for no resources; set accelerators_per_task, cores_per_task or memory_gb_per_task")
	}
	return nil
}

// CheckFits fails with result.ImpossibleShape if the shape of the job would not
// fit the workers of the view even if all of them were idle. If the view has no
// workers, it accepts every shape and leaves the decision to the planner.
func CheckFits(j *model.Job, v *members.View) error {
	if len(v.Workers) == 0 {
		return nil
	}
	need := j.Shape.PerTask()
	var largest model.Resources
	tasksByGroup := make(map[string]int)
	for _, w := range v.Workers {
		c := w.State.Worker.Capacity
		largest = model.Resources{
			Accelerators: max(largest.Accelerators, c.Accelerators),
			Cores:        max(largest.Cores, c.Cores),
			MemoryGB:     max(largest.MemoryGB, c.MemoryGB),
		}
		tasksByGroup[adjacencyGroup(j.Shape.Adjacent, w.State.Worker)] += tasksThatFit(need, c)
	}
	maxInGroup := 0
	for _, n := range tasksByGroup {
		maxInGroup = max(maxInGroup, n)
	}
	if maxInGroup >= j.Shape.Tasks {
		return nil
	}
	if maxInGroup == 0 {
		return result.Errorf(result.ImpossibleShape,
			"one task needs %d accelerators, %d cores and %d GB, and no worker has them together; no worker has more than %d accelerators, %d cores or %d GB",
			need.Accelerators, need.Cores, need.MemoryGB, largest.Accelerators, largest.Cores, largest.MemoryGB)
	}
	return result.Errorf(result.ImpossibleShape,
		"the shape asks for %d tasks within adjacency %s, and at most %d fit; ask for fewer tasks or a wider adjacency",
		j.Shape.Tasks, j.Shape.Adjacent, maxInGroup)
}

// adjacencyGroup returns the key of the set of workers, w among them, over which a
// gang with adjacency a may spread.
func adjacencyGroup(a model.Adjacency, w model.Worker) string {
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

// tasksThatFit returns the number of tasks, at most maxTasks, that fit on an idle
// worker with the given capacity.
func tasksThatFit(need, capacity model.Resources) int {
	n := maxTasks
	limitBy := func(need, have int) {
		if need > 0 {
			n = min(n, have/need)
		}
	}
	limitBy(need.Accelerators, capacity.Accelerators)
	limitBy(need.Cores, capacity.Cores)
	limitBy(need.MemoryGB, capacity.MemoryGB)
	return n
}
