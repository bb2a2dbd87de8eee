package worker

import (
	"fmt"
	"strconv"
	"time"

	"snipegw/internal/workerapi"
)

const (
	// taskFaultDelay is how long a task runs on a worker that fails every task.
	taskFaultDelay = 50 * time.Millisecond
	// memoryUseDelay is the time from the start of a task until it uses all its
	// memory.
	memoryUseDelay = 200 * time.Millisecond
	// defaultRunTime is the run time of a task whose command states none.
	defaultRunTime = time.Second
	// idleMemoryGB is the most memory in GB that a task uses until memoryUseDelay has
	// passed, and the memory that it uses throughout if its command states none.
	idleMemoryGB = 0.5
	// maxSamples limits the usage samples of a task. A full list drops its older
	// half.
	maxSamples = 4096
)

// task is a simulated task. Its work grows with time, at a rate that the throttle
// sets. One unit of work is a millisecond at full rate.
type task struct {
	spec     workerapi.Task
	state    workerapi.TaskState
	reason   string
	started  time.Time
	ended    time.Time
	leaseEnd time.Time // when the lease expires

	totalWorkMS  float64 // work after which the task is done
	workMS       float64 // work done at workSince
	workSince    time.Time
	rate         float64 // work per millisecond, 1 if not throttled
	checkpointMS float64 // work preserved by the latest checkpoint
	failAt       time.Time
	failReason   string
	failState    workerapi.TaskState
	memoryGB     float64
	samples      []usageSample
}

// usageSample is the resource usage from a time on.
type usageSample struct {
	at       time.Time
	memoryGB float64
	cores    float64
}

// newTask returns a task that runs from now on. Its command is sleep MS, fail MS, or
// memory GB [MS]. If fail is set, the task fails after taskFaultDelay.
func newTask(spec workerapi.Task, now time.Time, fail bool) (*task, error) {
	t := &task{
		spec: spec, state: workerapi.TaskRunning, started: now, workSince: now, rate: 1,
		leaseEnd:    now.Add(time.Duration(spec.LeaseMS) * time.Millisecond),
		totalWorkMS: float64(defaultRunTime.Milliseconds()), workMS: float64(spec.ResumeMS),
		checkpointMS: float64(spec.ResumeMS), memoryGB: idleMemoryGB,
	}
	if err := t.parseCommand(spec.Command); err != nil {
		return nil, err
	}
	if t.memoryGB > float64(spec.Resources.MemoryGB) && t.memoryGB > idleMemoryGB {
		t.scheduleFailure(now.Add(memoryUseDelay), workerapi.TaskOutOfMemory, fmt.Sprintf("used %g GB, limit %d GB", t.memoryGB, spec.Resources.MemoryGB))
	}
	if fail {
		t.scheduleFailure(now.Add(taskFaultDelay), workerapi.TaskFailed, "worker fault")
	}
	return t, nil
}

func (t *task) scheduleFailure(at time.Time, as workerapi.TaskState, why string) {
	t.failAt, t.failState, t.failReason = at, as, why
}

func (t *task) parseCommand(command []string) error {
	if len(command) == 0 {
		return nil
	}
	values := make([]float64, len(command)-1)
	for i, arg := range command[1:] {
		v, err := strconv.ParseFloat(arg, 64)
		if err != nil || v < 0 {
			return fmt.Errorf("command %q: argument %d must be a number that is not negative", command, i+1)
		}
		values[i] = v
	}
	switch {
	case command[0] == "sleep" && len(values) == 1:
		t.totalWorkMS = values[0]
	case command[0] == "fail" && len(values) == 1:
		t.totalWorkMS = values[0] + 1
		t.scheduleFailure(t.started.Add(milliseconds(values[0])), workerapi.TaskFailed, "command failed")
	case command[0] == "memory" && (len(values) == 1 || len(values) == 2):
		t.memoryGB = values[0]
		if len(values) == 2 {
			t.totalWorkMS = values[1]
		}
	default:
		return fmt.Errorf("command %q is not one of: sleep MS, fail MS, memory GB [MS]", command)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// workAt returns the work of a running task at a time.
func (t *task) workAt(at time.Time) float64 {
	return t.workMS + t.rate*float64(at.Sub(t.workSince))/float64(time.Millisecond)
}

// setThrottle changes the rate of work from now on to share, a number between 0 and
// 1. Any other value removes the throttle.
func (t *task) setThrottle(now time.Time, share float64) {
	t.workMS, t.workSince = t.workAt(now), now
	t.spec.Throttle = share
	t.rate = 1
	if share > 0 && share < 1 {
		t.rate = share
	}
}

// nextEnd returns when the task ends unless something changes, its state after that,
// and the reason.
func (t *task) nextEnd() (time.Time, workerapi.TaskState, string) {
	at, state, reason := t.leaseEnd, workerapi.TaskLeaseExpired, "lease lapsed"
	if !t.failAt.IsZero() && t.failAt.Before(at) {
		at, state, reason = t.failAt, t.failState, t.failReason
	}
	if done := t.workSince.Add(milliseconds(max(0, t.totalWorkMS-t.workMS) / t.rate)); done.Before(at) {
		at, state, reason = done, workerapi.TaskDone, ""
	}
	return at, state, reason
}

// recordUsage adds a usage sample if the usage has changed.
func (t *task) recordUsage(now time.Time) {
	memory := t.memoryGB
	if now.Sub(t.started) < memoryUseDelay {
		memory = min(memory, idleMemoryGB)
	}
	s := usageSample{at: now, memoryGB: memory, cores: float64(t.spec.Resources.Cores) * t.rate}
	if n := len(t.samples); n > 0 && t.samples[n-1].memoryGB == s.memoryGB && t.samples[n-1].cores == s.cores {
		return
	}
	if len(t.samples) >= maxSamples {
		t.samples = t.samples[maxSamples/2:]
	}
	t.samples = append(t.samples, s)
}

// usageAt returns the usage at a time, and whether a sample of that time or an
// earlier one exists.
func (t *task) usageAt(at time.Time) (workerapi.Usage, bool) {
	u := workerapi.Usage{ID: t.spec.ID}
	found := false
	for _, s := range t.samples {
		if s.at.After(at) {
			break
		}
		found = true
		u.MemoryGB, u.Cores = s.memoryGB, s.cores
		u.PeakMemoryGB = max(u.PeakMemoryGB, s.memoryGB)
	}
	return u, found
}

// apiTask returns the task as the worker interface represents it.
func (t *task) apiTask(now time.Time) workerapi.Task {
	v := t.spec
	v.State, v.Reason = t.state, t.reason
	v.StartedMS = t.started.UnixMilli()
	v.CheckpointedMS = int64(t.checkpointMS)
	v.LeaseMS = 0
	if t.state == workerapi.TaskRunning {
		v.LeaseMS = max(0, t.leaseEnd.Sub(now).Milliseconds())
	} else {
		v.EndedMS = t.ended.UnixMilli()
	}
	return v
}
