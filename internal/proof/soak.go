package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin/platformstore"
	"snipegw/internal/standin/platformworker"
)

const (
	soakEntries = 3
	soakWorkers = 4
	// soakPause is the mean time between two faults; they overlap.
	soakPause = 500 * time.Millisecond
	// soakSubmit is the mean time between two jobs.
	soakSubmit = 150 * time.Millisecond
	// soakSettle is the time after the last fault in which every job must end. It
	// covers the longest lease, the wait for silent workers and two more attempts.
	soakSettle = 60 * time.Second
	// cancelBound is the time after an acknowledged cancellation from which
	// nothing may start.
	cancelBound = 3 * time.Second
	maxAttempts = 5
)

// soak is one run of random faults and load with a seed.
type soak struct {
	c     *WorkflowCluster
	rng   *rand.Rand    // of the faults
	every time.Duration // mean time between two jobs
	trace io.Writer
	// endLoad hands in no more jobs, and waits until the callers have their
	// answers.
	endLoad func()
	mu      sync.Mutex
	jobs    []*soakJob
	wrong   []string
}

// soakJob is a job and what its caller was told.
type soakJob struct {
	id, path  string
	payload   platformworker.Payload
	accepted  bool
	refused   bool // every attempt was answered with a refusal
	cancelled time.Time
}

// Soak runs load and faults for d, then waits until all jobs have ended. It
// returns what callers or workers saw that must not happen.
func Soak(ctx context.Context, e Env, d time.Duration) error {
	s := &soak{rng: rand.New(rand.NewPCG(e.Seed, 2)), every: soakSubmit, trace: e.Trace}
	err := s.play(ctx, e, rand.New(rand.NewPCG(e.Seed, 3)), func(ctx context.Context) error {
		ctx, stop := context.WithTimeout(ctx, d)
		defer stop()
		var wg sync.WaitGroup
		s.faults(ctx, &wg)
		s.endLoad()
		wg.Wait()
		s.heal()
		return nil
	})
	fmt.Fprintf(s.trace, "soak seed %d: %d jobs\n", e.Seed, len(s.jobs))
	return err
}

// play runs load on a new cluster beside a course of faults, until the course
// ends. Then all jobs must end, and callers and workers must have seen nothing
// that must not happen.
func (s *soak) play(ctx context.Context, e Env, rng *rand.Rand, course func(context.Context) error) error {
	c, err := LaunchWorkflows(ctx, e.Bin, e.Dir, soakEntries, soakWorkers)
	if err != nil {
		return err
	}
	defer c.Kill()
	s.c = c
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.load(loadCtx, rng) })
	s.endLoad = func() {
		stop()
		wg.Wait()
	}
	err = course(ctx)
	s.endLoad()
	s.settle(ctx)
	return errors.Join(err, s.verdict())
}

// verdict returns what callers or workers saw that must not happen.
func (s *soak) verdict() error {
	for _, f := range s.c.Pool.Faults() {
		s.note("worker: %s", f)
	}
	errs := make([]error, len(s.wrong))
	for i, w := range s.wrong {
		errs[i] = errors.New(w)
	}
	return errors.Join(errs...)
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// load hands in jobs until ctx ends; each has its own caller.
func (s *soak) load(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for i := 1; ctx.Err() == nil; i++ {
		kernel.Sleep(ctx, time.Duration(rng.Int64N(int64(2*s.every))))
		j := &soakJob{id: fmt.Sprintf("%016x", i), payload: platformworker.Payload{MS: 100 + rng.Int64N(1500), GPUs: 1 << rng.IntN(4), Fail: rng.IntN(25) == 0}}
		count, queue := 1+rng.IntN(3), []string{"/urgent/", "/batch/"}[rng.IntN(2)]
		if rng.IntN(3) == 0 {
			count = 2
			j.payload.Gang = 2
		}
		j.path = queue + j.id
		body := WorkflowSteps(j.payload, count)
		cancel, first := rng.IntN(8) == 0, rng.IntN(soakEntries)
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		wg.Go(func() { s.submit(j, body, first, cancel) })
	}
	wg.Wait()
}

// submit hands in a job as a caller does: it asks again, at another entry, after
// a refusal or without an answer.
func (s *soak) submit(j *soakJob, body []byte, first int, cancel bool) {
	j.refused = true
	for attempt := range maxAttempts {
		status, _ := s.c.Call(s.c.Entries[(first+attempt)%soakEntries], http.MethodPost, j.path, body)
		switch {
		case status == http.StatusOK:
			j.accepted, j.refused = true, false
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			j.refused = false // it may have been accepted
		}
		if j.accepted {
			break
		}
		time.Sleep(soakPause)
	}
	if !j.accepted || !cancel {
		return
	}
	time.Sleep(soakPause)
	for attempt := range maxAttempts {
		if status, _ := s.c.Call(s.c.Entries[(first+attempt)%soakEntries], http.MethodDelete, j.path, nil); status == http.StatusOK {
			j.cancelled = time.Now()
			return
		}
	}
}

// faults injects faults until ctx ends. Those that take a while run beside the
// next ones.
func (s *soak) faults(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, time.Duration(s.rng.Int64N(int64(2*soakPause))))
		nodes := s.c.nodes()
		n := nodes[s.rng.IntN(len(nodes))]
		w := s.c.Workers[s.rng.IntN(len(s.c.Workers))]
		d := time.Duration(s.rng.Int64N(int64(4 * time.Second)))
		kind := s.rng.IntN(12)
		fmt.Fprintf(s.trace, "fault %d on %s, worker %s, %v\n", kind, n.Name, w.Addr(), d)
		wg.Go(func() { s.inject(kind, n, w, d) })
	}
}

