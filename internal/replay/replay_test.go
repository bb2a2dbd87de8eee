package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay")
}

// smallPool is the head of a trace with two workers of one rack and one team with
// a guarantee for a whole worker.
const smallPool = `{"op":"pool","workers":[` +
	`{"id":"w0","rack":"k0","failure_domain":"d0","region":"r","accelerators":8,"cores":32,"memory_gb":128},` +
	`{"id":"w1","rack":"k0","failure_domain":"d0","region":"r","accelerators":8,"cores":32,"memory_gb":128}]}
{"op":"teams","teams":[{"id":"a","weight":1,"guarantees":[{"count":1,"tasks":1,"accelerators_per_task":8,"cores_per_task":8,"memory_gb_per_task":8,"adjacent":"host"}]}]}
`

func submitLine(t int, job, class string, tasks, accelerators int) string {
	return fmt.Sprintf(`{"t":%d,"op":"submit","job":%q,"team":"a","class":%q,"tasks":%d,"accelerators_per_task":%d,"cores_per_task":1,"memory_gb_per_task":1,"adjacent":"rack","declared_ms":60000,"actual_ms":60000,"checkpoint_ms":0}`+"\n", t, job, class, tasks, accelerators)
}

// scriptedPolicy returns given decisions, one list for each call of Decide.
type scriptedPolicy struct {
	baseline
	rounds [][]framework.Decision
}

// Decide implements framework.Scheduler.
func (s *scriptedPolicy) Decide(time.Time) []framework.Decision {
	if len(s.rounds) == 0 {
		return nil
	}
	d := s.rounds[0]
	s.rounds = s.rounds[1:]
	return d
}

func replayScripted(lines string, rounds ...[]framework.Decision) *Result {
	trace, err := Read(strings.NewReader(smallPool + lines))
	Expect(err).NotTo(HaveOccurred())
	return Run(trace, &scriptedPolicy{rounds: rounds}, model.Weights{})
}

func placeDecision(job string, workers ...string) framework.Decision {
	return framework.Decision{Kind: framework.Place, Job: job, Attempt: 1, Workers: workers}
}

var _ = Describe("checker", func() {
	// Each case guards against a checker that misses a violation. The policy makes
	// one wrong decision, or no decision at all.
	DescribeTable("reports a policy that breaks a scheduling requirement",
		func(want string, lines string, rounds ...[]framework.Decision) {
			Expect(replayScripted(lines, rounds...).Violations).To(ContainElement(ContainSubstring(want)))
		},
		Entry("a part of a gang", "1 of 2 tasks placed", submitLine(1, "j", "preemptible", 2, 1),
			[]framework.Decision{placeDecision("j", "w0")}),
		Entry("more resources than a worker has", "overcommitted", submitLine(1, "j", "preemptible", 2, 5),
			[]framework.Decision{placeDecision("j", "w0", "w0")}),
		Entry("a job that never ends", "has not ended", submitLine(1, "j", "preemptible", 1, 1)),
		Entry("a refusal of a job that fits", "refused, but it fits", submitLine(1, "j", "preemptible", 1, 1),
			[]framework.Decision{{Kind: framework.Refuse, Job: "j"}}),
		Entry("a late urgent job", "claim of class urgent has waited",
			submitLine(1, "j", "urgent", 1, 8)+submitLine(9000, "k", "preemptible", 1, 1),
			nil, []framework.Decision{placeDecision("j", "w0"), placeDecision("k", "w1")}),
		Entry("guarantees that do not pack", "do not pack", submitLine(1, "j", "preemptible", 2, 5),
			[]framework.Decision{placeDecision("j", "w0", "w1")}),
	)

	// Guards against a violation for a worker that was repaired long before it was
	// put into quarantine: the delay of its return counts from the later of the two.
	It("measures the return of a worker from its repair or its quarantine, whichever is later", func() {
		trace, err := Read(strings.NewReader(smallPool))
		Expect(err).NotTo(HaveOccurred())
		c := newChecker(trace)
		c.workerFaulty(0, timeAt(0))
		c.workerHealthy(0, timeAt(1))
		late := timeAt(1).Add(3 * time.Hour)
		c.setQuarantine(0, true, late)
		c.setQuarantine(0, false, late.Add(maxReturnDelay))
		Expect(c.violations).To(BeEmpty())
		c.setQuarantine(0, true, late.Add(2*maxReturnDelay))
		c.setQuarantine(0, false, late.Add(4*maxReturnDelay))
		Expect(c.violations).To(HaveLen(1))
	})

	// Guards against a checker that reports a violation of a correct policy.
	It("accepts a gang that runs to its end", func() {
		d := placeDecision("j", "w0", "w1")
		d.Preemptible = true
		r := replayScripted(submitLine(1, "j", "preemptible", 2, 5), []framework.Decision{d})
		Expect(r.Violations).To(BeEmpty())
		Expect(r.Done).To(Equal(1))
		Expect(r.CompletionMeanMS).To(Equal(60000.0))
	})
})

