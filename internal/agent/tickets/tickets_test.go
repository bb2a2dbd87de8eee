package tickets

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/result"
)

func TestTickets(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tickets")
}

var _ = Describe("tickets", func() {
	var (
		now time.Time
		s   *Store
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		s = NewStore("w1", "inc", func() time.Time { return now })
	})

	lookup := func(ticket, team string) result.Code {
		_, err := s.Lookup(ticket, team)
		return result.CodeOf(err)
	}

	It("returns the recorded response until the retention ends", func() {
		run := s.Begin("red")
		Expect(lookup(run.Ticket, "red")).To(Equal(result.InProgress))
		run.RecordResponse(&Response{Status: 201, Body: []byte("done")})
		now = now.Add(Retention)
		got, err := s.Lookup(run.Ticket, "red")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(Equal([]byte("done")))
		now = now.Add(time.Second)
		s.Tick()
		Expect(lookup(run.Ticket, "red")).To(Equal(result.OutcomeUnknown))
		Expect(s.Stats().KeptBytes).To(BeZero())
	})

	It("does not show a response to another team", func() {
		run := s.Begin("red")
		run.RecordResponse(&Response{Status: 200})
		Expect(lookup(run.Ticket, "blue")).To(Equal(result.Forbidden))
	})

	It("does not run an expired ticket", func() {
		ticket, err := s.Issue("red")
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(UnusedLifetime + time.Millisecond)
		run, err := s.Use(ticket, "red")
		Expect(run).To(BeNil())
		Expect(result.CodeOf(err)).To(Equal(result.TicketUnavailable))
	})

	It("does not run a ticket after a query was told that it had not run", func() {
		ticket, err := s.Issue("red")
		Expect(err).NotTo(HaveOccurred())
		Expect(lookup(ticket, "red")).To(Equal(result.TicketUnavailable))
		run, err := s.Use(ticket, "red")
		Expect(run).To(BeNil())
		Expect(result.CodeOf(err)).To(Equal(result.TicketUnavailable))
	})

	It("evicts the oldest responses beyond the memory limit", func() {
		var all []string
		for range 12 {
			run := s.Begin("red")
			run.RecordResponse(&Response{Status: 200, Body: make([]byte, MaxResponseBytes)})
			all = append(all, run.Ticket)
			Expect(s.Stats().KeptBytes).To(BeNumerically("<=", MaxKeptBytes))
		}
		Expect(lookup(all[0], "red")).To(Equal(result.OutcomeUnknown))
		Expect(lookup(all[11], "red")).To(Equal(result.OK))
	})

	It("does not keep a response that is too long", func() {
		run := s.Begin("red")
		run.RecordResponse(&Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)})
		Expect(lookup(run.Ticket, "red")).To(Equal(result.OutcomeUnknown))
	})

	It("bounds the number of unused tickets", func() {
		for range maxUnusedTickets {
			_, err := s.Issue("red")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := s.Issue("red")
		Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
		now = now.Add(UnusedLifetime + time.Second)
		s.Tick()
		_, err = s.Issue("red")
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("refuses tickets that it has not issued", func(ticket string, want result.Code) {
		Expect(lookup(ticket, "red")).To(Equal(want))
		_, err := s.Use(ticket, "red")
		Expect(result.CodeOf(err)).To(Equal(want))
	},
		Entry("another worker", "w2/inc/1", result.BadTicket),
		Entry("an earlier incarnation, which may have run it", "w1/old/1", result.OutcomeUnknown),
		Entry("never issued", "w1/inc/7", result.BadTicket),
		Entry("sequence 0", "w1/inc/0", result.BadTicket),
		Entry("not a number", "w1/inc/x", result.BadTicket),
		Entry("too many parts", "w1/inc/1/2", result.BadTicket),
	)
})

// TestTicketModel calls the store in random order. It guards against a second run of
// a ticket, against a run after a query said that there was none and never will be,
// and against unbounded memory.
func TestTicketModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewStore("w1", "inc", func() time.Time { return now })
		runCounts := map[string]int{}
		reportedNotRun := map[string]bool{}
		openRuns := map[string]*Run{}
		var all []string
		pick := func(t *rapid.T) string {
			if len(all) == 0 {
				t.Skip("no ticket")
			}
			return rapid.SampledFrom(all).Draw(t, "ticket")
		}
		recordRun := func(t *rapid.T, r *Run) {
			runCounts[r.Ticket]++
			openRuns[r.Ticket] = r
			if runCounts[r.Ticket] > 1 || reportedNotRun[r.Ticket] {
				t.Fatalf("ticket %s has %d runs, reported as not run before: %v", r.Ticket, runCounts[r.Ticket], reportedNotRun[r.Ticket])
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				if ticket, err := s.Issue("red"); err == nil {
					all = append(all, ticket)
				}
			},
			"begin": func(t *rapid.T) {
				r := s.Begin("red")
				all = append(all, r.Ticket)
				recordRun(t, r)
			},
			"use": func(t *rapid.T) {
				if r, err := s.Use(pick(t), "red"); err == nil && r != nil {
					recordRun(t, r)
				}
			},
			"finish": func(t *rapid.T) {
				ticket := pick(t)
				if r := openRuns[ticket]; r != nil {
					delete(openRuns, ticket)
					size := rapid.IntRange(0, MaxResponseBytes+1).Draw(t, "size")
					r.RecordResponse(&Response{Status: 200, Body: make([]byte, size)})
				}
			},
			"lookup": func(t *rapid.T) {
				ticket := pick(t)
				_, err := s.Lookup(ticket, "red")
				code := result.CodeOf(err)
				if err != nil && code.NotRun() {
					reportedNotRun[ticket] = true
					if runCounts[ticket] > 0 {
						t.Fatalf("ticket %s has run, but the query returned %s", ticket, code)
					}
				}
				if openRuns[ticket] != nil && code != result.InProgress {
					t.Fatalf("running ticket %s reported as %s", ticket, code)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "s")) * time.Second)
				s.Tick()
			},
			"": func(t *rapid.T) {
				if kept := s.Stats().KeptBytes; kept > MaxKeptBytes {
					t.Fatalf("%d bytes kept, more than the limit", kept)
				}
			},
		})
	})
}
