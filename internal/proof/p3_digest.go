package proof

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"snipegw/internal/standin/backend"
)

const (
	digestRun     = 20 * time.Second
	digestCallers = 100
	// minDigests is the least number of checked responses.
	minDigests = 2000
	// maxResponseBytes bounds the responses that callers ask for.
	maxResponseBytes = 200_000
)

// digestProof checks P3: every response that looks complete is compared with
// the one that follows from the request, while responses are delayed, broken
// off in the middle, and processes on the path are killed.
func digestProof() Proof {
	return Proof{
		Name: "complete-responses", Promise: "P3", Limit: 90 * time.Second,
		Bound: "0 wrong, 0 short",
		Run:   runDigestProof,
	}
}

// digestTally counts responses.
type digestTally struct {
	sent, right, wrong, short, broken, refused atomic.Int64
}

func runDigestProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Relayed = true
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	for _, b := range c.Backends {
		on := map[string]any{"break": 0.05}
		if e.Control {
			on["short"] = 0.01
		}
		if err := SetFaults(b, on); err != nil {
			return Verdict{}, err
		}
	}
	runCtx, cancel := context.WithTimeout(ctx, digestRun)
	defer cancel()
	t := new(digestTally)
	var callers sync.WaitGroup
	client := NewClient(TeamToken("cargo"))
	for i := range digestCallers {
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		callers.Go(func() {
			for n := 0; runCtx.Err() == nil; n++ {
				t.one(c, client, random, i, n)
			}
		})
	}
	n := e.inject(runCtx, faultPlan{
		pause: [2]time.Duration{time.Second, 2 * time.Second}, hold: [2]time.Duration{300 * time.Millisecond, time.Second}, parallel: 1,
		choose: func() fault {
			agent := pick(e, c.Agents)
			return pick(e, []fault{killed(c, agent), frozen(agent), killed(c, pick(e, c.Backends)), killed(c, pick(e, c.Entries)), isolated(c, agent)})
		},
	})
	callers.Wait()
	measured := fmt.Sprintf("%d wrong, %d short; %d sent, %d right, %d broken, %d refused, %d faults",
		t.wrong.Load(), t.short.Load(), t.sent.Load(), t.right.Load(), t.broken.Load(), t.refused.Load(), n)
	pass := t.wrong.Load() == 0 && t.short.Load() == 0 && t.right.Load() >= minDigests && t.broken.Load() > 0
	return Verdict{Pass: pass, Measured: measured}, nil
}

// one sends one request and judges its response.
func (t *digestTally) one(c *Cluster, client *Client, random *rand.Rand, caller, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	method := []string{http.MethodGet, http.MethodPost, http.MethodPut}[random.IntN(3)]
	var body []byte
	if method != http.MethodGet {
		body = make([]byte, random.IntN(20_000))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
	}
	size := 0
	if random.IntN(4) > 0 {
		size = 1 + random.IntN(maxResponseBytes)
	}
	path := fmt.Sprintf("/check/%d/%d", caller, n)
	query := fmt.Sprintf("?delay_ms=%d&bytes=%d&chunked=%d", random.IntN(60), size, random.IntN(2))
	e := c.Entries[random.IntN(len(c.Entries))]
	url := e.URL() + "/v1/services/" + c.Spec.Service + "/request" + path + query
	a := client.Call(ctx, method, url, map[string]string{headerTimeout: strconv.Itoa(5000)}, body)
	t.sent.Add(1)
	switch {
	case a.Err != nil:
		t.broken.Add(1)
	case a.Code != 0 || a.Status >= 500:
		t.refused.Add(1)
	default:
		t.judge(a, backend.Digest(method, path, body), size)
	}
	if a.Err != nil || a.Code != 0 {
		time.Sleep(20 * time.Millisecond) // do not spin on refusals
	}
}

// judge compares a response that looks complete with the expected one.
func (t *digestTally) judge(a Answer, digest string, size int) {
	want := backend.ResponseBody(digest, size)
	switch {
	case bytes.Equal(a.Body, want) && a.Header.Get(backend.DigestHeader) == digest:
		t.right.Add(1)
	case len(a.Body) < len(want) && bytes.HasPrefix(want, a.Body):
		t.short.Add(1)
	default:
		t.wrong.Add(1)
	}
}
