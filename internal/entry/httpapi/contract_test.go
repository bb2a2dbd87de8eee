package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httpapi")
}

// recordEarlyTicket returns a context that stores the ticket of a response 103 in
// early.
func recordEarlyTicket(ctx context.Context, early *string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints {
				*early = h.Get(HeaderTicket)
			}
			return nil
		},
	})
}

const requestPathPrefix = "/v1/services/" + fakeService + "/request"

// contractRow states, for one method and script of the agents, what the caller is told
// and how often the request runs.
type contractRow struct {
	method      string
	script      []step
	code        result.Code // result.OK if the caller gets the backend server's response
	runs        int64
	wantAborted bool
}

func (r contractRow) name() string {
	parts := make([]string, len(r.script))
	for i, s := range r.script {
		parts[i] = string(s)
	}
	want := fmt.Sprintf("%d %s", int(r.code), r.code)
	if r.wantAborted {
		want = "a broken connection"
	}
	return fmt.Sprintf("%s, worker %s: %s after %d runs", r.method, strings.Join(parts, ", then "), want, r.runs)
}

var contractRows = []contractRow{
	{"GET", []step{answer}, result.OK, 1, false},
	{"GET", []step{answerLate}, result.OK, 1, false},
	{"GET", []step{full, answer}, result.OK, 1, false},
	{"GET", []step{draining, full, answer}, result.OK, 1, false},
	{"GET", []step{full}, result.Overloaded, 0, false},
	{"GET", []step{draining}, result.Draining, 0, false},
	{"GET", []step{breakBefore, answer}, result.OK, 1, false},
	{"GET", []step{breakAfter, answer}, result.OK, 2, false},
	{"GET", []step{breakAfter, breakAfter, breakAfter}, result.OutcomeUnknown, 3, false},
	{"GET", []step{breakAfter, draining}, result.OutcomeUnknown, 1, false},
	{"GET", []step{backendBreaks, answer}, result.OK, 2, false},
	{"GET", []step{backendRefuses, answer}, result.OK, 1, false},
	{"GET", []step{backendRefuses}, result.BackendUnavailable, 0, false},
	{"GET", []step{hang}, result.DeadlineRan, 1, false},
	{"GET", []step{hangBefore}, result.DeadlineRan, 0, false},
	{"GET", []step{breakInBody}, result.OK, 1, true},
	{"POST", []step{answer}, result.OK, 1, false},
	{"POST", []step{answerLate}, result.OK, 1, false},
	{"POST", []step{full, answer}, result.OK, 1, false},
	{"POST", []step{draining, answer}, result.OK, 1, false},
	{"POST", []step{full}, result.Overloaded, 0, false},
	{"POST", []step{breakBefore, answer}, result.OK, 1, false},
	{"POST", []step{breakBefore, full, answer}, result.OK, 1, false},
	{"POST", []step{breakBefore}, result.BackendUnavailable, 0, false},
	{"POST", []step{breakBefore, breakAfter, answer}, result.OutcomeUnknown, 1, false},
	{"POST", []step{breakAfter, answer}, result.OutcomeUnknown, 1, false},
	{"POST", []step{backendBreaks, answer}, result.OutcomeUnknown, 1, false},
	{"POST", []step{backendRefuses, answer}, result.OK, 1, false},
	{"POST", []step{backendRefuses}, result.BackendUnavailable, 0, false},
	{"POST", []step{hang}, result.DeadlineRan, 1, false},
	{"POST", []step{hangBefore}, result.DeadlineRan, 0, false},
	{"POST", []step{breakInBody}, result.OK, 1, true},
	{"POST", []step{badTicket, answer}, result.BadTicket, 0, false},
}