var _ = Describe("trace", func() {
	// Guards against an invalid trace that is replayed, or refused without the line
	// that has to be corrected.
	DescribeTable("names the line and the reason of a bad trace",
		func(line int, reason, text string) {
			_, err := Read(strings.NewReader(text))
			var te *TraceError
			Expect(err).To(BeAssignableToTypeOf(te))
			Expect(err.(*TraceError).Line).To(Equal(line))
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("no pool", 0, "begins with a pool", ""),
		Entry("not JSON", 3, "invalid character", smallPool+"x"),
		Entry("time goes back", 4, "comes after", smallPool+submitLine(5, "j", "preemptible", 1, 1)+submitLine(4, "k", "preemptible", 1, 1)),
		Entry("unknown worker", 3, "unknown worker", smallPool+`{"t":1,"op":"worker_down","worker":"w9"}`),
		Entry("job twice", 4, "occurs twice", smallPool+strings.Repeat(submitLine(5, "j", "preemptible", 1, 1), 2)),
	)

	// Guards against baselines that lose jobs or place gangs wrongly: ratios to them
	// would say nothing.
	It("lets the baselines end every job of the recorded traces", func() {
		files, err := filepath.Glob("testdata/*.jsonl")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, name := range files {
			f, err := os.Open(name)
			Expect(err).NotTo(HaveOccurred())
			trace, err := Read(f)
			_ = f.Close()
			Expect(err).NotTo(HaveOccurred())
			for _, policy := range []string{BaselineFIFO, BaselineBackfill} {
				factory, err := framework.Policies.Get(policy)
				Expect(err).NotTo(HaveOccurred())
				r := Run(trace, factory(), model.Weights{})
				Expect(r.Lost).To(BeZero(), name)
				Expect(r.PartialGangs+r.Overcommits).To(BeZero(), name)
			}
		}
	})
})

// Guards against a trace whose text makes Read panic.
func FuzzRead(f *testing.F) {
	f.Add(smallPool + submitLine(1, "j", "urgent", 1, 8))
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Read(strings.NewReader(text)) // must not panic
	})
}

var _ = Describe("generator", func() {
	// Guards against seeds that can't be replayed, events out of order, and workers
	// that never recover or fail two at a time in spite of singleFailures.
	It("gives the same trace for the same seed, in order of time, with a recovery for each failure", func() {
		f, err := os.Open("testdata/loads-1.jsonl")
		Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		base, err := Read(f)
		Expect(err).NotTo(HaveOccurred())
		trace := Generate(base, 7, true)
		Expect(Generate(base, 7, true)).To(Equal(trace))
		down := map[string]bool{}
		for i, e := range trace.Events {
			if i > 0 {
				Expect(e.TimeMS).To(BeNumerically(">=", trace.Events[i-1].TimeMS))
			}
			switch e.Op {
			case OpWorkerDown, OpWorkerFaulty:
				Expect(down).To(BeEmpty())
				down[e.Worker] = true
			case OpWorkerUp, OpWorkerHealthy:
				delete(down, e.Worker)
			}
		}
		Expect(down).To(BeEmpty())
	})
})
