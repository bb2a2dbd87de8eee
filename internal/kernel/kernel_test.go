package kernel

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	stdlog "log"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

type nestedSettings struct {
	Address string `json:"address"`
}

type sampleSettings struct {
	ID     string           `json:"id"`
	Count  int              `json:"count"`
	Nested nestedSettings   `json:"nested"`
	List   []nestedSettings `json:"list"`
}

func (s *sampleSettings) Provision() {
	if s.Count == 0 {
		s.Count = 3
	}
}

func (s *sampleSettings) Validate(faults *ValidationErrors) {
	if s.ID == "" {
		faults.Add("id", "required")
	}
}

var _ = Describe("settings", func() {
	It("fills in defaults", func() {
		var s sampleSettings
		Expect(ParseSettings([]byte(`{"id":"a"}`), &s)).To(Succeed())
		Expect(s.Count).To(Equal(3))
	})

	It("reports the paths of all faults together", func() {
		var s sampleSettings
		err := ParseSettings([]byte(`{"x":1,"nested":{"y":1},"list":[{"address":"a"},{"z":1}],"count":"many"}`), &s)
		var faults ValidationErrors
		Expect(errors.As(err, &faults)).To(BeTrue())
		paths := make([]string, len(faults))
		for i, f := range faults {
			paths[i] = f.Path
		}
		Expect(paths).To(ConsistOf("x", "nested.y", "list[1].z", "count", "id"))
	})

	DescribeTable("refuses data that is not a JSON object", func(data string) {
		Expect(ParseSettings([]byte(data), &sampleSettings{})).NotTo(Succeed())
	},
		Entry("empty", ""), Entry("not JSON", "{"), Entry("an array", "[]"), Entry("two values", "{} {}"), Entry("null", "null"),
	)
})

var _ = Describe("registry", func() {
	It("lists the registered plug-ins in the error for an unknown one", func() {
		r := NewRegistry[int]("store")
		r.Register("b", 2)
		r.Register("a", 1)
		_, err := r.Get("c")
		Expect(err).To(MatchError(`unknown store "c", known: a, b`))
		Expect(r.Get("b")).To(Equal(2))
		Expect(func() { r.Register("a", 3) }).To(PanicWith(ContainSubstring("twice")))
	})
})

var _ = Describe("logging", func() {
	It("writes one line of key=value pairs for each entry", func() {
		var out bytes.Buffer
		Expect(SetupLogging(&out, "p", "info")).To(Succeed())
		log.WithFields(log.Fields{"event": "e", "b": "two words", "a": 1}).Info("line\nbreak")
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(HaveSuffix(`level=info program=p event=e a=1 b="two words" message="line\nbreak"` + "\n"))
		Expect(SetupLogging(&out, "p", "loud")).NotTo(Succeed())
	})

	// Guards against lines of libraries that readers of key=value pairs cannot parse.
	It("turns what libraries write to the standard log into entries", func() {
		defer stdlog.SetOutput(os.Stderr)
		var out bytes.Buffer
		Expect(SetupLogging(&out, "p", "info")).To(Succeed())
		stdlog.Printf("%s. See the page.", "failed to increase receive buffer size (wanted: 7168 kiB, got 64 kiB)")
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(MatchRegexp(`^time=\S+ level=warn program=p event=udp_buffer_small error="failed to increase receive buffer size \(wanted: 7168 kiB, got 64 kiB\)\. See the page\." message="`))
		out.Reset()
		stdlog.Print("other")
		Expect(out.String()).To(ContainSubstring("event=library_message error=other message="))
	})
})

var _ = Describe("dump", func() {
	It("replaces a part that is too large with its size", func() {
		d := NewDumper()
		d.Add("large", func() any { return strings.Repeat("x", MaxDumpBytes) })
		d.Add("small", func() any { return 1 })
		data, err := d.Dump()
		Expect(err).NotTo(HaveOccurred())
		var parts map[string]json.RawMessage
		Expect(json.Unmarshal(data, &parts)).To(Succeed())
		Expect(string(parts["small"])).To(Equal("1"))
		Expect(string(parts["large"])).To(ContainSubstring("omitted_bytes"))
	})
})

// recorder is a Component that records its starts and stops in steps.
type recorder struct {
	name  string
	fail  bool
	steps *[]string
}

