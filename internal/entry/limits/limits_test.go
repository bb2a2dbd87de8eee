package limits

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipegw/internal/entry/striped"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "limits")
}

func teamsOf(weights map[string]int) *Teams {
	c := &model.Config{}
	for id, w := range weights {
		c.Teams = append(c.Teams, model.Team{ID: id, Weight: w})
	}
	ts := &Teams{}
	ts.SetConfig(c)
	return ts
}

func team(ts *Teams, id string) *Team {
	t, err := ts.Get(id)
	Expect(err).NotTo(HaveOccurred())
	return t
}

// startWaiters starts n requests of a team and returns once all of them are in
// the queue. Each request sends the id of its team to served when it gets a
// permit.
func startWaiters(l *Limiter, t *Team, n int, served chan<- string, failed *atomic.Int64) {
	ginkgo.GinkgoHelper()
	before := l.waiting.Load()
	for range n {
		go func() {
			if err := l.Acquire(context.Background(), 0, t); err != nil {
				failed.Add(1)
				return
			}
			served <- t.ID
		}()
	}
	Eventually(l.waiting.Load).Should(Equal(before + int64(n)))
}

var _ = ginkgo.Describe("Limiter", func() {
	// Guards against a queue that serves teams in order of arrival.
	ginkgo.It("serves waiting teams in proportion to their weights, whatever their order of arrival", func() {
		ts := teamsOf(map[string]int{"heavy": 3, "light": 1})
		l := NewLimiter(nil)
		l.SetSlots(1)
		Expect(l.Acquire(context.Background(), 0, team(ts, "light"))).To(Succeed())
		served := make(chan string, 200)
		var failed atomic.Int64
		startWaiters(l, team(ts, "light"), 60, served, &failed)
		startWaiters(l, team(ts, "heavy"), 60, served, &failed)
		counts := map[string]int{}
		for range 40 {
			l.Release(0, time.Millisecond)
			counts[<-served]++
		}
		Expect(counts["heavy"]).To(BeNumerically("~", 30, 1))
		Expect(failed.Load()).To(BeZero())
	})

	// Guards against a team that fills the queue and so gets the requests of
	// other teams refused.
	ginkgo.It("evicts requests of the team that fills the queue and not those of others", func() {
		ts := teamsOf(map[string]int{"flood": 1, "small": 1})
		l := NewLimiter(nil)
		l.SetSlots(1)
		l.SetMaxQueued(10)
		Expect(l.Acquire(context.Background(), 0, team(ts, "flood"))).To(Succeed())
		served := make(chan string, 50)
		var floodFailed, smallFailed atomic.Int64
		startWaiters(l, team(ts, "flood"), 10, served, &floodFailed)
		for range 4 {
			go func() {
				if l.Acquire(context.Background(), 0, team(ts, "small")) != nil {
					smallFailed.Add(1)
				}
			}()
		}
		Eventually(floodFailed.Load).Should(Equal(int64(4)))
		Expect(l.waiting.Load()).To(Equal(int64(10)))
		err := l.Acquire(context.Background(), 0, team(ts, "flood"))
		Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
		Expect(smallFailed.Load()).To(BeZero())
	})

	// Guards against requests that wait in vain until their deadline.
	ginkgo.It("refuses a request at once if its expected wait ends after its deadline", func() {
		ts := teamsOf(map[string]int{"a": 1})
		l := NewLimiter(nil)
		l.SetSlots(1)
		Expect(l.Acquire(context.Background(), 0, team(ts, "a"))).To(Succeed())
		l.Release(0, 10*time.Second)
		Expect(l.Acquire(context.Background(), 0, team(ts, "a"))).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(result.CodeOf(l.Acquire(ctx, 0, team(ts, "a")))).To(Equal(result.Overloaded))
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})

	// Guards against a permit that is lost when its waiter reaches the deadline.
	ginkgo.It("stops waiting at the deadline and loses no permit", func() {
		ts := teamsOf(map[string]int{"a": 1})
		l := NewLimiter(nil)
		l.SetSlots(1)
		Expect(l.Acquire(context.Background(), 0, team(ts, "a"))).To(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		Expect(result.CodeOf(l.Acquire(ctx, 0, team(ts, "a")))).To(Equal(result.DeadlineNotRun))
		l.Release(0, 0)
		Expect(l.Counts().InFlight).To(BeZero())
		Expect(l.Acquire(context.Background(), 0, team(ts, "a"))).To(Succeed())
	})

	// Guards against a limit that collapses because many answers of one moment
	// report full workers, and against one that never recovers.
	ginkgo.It("decreases the limit at most once in an interval and raises it after completions", func() {
		now := time.Unix(1000, 0)
		ts := teamsOf(map[string]int{"a": 1})
		l := NewLimiter(func() time.Time { return now })
		l.SetSlots(100)
		for range 50 {
			Expect(l.Acquire(context.Background(), 0, team(ts, "a"))).To(Succeed())
		}
		l.OnWorkerFull()
		l.OnWorkerFull()
		Expect(l.Counts().Limit).To(Equal(int64(45)))
		now = now.Add(decreaseInterval)
		l.OnWorkerFull()
		Expect(l.Counts().Limit).To(Equal(int64(40)))
		for range 20_000 {
			l.recordCompletion(0, time.Millisecond)
		}
		Expect(l.Counts().Limit).To(Equal(int64(100)))
	})

	// With the larger number of slots, stripes cache permits.
	for _, slots := range []int{4, minLimitForCaching} {
		ginkgo.It(fmt.Sprintf("never exceeds %d slots and loses no permit under concurrent use", slots), func() {
			checkConcurrentUse(slots)
		})
	}
})

// checkConcurrentUse runs more goroutines than slots and checks that no more of
// them than slots hold a permit at once, and that all permits are free at the end.
func checkConcurrentUse(slots int) {
	ginkgo.GinkgoHelper()
	ts := teamsOf(map[string]int{"a": 1, "b": 5})
	l := NewLimiter(nil)
	l.SetSlots(slots)
	var running, highest, refused atomic.Int64
	var done sync.WaitGroup
	for i := range slots + 60 {
		t := team(ts, []string{"a", "b"}[i%2])
		done.Go(func() {
			for range 200 {
				stripe := striped.CurrentStripe()
				if l.Acquire(context.Background(), stripe, t) != nil {
					refused.Add(1)
					continue
				}
				n := running.Add(1)
				for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
					continue
				}
				runtime.Gosched()
				running.Add(-1)
				l.Release(striped.CurrentStripe(), time.Microsecond)
			}
		})
	}
	done.Wait()
	Expect(refused.Load()).To(BeZero())
	Expect(highest.Load()).To(BeNumerically("<=", slots))
	c := l.Counts()
	Expect([]int64{c.InFlight, c.Waiting, c.Limit}).To(Equal([]int64{0, 0, int64(slots)}))
}

