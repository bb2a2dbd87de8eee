package gate

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

func TestGate(t *testing.T) {
	log.SetLevel(log.FatalLevel)
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second) // the machine may be busy
	RunSpecs(t, "gate")
}

func (a streamResult) code() result.Code {
	if a.admission.Fault != nil {
		return a.admission.Fault.Code
	}
	if a.head.Fault != nil {
		return a.head.Fault.Code
	}
	return result.OK
}

var _ = Describe("gate", func() {
	var (
		r *harness
		b *backendServer
	)

	BeforeEach(func() {
		r = newHarness(GinkgoTB())
		b = newBackendServer(GinkgoTB())
		b.announce(r.gate, "i1", 2)
		DeferCleanup(func() {
			r.close()
			_ = b.ln.Close()
		})
	})

	replyWith := func(raw string, keep bool) {
		b.setReply(func(int32, *http.Request, string) (string, bool) { return raw, keep })
	}

	It("forwards a request and its response without hop-by-hop fields", func() {
		seen := make(chan *http.Request, 1)
		b.setReply(func(_ int32, req *http.Request, body string) (string, bool) {
			seen <- req
			return "HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\nContent-Length: 5\r\n\r\n<" + body + ">", true
		})
		a := r.do(wire.RequestHead{Target: "/p?q=1", Header: []wire.HeaderField{
			{Name: "Host", Value: "example.org"}, {Name: "connection", Value: "x-secret, snipegw-request-id"}, {Name: "X-Secret", Value: "1"},
			{Name: "Te", Value: "trailers"}, {Name: "X-Kept", Value: "a"}, {Name: "X-Kept", Value: "b"},
		}}, "abc")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal("<abc>"))
		Expect(a.head.Status).To(Equal(201))
		Expect(a.head.Header).To(ConsistOf(wire.HeaderField{Name: "X-End", Value: "2"}))
		got := <-seen
		Expect(got.Host).To(Equal("example.org"))
		Expect(got.RequestURI).To(Equal("/p?q=1"))
		Expect(got.Header).To(Equal(http.Header{"X-Kept": {"a", "b"}, RequestIDHeader: {"req-1"}, "Content-Length": {"3"}}))
	})

	DescribeTable("refuses a request as not run without sending it to the backend server", func(change func(), want result.Code) {
		change()
		a := r.do(wire.RequestHead{}, "x")
		Expect(a.code()).To(Equal(want))
		Expect(a.code().NotRun()).To(BeTrue())
		Expect(b.requestCount.Load()).To(BeZero())
	},
		Entry("a leaving backend server", func() {
			Expect(r.gate.Leave(Announcement{Service: "svc", Instance: "i1"})).To(Succeed())
		}, result.Draining),
		Entry("a draining worker", func() { r.gate.SetDraining(true) }, result.Draining),
		Entry("an expired announcement", func() { r.advanceClock(AnnounceTimeout + time.Millisecond) }, result.BackendUnavailable),
		Entry("a refused connection", func() { _ = b.ln.Close() }, result.BackendUnavailable),
		Entry("no announced backend server", func() { r.advanceClock(time.Hour); r.gate.Tick(r.ctx) }, result.UnknownService),
	)

	DescribeTable("refuses a malformed head", func(h wire.RequestHead) {
		Expect(r.do(h, "").code()).To(Equal(result.BadRequest))
		Expect(b.requestCount.Load()).To(BeZero())
	},
		Entry("method", wire.RequestHead{Method: "BAD METHOD"}),
		Entry("target", wire.RequestHead{Target: "http://other/"}),
		Entry("a header value with a line break", wire.RequestHead{Header: []wire.HeaderField{{Name: "X", Value: "1\r\nY: 2"}}}),
		Entry("a header name", wire.RequestHead{Header: []wire.HeaderField{{Name: "X Y", Value: "1"}}}),
	)

	It("never runs more requests than slots", func() {
		release := make(chan struct{})
		b.setReply(func(int32, *http.Request, string) (string, bool) { <-release; return okReply, true })
		answers := make(chan streamResult, 2)
		for range 2 {
			go func() { answers <- r.do(wire.RequestHead{Idempotent: true}, "") }()
		}
		Eventually(r.gate.FreeSlots).Should(BeZero())
		Eventually(b.requestCount.Load).Should(Equal(int32(2)))
		Expect(r.do(wire.RequestHead{}, "").code()).To(Equal(result.WorkerFull))
		close(release)
		Expect((<-answers).body).To(Equal("ok"))
		Expect((<-answers).body).To(Equal("ok"))
		Eventually(r.gate.FreeSlots).Should(Equal(2))
		Expect(b.requestCount.Load()).To(Equal(int32(2)))
	})

	DescribeTable("never forwards an incomplete response as complete", func(raw string) {
		replyWith(raw, false)
		a := r.do(wire.RequestHead{}, "x")
		Expect(a.err).To(HaveOccurred()) // in the head or in the body
		Expect(r.queryTicket(a.admission.Ticket, "red").code()).To(Equal(result.OutcomeUnknown))
	},
		Entry("shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
		Entry("without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
	)

	// Guards against a second run by http.Transport, which resends some requests by
	// itself when an idle connection fails before the response.
	DescribeTable("runs a non-idempotent request once when the response is lost", func(h wire.RequestHead, body string) {
		Expect(r.do(wire.RequestHead{Idempotent: true}, "").body).To(Equal("ok")) // leaves an idle connection
		b.setReply(func(n int32, _ *http.Request, _ string) (string, bool) {
			if n == 2 {
				return "", false
			}
			return okReply, true
		})
		a := r.do(h, body)
		Expect(a.code()).To(Equal(result.OutcomeUnknown))
		Expect(r.queryTicket(a.admission.Ticket, "red").code()).To(Equal(result.OutcomeUnknown))
		Expect(b.requestCount.Load()).To(Equal(int32(2)))
	},
		Entry("POST", wire.RequestHead{}, "x"),
		Entry("POST without a body", wire.RequestHead{}, ""),
		Entry("GET marked as non-idempotent", wire.RequestHead{Method: "GET"}, ""),
		Entry("POST with a key that makes http.Transport resend it", wire.RequestHead{Header: []wire.HeaderField{{Name: "Idempotency-Key", Value: "k"}}}, ""),
	)

	It("forwards an idempotency key to the backend server", func() {
		key := make(chan string, 1)
		b.setReply(func(_ int32, req *http.Request, _ string) (string, bool) {
			key <- req.Header.Get("Idempotency-Key")
			return okReply, true
		})
		r.do(wire.RequestHead{Header: []wire.HeaderField{{Name: "Idempotency-Key", Value: "k"}}}, "")
		Expect(<-key).To(Equal("k"))
	})

	It("replays the recorded response when a ticket is used again", func() {
		ticket, err := r.gate.IssueTicket(r.ctx, &wire.TicketIssue{Service: "svc", Team: "red"})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.do(wire.RequestHead{Ticket: ticket.Ticket, Team: "blue"}, "x").code()).To(Equal(result.Forbidden))
		first := r.do(wire.RequestHead{Ticket: ticket.Ticket}, "x")
		Expect(first.body).To(Equal("ok"))
		_ = r.gate.Leave(Announcement{Service: "svc", Instance: "i1"})
		again := r.do(wire.RequestHead{Ticket: ticket.Ticket}, "x")
		Expect(again.body).To(Equal("ok"))
		Expect(again.head.Replayed).To(BeTrue())
		Expect(r.queryTicket(ticket.Ticket, "red").body).To(Equal("ok"))
		Expect(r.queryTicket(ticket.Ticket, "blue").code()).To(Equal(result.Forbidden))
		Expect(b.requestCount.Load()).To(Equal(int32(1)))
	})

	It("answers at the deadline and records the response that comes later", func() {
		release := make(chan struct{})
		b.setReply(func(int32, *http.Request, string) (string, bool) { <-release; return okReply, true })
		a := r.do(wire.RequestHead{TimeoutMS: 50}, "x")
		Expect(a.code()).To(Equal(result.DeadlineRan))
		Expect(r.queryTicket(a.admission.Ticket, "red").code()).To(Equal(result.InProgress))
		close(release)
		Eventually(func() string { return r.queryTicket(a.admission.Ticket, "red").body }).Should(Equal("ok"))
	})

	It("does not run a request with an incomplete body", func() {
		s := r.open(wire.RequestHead{}, strings.Repeat("x", 100))
		w := s.BodyWriter(true)
		_, err := w.Write([]byte("only a part"))
		Expect(err).NotTo(HaveOccurred())
		var admission wire.Admission
		Expect(s.Receive(&admission)).To(Succeed())
		s.Abort()
		Eventually(func() result.Code { return r.queryTicket(admission.Ticket, "red").code() }).Should(Equal(result.TicketUnavailable))
		Expect(b.requestCount.Load()).To(BeZero())
	})

	It("reports a backend server that refuses connections as unhealthy until a probe succeeds", func() {
		address := b.ln.Addr().String()
		_ = b.ln.Close()
		r.do(wire.RequestHead{}, "")
		Expect(r.gate.ServiceStates()).To(ConsistOf(wire.ServiceState{Service: "svc", Slots: 2}))
		Expect(r.gate.FreeSlots()).To(BeZero())
		r.gate.Tick(r.ctx)
		Expect(r.gate.ServiceStates()[0].Healthy).To(BeFalse())
		server := &http.Server{Addr: address, Handler: http.NotFoundHandler()}
		go func() { _ = server.ListenAndServe() }()
		defer server.Close()
		Eventually(func() bool { r.gate.Tick(r.ctx); return r.gate.ServiceStates()[0].Healthy }).Should(BeTrue())
	})

	It("refuses an instance that has left or was replaced", func() {
		b.announce(r.gate, "i2", 4)
		old := Announcement{Service: "svc", Address: b.ln.Addr().String(), Slots: 2, Instance: "i1"}
		Expect(result.CodeOf(r.gate.Announce(old))).To(Equal(result.Draining))
		Expect(r.gate.Leave(Announcement{Service: "svc", Instance: "i1"})).To(Succeed())
		Expect(r.gate.FreeSlots()).To(Equal(4))
	})
})

