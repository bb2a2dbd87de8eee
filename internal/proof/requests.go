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

// told is what a caller finally knows of its request.
type told int

const (
	toldNothing  told = iota // no answer, or an ambiguous one
	toldComplete             // a complete response of the backend server
	toldNotRun               // a refusal that says that it was not run
)

// order is one non-idempotent request of a caller.
type order struct {
	path    string
	outcome told
	// asked counts the times that the caller asked again with its ticket.
	asked int
	// contradiction describes an answer that contradicts an earlier one.
	contradiction string
	code          result.Code
}

// orderLoad sends non-idempotent requests until its context ends.
type orderLoad struct {
	cluster *Cluster
	client  *Client
	delayMS func() int
	// idempotent marks the requests falsely as idempotent.
	idempotent bool

	next   atomic.Uint64
	mu     sync.Mutex
	orders []*order
}

// callTimeout is the timeout of one request of the load.
const callTimeout = 5 * time.Second

// run sends requests from n callers until ctx ends and waits for the answers.
func (l *orderLoad) run(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for caller := range n {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				o := l.send(caller+i, i%2 == 0)
				l.mu.Lock()
				l.orders = append(l.orders, o)
				l.mu.Unlock()
				if o.outcome != toldComplete {
					time.Sleep(20 * time.Millisecond) // refused at once: do not spin
				}
			}
		})
	}
	wg.Wait()
}

// entry returns a running entry; k selects it.
func (l *orderLoad) entry(k int) *Node {
	for i := range l.cluster.Entries {
		if e := l.cluster.Entries[(k+i)%len(l.cluster.Entries)]; e.Running() {
			return e
		}
	}
	return l.cluster.Entries[0]
}

func (l *orderLoad) url(e *Node, path string) string {
	return e.URL() + "/v1/services/" + l.cluster.Spec.Service + "/request" + path
}

// send runs one request and, while its outcome is unknown, asks again with its
// ticket through another entry. It takes the ticket in advance if so told.
func (l *orderLoad) send(k int, inAdvance bool) *order {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	o := &order{path: fmt.Sprintf("/orders/%d", l.next.Add(1))}
	header := map[string]string{headerTimeout: strconv.Itoa(int(callTimeout.Milliseconds()))}
	if l.idempotent {
		header[headerIdempotent] = "true"
	}
	ticket := ""
	if inAdvance && !l.idempotent {
		ticket = l.takeTicket(ctx, k)
		if ticket != "" {
			header[headerTicket] = ticket
		}
	}
	target := fmt.Sprintf("%s?delay_ms=%d", o.path, l.delayMS())
	a := l.client.Call(ctx, http.MethodPost, l.url(l.entry(k), target), header, []byte(o.path))
	if a.Ticket != "" {
		ticket = a.Ticket
	}
	o.learn(a)
	for try := 1; o.outcome == toldNothing && ticket != "" && try <= 6; try++ {
		o.asked++
		e := l.entry(k + try)
		if header[headerTicket] != "" && try%2 == 1 {
			// The same request once more; the ticket allows one run at most.
			a = l.client.Call(ctx, http.MethodPost, l.url(e, target), header, []byte(o.path))
		} else {
			a = l.client.Call(ctx, http.MethodGet, e.URL()+"/v1/tickets/"+ticket, nil, nil)
		}
		o.learn(a)
		time.Sleep(time.Duration(try) * 50 * time.Millisecond)
	}
	return o
}

func (l *orderLoad) takeTicket(ctx context.Context, k int) string {
	var reply struct {
		Ticket string `json:"ticket"`
	}
	url := l.entry(k).URL() + "/v1/services/" + l.cluster.Spec.Service + "/tickets"
	if err := l.client.JSON(ctx, http.MethodPost, url, nil, &reply); err != nil {
		return ""
	}
	return reply.Ticket
}

// learn takes one more answer into account.
func (o *order) learn(a Answer) {
	o.code = a.Code
	switch {
	case a.Complete() && a.Status == http.StatusOK:
		o.outcome = toldComplete
		if want := backend.Digest(http.MethodPost, o.path, []byte(o.path)); a.Header.Get(backend.DigestHeader) != want {
			o.contradiction = "the response belongs to another request"
		}
	case a.NotRun():
		o.outcome = toldNotRun
	}
}

// ranByPath reads the records of all backend servers: the number of runs by
// path, and by path and outcome.
func ranByPath(backends []*Node) (map[string]int, error) {
	runs := make(map[string]int)
	for _, b := range backends {
		data, err := os.ReadFile(b.Log)
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(data), "\n") {
			var rec backend.Record
			if line == "" || json.Unmarshal([]byte(line), &rec) != nil {
				continue // a line cut off by the end of the process
			}
			if rec.EndedMS == 0 { // the line that precedes the run
				runs[rec.Path]++
			}
		}
	}
	return runs, nil
}

// tally compares what callers were told with what the backend servers ran.
type tally struct {
	sent, complete, notRun, unknown, asked int
	twice                                  int // ran more than once
	ranRefused                             int // ran although refused as not run
	missing                                int // complete without a run
	contradictions                         int
	codes                                  map[result.Code]int
}

func (l *orderLoad) tally() (tally, error) {
	runs, err := ranByPath(l.cluster.Backends)
	if err != nil {
		return tally{}, err
	}
	t := tally{codes: make(map[result.Code]int)}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.orders {
		t.sent++
		t.asked += o.asked
		n := runs[o.path]
		if n > 1 {
			t.twice++
		}
		if o.contradiction != "" {
			t.contradictions++
		}
		switch o.outcome {
		case toldComplete:
			t.complete++
			if n == 0 {
				t.missing++
			}
		case toldNotRun:
			t.notRun++
			t.codes[o.code]++
			if n > 0 {
				t.ranRefused++
			}
		default:
			t.unknown++
		}
	}
	return t, nil
}
