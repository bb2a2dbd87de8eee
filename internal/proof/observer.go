package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"snipegw/internal/standin/worker"
)

// observeInterval is the interval between two polls of the workers' logs. The workers record the
// times of events, so the measured times don't depend on it.
const observeInterval = 100 * time.Millisecond

// Observer polls the event logs of the workers and collects the runs of all tasks, without
// relying on the system under test.
type Observer struct {
	workers []*Node
	client  *http.Client
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	lastSeq map[string]uint64   // highest sequence number read, by worker
	runs    map[string]*taskRun // by "task ID@worker ID"
	// refusedTasks counts the tasks that workers refused for lack of resources.
	refusedTasks int
}

// taskRun is one run of a task, with times in Unix milliseconds. endMS is 0 while it runs.
type taskRun struct {
	job     string
	attempt uint64
	rank    int
	worker  string
	startMS int64
	endMS   int64
	state   string
}

// NewObserver returns an observer that polls the workers until Stop.
func NewObserver(workers []*Node) *Observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Observer{
		workers: workers, client: &http.Client{Timeout: 2 * time.Second}, cancel: cancel,
		lastSeq: make(map[string]uint64), runs: make(map[string]*taskRun),
	}
	o.wg.Go(func() {
		for ctx.Err() == nil {
			o.poll()
			select {
			case <-ctx.Done():
			case <-time.After(observeInterval):
			}
		}
	})
	return o
}

// Stop stops polling and polls one last time.
func (o *Observer) Stop() {
	o.cancel()
	o.wg.Wait()
	o.poll()
}

func (o *Observer) poll() {
	for _, w := range o.workers {
		o.mu.Lock()
		since := o.lastSeq[w.ID]
		o.mu.Unlock()
		resp, err := o.client.Get(fmt.Sprintf("%s/standin/log?since=%d", w.URL(), since))
		if err != nil {
			continue
		}
		var events []worker.Event
		err = json.NewDecoder(resp.Body).Decode(&events)
		_ = resp.Body.Close()
		if err == nil {
			o.add(w.ID, events)
		}
	}
}

func (o *Observer) add(workerID string, events []worker.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range events {
		o.lastSeq[workerID] = max(o.lastSeq[workerID], e.Seq)
		key := e.Task + "@" + workerID
		switch e.Event {
		case "refused":
			o.refusedTasks++
		case "start":
			job, attempt, rank := parseTaskID(e.Task)
			o.runs[key] = &taskRun{job: job, attempt: attempt, rank: rank, worker: workerID, startMS: e.AtMS, state: "running"}
		case "end":
			if r := o.runs[key]; r != nil {
				r.endMS, r.state = e.AtMS, string(e.State)
			}
		}
	}
}

// parseTaskID splits a task ID of the form job/attempt/rank; job IDs contain no slash.
func parseTaskID(id string) (job string, attempt uint64, rank int) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 {
		return id, 0, 0
	}
	attempt, _ = strconv.ParseUint(parts[1], 10, 64)
	rank, _ = strconv.Atoi(parts[2])
	return parts[0], attempt, rank
}

// Attempt is one attempt to run a gang, according to the workers' logs.
type Attempt struct {
	Job          string
	Number       uint64
	Started      int   // number of tasks that started
	FirstStartMS int64 // first start, in Unix milliseconds
	LastEndMS    int64 // last end, or the time of the analysis if a task still runs
	// PartialMS is the longest time in milliseconds during which at least one task of the
	// gang ran, but not all of them. Tasks that ended as done count as running.
	PartialMS int64
	// DoneTasks is the number of tasks that ended as done.
	DoneTasks int
	// DuplicateRank is set if two runs of a rank overlapped in time.
	DuplicateRank bool
}

// Attempts returns the attempts of a job whose gang has the given number of tasks, ordered by
// number.
func (o *Observer) Attempts(job string, tasks int) []Attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	byAttempt := make(map[uint64][]*taskRun)
	for _, r := range o.runs {
		if r.job == job {
			byAttempt[r.attempt] = append(byAttempt[r.attempt], r)
		}
	}
	var list []Attempt
	for number, runs := range byAttempt {
		list = append(list, analyzeAttempt(job, number, runs, tasks, time.Now().UnixMilli()))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	return list
}

// transition is the start (delta 1) or the end (delta -1) of a task.
type transition struct {
	atMS  int64
	delta int
	rank  int
}

func analyzeAttempt(job string, number uint64, runs []*taskRun, tasks int, nowMS int64) Attempt {
	a := Attempt{Job: job, Number: number, Started: len(runs)}
	var transitions []transition
	ranks := make(map[int][]*taskRun)
	for _, r := range runs {
		endOrNowMS := r.endMS
		if endOrNowMS == 0 {
			endOrNowMS = nowMS
		}
		if a.FirstStartMS == 0 || r.startMS < a.FirstStartMS {
			a.FirstStartMS = r.startMS
		}
		a.LastEndMS = max(a.LastEndMS, endOrNowMS)
		if r.state == "done" {
			a.DoneTasks++
			// A task that has completed its work is not missing from the gang.
			endOrNowMS = max(endOrNowMS, nowMS)
		}
		for _, other := range ranks[r.rank] {
			if r.startMS < endOrNow(other.endMS, nowMS) && other.startMS < endOrNow(r.endMS, nowMS) {
				a.DuplicateRank = true
			}
		}
		ranks[r.rank] = append(ranks[r.rank], r)
		transitions = append(transitions, transition{r.startMS, 1, r.rank}, transition{endOrNowMS, -1, r.rank})
	}
	a.PartialMS = longestPartial(transitions, tasks, a.LastEndMS)
	return a
}

// endOrNow returns the end of a run, or nowMS if it still runs.
func endOrNow(endMS, nowMS int64) int64 {
	if endMS == 0 {
		return nowMS
	}
	return endMS
}

// longestPartial returns the longest time in milliseconds, up to endMS, during which at least
// one but fewer than tasks ranks ran.
func longestPartial(transitions []transition, tasks int, endMS int64) int64 {
	sort.Slice(transitions, func(i, j int) bool {
		if transitions[i].atMS != transitions[j].atMS {
			return transitions[i].atMS < transitions[j].atMS
		}
		return transitions[i].delta > transitions[j].delta
	})
	var longest, since int64
	running := make(map[int]int) // number of running tasks, by rank
	isPartial := func() bool { return len(running) > 0 && len(running) < tasks }
	for _, t := range transitions {
		wasPartial := isPartial()
		if running[t.rank] += t.delta; running[t.rank] == 0 {
			delete(running, t.rank)
		}
		switch nowPartial := isPartial(); {
		case wasPartial && !nowPartial:
			longest = max(longest, min(t.atMS, endMS)-since)
		case !wasPartial && nowPartial:
			since = t.atMS
		}
	}
	return longest
}

// Running returns the number of running tasks of a job, and the latest of their starts in Unix
// milliseconds.
func (o *Observer) Running(job string) (lastStartMS int64, running int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runs {
		if r.job == job && r.endMS == 0 {
			running++
			lastStartMS = max(lastStartMS, r.startMS)
		}
	}
	return lastStartMS, running
}
