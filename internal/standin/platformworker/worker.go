// Package platformworker is a stand-in of a worker of the platform: it announces
// itself to an agent and runs items for a time that their payload states. A Pool
// observes the runs of all its workers and notes what must not happen.
package platformworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipegw/internal/standin"
)

// Payload is the text that items of this stand-in take.
type Payload struct {
	MS   int64 `json:"ms"`   // run time
	Gang int   `json:"gang"` // members that must be present; 0 and 1: none
	Fail bool  `json:"fail"`
	GPUs int   `json:"gpus"`
}

// Pool is a set of workers.
type Pool struct {
	mu      sync.Mutex
	workers []*Worker
	runs    map[string][]*run // by item
	noted   map[string]bool   // items whose end the system has acknowledged
	faults  []string
}

// NewPool returns an empty Pool.
func NewPool() *Pool { return &Pool{runs: make(map[string][]*run), noted: make(map[string]bool)} }

// Faults returns what must not have happened: two runs of an item at once, a run
// after one was done whose end the system acknowledged before the worker's lease
// lapsed, or too many accelerators in use.
func (p *Pool) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.faults...)
}

// Begun returns when the latest run of an item of a job began, zero if none did.
func (p *Pool) Begun(job string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for item, runs := range p.runs {
		if strings.HasPrefix(item, job+".") {
			for _, r := range runs {
				if r.present.After(last) {
					last = r.present
				}
			}
		}
	}
	return last
}

// Runs returns how the runs of an item ended, empty for one that goes on.
func (p *Pool) Runs(item string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, r := range p.runs[item] {
		out = append(out, r.how)
	}
	return out
}

type run struct {
	item    string
	number  int
	payload Payload
	worker  *Worker
	present time.Time
	began   time.Time // zero while it waits for its gang
	endedAt time.Time
	how     string
}

// gpusPerWorker is the number of accelerators of a stand-in.
const gpusPerWorker = 8

// Worker is one stand-in. All fields are guarded by the pool's lock.
type Worker struct {
	*standin.Host
	pool    *Pool
	node    string
	rack    string
	service string
	id      string
	born    time.Time
	token   uint64
	lease   int64
	running []*run
	ended   [][]any
	endedBy map[int]*run // by the number of the end
	lapsed  time.Time    // when the lease lapsed last
	lastN   int
	highest map[string]int
	seq     int
	leaving bool
	lose    int // answers to lose

}

// Add opens a worker on loopback.
func (p *Pool) Add(node, rack, service string) (*Worker, error) {
	w := &Worker{pool: p, node: node, rack: rack, service: service}
	w.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.handle(w.start))
	mux.HandleFunc("POST /api/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /api/hold", w.handle(w.hold))
	host, err := standin.Listen("127.0.0.1:0", mux)
	if err != nil {
		return nil, err
	}
	w.Host = host
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	return w, nil
}

func (w *Worker) reset() {
	w.id, w.born = fmt.Sprintf("i-%s-%d", w.node, w.seq), time.Now()
	w.token, w.lease, w.running, w.ended, w.lastN, w.leaving = 0, 0, nil, nil, 0, false
	w.highest, w.endedBy, w.lapsed = make(map[string]int), make(map[int]*run), time.Time{}
}

// Crash ends everything that runs and starts a new incarnation.
func (w *Worker) Crash() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	for _, r := range w.running {
		r.how = "gone"
	}
	w.seq++
	w.reset()
}

// LoseAnswers loses the answers to the next n orders, which are carried out.
func (w *Worker) LoseAnswers(n int) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.lose = n
}

// Leave makes the worker announce that it drains.
func (w *Worker) Leave() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.leaving = true
}

func (w *Worker) clockMS() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// beatPause is the time between announcements, shorter than on the platform.
const beatPause = 100 * time.Millisecond

// Announce sends announcements to an agent until ctx ends.
func (w *Worker) Announce(ctx context.Context, control string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.pool.mu.Lock()
		w.seq++
		state := "ready"
		if w.leaving {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": w.service, "address": w.Addr(), "state": state, "seq": w.seq, "born": w.born.UnixMilli(), "remainingMs": 0,
			"labels": []string{"a", w.rack}, "capacity": map[string]int{"cpu": 64000, "memMb": 256 << 10, "gpus": gpusPerWorker},
		})
		url := "http://" + control + "/api/Instances.Heartbeat/" + w.id
		w.pool.mu.Unlock()
		if resp, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatPause):
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

