package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployments that a worker keeps.
const (
	maxHold       = 6 * time.Second
	stopDelay     = 60 * time.Millisecond // a stop takes at most stopTimeoutMs
	gangTimeout   = 3 * time.Second
	startupTime   = 300 * time.Millisecond // of items that last
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
)

// Spec is what the spec of the jobs of a case says about a run.
type Spec struct {
	MS     int64 `json:"ms"`    // run time; items with Lasts run until they are stopped
	Lasts  bool  `json:"lasts"` // long-running
	Gang   int   `json:"gang"`
	FailMS int64 `json:"failMs"` // run time after which a run ends as failed, 0 for never
	Pad    string
}

// Run is one run of a work item.
type Run struct {
	Task     string
	Number   int
	Worker   string
	Began    time.Time // start of the run time, zero while a gang member waits
	Arrived  time.Time
	Ended    time.Time
	How      string // empty while it runs; "crash" when its worker went down
	spec     Spec
	stopping time.Time
}

// Worker is a stand-in for a worker: one slot for one life of a machine after another.
type Worker struct {
	fleet   *Fleet
	record  *Record
	name    string
	addr    string
	control string
	service string
	labels  []string
	cap     Capacity

	mu        sync.Mutex
	up        bool
	id        string
	born      time.Time
	clockBase int64
	token     uint64
	leaseEnd  int64 // on its clock
	running   []*Run
	ended     [][]any
	endNumber int
	highest   map[string]int
	seq       int
	draining  bool
	server    *http.Server
	wake      chan struct{}
	Runs      []*Run // all runs of all lives
}

// Capacity is the room of a worker.
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPUs  int64 `json:"gpus"`
}

// Start begins a new life of the worker under the id that it had.
func (w *Worker) Start() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.born, w.clockBase = true, time.Now(), rand.Int64N(100_000)+1000
	w.token, w.leaseEnd, w.running, w.ended, w.endNumber, w.highest, w.seq, w.draining = 0, 0, nil, nil, 0, map[string]int{}, 0, false
	mux := http.NewServeMux()
	life := w.born
	for path, f := range map[string]func(*order) (int, map[string]any){"/api/run-start": w.start, "/api/run-stop": w.stop, "/api/hold": w.hold, "/api/pace": func(*order) (int, map[string]any) { return 200, map[string]any{} }} {
		mux.HandleFunc("POST "+path, w.handle(f, life))
	}
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.record.Printf("worker %s: up, id %s, born %d", w.name, w.id, w.bornMS())
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Crash ends the life of the worker: all that runs there ends, and it knows nothing afterwards.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.up = false
	n := 0
	for _, r := range w.running {
		r.How, r.Ended = "crash", time.Now()
		n++
	}
	w.running = nil
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.record.Printf("worker %s: down, %d runs end with it", w.name, n)
}

func (w *Worker) bornMS() int64 { return w.born.UnixMilli() }

func (w *Worker) clock() int64 { return w.clockBase + time.Since(w.born).Milliseconds() }

// Announce sends check-ins to the worker's machine until the process ends.
func (w *Worker) Announce() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		state := "ready"
		if w.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": w.service, "address": w.addr, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0, "remainingMs": 0,
			"capacity": w.cap, "labels": w.labels, "timestampMs": w.clock(), "seq": w.seq, "born": w.bornMS(),
		})
		up, id := w.up, w.id
		w.mu.Unlock()
		wait := heartbeat
		if up {
			resp, err := client.Post("http://"+w.control+"/api/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
			} else {
				wait = 300 * time.Millisecond
			}
		}
		select {
		case <-w.wake:
		case <-time.After(wait):
		}
	}
}

type order struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *Worker) handle(f func(*order) (int, map[string]any), life time.Time) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if !w.up || !w.born.Equal(life) {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
			w.mu.Unlock()
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := f(&o)
		body["timestampMs"], body["born"], body["id"] = w.clock(), w.bornMS(), w.id
		alive := w.up && w.born.Equal(life)
		w.mu.Unlock()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		reply(rw, status, body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *Worker) extend(o *order) {
	w.token = max(w.token, o.FencingToken)
	w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, w.clock()+maxHold.Milliseconds()))
}