func (s *soak) inject(kind int, n *WorkflowNode, w *platformworker.Worker, d time.Duration) {
	down := []string{platformstore.DownBusy, platformstore.DownMany, platformstore.DownReset, platformstore.DownSilent}
	switch kind {
	case 0, 1:
		n.kills.Add(1)
		n.Process.Kill()
		time.Sleep(d / 8)
		s.restart(n)
	case 2:
		kills, stops, alone := n.kills.Load(), n.stops.Add(1), n.stopping.Add(1) == 1
		_, err := n.Terminate(20 * time.Second)
		n.stopping.Add(-1)
		// A second signal ends a stop at once, with a failure.
		if err != nil && n.kills.Load() == kills && alone && n.stops.Load() == stops {
			s.note("stop of %s: %v", n.Name, err)
		}
		s.restart(n)
	case 3, 4:
		n.Freeze()
		time.Sleep(d)
		n.Thaw()
	case 5:
		n.signal(syscall.SIGHUP)
	case 6:
		n.gate.SetFaults(platformstore.Faults{Down: down[int(d)%len(down)]})
		time.Sleep(d)
		n.gate.SetFaults(platformstore.Faults{})
	case 7:
		n.gate.SetFaults(platformstore.Faults{LoseAnswers: 3, Late: d / 2 * time.Duration(int(d)%2)})
	case 8:
		s.setStore(platformstore.Faults{Down: down[int(d)%len(down)]})
		s.c.Store.FreezeLeases(int(d)%2 == 0)
		time.Sleep(d)
		s.setStore(platformstore.Faults{Slow: d / 50})
		s.c.Store.FreezeLeases(false)
	case 9:
		n.cut.Store(true)
		time.Sleep(2 * d)
		n.cut.Store(false)
	case 10:
		s.c.Store.DropHistory()
		w.LoseAnswers(4)
	case 11:
		w.Leave()
		time.Sleep(d)
		w.Crash()
	}
}

// setStore sets the faults of the store for all processes.
func (s *soak) setStore(f platformstore.Faults) {
	for _, n := range s.c.nodes() {
		n.gate.SetFaults(f)
	}
}

func (s *soak) restart(n *WorkflowNode) {
	if n.Running() {
		return // by another fault that overlaps
	}
	if err := n.Start(); err != nil && !n.Running() {
		s.note("start of %s: %v", n.Name, err)
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.c.Store.FreezeLeases(false)
	for _, n := range s.c.nodes() {
		n.Thaw()
		n.cut.Store(false)
		n.gate.SetFaults(platformstore.Faults{})
		s.restart(n)
	}
}

// settle waits for the ends of the jobs and checks what callers are told.
func (s *soak) settle(ctx context.Context) {
	end := time.Now().Add(soakSettle)
	for _, j := range s.jobs {
		for ctx.Err() == nil {
			problem := s.check(j)
			if problem == "" {
				break
			}
			if time.Now().After(end) {
				s.note("job %s: %s", j.path, problem)
				break
			}
			kernel.Sleep(ctx, 50*time.Millisecond)
		}
		if !j.cancelled.IsZero() && s.c.Pool.Begun(j.id).After(j.cancelled.Add(cancelBound)) {
			s.note("job %s: an item started later than %v after the cancellation", j.path, cancelBound)
		}
	}
}

// check returns what is not yet as the caller was told, empty if all is.
func (s *soak) check(j *soakJob) string {
	status, state := s.c.State(s.c.Entries[0], j.path)
	begun := !s.c.Pool.Begun(j.id).IsZero()
	switch {
	case j.refused && begun:
		return "refused, and yet it ran"
	case j.refused || !j.accepted && status == http.StatusGone:
		return ""
	case status != http.StatusOK:
		return fmt.Sprintf("status %d", status)
	case !j.cancelled.IsZero():
		if state == "canceled" || state == "complete" || state == "failed" && j.payload.Fail {
			return ""
		}
	case state == "complete" && !j.payload.Fail, state == "failed" && j.payload.Fail:
		return ""
	}
	return fmt.Sprintf("state %q", state)
}