func (w *Worker) handle(f func(*order) (int, map[string]any)) http.HandlerFunc {
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
		lose := o.Task != "" && w.lose > 0
		if lose {
			w.lose--
		}
		status, body := f(&o)
		body["timestampMs"], body["born"] = w.clockMS(), w.born.UnixMilli()
		w.pool.mu.Unlock()
		if lose {
			<-r.Context().Done()
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *Worker) start(o *order) (int, map[string]any) {
	w.advance()
	switch {
	case o.FencingToken < w.token:
		return conflict("fence")
	case o.DeadlineMs <= w.clockMS():
		return conflict("late")
	}
	w.token, w.lease = o.FencingToken, max(w.lease, o.DeadlineMs)
	for _, r := range w.running {
		if r.item == o.Task && r.number == o.RunID {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.RunID <= w.highest[o.Task] {
		return conflict("old")
	}
	var p Payload
	if json.Unmarshal([]byte(o.Spec), &p) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	w.begin(o, p)
	return http.StatusOK, map[string]any{}
}

func (w *Worker) begin(o *order, p Payload) {
	for _, other := range w.pool.runs[o.Task] {
		if other.how == "" {
			// Leases also end on a worker that nobody calls any more.
			other.worker.advance()
		}
		if other.how == "" {
			w.pool.faults = append(w.pool.faults, fmt.Sprintf("%s run %d starts beside run %d", o.Task, o.RunID, other.number))
		}
		if w.pool.noted[o.Task] {
			w.pool.faults = append(w.pool.faults, fmt.Sprintf("%s run %d starts after it was done", o.Task, o.RunID))
		}
	}
	used := p.GPUs
	for _, r := range w.running {
		used += r.payload.GPUs
	}
	if used > gpusPerWorker {
		w.pool.faults = append(w.pool.faults, fmt.Sprintf("%s uses %d accelerators of %s", o.Task, used, w.node))
	}
	r := &run{item: o.Task, number: o.RunID, payload: p, worker: w, present: time.Now()}
	if p.Gang <= 1 {
		r.began = r.present
	}
	w.running = append(w.running, r)
	w.pool.runs[o.Task] = append(w.pool.runs[o.Task], r)
}

func (w *Worker) stop(o *order) (int, map[string]any) {
	w.advance()
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.token = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	for _, r := range w.running {
		if r.item == o.Task && r.number == o.RunID {
			w.end(r, "stopped")
			break
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *Worker) hold(o *order) (int, map[string]any) {
	if o.FencingToken >= w.token {
		w.token, w.lease = o.FencingToken, max(w.lease, o.DeadlineMs)
		kept := w.ended[:0]
		for _, e := range w.ended {
			if n := e[0].(int); n > o.AckCursor {
				kept = append(kept, e)
			} else {
				w.acknowledge(w.endedBy[n])
			}
		}
		w.ended = kept
	}
	w.advance()
	if until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.ended) == 0 {
		for len(w.ended) == 0 && time.Now().Before(until) {
			w.pool.mu.Unlock()
			time.Sleep(lookStep)
			w.pool.mu.Lock()
			w.advance()
		}
	}
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.item, r.number, "", r.percent(), 0})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": append([][]any{}, w.ended...)}
}

// acknowledge takes in that the system has noted an end.
func (w *Worker) acknowledge(r *run) {
	if r.how != "done" || w.lapsed.After(r.endedAt) {
		return
	}
	w.pool.noted[r.item] = true
	for _, other := range w.pool.runs[r.item] {
		if other.present.After(r.endedAt) {
			w.pool.faults = append(w.pool.faults, fmt.Sprintf("%s run %d started after run %d was done", r.item, other.number, r.number))
		}
	}
}

// lookStep is how often a waiting look checks for ends.
const lookStep = 5 * time.Millisecond

func (r *run) percent() int64 {
	if r.began.IsZero() || r.payload.MS == 0 {
		return 0
	}
	return min(99, 100*time.Since(r.began).Milliseconds()/r.payload.MS)
}

func (w *Worker) end(r *run, how string) {
	r.how, r.endedAt = how, time.Now()
	for i, o := range w.running {
		if o == r {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			break
		}
	}
	w.lastN++
	w.ended = append(w.ended, []any{w.lastN, r.item, r.number, how, ""})
	w.endedBy[w.lastN] = r
	w.highest[r.item] = max(w.highest[r.item], r.number)
}

// gangTimeout is the longest wait of a gang member for the others.
const gangTimeout = 3 * time.Second

// advance lets time act on the worker.
func (w *Worker) advance() {
	if w.lease > 0 && w.clockMS() > w.lease {
		w.lapsed = time.Now()
	}
	for _, r := range append([]*run(nil), w.running...) {
		switch {
		case r.how != "":
		case w.lease > 0 && w.clockMS() > w.lease:
			w.end(r, "lapsed")
		case r.began.IsZero():
			w.pool.gather(r)
			if r.began.IsZero() && time.Since(r.present) > gangTimeout {
				w.end(r, "alone")
			}
		case time.Since(r.began).Milliseconds() >= r.payload.MS:
			how := "done"
			if r.payload.Fail {
				how = "failed"
			}
			w.end(r, how)
		}
	}
}

// gather begins a gang when all its members are present.
func (p *Pool) gather(r *run) {
	step := r.item[:lastDot(r.item)]
	var members []*run
	for _, w := range p.workers {
		for _, o := range w.running {
			if o.number == r.number && o.item[:lastDot(o.item)] == step {
				members = append(members, o)
			}
		}
	}
	if len(members) == r.payload.Gang {
		for _, o := range members {
			o.began = time.Now()
		}
	}
}

func lastDot(s string) int {
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == '.' {
			return i
		}
	}
	return 0
}
