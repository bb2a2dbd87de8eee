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
	digestRunTime = 20 * time.Second
	digestCallers = 100
	// minCorrectResponses is the least number of correct responses for a meaningful run.
	minCorrectResponses = 2000
	// maxResponseBytes bounds the length of the responses that callers request.
	maxResponseBytes = 200_000
)

// digestProof checks P3. Every response that looks complete is compared with the one that
// follows from the request, while responses are delayed or broken off and processes on the path
// are killed, frozen or isolated.
func digestProof() Proof {
	return Proof{
		Name: "complete-responses", Property: "P3", Timeout: 90 * time.Second,
		Bound: "0 wrong, 0 short",
		Run:   runDigestProof,
	}
}

// digestTally counts requests and the kinds of their responses.
type digestTally struct {
	sent, correct, wrong, truncated, broken, refused atomic.Int64
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
	runCtx, cancel := context.WithTimeout(ctx, digestRunTime)
	defer cancel()
	tally := new(digestTally)
	var callers sync.WaitGroup
	client := NewClient(TeamToken("cargo"))
	for i := range digestCallers {
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		callers.Go(func() {
			for n := 0; runCtx.Err() == nil; n++ {
				tally.sendOne(c, client, random, i, n)
			}
		})
	}
	faults := e.injectFaults(runCtx, faultPlan{
		pause: [2]time.Duration{time.Second, 2 * time.Second}, duration: [2]time.Duration{300 * time.Millisecond, time.Second}, parallel: 1,
		next: func() fault {
			agent := pickRandom(e, c.Agents)
			return pickRandom(e, []fault{killFault(c, agent), freezeFault(agent), killFault(c, pickRandom(e, c.Backends)), killFault(c, pickRandom(e, c.Entries)), isolationFault(c, agent)})
		},
	})
	callers.Wait()
	measured := fmt.Sprintf("%d wrong, %d short; %d sent, %d right, %d broken, %d refused, %d faults",
		tally.wrong.Load(), tally.truncated.Load(), tally.sent.Load(), tally.correct.Load(), tally.broken.Load(), tally.refused.Load(), faults)
	pass := tally.wrong.Load() == 0 && tally.truncated.Load() == 0 && tally.correct.Load() >= minCorrectResponses && tally.broken.Load() > 0
	return Verdict{Pass: pass, Measured: measured}, nil
}

// sendOne sends one request and counts its response.
func (t *digestTally) sendOne(c *Cluster, client *Client, random *rand.Rand, caller, n int) {
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
	resp := client.Call(ctx, method, url, map[string]string{headerTimeout: strconv.Itoa(5000)}, body)
	t.sent.Add(1)
	switch {
	case resp.Err != nil:
		t.broken.Add(1)
	case resp.Code != 0 || resp.Status >= 500:
		t.refused.Add(1)
	default:
		t.classify(resp, backend.Digest(method, path, body), size)
	}
	if resp.Err != nil || resp.Code != 0 {
		time.Sleep(20 * time.Millisecond) // backs off after a failure or a refusal
	}
}

// classify compares a response that looks complete with the expected one, and counts it.
func (t *digestTally) classify(resp Response, digest string, size int) {
	want := backend.ResponseBody(digest, size)
	switch {
	case bytes.Equal(resp.Body, want) && resp.Header.Get(backend.DigestHeader) == digest:
		t.correct.Add(1)
	case len(resp.Body) < len(want) && bytes.HasPrefix(want, resp.Body):
		t.truncated.Add(1)
	default:
		t.wrong.Add(1)
	}
}
