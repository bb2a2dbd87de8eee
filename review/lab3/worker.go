package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the platform, from the sheet of sites/arrieros-sched.toml.
const (
	maxHold      = 6000 // ms, the longest lease
	stopTimeout  = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	maxListed    = 500 // ended runs in one answer
	firstClockMS = 1000
	saveInterval = time.Second
)

// payload is the spec of the items of these cases, as JSON: what the worker does with them.
type payload struct {
	MS   int64 `json:"ms"`   // run time
	Gang int   `json:"gang"` // members of the gang, 0 for none
	Long bool  `json:"long"` // runs until it is stopped
	Fail bool  `json:"fail"` // ends as failed
	Save bool  `json:"save"` // saves its progress
}

type run struct {
	task    string
	number  int
	payload payload
	w       *worker
	arrived time.Time
	began   time.Time // zero while a gang is incomplete
	ended   time.Time
	how     string // empty while it runs
}

// pool holds all workers and the runs on them.
type pool struct {
	mu      sync.Mutex
	workers []*worker
	runs    []*run
	byTask  map[string][]*run
	rec     *record
	quiet   bool // does not record single runs
}

// worker is a stand-in of a worker, as PROTOCOL.md describes it. pool.mu guards its fields.
type worker struct {
	pool     *pool
	name     string
	address  string // of its own interface
	control  string // address of its agent
	service  string
	labels   []string
	cpu, mem int64
	gpus     int64

	up       bool
	life     int // number of starts
	id       string
	started  time.Time
	born     int64         // Unix ms by its time of day
	ahead    time.Duration // of its time of day
	fence    uint64
	leaseEnd int64 // on its clock
	running  []*run
	ends     [][]any
	lastEnd  int
	highest  map[string]int
	seq      int
	server   *http.Server
	stop     context.CancelFunc
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() + firstClockMS }

// start starts a new life of the worker under the same id.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handle(w.runStart))
	mux.HandleFunc("POST /api/run-stop", w.handle(w.runStop))
	mux.HandleFunc("POST /api/hold", w.handle(w.hold))
	w.pool.mu.Lock()
	w.life++
	w.up, w.started = true, time.Now()
	w.born = time.Now().Add(w.ahead).UnixMilli()
	w.fence, w.leaseEnd, w.running, w.ends, w.lastEnd, w.seq = 0, 0, nil, nil, 0, 0
	w.highest = make(map[string]int)
	w.server = &http.Server{Handler: mux}
	server, life := w.server, w.life
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.pool.mu.Unlock()
	w.pool.rec.printf("worker %s starts: life %d, born %d", w.name, life, w.born)
	go func() { _ = server.Serve(ln) }()
	go w.checkIn(ctx)
	go w.tick(ctx)
	return nil
}

// crash ends the worker at once: everything that runs on it is gone, its connections break.
func (w *worker) crash() {
	w.pool.mu.Lock()
	w.up = false
	w.stop()
	server := w.server
	for _, r := range w.running {
		r.how, r.ended = "gone", time.Now()
		w.pool.rec.printf("run %s %d is gone with worker %s", r.task, r.number, w.name)
	}
	w.running = nil
	w.pool.mu.Unlock()
	_ = server.Close()
	w.pool.rec.printf("worker %s crashes", w.name)
}