// FuzzAnnouncement guards against panics and against accepted announcements without
// a service, an instance, an address or a valid number of slots.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"s","address":"127.0.0.1:80","slots":8,"instance":"i"}`), false)
	f.Add([]byte(`{"service":"s","instance":"i"}`), true)
	f.Add([]byte(`{"service":"s","address":"0.0.0.0:0","slots":-1,"instance":"i"} x`), false)
	f.Fuzz(func(t *testing.T, data []byte, leave bool) {
		a, err := ParseAnnouncement(data, leave)
		if err != nil {
			if result.CodeOf(err) != result.BadRequest {
				t.Fatal(err)
			}
			return
		}
		if a.Service == "" || a.Instance == "" || !leave && (a.Slots < 1 || a.Slots > maxSlots || a.Address == "") {
			t.Fatalf("accepted %+v", a)
		}
	})
}

// FuzzRequestHead guards against panics and against accepted heads that inject
// header fields into the request to the backend server.
func FuzzRequestHead(f *testing.F) {
	seed, _ := wire.Marshal(newHead(wire.RequestHead{Header: []wire.HeaderField{{Name: "Connection", Value: "x"}}}, ""))
	f.Add(seed)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var h wire.RequestHead
		if wire.Unmarshal(data, &h) != nil {
			return
		}
		if _, err := checkHead(&h); err != nil {
			return
		}
		header, _ := requestHeader(&h)
		var out strings.Builder
		if err := header.Write(&out); err != nil {
			t.Fatal(err)
		}
		if strings.Count(out.String(), "\n") > len(h.Header)+1 {
			t.Fatalf("more lines than fields: %q", out.String())
		}
	})
}
