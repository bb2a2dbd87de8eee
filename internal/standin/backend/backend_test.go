package backend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend stand-in")
}

func start(s Settings) *Server {
	s.Address = "127.0.0.1:0"
	s.Service = "booking"
	srv, err := Start(s)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(srv.Close)
	return srv
}

func post(url, body string) (*http.Response, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(RequestIDHeader, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

var _ = Describe("backend stand-in", func() {
	It("responds with the digest of the request and the body generated from it", func() {
		srv := start(Settings{})
		resp, data, err := post(srv.URL()+"/a/b?bytes=5000", "hello")
		Expect(err).NotTo(HaveOccurred())
		digest := Digest("POST", "/a/b", []byte("hello"))
		Expect(resp.Header.Get(DigestHeader)).To(Equal(digest))
		Expect(data).To(Equal(ResponseBody(digest, 5000)))
		Expect(srv.Records(0)).To(ConsistOf(And(HaveField("RequestID", "r1"), HaveField("Outcome", "complete"))))
	})

	It("truncates responses with and without a content length", func() {
		srv := start(Settings{})
		for _, query := range []string{"?bytes=50000&break=1", "?bytes=50000&break=1&chunked=1"} {
			_, _, err := post(srv.URL()+"/x"+query, "")
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}
		Expect(srv.Records(0)).To(HaveEach(HaveField("Outcome", "broken")))
	})

	It("refuses connections and accepts them again on the same port", func() {
		srv := start(Settings{})
		srv.SetFaults(Faults{Refuse: true})
		Eventually(func() error {
			_, _, err := post(srv.URL()+"/x", "")
			return err
		}).Should(Satisfy(func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }))
		srv.SetFaults(Faults{})
		Eventually(func() error {
			_, _, err := post(srv.URL()+"/x", "")
			return err
		}).Should(Succeed())
	})

	It("writes each request to the log file before it runs", func() {
		file := filepath.Join(GinkgoT().TempDir(), "log")
		srv := start(Settings{LogFile: file})
		go func() { _, _, _ = post(srv.URL()+"/x?delay_ms=60000", "") }()
		Eventually(func() string {
			data, _ := os.ReadFile(file)
			return string(data)
		}).Should(ContainSubstring(`"request_id":"r1"`))
	})

	It("announces itself to the agent until it leaves", func() {
		var mu sync.Mutex
		var calls []string
		agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var body struct {
				Service, Address, Instance string
				Slots                      int
			}
			_ = json.NewDecoder(r.Body).Decode(&body)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, r.URL.Path+" "+body.Service)
		}))
		defer agent.Close()
		srv := start(Settings{Agent: agent.URL})
		seen := func() []string {
			mu.Lock()
			defer mu.Unlock()
			return append([]string(nil), calls...)
		}
		Eventually(seen).Should(ContainElement("/v1/announce booking"))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(srv.Stop(ctx)).To(Succeed())
		Expect(seen()[len(seen())-1]).To(Equal("/v1/leave booking"))
	})
})