func (w *Worker) start(o *order) (int, map[string]any) {
	w.advance()
	switch {
	case o.FencingToken < w.token:
		return conflict("fence")
	case o.DeadlineMs <= w.clock():
		return conflict("late")
	}
	w.extend(o)
	for _, r := range w.running {
		if r.Task == o.Task && r.Number == o.RunID {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.RunID <= w.highest[o.Task] {
		return conflict("old")
	}
	r := &Run{Task: o.Task, Number: o.RunID, Worker: w.name, Arrived: time.Now()}
	if json.Unmarshal([]byte(o.Spec), &r.spec) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if r.spec.Gang <= 1 {
		r.Began = r.Arrived
	}
	w.running = append(w.running, r)
	w.Runs = append(w.Runs, r)
	w.record.Printf("worker %s: start %s run %d", w.name, o.Task, o.RunID)
	return http.StatusOK, map[string]any{}
}

func (w *Worker) stop(o *order) (int, map[string]any) {
	w.advance()
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.token = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	for _, r := range w.running {
		if r.Task == o.Task && r.Number == o.RunID && r.stopping.IsZero() {
			r.stopping = time.Now().Add(stopDelay)
			w.record.Printf("worker %s: stop %s run %d", w.name, o.Task, o.RunID)
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *Worker) hold(o *order) (int, map[string]any) {
	w.advance()
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.extend(o)
	for len(w.ended) > 0 && w.ended[0][0].(int) <= o.AckCursor {
		w.ended = w.ended[1:]
	}
	life := w.born
	for until := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, 2*time.Second)); len(w.ended) == 0 && time.Now().Before(until); {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if !w.up || !w.born.Equal(life) {
			break
		}
		w.advance()
	}
	running := make([][]any, 0, len(w.running))
	for _, r := range w.running {
		running = append(running, []any{r.Task, r.Number, "", r.percent(), 0})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": append([][]any{}, w.ended[:min(len(w.ended), maxListedEnds)]...)}
}

func (r *Run) percent() int64 {
	switch {
	case r.Began.IsZero():
		return 0
	case r.spec.Lasts && time.Since(r.Began) >= startupTime:
		return 100
	case r.spec.Lasts:
		return 0
	}
	return min(99, 100*time.Since(r.Began).Milliseconds()/max(r.spec.MS, 1))
}

// advance ends the runs that are due. The caller holds w.mu.
func (w *Worker) advance() {
	now, lapsed := time.Now(), w.leaseEnd > 0 && w.clock() > w.leaseEnd
	kept := w.running[:0]
	for _, r := range w.running {
		how := ""
		switch {
		case !r.stopping.IsZero() && now.After(r.stopping):
			how = "stopped"
		case lapsed:
			how = "lapsed"
		case r.Began.IsZero() && now.Sub(r.Arrived) > gangTimeout:
			how = "alone"
		case !r.Began.IsZero() && r.spec.FailMS > 0 && now.Sub(r.Began).Milliseconds() >= r.spec.FailMS:
			how = "failed"
		case !r.Began.IsZero() && !r.spec.Lasts && now.Sub(r.Began).Milliseconds() >= r.spec.MS:
			how = "done"
		}
		if how == "" {
			kept = append(kept, r)
			continue
		}
		r.How, r.Ended = how, now
		w.endNumber++
		w.ended = append(w.ended, []any{w.endNumber, r.Task, r.Number, how, ""})
		w.highest[r.Task] = max(w.highest[r.Task], r.Number)
		w.record.Printf("worker %s: end %s run %d %s", w.name, r.Task, r.Number, how)
	}
	for i := len(kept); i < len(w.running); i++ {
		w.running[i] = nil
	}
	w.running = kept
}

// Ends counts the ends of the runs of a job by how they ended, over all lives.
func (w *Worker) Ends(job string, into map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, r := range w.Runs {
		if strings.HasPrefix(r.Task, job+".") {
			how := r.How
			if how == "" {
				how = "running"
			}
			into[how]++
		}
	}
}
