package worker

import (
	"fmt"
	"strconv"
	"time"

	"snipegw/internal/workerapi"
)

const (
	// failAfter is the run time of a task on a worker that fails every task.
	failAfter = 50 * time.Millisecond
	// memoryAfter is the run time after which a task holds its memory.
	memoryAfter = 200 * time.Millisecond
	// defaultRun is the run time of a command without one.
	defaultRun = time.Second
	// idleMemoryGB is the memory of a task that declares none.
	idleMemoryGB = 0.5
	// keepSamples bounds the usage samples of a task.
	keepSamples = 4096
)

// task is a simulated task. Work grows with time, at the rate of the throttle.
type task struct {
	spec    workerapi.Task
	state   workerapi.TaskState
	reason  string
	started time.Time
	ended   time.Time
	lease   time.Time // end of the lease

	totalMS  float64 // work after which the task is done
	workMS   float64 // work at since
	since    time.Time
	rate     float64 // work per millisecond
	keptMS   float64 // work preserved by the latest checkpoint
	failAt   time.Time
	failWhy  string
	failAs   workerapi.TaskState
	memoryGB float64
	samples  []sample
}

// sample is the usage at a time.
type sample struct {
	at       time.Time
	memoryGB float64
	cores    float64
}

// newTask interprets the command: sleep MS, fail MS, or memory GB [MS].
func newTask(spec workerapi.Task, now time.Time, fail bool) (*task, error) {
	t := &task{
		spec: spec, state: workerapi.TaskRunning, started: now, since: now, rate: 1,
		lease:   now.Add(time.Duration(spec.LeaseMS) * time.Millisecond),
		totalMS: float64(defaultRun.Milliseconds()), workMS: float64(spec.ResumeMS),
		keptMS: float64(spec.ResumeMS), memoryGB: idleMemoryGB,
	}
	if err := t.parse(spec.Command); err != nil {
		return nil, err
	}
	if t.memoryGB > float64(spec.Resources.MemoryGB) && t.memoryGB > idleMemoryGB {
		t.failsAt(now.Add(memoryAfter), workerapi.TaskOutOfMemory, fmt.Sprintf("used %g GB, limit %d GB", t.memoryGB, spec.Resources.MemoryGB))
	}
	if fail {
		t.failsAt(now.Add(failAfter), workerapi.TaskFailed, "worker fault")
	}
	return t, nil
}

func (t *task) failsAt(at time.Time, as workerapi.TaskState, why string) {
	t.failAt, t.failAs, t.failWhy = at, as, why
}

func (t *task) parse(command []string) error {
	if len(command) == 0 {
		return nil
	}
	values := make([]float64, len(command)-1)
	for i, arg := range command[1:] {
		v, err := strconv.ParseFloat(arg, 64)
		if err != nil || v < 0 {
			return fmt.Errorf("command %q: argument %d must be a number", command, i+1)
		}
		values[i] = v
	}
	switch {
	case command[0] == "sleep" && len(values) == 1:
		t.totalMS = values[0]
	case command[0] == "fail" && len(values) == 1:
		t.totalMS = values[0] + 1
		t.failsAt(t.started.Add(milliseconds(values[0])), workerapi.TaskFailed, "command failed")
	case command[0] == "memory" && (len(values) == 1 || len(values) == 2):
		t.memoryGB = values[0]
		if len(values) == 2 {
			t.totalMS = values[1]
		}
	default:
		return fmt.Errorf("command %q is not one of: sleep MS, fail MS, memory GB [MS]", command)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// work returns the work done at a time while the task runs.
func (t *task) work(at time.Time) float64 {
	return t.workMS + t.rate*float64(at.Sub(t.since))/float64(time.Millisecond)
}

// setRate changes the rate from now on.
func (t *task) setRate(now time.Time, share float64) {
	t.workMS, t.since = t.work(now), now
	t.spec.Throttle = share
	t.rate = 1
	if share > 0 && share < 1 {
		t.rate = share
	}
}

// nextEnd returns the earliest end of the task and its cause.
func (t *task) nextEnd() (time.Time, workerapi.TaskState, string) {
	at, state, reason := t.lease, workerapi.TaskLeaseExpired, "lease lapsed"
	if !t.failAt.IsZero() && t.failAt.Before(at) {
		at, state, reason = t.failAt, t.failAs, t.failWhy
	}
	if done := t.since.Add(milliseconds(max(0, t.totalMS-t.workMS) / t.rate)); done.Before(at) {
		at, state, reason = done, workerapi.TaskDone, ""
	}
	return at, state, reason
}

// sample records the present usage.
func (t *task) sample(now time.Time) {
	memory := t.memoryGB
	if now.Sub(t.started) < memoryAfter {
		memory = min(memory, idleMemoryGB)
	}
	s := sample{at: now, memoryGB: memory, cores: float64(t.spec.Resources.Cores) * t.rate}
	if n := len(t.samples); n > 0 && t.samples[n-1].memoryGB == s.memoryGB && t.samples[n-1].cores == s.cores {
		return
	}
	if len(t.samples) >= keepSamples {
		t.samples = t.samples[keepSamples/2:]
	}
	t.samples = append(t.samples, s)
}

// usage returns the usage as it was at a time.
func (t *task) usage(at time.Time) (workerapi.Usage, bool) {
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

// view returns the task as the interface shows it.
func (t *task) view(now time.Time) workerapi.Task {
	v := t.spec
	v.State, v.Reason = t.state, t.reason
	v.StartedMS = t.started.UnixMilli()
	v.CheckpointedMS = int64(t.keptMS)
	v.LeaseMS = 0
	if t.state == workerapi.TaskRunning {
		v.LeaseMS = max(0, t.lease.Sub(now).Milliseconds())
	} else {
		v.EndedMS = t.ended.UnixMilli()
	}
	return v
}