var _ = ginkgo.Describe("Teams", func() {
	// Guards against a new configuration that resets the requests in progress and
	// so lets a team exceed its max_requests.
	ginkgo.It("keeps counters when the configuration changes and refuses unknown teams", func() {
		ts := teamsOf(map[string]int{"a": 1})
		stripe, err := team(ts, "a").Begin()
		Expect(err).NotTo(HaveOccurred())
		ts.SetConfig(&model.Config{Teams: []model.Team{{ID: "a", Weight: 2, MaxRequests: 1}}})
		_, err = team(ts, "a").Begin()
		Expect(result.CodeOf(err)).To(Equal(result.Overloaded))
		team(ts, "a").End(stripe)
		_, err = team(ts, "a").Begin()
		Expect(err).NotTo(HaveOccurred())
		_, err = ts.Get("b")
		Expect(result.CodeOf(err)).To(Equal(result.UnknownTeam))
	})
})

// Guards against a queue that loses or repeats waiters under random
// interleavings, and against a team with a backlog that gets less than its
// weighted share.
func TestFairQueueUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue()
		teams := []*Team{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		weights := map[*Team]int{}
		for _, tm := range teams {
			weights[tm] = rapid.IntRange(1, 9).Draw(t, "weight")
		}
		queued := map[*waiter]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				tm := rapid.SampledFrom(teams).Draw(t, "team")
				queued[q.push(tm, weights[tm])] = true
			},
			"pop": func(t *rapid.T) {
				w := q.pop()
				if (w == nil) != (len(queued) == 0) || w != nil && !queued[w] {
					t.Fatalf("pop returned %v with %d waiters", w, len(queued))
				}
				delete(queued, w)
			},
			"remove": func(t *rapid.T) {
				for w := range queued {
					if !q.remove(w) || q.remove(w) {
						t.Fatal("remove did not report true for a queued waiter, then false")
					}
					delete(queued, w)
					return
				}
			},
			"evict": func(t *rapid.T) {
				if len(queued) > 0 {
					w := q.evictWaiter()
					if !queued[w] {
						t.Fatal("evicted a waiter that is not in the queue")
					}
					delete(queued, w)
				}
			},
			"": func(t *rapid.T) {
				if q.size != len(queued) {
					t.Fatalf("the queue has size %d, want %d", q.size, len(queued))
				}
			},
		})
		const backlog, rounds = 200, 100
		total := 0.0
		for _, tm := range teams {
			for range backlog {
				q.push(tm, weights[tm])
			}
			total += float64(weights[tm])
		}
		for q.size > len(teams)*backlog {
			q.pop() // waiters left by the random operations
		}
		served := map[*Team]int{}
		for range rounds {
			served[q.pop().team]++
		}
		for _, tm := range teams {
			want := rounds * float64(weights[tm]) / total
			if math.Abs(float64(served[tm])-want) > float64(len(teams)+weights[tm]) {
				t.Fatalf("team %s of weight %d was served %d times in %d rounds, its share is %.1f", tm.ID, weights[tm], served[tm], rounds, want)
			}
		}
	})
}
