package consulkv

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
	"snipegw/internal/standin/kv"
	"snipegw/internal/store"
)

func TestConsulKV(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consulkv")
}

// harness holds the store plug-in and the stand-in service that it calls.
type harness struct {
	ctx    context.Context
	server *kv.Server
	store  store.Store
}

func newHarness(settings kv.Settings, addresses ...string) *harness {
	settings.Address = "127.0.0.1:0"
	server, err := kv.Start(settings)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	s, err := store.Open(store.Settings{Type: "consulkv", Addresses: append(addresses, server.URL()), TimeoutMS: 300})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	DeferCleanup(cancel)
	return &harness{ctx: ctx, server: server, store: s}
}

func (h *harness) cas(key string, rev uint64, value string) (bool, error) {
	return h.store.CompareAndSwap(h.ctx, key, rev, []byte(value))
}

func (h *harness) get(key string) store.Entry {
	GinkgoHelper()
	e, err := h.store.Get(h.ctx, key)
	Expect(err).NotTo(HaveOccurred())
	return e
}

func (h *harness) create(key, value string) store.Entry {
	GinkgoHelper()
	ok, err := h.cas(key, 0, value)
	Expect(err).NotTo(HaveOccurred())
	Expect(ok).To(BeTrue())
	return h.get(key)
}

// expectUnavailable checks that err has code StoreUnavailable.
func expectUnavailable(err error) {
	GinkgoHelper()
	Expect(err).To(HaveOccurred())
	Expect(result.CodeOf(err)).To(Equal(result.StoreUnavailable))
}

// closedPort returns an address that refuses connections.
func closedPort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return "http://" + ln.Addr().String()
}