func (w *worker) checkIn(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		w.pool.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"backend": w.service, "address": w.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpus": w.gpus}, "labels": w.labels,
			"timestampMs": w.clock(), "seq": w.seq, "born": w.born,
		})
		id := w.id
		w.pool.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.control+"/api/Instances.Heartbeat/"+id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		wait := heartbeat
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else {
			wait = heartbeat / 3 // the agent may not have started yet
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *worker) tick(ctx context.Context) {
	for ctx.Err() == nil {
		w.pool.mu.Lock()
		if ctx.Err() == nil {
			w.advance()
		}
		w.pool.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
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

func (w *worker) handle(f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.pool.mu.Lock()
		if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
			w.pool.mu.Unlock()
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		life := w.life
		status, body := f(&o)
		body["timestampMs"], body["born"], body["id"] = w.clock(), w.born, w.id
		gone := !w.up || w.life != life
		w.pool.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) runStart(o *order) (int, map[string]any) {
	w.advance()
	switch {
	case o.FencingToken < w.fence:
		return conflict("fence")
	case o.DeadlineMs <= w.clock():
		return conflict("late")
	}
	w.fence = o.FencingToken
	w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, w.clock()+maxHold))
	for _, r := range w.running {
		if r.task == o.Task && r.number == o.RunID {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.RunID <= w.highest[o.Task] {
		return conflict("old")
	}
	var p payload
	if json.Unmarshal([]byte(o.Spec), &p) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &run{task: o.Task, number: o.RunID, payload: p, w: w, arrived: time.Now()}
	if p.Gang <= 1 {
		r.began = r.arrived
	}
	w.running = append(w.running, r)
	w.pool.runs = append(w.pool.runs, r)
	w.pool.byTask[r.task] = append(w.pool.byTask[r.task], r)
	if !w.pool.quiet {
		w.pool.rec.printf("run %s %d starts on %s (life %d)", r.task, r.number, w.name, w.life)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) runStop(o *order) (int, map[string]any) {
	w.advance()
	if o.FencingToken < w.fence {
		return conflict("fence")
	}
	w.fence = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	for _, r := range w.running {
		if r.task == o.Task && r.number == o.RunID {
			w.end(r, "stopped")
			break
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(o *order) (int, map[string]any) {
	if o.FencingToken < w.fence {
		return conflict("fence")
	}
	w.fence = o.FencingToken
	if o.DeadlineMs > 0 {
		w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, w.clock()+maxHold))
	}
	kept := [][]any{}
	for _, e := range w.ends {
		if e[0].(int) > o.AckCursor {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	w.advance()
	life := w.life
	for until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(until) && w.up && w.life == life; {
		w.pool.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.pool.mu.Lock()
	}
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, r.checkpoint(), r.percent(), 0})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": w.ends[:min(len(w.ends), maxListed)]}
}

// checkpoint returns the latest checkpoint: 64 hexadecimal digits, a new value with each saveInterval of work.
func (r *run) checkpoint() string {
	if !r.payload.Save || r.began.IsZero() || time.Since(r.began) < saveInterval {
		return ""
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", r.task, r.number, time.Since(r.began)/saveInterval))
	return hex.EncodeToString(sum[:])
}

func (r *run) percent() int64 {
	switch {
	case r.began.IsZero() || r.payload.MS == 0 && !r.payload.Long:
		return 0
	case r.payload.Long:
		if time.Since(r.began) > 300*time.Millisecond { // its short startup
			return 100
		}
		return 0
	}
	return min(99, 100*time.Since(r.began).Milliseconds()/r.payload.MS)
}

func (w *worker) end(r *run, how string) {
	r.how, r.ended = how, time.Now()
	for i, o := range w.running {
		if o == r {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			break
		}
	}
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.number, how, ""})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	if !w.pool.quiet {
		w.pool.rec.printf("run %s %d ends %s on %s", r.task, r.number, how, w.name)
	}
}

// advance ends the runs that are due. pool.mu is held.
func (w *worker) advance() {
	lapsed := w.leaseEnd > 0 && w.clock() > w.leaseEnd
	for _, r := range append([]*run(nil), w.running...) {
		switch {
		case r.how != "":
		case lapsed:
			w.end(r, "lapsed")
		case r.began.IsZero():
			w.pool.completeGang(r)
			if r.began.IsZero() && time.Since(r.arrived) > gangTimeout {
				w.end(r, "alone")
			}
		case r.payload.Gang > 1 && len(w.pool.gang(r)) < r.payload.Gang:
			w.end(r, "broken")
		case !r.payload.Long && time.Since(r.began).Milliseconds() >= r.payload.MS:
			if r.payload.Gang > 1 {
				w.pool.endGang(r)
			} else if r.payload.Fail {
				w.end(r, "failed")
			} else {
				w.end(r, "done")
			}
		}
	}
}

func step(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gang returns the runs of the gang of r that go on.
func (p *pool) gang(r *run) []*run {
	var out []*run
	for _, w := range p.workers {
		for _, o := range w.running {
			if o.number == r.number && step(o.task) == step(r.task) {
				out = append(out, o)
			}
		}
	}
	return out
}

// completeGang lets the members of a gang begin once all are there.
func (p *pool) completeGang(r *run) {
	if members := p.gang(r); len(members) == r.payload.Gang {
		for _, o := range members {
			o.began = time.Now()
		}
	}
}

// endGang ends the members of a gang as done.
func (p *pool) endGang(r *run) {
	for _, o := range p.gang(r) {
		o.w.end(o, "done")
	}
}

// runsOf returns copies of the runs of a task, in order.
func (p *pool) runsOf(task string) []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []run
	for _, r := range p.byTask[task] {
		out = append(out, *r)
	}
	return out
}

// runningOf returns how many runs of a job go on.
func (p *pool) runningOf(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, w := range p.workers {
		for _, r := range w.running {
			if strings.HasPrefix(r.task, job+".") {
				n++
			}
		}
	}
	return n
}

// count returns how many runs go on.
func (p *pool) count() (running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		running += len(w.running)
	}
	return running
}

func spec(p payload) string {
	data, _ := json.Marshal(p)
	return string(data)
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }
