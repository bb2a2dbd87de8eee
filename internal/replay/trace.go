// Package replay runs a scheduling policy against recorded traces in simulated
// time and checks the scheduling requirements: no partial gang, no overcommitted
// worker, guarantees that always pack, claims that start in time, and a bounded
// use of faulty workers.
//
// A placed gang starts at once and runs for its recorded time; the only faults
// are those of the trace. The checker and the baseline policies share no code
// with the planner, so that a fault of the planner can't hide itself.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"snipegw/internal/model"
)

// Limits on the size of a trace.
const (
	maxLineBytes = 16 << 20
	maxEvents    = 1 << 20
	maxTasks     = 1 << 14 // per job
)

// Op is the kind of a trace line.
type Op string

// Kinds of trace lines.
const (
	OpPool          Op = "pool"
	OpTeams         Op = "teams"
	OpSubmit        Op = "submit"
	OpCancel        Op = "cancel"
	OpWorkerDown    Op = "worker_down"
	OpWorkerUp      Op = "worker_up"
	OpWorkerFaulty  Op = "worker_faulty"
	OpWorkerHealthy Op = "worker_healthy"
)

// traceWorker is one worker of the pool line.
type traceWorker struct {
	ID            string `json:"id"`
	Rack          string `json:"rack"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Accelerators  int    `json:"accelerators"`
	Cores         int    `json:"cores"`
	MemoryGB      int    `json:"memory_gb"`
}

// Event is one line of a trace after the lines of the pool and the teams. Which
// fields are set depends on Op.
type Event struct {
	// TimeMS is the time of the event in milliseconds from the start of the trace.
	TimeMS int64  `json:"t"`
	Op     Op     `json:"op"`
	Job    string `json:"job"`
	Team   string `json:"team"`
	Worker string `json:"worker"`
	model.Shape
	Class model.Class `json:"class"`
	// DeclaredMS is the run time that the job declares, ActualMS the one that it needs.
	DeclaredMS int64 `json:"declared_ms"`
	ActualMS   int64 `json:"actual_ms"`
	// CheckpointMS is the interval between two checkpoints, 0 for a job without checkpoints.
	CheckpointMS        int64   `json:"checkpoint_ms"`
	TrueMemoryGBPerTask float64 `json:"true_memory_gb_per_task"` // has no effect on a replay
	// NeverRuns marks a job that fails to start on every worker.
	NeverRuns bool `json:"never_runs"`
}

// Trace is a pool of workers, the teams and the events in order of time.
type Trace struct {
	Workers []model.Worker
	Teams   []model.Team
	Events  []Event
}

// TraceError reports an invalid trace: the number of the line, from 1, and the
// reason. Line is 0 for an empty trace.
type TraceError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *TraceError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Read reads a trace of JSON lines. All its errors are of type *TraceError.
func Read(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	t := &Trace{}
	p := &parser{trace: t, jobs: make(map[string]bool), workers: make(map[string]bool)}
	line := 0
	for scanner.Scan() {
		line++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := p.parseLine(scanner.Bytes()); err != nil {
			return nil, &TraceError{Line: line, Reason: err.Error()}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &TraceError{Line: line + 1, Reason: err.Error()}
	}
	if t.Workers == nil || t.Teams == nil {
		return nil, &TraceError{Line: line, Reason: "a trace begins with a pool line and a teams line"}
	}
	return t, nil
}

// parser collects the lines of a trace. It checks each line by itself and against the lines before
// it.
type parser struct {
	trace   *Trace
	jobs    map[string]bool // IDs of the jobs submitted so far
	workers map[string]bool // IDs of the workers of the pool
	lastMS  int64           // time of the last event
}

func (p *parser) parseLine(data []byte) error {
	var head struct {
		Op      Op            `json:"op"`
		Workers []traceWorker `json:"workers"`
		Teams   []model.Team  `json:"teams"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return err
	}
	switch head.Op {
	case OpPool:
		return p.addWorkers(head.Workers)
	case OpTeams:
		if len(head.Teams) == 0 {
			return fmt.Errorf("the teams line lists no teams")
		}
		p.trace.Teams = head.Teams
		return nil
	}
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	return p.addEvent(e)
}

func (p *parser) addWorkers(workers []traceWorker) error {
	if len(workers) == 0 {
		return fmt.Errorf("the pool line lists no workers")
	}
	for _, w := range workers {
		if p.workers[w.ID] {
			return fmt.Errorf("worker %q occurs twice", w.ID)
		}
		p.workers[w.ID] = true
		p.trace.Workers = append(p.trace.Workers, model.Worker{
			ID: w.ID, Rack: w.Rack, FailureDomain: w.FailureDomain, Region: w.Region,
			Capacity: model.Resources{Accelerators: w.Accelerators, Cores: w.Cores, MemoryGB: w.MemoryGB},
		})
	}
	return nil
}

func (p *parser) addEvent(e Event) error {
	if e.TimeMS < p.lastMS {
		return fmt.Errorf("time %d ms comes after the later time %d ms", e.TimeMS, p.lastMS)
	}
	p.lastMS = e.TimeMS
	if len(p.trace.Events) >= maxEvents {
		return fmt.Errorf("the trace has more than %d events", maxEvents)
	}
	if err := p.checkEvent(e); err != nil {
		return err
	}
	p.trace.Events = append(p.trace.Events, e)
	return nil
}

func (p *parser) checkEvent(e Event) error {
	switch e.Op {
	case OpSubmit:
		if p.jobs[e.Job] || e.Job == "" {
			return fmt.Errorf("job id %q is empty or occurs twice", e.Job)
		}
		if e.Tasks < 1 || e.Tasks > maxTasks || e.AcceleratorsPerTask < 0 || e.CoresPerTask < 0 || e.MemoryGBPerTask < 0 {
			return fmt.Errorf("job %q: the number of tasks or a resource per task is out of range", e.Job)
		}
		p.jobs[e.Job] = true
	case OpCancel:
		if !p.jobs[e.Job] {
			return fmt.Errorf("cancellation of unknown job %q", e.Job)
		}
	case OpWorkerDown, OpWorkerUp, OpWorkerFaulty, OpWorkerHealthy:
		if !p.workers[e.Worker] {
			return fmt.Errorf("unknown worker %q", e.Worker)
		}
	default:
		return fmt.Errorf("unknown op %q", e.Op)
	}
	return nil
}
