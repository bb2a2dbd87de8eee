package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The worker is a stand-in for a worker of the platform, as PROTOCOL.md describes it. It never
// guards its capacity (admissionCheck = false). It prints one JSON line for each start that it
// accepts, each end, and each end that is taken note of.

const (
	maxHoldMS     = 6000 // maxHoldMs
	maxListedEnds = 500  // "500 at a time"
	heartbeat     = 1500 * time.Millisecond
)

// payload is the JSON text in the spec of jobs: item number I of a step takes MS + I*StepMS.
type payload struct {
	MS     int64 `json:"ms"`
	StepMS int64 `json:"stepMs"`
}

type run struct {
	task    string
	number  int
	began   time.Time
	takes   time.Duration // 0: until it is stopped
	endedAs string
}

type end struct {
	number int
	run    *run
	lapsed bool // the worker's lease has lapsed since
}

type worker struct {
	mu       sync.Mutex
	id       string
	born     time.Time
	token    uint64
	leaseMS  int64 // end of the lease on the worker's clock, 0 for none
	running  []*run
	ends     []*end
	lastEnd  int
	highest  map[string]int
	busy     bool // answers starts with 503
	seq      int
	outgoing *json.Encoder
}

// event is a line of the worker's output.
type event struct {
	AtMS  int64  `json:"at_ms"` // Unix milliseconds
	Event string `json:"event"` // born, start, end, noted
	Born  int64  `json:"born"`
	Task  string `json:"task,omitempty"`
	Run   int    `json:"run,omitempty"`
	How   string `json:"how,omitempty"`
}

func runWorker(args []string) {
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	address, agent := f.String("listen", "", "address for the agent's calls"), f.String("agent", "", "control address of the agent")
	id, service, zone := f.String("id", "", ""), f.String("service", "", ""), f.String("zone", "", "")
	labels, switches := f.String("labels", "", "kind and rack, comma-separated"), f.String("switches", "", "address of the fault switches")
	_ = f.Parse(args)
	w := &worker{id: *id, born: time.Now(), highest: map[string]int{}, outgoing: json.NewEncoder(os.Stdout)}
	w.print("born", nil, "")
	control := http.NewServeMux()
	control.HandleFunc("POST /rig/busy/{on}", func(_ http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy = r.PathValue("on") == "true"
	})
	go serveOrExit(*switches, control)
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	go func() {
		for {
			body := w.announcement(*service, *address, *zone, strings.Split(*labels, ","))
			client := http.Client{Timeout: time.Second}
			resp, err := client.Post("http://"+*agent+"/api/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
			if err == nil {
				_ = resp.Body.Close()
				time.Sleep(heartbeat)
			} else {
				time.Sleep(heartbeat / 5)
			}
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.call(w.start))
	mux.HandleFunc("POST /api/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /api/hold", w.call(w.hold))
	serveOrExit(*address, mux)
}

func (w *worker) print(name string, r *run, how string) {
	e := event{AtMS: time.Now().UnixMilli(), Event: name, Born: w.born.UnixMilli(), How: how}
	if r != nil {
		e.Task, e.Run = r.task, r.number
	}
	_ = w.outgoing.Encode(e)
}

func (w *worker) announcement(service, address, zone string, labels []string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"backend": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpus": 8}, "labels": labels, "timestampMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	})
	return body
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

type order struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) call(f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		w.advance()
		status, body := f(&o)
		body["timestampMs"], body["born"] = w.clock(), w.born.UnixMilli()
		w.mu.Unlock()
		reply(rw, status, body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes the deadline of a call. It never shortens the lease.
func (w *worker) extend(o *order) {
	w.token = max(w.token, o.FencingToken)
	w.leaseMS = max(w.leaseMS, min(o.DeadlineMs, w.clock()+maxHoldMS))
}

func (w *worker) start(o *order) (int, map[string]any) {
	switch {
	case w.busy:
		return http.StatusServiceUnavailable, map[string]any{}
	case o.FencingToken < w.token:
		return conflict("fence")
	case o.DeadlineMs <= w.clock():
		return conflict("late")
	}
	w.extend(o)
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
	index, _ := strconv.ParseInt(o.Task[strings.LastIndexByte(o.Task, '.')+1:], 10, 64)
	r := &run{task: o.Task, number: o.RunID, began: time.Now(), takes: time.Duration(p.MS+index*p.StepMS) * time.Millisecond}
	w.running = append(w.running, r)
	w.print("start", r, "")
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(o *order) (int, map[string]any) {
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.token = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
	for _, r := range w.running {
		if r.task == o.Task && r.number == o.RunID {
			w.finish(r, "stopped")
			break
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(o *order) (int, map[string]any) {
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.extend(o)
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > o.AckCursor {
			kept = append(kept, e)
			continue
		}
		how := ""
		if e.lapsed {
			how = "lapsed before" // not taken note of, by the rule
		}
		w.print("noted", e.run, how)
	}
	w.ends = kept
	for until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(until); {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		w.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if r.takes > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.takes))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.endedAs, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "endedRuns": ended}
}

func (w *worker) finish(r *run, how string) {
	r.endedAs = how
	for i, o := range w.running {
		if o == r {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			break
		}
	}
	w.lastEnd++
	w.ends = append(w.ends, &end{number: w.lastEnd, run: r})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.print("end", r, how)
}

// advance ends the runs that are due, and all of them when the lease has expired.
func (w *worker) advance() {
	if w.leaseMS > 0 && w.clock() > w.leaseMS {
		for _, e := range w.ends {
			e.lapsed = true
		}
		for _, r := range append([]*run(nil), w.running...) {
			w.finish(r, "lapsed")
		}
	}
	for _, r := range append([]*run(nil), w.running...) {
		if r.takes > 0 && time.Since(r.began) >= r.takes {
			w.finish(r, "done")
		}
	}
}