func (r recorder) Name() string { return r.name }
func (r recorder) Start(context.Context) error {
	if r.fail {
		return errors.New("no")
	}
	*r.steps = append(*r.steps, "start "+r.name)
	return nil
}
func (r recorder) Stop(context.Context) error {
	*r.steps = append(*r.steps, "stop "+r.name)
	return nil
}

// reloadingRecorder is a recorder that also implements Reloader; Reload returns err.
type reloadingRecorder struct {
	recorder
	reloads chan struct{}
	err     error
}

func (r reloadingRecorder) Reload() error {
	select {
	case r.reloads <- struct{}{}:
	default:
	}
	return r.err
}

// changingRecorder is a recorder with a method of the membership table's form.
type changingRecorder struct{ recorder }

func (changingRecorder) Changed() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// triggeringRecorder is a recorder that also implements ReloadTrigger.
type triggeringRecorder struct {
	recorder
	requests chan struct{}
}

func (r triggeringRecorder) ReloadRequests() <-chan struct{} { return r.requests }

var _ = Describe("Run", func() {
	It("stops the components in reverse order", func() {
		var steps []string
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(Run(ctx, recorder{name: "a", steps: &steps}, recorder{name: "b", steps: &steps})).To(Succeed())
		Expect(steps).To(Equal([]string{"start a", "start b", "stop b", "stop a"}))
	})

	It("reloads on SIGHUP and keeps running when a reload fails", func() {
		var steps []string
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reloads := make(chan struct{}, 2)
		done := make(chan error)
		go func() {
			done <- Run(ctx, reloadingRecorder{recorder{name: "a", steps: &steps}, reloads, nil}, reloadingRecorder{recorder{name: "b", steps: &steps}, reloads, errors.New("no")})
		}()
		// The signal must not end the process before Run handles it.
		early := make(chan os.Signal, 1)
		signal.Notify(early, syscall.SIGHUP)
		defer signal.Stop(early)
		Eventually(func() int {
			Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
			return len(reloads)
		}).Should(Equal(2))
		Consistently(done, "50ms").ShouldNot(Receive())
		cancel()
		Expect(<-done).To(Succeed())
	})

	// Guards against settings that change without a signal and are never
	// reloaded, and against a reload while the file is missing.
	It("reloads when the watched file has changed", func() {
		var steps []string
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, []byte("a"), 0o600)).To(Succeed())
		reloads := make(chan struct{}, 2)
		done := make(chan error)
		go func() {
			done <- Run(ctx, reloadingRecorder{recorder{name: "a", steps: &steps}, reloads, nil}, &FileWatcher{File: file, Interval: time.Millisecond})
		}()
		Consistently(reloads, "30ms").ShouldNot(Receive())
		Expect(os.Remove(file)).To(Succeed())
		Consistently(reloads, "30ms").ShouldNot(Receive())
		Expect(os.WriteFile(file, []byte("other"), 0o600)).To(Succeed())
		Eventually(reloads).Should(Receive())
		cancel()
		Expect(<-done).To(Succeed())
	})

	// Guards against a component whose method for another purpose is taken for a reload
	// trigger: its closed channel made an idle entry reload in a loop and use a whole
	// core.
	It("takes no component with a method Changed for a reload trigger", func() {
		Expect(reloadChannel([]Component{changingRecorder{recorder{name: "a"}}})).To(BeNil())
	})

	// Guards against a loop that spins on a trigger whose channel is closed.
	It("stops listening to a trigger that closes its channel", func() {
		var steps []string
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reloads := make(chan struct{}, 1)
		closed := make(chan struct{})
		close(closed)
		done := make(chan error)
		go func() {
			done <- Run(ctx, reloadingRecorder{recorder{name: "a", steps: &steps}, reloads, nil}, triggeringRecorder{recorder{name: "b", steps: &steps}, closed})
		}()
		Consistently(reloads, "30ms").ShouldNot(Receive())
		cancel()
		Expect(<-done).To(Succeed())
	})

	It("stops the started components when another fails to start", func() {
		var steps []string
		err := Run(context.Background(), recorder{name: "a", steps: &steps}, recorder{name: "b", fail: true, steps: &steps})
		Expect(err).To(MatchError(ContainSubstring("start b")))
		Expect(steps).To(Equal([]string{"start a", "stop a"}))
	})
})

// FuzzParseSettings guards against malformed settings that make the parser panic.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"id":"a","nested":{"address":"x"},"list":[{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = ParseSettings(data, &sampleSettings{})
	})
}
