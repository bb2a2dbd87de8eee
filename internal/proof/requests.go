package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/standin/backend"
)

// callerOutcome is the outcome of a request, as far as its caller knows it.
type callerOutcome int

const (
	outcomeUnknown  callerOutcome = iota // no response, or one that leaves open whether the request ran
	outcomeComplete                      // a complete response of the backend server
	outcomeNotRun                        // a refusal with a result code that says that the request was not run
)

// trackedRequest is one non-idempotent request of a caller.
type trackedRequest struct {
	path    string
	outcome callerOutcome
	// retries counts the calls that the caller made with its ticket after the first call.
	retries int
	// contradiction describes a response that can't belong to the request, empty if there is none.
	contradiction string
	code          result.Code
}

// requestLoad sends non-idempotent requests until its context ends.
type requestLoad struct {
	cluster *Cluster
	client  *Client
	delayMS func() int
	// idempotent wrongly marks the requests as idempotent, to break the property on purpose.
	idempotent bool

	lastID   atomic.Uint64
	mu       sync.Mutex
	requests []*trackedRequest
}

// callTimeout is the timeout that callers set for a request.
const callTimeout = 5 * time.Second

// run sends requests from the given number of callers until ctx ends, and waits for the last
// responses.
func (l *requestLoad) run(ctx context.Context, callers int) {
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				req := l.send(caller+i, i%2 == 0)
				l.mu.Lock()
				l.requests = append(l.requests, req)
				l.mu.Unlock()
				if req.outcome != outcomeComplete {
					time.Sleep(20 * time.Millisecond) // backs off after a refusal
				}
			}
		})
	}
	wg.Wait()
}

// runningEntry returns the first running entry from index on, or the first entry if none runs.
func (l *requestLoad) runningEntry(index int) *Node {
	for i := range l.cluster.Entries {
		if e := l.cluster.Entries[(index+i)%len(l.cluster.Entries)]; e.Running() {
			return e
		}
	}
	return l.cluster.Entries[0]
}

func (l *requestLoad) url(e *Node, path string) string {
	return e.URL() + "/v1/services/" + l.cluster.Spec.Service + "/request" + path
}

// send sends one request and, while its outcome is unknown, retries with its ticket through other
// entries. With ticketFirst it takes a ticket before the first call.
func (l *requestLoad) send(entryIndex int, ticketFirst bool) *trackedRequest {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req := &trackedRequest{path: fmt.Sprintf("/orders/%d", l.lastID.Add(1))}
	header := map[string]string{headerTimeout: strconv.Itoa(int(callTimeout.Milliseconds()))}
	if l.idempotent {
		header[headerIdempotent] = "true"
	}
	ticket := ""
	if ticketFirst && !l.idempotent {
		ticket = l.takeTicket(ctx, entryIndex)
		if ticket != "" {
			header[headerTicket] = ticket
		}
	}
	target := fmt.Sprintf("%s?delay_ms=%d", req.path, l.delayMS())
	resp := l.client.Call(ctx, http.MethodPost, l.url(l.runningEntry(entryIndex), target), header, []byte(req.path))
	if resp.Ticket != "" {
		ticket = resp.Ticket
	}
	req.recordResponse(resp)
	for try := 1; req.outcome == outcomeUnknown && ticket != "" && try <= 6; try++ {
		req.retries++
		e := l.runningEntry(entryIndex + try)
		if header[headerTicket] != "" && try%2 == 1 {
			// Sends the same request again; the ticket allows at most one run.
			resp = l.client.Call(ctx, http.MethodPost, l.url(e, target), header, []byte(req.path))
		} else {
			resp = l.client.Call(ctx, http.MethodGet, e.URL()+"/v1/tickets/"+ticket, nil, nil)
		}
		req.recordResponse(resp)
		time.Sleep(time.Duration(try) * 50 * time.Millisecond)
	}
	return req
}

func (l *requestLoad) takeTicket(ctx context.Context, entryIndex int) string {
	var reply struct {
		Ticket string `json:"ticket"`
	}
	url := l.runningEntry(entryIndex).URL() + "/v1/services/" + l.cluster.Spec.Service + "/tickets"
	if err := l.client.JSON(ctx, http.MethodPost, url, nil, &reply); err != nil {
		return ""
	}
	return reply.Ticket
}

// recordResponse updates the outcome of the request with another response.
func (r *trackedRequest) recordResponse(resp Response) {
	r.code = resp.Code
	switch {
	case resp.Complete() && resp.Status == http.StatusOK:
		r.outcome = outcomeComplete
		if want := backend.Digest(http.MethodPost, r.path, []byte(r.path)); resp.Header.Get(backend.DigestHeader) != want {
			r.contradiction = "the response belongs to another request"
		}
	case resp.NotRun():
		r.outcome = outcomeNotRun
	}
}

// runsByPath reads the request logs of all backend servers and returns the number of runs by path.
func runsByPath(backends []*Node) (map[string]int, error) {
	runs := make(map[string]int)
	for _, b := range backends {
		data, err := os.ReadFile(b.RequestLog)
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(data), "\n") {
			var rec backend.Record
			if line == "" || json.Unmarshal([]byte(line), &rec) != nil {
				continue // an empty line, or one that was cut off when the process was killed
			}
			if rec.EndedMS == 0 { // each run writes a line without an end time when it starts
				runs[rec.Path]++
			}
		}
	}
	return runs, nil
}

// requestTally counts requests by outcome, and the contradictions between the outcomes that
// callers saw and the request logs of the backend servers.
type requestTally struct {
	sent, complete, notRun, unknown, retries int
	ranTwice                                 int // ran more than once
	ranAfterRefusal                          int // ran although the caller was told that it was not run
	completeWithoutRun                       int // has a complete response, but no run
	contradictions                           int
	codes                                    map[result.Code]int
}

func (l *requestLoad) computeTally() (requestTally, error) {
	runs, err := runsByPath(l.cluster.Backends)
	if err != nil {
		return requestTally{}, err
	}
	t := requestTally{codes: make(map[result.Code]int)}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, req := range l.requests {
		t.sent++
		t.retries += req.retries
		n := runs[req.path]
		if n > 1 {
			t.ranTwice++
		}
		if req.contradiction != "" {
			t.contradictions++
		}
		switch req.outcome {
		case outcomeComplete:
			t.complete++
			if n == 0 {
				t.completeWithoutRun++
			}
		case outcomeNotRun:
			t.notRun++
			t.codes[req.code]++
			if n > 0 {
				t.ranAfterRefusal++
			}
		default:
			t.unknown++
		}
	}
	return t, nil
}
