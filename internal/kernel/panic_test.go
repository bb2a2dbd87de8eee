package kernel

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/gomega"

	"snipegw/internal/result"
)

// syncWriter collects what several goroutines write.
type syncWriter struct {
	mu   sync.Mutex
	text strings.Builder
}

func (w *syncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *syncWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// Guards against a panic of an HTTP handler that nobody sees, since net/http contains it, and against
// a response that looks complete although its handler has failed.
func TestHandlerPanicIsLoggedAndAbortsTheConnection(t *testing.T) {
	g := NewWithT(t)
	var logs syncWriter
	g.Expect(SetupLogging(&logs, "test", "info")).To(Succeed())
	defer func() { g.Expect(SetupLogging(os.Stderr, "test", "info")).To(Succeed()) }()
	count := func() string {
		var text strings.Builder
		Metrics.WriteText(&text)
		for line := range strings.Lines(text.String()) {
			if strings.HasPrefix(line, `snipegw_panics_total{scope="http"} `) {
				return line
			}
		}
		return ""
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/good", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "good") })
	mux.HandleFunc("/abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/panic", func(http.ResponseWriter, *http.Request) { panic("odd value") })
	mux.HandleFunc("/late", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(fmt.Errorf("after a part"))
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := ln.Addr().String()
	g.Expect(ln.Close()).To(Succeed())
	server := &HTTPServer{Label: "test", Address: address, Handler: mux}
	g.Expect(server.Start(t.Context())).To(Succeed())
	defer func() { g.Expect(server.Stop(context.Background())).To(Succeed()) }()
	client := &http.Client{Timeout: 10 * time.Second}
	get := func(path string) (string, error) {
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}

	_, err = get("/abort")
	g.Expect(err).To(HaveOccurred())
	g.Expect(count()).To(BeEmpty())
	g.Expect(logs.String()).NotTo(ContainSubstring("panic"))

	_, err = get("/panic")
	g.Expect(err).To(HaveOccurred())
	body, err := get("/late")
	g.Expect(err).To(HaveOccurred(), body)
	g.Expect(count()).To(HaveSuffix(" 2\n"))
	g.Expect(strings.Count(logs.String(), "event=panic_recovered ")).To(Equal(2))
	g.Expect(logs.String()).To(And(ContainSubstring(`error="odd value" method=GET scope=http`), ContainSubstring(`error="after a part"`)))
	g.Expect(logs.String()).NotTo(ContainSubstring("http: panic serving"))

	body, err = get("/good")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("good"))
}

// Guards against a contained panic that looks like a success, or that hides an ordinary result.
func TestContainReturnsPanicsAsErrors(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Contain("test", func() error { return nil })).To(Succeed())
	g.Expect(Contain("test", func() error { return io.EOF })).To(MatchError(io.EOF))
	g.Expect(result.CodeOf(Contain("test", func() error { panic(io.EOF) }))).To(Equal(result.Internal))
}

// Guards against the log of a panic that does not tell its place when the line is cut, because the
// stack begins with frames of the runtime.
func TestLoggedPanicNamesItsPlace(t *testing.T) {
	var out bytes.Buffer
	if err := SetupLogging(&out, "test", "info"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = SetupLogging(os.Stdout, "test", "info") })
	var missing *struct{ n int }
	func() {
		defer func() { LogPanic("test", recover(), log.Fields{}) }()
		missing.n++
	}()
	if place := regexp.MustCompile(`event=panic_recovered at="kernel\.\S+ panic_test\.go:\d+" code=`); !place.MatchString(out.String()) {
		t.Errorf("the line has no match of %v: %.300s", place, out.String())
	}
}