var _ = ginkgo.Describe("request path", func() {
	for _, row := range contractRows {
		// Guards against errors that state wrongly whether the request ran, against
		// non-idempotent requests that run twice, and against truncated responses that
		// look complete.
		ginkgo.It(row.name(), func() {
			agents := startAgents(3, 3, row.script...)
			g := startGateway(agents)
			r := g.call(row.method, requestPathPrefix+"/x?y=1", "body", HeaderTimeout, "400")
			Expect(agents.runs.Load()).To(Equal(row.runs))
			Expect(r.aborted).To(Equal(row.wantAborted))
			if row.wantAborted {
				return
			}
			Expect(r.status).To(Equal(row.code.Info().Status), r.body)
			if row.method == "POST" && (row.runs > 0 || row.script[len(row.script)-1] == backendRefuses) {
				Expect(r.earlyTicket).To(Equal("w0/" + fakeIncarnation + "/1"))
				Expect(r.ticket).To(Equal(r.earlyTicket))
			}
			if row.code == result.OK {
				Expect(r.body).To(Equal(fakeResponse + "/x?y=1"))
				Expect(r.code).To(BeEmpty(), "a backend server cannot set the code")
				return
			}
			expectRefusal(r, row.code)
		})
	}

	// Guards against a truncated response that fits one buffer and so looks complete.
	ginkgo.It("never passes a truncated small response as a complete one", func() {
		agents := startAgents(1, 1, breakInSmallBody)
		g := startGateway(agents)
		for range 20 {
			r := g.call("POST", requestPathPrefix+"/x", "body")
			if !r.aborted {
				expectRefusal(r, result.OutcomeUnknown)
			}
		}
	})

	ginkgo.It("tries another worker when one cannot be reached", func() {
		agents := startAgents(2, 1, answer)
		g := startGateway(agents)
		for range 4 {
			r := g.call("POST", requestPathPrefix+"/x", "body")
			Expect(r.status).To(Equal(http.StatusOK), r.body)
		}
		Expect(agents.runs.Load()).To(Equal(int64(4)))
	})

	ginkgo.It("states that the request did not run when no worker can be reached", func() {
		g := startGateway(startAgents(1, 0, answer))
		expectRefusal(g.call("POST", requestPathPrefix+"/x", "body"), result.BackendUnavailable)
	})

	// Guards against a streamed body that is sent in part after the first worker
	// refused the request.
	ginkgo.It("sends a body that is too large to buffer, also after a refusal", func() {
		agents := startAgents(2, 2, full, answer)
		g := startGateway(agents)
		body := strings.Repeat("0123456789", 9_000)
		r := g.call("POST", requestPathPrefix+"/x", body)
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		agents.bodies.Range(func(_, got any) bool {
			Expect(got).To(Equal(body))
			return true
		})
	})

	// Guards against a request that runs twice because its ticket is used at a worker
	// that did not issue it.
	ginkgo.It("uses a ticket issued in advance only at the worker that issued it", func() {
		agents := startAgents(2, 2, full, answer)
		g := startGateway(agents)
		expectRefusal(g.call("POST", requestPathPrefix+"/x", "", HeaderTicket, "w1/"+fakeIncarnation+"/7"), result.Overloaded)
		Expect(agents.received.Load()).To(Equal(int64(1)))
		for _, lost := range []string{"w1/0000000000000000b/7", "gone/" + fakeIncarnation + "/7"} {
			expectRefusal(g.call("POST", requestPathPrefix+"/x", "", HeaderTicket, lost), result.OutcomeUnknown)
		}
		Expect(agents.runs.Load()).To(BeZero())
	})

	ginkgo.It("refuses requests of a team above its max_requests", func() {
		g := startGateway(startAgents(1, 1, answer))
		team, err := g.teams.Get("b")
		Expect(err).NotTo(HaveOccurred())
		_, err = team.Begin()
		Expect(err).NotTo(HaveOccurred())
		expectRefusal(g.call("GET", requestPathPrefix+"/x", "", "Authorization", "Bearer token of team b"), result.Overloaded)
	})

	// Guards against a stop that cuts requests in progress.
	ginkgo.It("fails the health check and finishes requests in progress when it stops", func() {
		agents := startAgents(1, 1, answerLate)
		g := startGateway(agents)
		inProgress := make(chan reply, 1)
		go func() { inProgress <- g.call("GET", requestPathPrefix+"/x", "") }()
		Eventually(agents.runs.Load).Should(Equal(int64(1)))
		Expect(g.Stop(context.Background())).To(Succeed())
		Expect(g.Healthy()).To(BeFalse())
		Expect((<-inProgress).status).To(Equal(http.StatusOK))
	})
})

// expectRefusal checks the headers, the status and the JSON body of an error response.
func expectRefusal(r reply, code result.Code) {
	ginkgo.GinkgoHelper()
	info := code.Info()
	Expect(r.code).To(Equal(fmt.Sprintf("%d %s", int(code), info.Name)), r.body)
	Expect(r.status).To(Equal(info.Status))
	var body errorBody
	Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed())
	Expect(body.Code).To(Equal(code))
	Expect(body.Name).To(Equal(info.Name))
	Expect(body.Ran).To(Equal(info.Ran))
	Expect(body.Action).To(Equal(info.Action))
	Expect(body.Message).NotTo(BeEmpty())
	if info.Status == http.StatusServiceUnavailable {
		Expect(r.header.Get("Retry-After")).To(Equal("1"))
	}
}
