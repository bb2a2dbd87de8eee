// Package workerapi defines the client side of the platform's worker interface,
// which runs tasks under leases and can checkpoint, throttle and stop them.
package workerapi

import (
	"context"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

// TaskState is the state of a task at the worker.
type TaskState string

// States of a task. Only a running task holds resources.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	// TaskLeaseExpired is the state of a task that the worker ended because its lease
	// expired.
	TaskLeaseExpired TaskState = "lapsed"
	// TaskOutOfMemory is the state of a task that the worker ended because it used
	// more memory than it had requested.
	TaskOutOfMemory TaskState = "out_of_memory"
)

// Task is one task of a gang as the worker reports it.
type Task struct {
	// ID has the form job/attempt/rank.
	ID        string          `json:"id"`
	Resources model.Resources `json:"resources"`
	Command   []string        `json:"command,omitempty"`
	// Labels holds the job, attempt, rank and member list, from which an agent
	// that restarts recovers the task.
	Labels map[string]string `json:"labels,omitempty"`
	// LeaseMS is the remaining lease duration in milliseconds.
	LeaseMS int64     `json:"lease_ms"`
	State   TaskState `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	// StartedMS and EndedMS are in Unix milliseconds; 0 means that the event has
	// not happened.
	StartedMS int64 `json:"started_ms"`
	EndedMS   int64 `json:"ended_ms,omitempty"`
	// ResumeMS is the work preserved by checkpoints of earlier attempts, in
	// milliseconds of run time. The task continues from there.
	ResumeMS int64 `json:"resume_ms,omitempty"`
	// CheckpointedMS is the work preserved by the latest checkpoint, in
	// milliseconds of run time.
	CheckpointedMS int64 `json:"checkpoint_ms,omitempty"`
	// Throttle is the share of the processor time that the task may use, from 0
	// to 1; 0 means unlimited.
	Throttle float64 `json:"throttle,omitempty"`
}

// Usage is the resource usage of a task as the worker last sampled it, AgeMS
// milliseconds ago.
type Usage struct {
	ID           string  `json:"id"`
	MemoryGB     float64 `json:"memory_gb"`
	PeakMemoryGB float64 `json:"peak_memory_gb"`
	Cores        float64 `json:"cores"`
	AgeMS        int64   `json:"age_ms"`
}

// WorkerAPI is the worker interface of the platform. The error of a call that may
// have taken effect, although no usable response was received, has the code
// result.OutcomeUnknown. Implementations are safe for concurrent use.
type WorkerAPI interface {
	// Worker describes the worker.
	Worker(ctx context.Context) (model.Worker, error)
	// Tasks returns the running tasks and those that ended in the last minutes.
	Tasks(ctx context.Context) ([]Task, error)
	// Run starts a task under a lease and returns its state. It is idempotent: an
	// id that runs or has ended is not started again.
	Run(ctx context.Context, t Task, lease time.Duration) (Task, error)
	// Renew extends the lease of a task and returns its state.
	Renew(ctx context.Context, id string, lease time.Duration) (Task, error)
	// Checkpoint preserves the work of a task and returns its state.
	Checkpoint(ctx context.Context, id string) (Task, error)
	// Throttle limits a task to a share of the processor time, from 0 to 1; 0 removes
	// the limit.
	Throttle(ctx context.Context, id string, share float64) error
	// Stop ends a task and returns its last state.
	Stop(ctx context.Context, id string) (Task, error)
	// Usage returns the latest usage sample of each task. Samples lag behind the
	// actual usage.
	Usage(ctx context.Context) ([]Usage, error)
}

// Settings are the settings of a worker interface plug-in.
type Settings struct {
	// Type is the registered name of the plug-in.
	Type string `json:"type"`
	// Address is the base URL of the interface on loopback.
	Address string `json:"address"`
	// TimeoutMS is the timeout of one call in milliseconds; 0 selects the default of
	// the plug-in.
	TimeoutMS int `json:"timeout_ms"`
}

// Plugins holds the constructors of the worker interface plug-ins.
var Plugins = kernel.NewRegistry[func(Settings) (WorkerAPI, error)]("worker interface")

// Open returns a client of the worker interface, created by the plug-in named
// s.Type.
func Open(s Settings) (WorkerAPI, error) {
	open, err := Plugins.Get(s.Type)
	if err != nil {
		return nil, err
	}
	return open(s)
}
