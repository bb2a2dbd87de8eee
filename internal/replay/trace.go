// Package replay feeds recorded traces to a scheduling policy and checks the
// stated outcomes. It replays decisions: a placed gang starts at once, runs for
// its recorded time, and faults are those of the trace. The checker and the
// baselines share no code with the planner.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"snipegw/internal/model"
)

// Bounds of a trace.
const (
	maxLineBytes = 16 << 20
	maxEvents    = 1 << 20
	maxTasks     = 1 << 14
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

// traceWorker is a worker of the pool line.
type traceWorker struct {
	ID            string `json:"id"`
	Rack          string `json:"rack"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Accelerators  int    `json:"accelerators"`
	Cores         int    `json:"cores"`
	MemoryGB      int    `json:"memory_gb"`
}

// Event is one line of a trace after the pool and the teams. Times are
// milliseconds from the start.
type Event struct {
	TimeMS int64  `json:"t"`
	Op     Op     `json:"op"`
	Job    string `json:"job"`
	Team   string `json:"team"`
	Worker string `json:"worker"`
	model.Shape
	Class               model.Class `json:"class"`
	DeclaredMS          int64       `json:"declared_ms"`
	ActualMS            int64       `json:"actual_ms"`
	CheckpointMS        int64       `json:"checkpoint_ms"`
	TrueMemoryGBPerTask float64     `json:"true_memory_gb_per_task"`
	NeverRuns           bool        `json:"never_runs"`
}

// Trace is a recorded trace.
type Trace struct {
	Workers []model.Worker
	Teams   []model.Team
	Events  []Event
}

// TraceError names the line of a bad trace and the reason.
type TraceError struct {
	Line   int
	Reason string
}

// Error describes the fault.
func (e *TraceError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// Read reads a trace. Errors are *TraceError.
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

type parser struct {
	trace   *Trace
	jobs    map[string]bool
	workers map[string]bool
	lastMS  int64
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
			return fmt.Errorf("no teams")
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
		return fmt.Errorf("no workers")
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
		return fmt.Errorf("time %d comes after %d", e.TimeMS, p.lastMS)
	}
	p.lastMS = e.TimeMS
	if len(p.trace.Events) >= maxEvents {
		return fmt.Errorf("more than %d events", maxEvents)
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
			return fmt.Errorf("job %q is empty or occurs twice", e.Job)
		}
		if e.Tasks < 1 || e.Tasks > maxTasks || e.AcceleratorsPerTask < 0 || e.CoresPerTask < 0 || e.MemoryGBPerTask < 0 {
			return fmt.Errorf("job %q: shape out of bounds", e.Job)
		}
		p.jobs[e.Job] = true
	case OpCancel:
		if !p.jobs[e.Job] {
			return fmt.Errorf("cancel of unknown job %q", e.Job)
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
