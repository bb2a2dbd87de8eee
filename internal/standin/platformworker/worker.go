// Package platformworker is a stand-in for a worker of the platform: it announces
// itself to an agent and simulates runs of items, whose payload states the run time.
// A Pool observes the runs on all its workers and records violations of the guarantees
// that the system gives.
package platformworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"snipegw/internal/standin"
)

// Payload is the JSON text in the spec of items that run on this stand-in.
type Payload struct {
	MS   int64 `json:"ms"`   // run time in milliseconds
	Gang int   `json:"gang"` // size of the gang; 0 and 1 mean no gang
	Fail bool  `json:"fail"` // the run ends as failed
	GPUs int   `json:"gpus"` // accelerators in use during the run
	// CrashMS is the time in milliseconds after which the run crashes its worker; 0 means never. The
	// worker is back under the same id DownMS milliseconds later.
	CrashMS int64 `json:"crashMs,omitempty"`
	DownMS  int64 `json:"downMs,omitempty"`
}

// run is one run of an item on a worker.
type run struct {
	item      string
	number    int
	payload   Payload
	worker    *Worker
	arrivedAt time.Time // when the start was accepted
	beganAt   time.Time // when the run time began, zero while the run waits for its gang
	endedAt   time.Time
	// outcome is empty until the run ends, and then done, failed, stopped, lapsed (the
	// lease expired), alone (the gang was not complete in time) or gone (the worker
	// crashed).
	outcome string
}

// maxListedEnds is the largest number of ends in the response to a hold. The further ones are
// listed once those have been acknowledged.
const maxListedEnds = 500

// gpusPerWorker is the number of accelerators of a worker.
const gpusPerWorker = 8

// Worker is one simulated worker. The pool's lock guards all fields.
type Worker struct {
	*standin.HTTPServer
	pool               *Pool
	node               string
	rack               string
	zone               string // of the announcements; empty if they name none
	service            string
	instances          int // number of former instance ids
	incarnationStart   time.Time
	fencingToken       uint64
	leaseEndMS         int64 // on the worker's clock, 0 without a lease
	running            []*run
	unacknowledgedEnds [][]any      // as in the response to a hold
	runByEndNumber     map[int]*run // by the number under which the end is reported
	leaseExpiredAt     time.Time    // when an expired lease was last noticed
	lastEndNumber      int
	highestRun         map[string]int
	seq                int // number of the last announcement
	draining           bool
	unhealthy          bool          // answers starts with 503
	down               bool          // between a restart under the same id and its new incarnation
	cameBack           chan struct{} // signals the end of a downtime to Announce
	holds              int           // number of answers to holds
	responsesToLose    int           // number of next starts and stops whose response is lost
	orderDelay         time.Duration // see DelayOrders
	startsRefused      int
}

// Add starts a worker that listens on a free loopback port.
func (p *Pool) Add(node, rack, service string) (*Worker, error) {
	w := &Worker{pool: p, node: node, rack: rack, service: service, cameBack: make(chan struct{}, 1)}
	w.startIncarnation()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.orderHandler(w.handleStart))
	mux.HandleFunc("POST /api/run-stop", w.orderHandler(w.handleStop))
	mux.HandleFunc("POST /api/hold", w.orderHandler(w.handleHold))
	httpServer, err := standin.Listen("127.0.0.1:0", mux)
	if err != nil {
		return nil, err
	}
	w.HTTPServer = httpServer
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	return w, nil
}

// instanceID returns the id of the current instance.
func (w *Worker) instanceID() string { return fmt.Sprintf("i-%s-%d", w.node, w.instances) }

// LoseResponses makes the responses to the next n starts and stops get lost. The orders
// take effect.
func (w *Worker) LoseResponses(n int) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.responsesToLose = n
}

// Drain makes the worker announce that it is draining.
func (w *Worker) Drain() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.draining = true
}

// SetUnhealthy makes the worker answer starts with 503 and do nothing.
func (w *Worker) SetUnhealthy(on bool) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.unhealthy = on
}

// DelayOrders makes each start and stop take effect only d after its arrival.
func (w *Worker) DelayOrders(d time.Duration) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.orderDelay = d
}

// StartsRefused returns the number of starts that the worker has refused.
func (w *Worker) StartsRefused() int {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	return w.startsRefused
}

// SetZone sets the zone that the worker announces.
func (w *Worker) SetZone(zone string) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	w.zone = zone
}

// clockMS returns the worker's own clock, which starts at 1000 ms with each
// incarnation.
func (w *Worker) clockMS() int64 { return time.Since(w.incarnationStart).Milliseconds() + 1000 }

// announceInterval is the interval between announcements. Workers of the platform use
// a longer one.
const announceInterval = 100 * time.Millisecond

// Announce sends announcements to the control address of an agent until ctx ends, except while the
// worker is down.
func (w *Worker) Announce(ctx context.Context, control string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		if instance, body := w.nextAnnouncement(); body != nil {
			if resp, err := client.Post("http://"+control+"/api/Instances.Heartbeat/"+instance, "application/json", bytes.NewReader(body)); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
		case <-w.cameBack:
		case <-time.After(announceInterval):
		}
	}
}

