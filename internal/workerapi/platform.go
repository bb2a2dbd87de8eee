// Package workerapi defines access to the worker interface of the platform: it
// runs tasks under leases and can checkpoint, throttle or stop them.
package workerapi

import (
	"context"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

// TaskState is the state of a task at the worker.
type TaskState string

// States of a task. A task that is not running holds no resources.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	// TaskLapsed is a task that the worker ended because its lease lapsed.
	TaskLapsed TaskState = "lapsed"
	// TaskOutOfMemory is a task that used more memory than it asked for.
	TaskOutOfMemory TaskState = "out_of_memory"
)

// Task is one task of a gang as the worker sees it.
type Task struct {
	// ID is job/attempt/rank.
	ID        string          `json:"id"`
	Resources model.Resources `json:"resources"`
	Command   []string        `json:"command,omitempty"`
	// Labels hold job, attempt, rank and member list for the agent's successor.
	Labels map[string]string `json:"labels,omitempty"`
	// LeaseMS is the remaining lease in milliseconds.
	LeaseMS int64     `json:"lease_ms"`
	State   TaskState `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	// StartedMS and EndedMS are Unix milliseconds; 0 is not yet.
	StartedMS int64 `json:"started_ms"`
	EndedMS   int64 `json:"ended_ms,omitempty"`
	// ResumeMS is the run time preserved by earlier checkpoints; the task
	// continues from there.
	ResumeMS int64 `json:"resume_ms,omitempty"`
	// CheckpointMS is the run time that the latest checkpoint preserves.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
	// Throttle is the share of the processor that the task may use, from 0 to
	// 1; 0 is unlimited.
	Throttle float64 `json:"throttle,omitempty"`
}

// Usage is the reported usage of a task. It lags behind.
type Usage struct {
	ID           string  `json:"id"`
	MemoryGB     float64 `json:"memory_gb"`
	PeakMemoryGB float64 `json:"peak_memory_gb"`
	Cores        float64 `json:"cores"`
	AgeMS        int64   `json:"age_ms"`
}

// WorkerAPI is the worker interface. Errors without an answer are ambiguous:
// the order may have taken effect. Implementations are safe for concurrent use.
type WorkerAPI interface {
	// Worker describes the worker.
	Worker(ctx context.Context) (model.Worker, error)
	// Tasks lists the tasks that run and those that ended in the last minutes.
	Tasks(ctx context.Context) ([]Task, error)
	// Run starts a task under a lease. Running the same id again is idempotent.
	Run(ctx context.Context, t Task, lease time.Duration) (Task, error)
	// Renew extends the lease of a task and returns its state.
	Renew(ctx context.Context, id string, lease time.Duration) (Task, error)
	// Checkpoint preserves the work of a task and returns its state.
	Checkpoint(ctx context.Context, id string) (Task, error)
	// Throttle limits a task to a share of the processor.
	Throttle(ctx context.Context, id string, share float64) error
	// Stop ends a task and returns its last state.
	Stop(ctx context.Context, id string) (Task, error)
	// Usage returns the latest reported usage.
	Usage(ctx context.Context) ([]Usage, error)
}

// Settings are the settings of a worker interface plug-in.
type Settings struct {
	// Type is the registered name of the plug-in.
	Type string `json:"type"`
	// Address is the base URL of the interface on loopback.
	Address string `json:"address"`
	// TimeoutMS bounds a call, in milliseconds.
	TimeoutMS int `json:"timeout_ms"`
}

// Plugins holds the registered worker interfaces.
var Plugins = kernel.NewRegistry[func(Settings) (WorkerAPI, error)]("worker interface")

// Open returns the worker interface that s names.
func Open(s Settings) (WorkerAPI, error) {
	open, err := Plugins.Get(s.Type)
	if err != nil {
		return nil, err
	}
	return open(s)
}