var _ = DescribeTable("store contract",
	func(run func(h *harness)) { run(newHarness(kv.Settings{})) },

	Entry("an absent key has revision 0", func(h *harness) {
		Expect(h.get("a/b").Revision).To(BeZero())
	}),
	Entry("a key round-trips binary values and path separators", func(h *harness) {
		value := string([]byte{0, 255, '"', '\n'})
		Expect(string(h.create("snipegw/jobs/r 1/00", value).Value)).To(Equal(value))
	}),
	Entry("a second creation is refused", func(h *harness) {
		h.create("k", "1")
		Expect(h.cas("k", 0, "2")).To(BeFalse())
		Expect(string(h.get("k").Value)).To(Equal("1"))
	}),
	Entry("a swap at an old revision is refused", func(h *harness) {
		e := h.create("k", "1")
		Expect(h.cas("k", e.Revision, "2")).To(BeTrue())
		Expect(h.cas("k", e.Revision, "3")).To(BeFalse())
	}),
	Entry("concurrent swaps at one revision succeed once", func(h *harness) {
		e := h.create("k", "0")
		var wg sync.WaitGroup
		wins := make(chan int, 16)
		for i := range 16 {
			wg.Go(func() {
				if ok, err := h.cas("k", e.Revision, fmt.Sprint(i)); err == nil && ok {
					wins <- i
				}
			})
		}
		wg.Wait()
		Expect(wins).To(HaveLen(1))
	}),
	Entry("a value of 1 MB is accepted and a larger one refused before it is sent", func(h *harness) {
		ok, err := h.store.CompareAndSwap(h.ctx, "k", 0, bytes.Repeat([]byte{7}, store.MaxValueBytes))
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(h.get("k").Value).To(HaveLen(store.MaxValueBytes))
		_, err = h.store.CompareAndSwap(h.ctx, "k2", 0, make([]byte, store.MaxValueBytes+1))
		Expect(result.CodeOf(err)).To(Equal(result.BodyTooLarge))
	}),
	Entry("a down service gives store_unavailable for every operation", func(h *harness) {
		h.server.SetFaults(kv.Faults{Down: true})
		_, err := h.store.Get(h.ctx, "k")
		expectUnavailable(err)
		_, err = h.cas("k", 0, "1")
		expectUnavailable(err)
		_, err = h.store.Watch(h.ctx, "k", 1, time.Second)
		expectUnavailable(err)
		_, err = h.store.NewSession(h.ctx, MinSessionTTL)
		expectUnavailable(err)
		expectUnavailable(h.store.RenewSession(h.ctx, "s"))
		_, err = h.store.Acquire(h.ctx, "k", "s", nil)
		expectUnavailable(err)
		h.server.SetFaults(kv.Faults{})
		Expect(h.get("k").Revision).To(BeZero())
	}),
	Entry("a call to a slow service ends at the timeout", func(h *harness) {
		h.server.SetFaults(kv.Faults{SlowMS: 5000})
		began := time.Now()
		_, err := h.store.Get(h.ctx, "k")
		expectUnavailable(err)
		Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	}),
	Entry("a lost response is an error, never a refusal", func(h *harness) {
		e := h.create("k", "1")
		h.server.SetFaults(kv.Faults{LoseNext: 1})
		ok, err := h.cas("k", e.Revision, "2")
		expectUnavailable(err)
		Expect(ok).To(BeFalse())
		Expect(string(h.get("k").Value)).To(Equal("2"), "the write took effect")
		Expect(h.server.Counts().Calls["cas"]).To(Equal(uint64(2)), "the write was sent once")
	}),
	Entry("a stale read returns an older state and a swap on it is refused", func(h *harness) {
		e := h.create("k", "1")
		time.Sleep(120 * time.Millisecond) // separates the two versions in the history
		Expect(h.cas("k", e.Revision, "2")).To(BeTrue())
		h.server.SetFaults(kv.Faults{StaleMS: 100})
		stale := h.get("k")
		Expect(stale.Revision).To(Equal(e.Revision))
		Expect(h.cas("k", stale.Revision, "3")).To(BeFalse())
		Eventually(func() string { return string(h.get("k").Value) }).Should(Equal("2"))
	}),
	Entry("a watch returns at a change", func(h *harness) {
		e := h.create("k", "1")
		got := make(chan store.Entry, 1)
		go func() {
			seen, _ := h.store.Watch(h.ctx, "k", e.Revision, 10*time.Second)
			got <- seen
		}()
		Consistently(got, "100ms").ShouldNot(Receive())
		Expect(h.cas("k", e.Revision, "2")).To(BeTrue())
		var seen store.Entry
		Eventually(got, "1s").Should(Receive(&seen))
		Expect(string(seen.Value)).To(Equal("2"))
	}),
	Entry("a watch returns the creation of a key and ignores other keys", func(h *harness) {
		got := make(chan store.Entry, 1)
		go func() {
			seen, _ := h.store.Watch(h.ctx, "k", 0, 10*time.Second)
			got <- seen
		}()
		h.create("other", "x")
		Consistently(got, "100ms").ShouldNot(Receive())
		h.create("k", "1")
		var seen store.Entry
		Eventually(got, "1s").Should(Receive(&seen))
		Expect(string(seen.Value)).To(Equal("1"))
	}),
	Entry("a watch without a change ends after its wait and counts as one call", func(h *harness) {
		e := h.create("k", "1")
		began := time.Now()
		seen, err := h.store.Watch(h.ctx, "k", e.Revision, 600*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(seen.Revision).To(Equal(e.Revision))
		Expect(time.Since(began)).To(BeNumerically(">=", 590*time.Millisecond))
		Expect(h.server.Counts().Calls["watch"]).To(Equal(uint64(1)))
		Expect(h.store.Calls()["watch"]).To(Equal(uint64(1)))
	}),
	Entry("an outage ends a waiting watch", func(h *harness) {
		e := h.create("k", "1")
		failed := make(chan error, 1)
		go func() {
			_, err := h.store.Watch(h.ctx, "k", e.Revision, 10*time.Second)
			failed <- err
		}()
		Eventually(func() uint64 { return h.server.Counts().Calls["watch"] }).Should(Equal(uint64(1)))
		h.server.SetFaults(kv.Faults{Down: true})
		var err error
		Eventually(failed, "2s").Should(Receive(&err))
		expectUnavailable(err)
	}),
	Entry("a session holds a key until it expires", func(h *harness) {
		one, err := h.store.NewSession(h.ctx, MinSessionTTL)
		Expect(err).NotTo(HaveOccurred())
		two, err := h.store.NewSession(h.ctx, MinSessionTTL)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.store.Acquire(h.ctx, "k", one, []byte("1"))).To(BeTrue())
		Expect(h.get("k").Session).To(Equal(one))
		Expect(h.store.Acquire(h.ctx, "k", two, []byte("2"))).To(BeFalse())
		Expect(h.store.RenewSession(h.ctx, one)).To(Succeed())
		h.server.SetFaults(kv.Faults{LapseSessions: true})
		Expect(h.store.RenewSession(h.ctx, one)).To(MatchError(store.ErrLeaseLost))
		_, err = h.store.Acquire(h.ctx, "k", two, []byte("2"))
		Expect(err).To(MatchError(store.ErrLeaseLost))
		Expect(h.get("k").Session).To(BeEmpty())
	}),
	Entry("release unbinds only the key's own session", func(h *harness) {
		one, err := h.store.NewSession(h.ctx, MinSessionTTL)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.store.Acquire(h.ctx, "k", one, []byte("1"))).To(BeTrue())
		Expect(h.store.Release(h.ctx, "k", "another")).To(BeFalse())
		Expect(h.store.Release(h.ctx, "k", one)).To(BeTrue())
		Expect(h.get("k")).To(And(HaveField("Session", ""), HaveField("Value", []byte("1"))))
		Expect(h.store.EndSession(h.ctx, one)).To(Succeed())
	}),
	Entry("a lease below the published minimum is refused", func(h *harness) {
		_, err := h.store.NewSession(h.ctx, time.Second)
		Expect(result.CodeOf(err)).To(Equal(result.BadRequest))
	}),
)

var _ = Describe("addresses and limits", func() {
	It("tries the next address when one refuses connections, also for writes", func() {
		h := newHarness(kv.Settings{}, closedPort())
		h.create("k", "1")
		Expect(h.server.Counts().Calls["cas"]).To(Equal(uint64(1)))
	})

	It("does not send a write to a second address after an ambiguous failure", func() {
		var first, second atomic.Int32
		broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			first.Add(1)
			panic(http.ErrAbortHandler)
		}))
		defer broken.Close()
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { second.Add(1) }))
		defer other.Close()
		s, err := New(store.Settings{Addresses: []string{broken.URL, other.URL}, TimeoutMS: 1000})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.CompareAndSwap(context.Background(), "k", 1, []byte("v"))
		expectUnavailable(err)
		Expect([]int32{first.Load(), second.Load()}).To(Equal([]int32{1, 0}))
	})

	It("fails on a response that exceeds the size limit", func() {
		huge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxResponseBytes+1))
		}))
		defer huge.Close()
		s, err := New(store.Settings{Addresses: []string{huge.URL}, TimeoutMS: 2000})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Get(context.Background(), "k")
		expectUnavailable(err)
	})

	It("reports a call above the rate limit as store_unavailable", func() {
		h := newHarness(kv.Settings{ReadsPerSecond: 2})
		h.get("k")
		h.get("k")
		_, err := h.store.Get(h.ctx, "k")
		expectUnavailable(err)
		Expect(h.server.Counts().Refused).To(Equal(uint64(1)))
	})
})