// nextAnnouncement returns the instance id and the body of the next announcement. The body is nil
// while the worker is down.
func (w *Worker) nextAnnouncement() (instance string, body []byte) {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if w.down {
		return "", nil
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ = json.Marshal(map[string]any{
		"zone": w.zone, "backend": w.service, "address": w.Addr(), "state": state, "seq": w.seq, "born": w.incarnationStart.UnixMilli(), "remainingMs": 0,
		"labels": []string{"a", w.rack}, "capacity": map[string]int{"cpu": 64000, "memMb": 256 << 10, "gpus": gpusPerWorker},
	})
	return w.instanceID(), body
}

// order is the request body of a start, a stop or a hold.
type order struct {
	Task         string `json:"task"`
	RunID        int    `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    int    `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// orderHandler returns a handler that decodes an order, rejects one for another
// incarnation, and calls f with the pool's lock held. An order that arrives while the worker is
// down, or is in progress when it crashes, gets no response.
func (w *Worker) orderHandler(f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.pool.mu.Lock()
		if w.orderDelay > 0 && o.Task != "" {
			delay := w.orderDelay
			w.pool.mu.Unlock()
			time.Sleep(delay)
			w.pool.mu.Lock()
		}
		if w.down {
			w.pool.mu.Unlock()
			standin.Abort()
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != w.instanceID() {
			w.pool.mu.Unlock()
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		lose := o.Task != "" && w.responsesToLose > 0
		if lose {
			w.responsesToLose--
		}
		incarnationStart := w.incarnationStart
		status, body := f(&o)
		body["timestampMs"] = w.clockMS()
		crashed := w.down || w.incarnationStart != incarnationStart
		w.pool.mu.Unlock()
		if crashed {
			standin.Abort()
		}
		if lose {
			<-r.Context().Done()
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

// conflict returns the response to an order that is refused.
func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *Worker) handleStart(o *order) (int, map[string]any) {
	w.advance()
	status, body := w.start(o)
	if status != http.StatusOK {
		w.startsRefused++
	}
	return status, body
}

func (w *Worker) start(o *order) (int, map[string]any) {
	if w.unhealthy {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	switch {
	case o.FencingToken < w.fencingToken:
		return conflict("fence")
	case o.DeadlineMs <= w.clockMS():
		return conflict("late")
	}
	w.extendLease(o)
	for _, r := range w.running {
		if r.item == o.Task && r.number == o.RunID {
			return http.StatusOK, map[string]any{}
		}
	}
	if o.RunID <= w.highestRun[o.Task] {
		return conflict("old")
	}
	var p Payload
	if json.Unmarshal([]byte(o.Spec), &p) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	w.acceptRun(o, p)
	return http.StatusOK, map[string]any{}
}

// acceptRun adds a run to the worker and records the violations that its start shows.
// The run time of a gang member begins when its gang is complete.
func (w *Worker) acceptRun(o *order, p Payload) {
	for _, other := range w.pool.runs[o.Task] {
		if other.outcome == "" {
			// Leases also expire on a worker that gets no more calls.
			other.worker.advance()
		}
		if other.outcome == "" {
			w.pool.violations = append(w.pool.violations, fmt.Sprintf("%s: run %d starts while run %d has not ended", o.Task, o.RunID, other.number))
		}
	}
	if w.pool.acked[o.Task] {
		w.pool.violations = append(w.pool.violations, fmt.Sprintf("%s: run %d starts after the item was done", o.Task, o.RunID))
	}
	w.pool.checkCrashes(o, p)
	usedGPUs := p.GPUs
	for _, r := range w.running {
		usedGPUs += r.payload.GPUs
	}
	if usedGPUs > gpusPerWorker {
		w.pool.violations = append(w.pool.violations, fmt.Sprintf("%s starts with %d accelerators in use on %s", o.Task, usedGPUs, w.node))
	}
	r := &run{item: o.Task, number: o.RunID, payload: p, worker: w, arrivedAt: time.Now()}
	if p.Gang <= 1 {
		r.begin()
	}
	w.running = append(w.running, r)
	w.pool.runs[o.Task] = append(w.pool.runs[o.Task], r)
}

// maxHoldMS is the longest lease in milliseconds, maxHoldMs of the platform.
const maxHoldMS = 6000

// extendLease takes the fencing token and the deadline of an order.
func (w *Worker) extendLease(o *order) {
	w.fencingToken, w.leaseEndMS = o.FencingToken, max(w.leaseEndMS, min(o.DeadlineMs, w.clockMS()+maxHoldMS))
}

func (w *Worker) handleStop(o *order) (int, map[string]any) {
	w.advance()
	if o.FencingToken < w.fencingToken {
		return conflict("fence")
	}
	w.fencingToken = o.FencingToken
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.RunID)
	for _, r := range w.running {
		if r.item == o.Task && r.number == o.RunID {
			w.endRun(r, "stopped")
			break
		}
	}
	return http.StatusOK, map[string]any{}
}

// handleHold renews the lease and records acknowledgements unless the fencing token is
// older than the latest one. It then waits up to WaitMs for an end to report, and
// releases the pool's lock while it waits.
func (w *Worker) handleHold(o *order) (int, map[string]any) {
	if o.FencingToken >= w.fencingToken {
		w.extendLease(o)
		unacknowledged := w.unacknowledgedEnds[:0]
		for _, end := range w.unacknowledgedEnds {
			if n := end[0].(int); n > o.AckCursor {
				unacknowledged = append(unacknowledged, end)
			} else {
				w.recordAcknowledgement(w.runByEndNumber[n])
			}
		}
		w.unacknowledgedEnds = unacknowledged
	}
	w.advance()
	if until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.unacknowledgedEnds) == 0 {
		for len(w.unacknowledgedEnds) == 0 && time.Now().Before(until) {
			w.pool.mu.Unlock()
			time.Sleep(holdPollInterval)
			w.pool.mu.Lock()
			w.advance()
		}
	}
	running := [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.item, r.number, "", r.progressPercent(), 0})
	}
	w.holds++
	return http.StatusOK, map[string]any{
		"born": w.incarnationStart.UnixMilli(), "running": running,
		"endedRuns": append([][]any{}, w.unacknowledgedEnds[:min(len(w.unacknowledgedEnds), maxListedEnds)]...),
	}
}

// Holds returns the number of answers to holds.
func (w *Worker) Holds() int {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	return w.holds
}

// FinishRuns ends all runs as done.
func (w *Worker) FinishRuns() {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	for _, r := range append([]*run(nil), w.running...) {
		w.endRun(r, "done")
	}
}

// recordAcknowledgement records that the system has acknowledged the end of r. If r was
// done and the lease has not expired since its end, all starts of the item after that
// end are violations.
func (w *Worker) recordAcknowledgement(r *run) {
	if r.outcome != "done" || w.leaseExpiredAt.After(r.endedAt) {
		return
	}
	w.pool.acked[r.item] = true
	for _, other := range w.pool.runs[r.item] {
		if other.arrivedAt.After(r.endedAt) {
			w.pool.violations = append(w.pool.violations, fmt.Sprintf("%s: run %d started after run %d was done", r.item, other.number, r.number))
		}
	}
}

// holdPollInterval is the interval at which a waiting hold checks for ends.
const holdPollInterval = 5 * time.Millisecond

func (r *run) progressPercent() int64 {
	if r.beganAt.IsZero() || r.payload.MS == 0 {
		return 0
	}
	return min(99, 100*time.Since(r.beganAt).Milliseconds()/r.payload.MS)
}

// endRun ends a running run with the outcome how, and adds its end to the ends to report.
func (w *Worker) endRun(r *run, how string) {
	r.outcome, r.endedAt = how, time.Now()
	for i, o := range w.running {
		if o == r {
			w.running = append(w.running[:i:i], w.running[i+1:]...)
			break
		}
	}
	w.lastEndNumber++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, []any{w.lastEndNumber, r.item, r.number, how, ""})
	w.runByEndNumber[w.lastEndNumber] = r
	w.highestRun[r.item] = max(w.highestRun[r.item], r.number)
}

// gangTimeout is how long a gang member waits for the other members.
const gangTimeout = 3 * time.Second

// advance ends the runs that are due, whose lease has expired, or whose gang did not
// become complete in time. It begins gangs that are complete.
func (w *Worker) advance() {
	if w.leaseEndMS > 0 && w.clockMS() > w.leaseEndMS {
		w.leaseExpiredAt = time.Now()
	}
	for _, r := range append([]*run(nil), w.running...) {
		switch {
		case r.outcome != "":
		case w.leaseEndMS > 0 && w.clockMS() > w.leaseEndMS:
			w.endRun(r, "lapsed")
		case r.beganAt.IsZero():
			w.pool.beginGangIfComplete(r)
			if r.beganAt.IsZero() && time.Since(r.arrivedAt) > gangTimeout {
				w.endRun(r, "alone")
			}
		case time.Since(r.beganAt).Milliseconds() >= r.payload.MS:
			outcome := "done"
			if r.payload.Fail {
				outcome = "failed"
			}
			w.endRun(r, outcome)
		}
	}
}

// beginGangIfComplete starts the run time of all members of the gang of r if all of
// them have arrived.
func (p *Pool) beginGangIfComplete(r *run) {
	step := r.item[:lastDotIndex(r.item)]
	var members []*run
	for _, w := range p.workers {
		for _, o := range w.running {
			if o.number == r.number && o.item[:lastDotIndex(o.item)] == step {
				members = append(members, o)
			}
		}
	}
	if len(members) == r.payload.Gang {
		for _, o := range members {
			o.begin()
		}
	}
}

func lastDotIndex(s string) int {
	for i := len(s) - 1; i > 0; i-- {
		if s[i] == '.' {
			return i
		}
	}
	return 0
}
