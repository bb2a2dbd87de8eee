package platformworker

import (
	"strings"
	"sync"
	"time"
)

// Pool is a set of workers and the record of all runs on them.
type Pool struct {
	mu         sync.Mutex
	workers    []*Worker
	runs       map[string][]*run // by item
	acked      map[string]bool   // items that the system has acknowledged as done
	violations []string
}

// NewPool returns an empty Pool.
func NewPool() *Pool { return &Pool{runs: make(map[string][]*run), acked: make(map[string]bool)} }

// Violations returns the violations so far. A violation is one of these: two runs of an
// item at the same time; a start of an item after a run of it was done, if the system
// acknowledged that end before the worker's lease expired; more accelerators in use than
// the worker has; the third start or a later one of an item that crashes workers, after three
// had crashed under it.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.violations...)
}

// LastStart returns the time of the latest start of a run for a job, zero if there was
// none.
func (p *Pool) LastStart(job string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for item, runs := range p.runs {
		if strings.HasPrefix(item, job+".") {
			for _, r := range runs {
				if r.arrivedAt.After(last) {
					last = r.arrivedAt
				}
			}
		}
	}
	return last
}

// LastStartIn returns the time of the latest start of a run on the workers of a zone, zero if there
// was none.
func (p *Pool) LastStartIn(zone string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, runs := range p.runs {
		for _, r := range runs {
			if r.worker.zone == zone && r.arrivedAt.After(last) {
				last = r.arrivedAt
			}
		}
	}
	return last
}

// Starts returns the number of runs that have started.
func (p *Pool) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, runs := range p.runs {
		n += len(runs)
	}
	return n
}

// Crashes returns the largest number of runs of one item of a job that ended with their worker.
func (p *Pool) Crashes(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for item, runs := range p.runs {
		n := 0
		for _, r := range runs {
			if r.outcome == "gone" {
				n++
			}
		}
		if strings.HasPrefix(item, job+".") {
			most = max(most, n)
		}
	}
	return most
}

// RunOutcomes returns the outcomes of all runs of an item in the order of their starts. The
// outcome of a run that has not ended is empty.
func (p *Pool) RunOutcomes(item string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, r := range p.runs[item] {
		out = append(out, r.outcome)
	}
	return out
}
