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
	// soakFaultInterval is the mean time between two faults, which may overlap. Callers also wait
	// this long before they retry or cancel.
	soakFaultInterval = 500 * time.Millisecond
	// soakSubmitInterval is the mean time between two submissions.
	soakSubmitInterval = 150 * time.Millisecond
	// soakSettleTimeout is the time after the last fault within which every job must end. It
	// covers the longest lease, the timeout of silent workers and two more attempts.
	soakSettleTimeout = 60 * time.Second
	// cancelBound is the time after an acknowledged cancellation after which no item of the job
	// may start.
	cancelBound     = 3 * time.Second
	maxCallAttempts = 5
)

// soak is one run of load and random faults on a cluster.
type soak struct {
	cluster        *WorkflowCluster
	faultRand      *rand.Rand    // random choices of the faults of kinds 0 to 11
	crashRand      *rand.Rand    // random choices of the faults of later kinds, which crash workers
	submitInterval time.Duration // mean time between two submissions
	parts          WorkflowParts
	trace          io.Writer // receives a line for each random fault
	// stopLoad stops the submission of jobs and waits until all callers have their responses.
	stopLoad   func()
	mu         sync.Mutex
	jobs       []*soakJob
	violations []string
}

// soakJob is a job and the responses that its caller received.
type soakJob struct {
	id, path   string
	payload    platformworker.Payload
	accepted   bool
	allRefused bool      // every attempt to submit was answered with a refusal
	cancelled  time.Time // when the cancellation was acknowledged; zero if it was not
}

// Soak runs load and random faults for duration on a cluster with random optional parts, then waits until all jobs have ended. It returns
// an error with all violations that callers or workers observed, and all panics of the processes.
func Soak(ctx context.Context, e Env, duration time.Duration) error {
	s := &soak{
		faultRand: rand.New(rand.NewPCG(e.Seed, 2)), crashRand: rand.New(rand.NewPCG(e.Seed, 6)), submitInterval: soakSubmitInterval, trace: e.Trace,
		parts: drawParts(rand.New(rand.NewPCG(e.Seed, 8))), // drawn apart, so that a seed keeps its faults
	}
	fmt.Fprintf(s.trace, "soak seed %d: %v\n", e.Seed, s.parts)
	err := s.runScenario(ctx, e, rand.New(rand.NewPCG(e.Seed, 3)), func(ctx context.Context) error {
		ctx, stop := context.WithTimeout(ctx, duration)
		defer stop()
		var wg sync.WaitGroup
		if s.parts.Evacuation {
			wg.Go(func() { s.requestEvacuations(ctx, rand.New(rand.NewPCG(e.Seed, 7))) })
		}
		s.injectFaults(ctx, &wg)
		s.stopLoad()
		wg.Wait()
		s.endFaults()
		return nil
	})
	fmt.Fprintf(s.trace, "soak seed %d: %d jobs\n", e.Seed, len(s.jobs))
	if err = errors.Join(err, checkPanics(e.Dir)); err != nil {
		return fmt.Errorf("with %v:\n%w", s.parts, err)
	}
	return nil
}

// runScenario runs load on a new cluster while scenario injects faults. When scenario has returned,
// all jobs must end. The error holds the error of scenario and all violations.
func (s *soak) runScenario(ctx context.Context, e Env, rng *rand.Rand, scenario func(context.Context) error) error {
	cluster, err := LaunchWorkflows(ctx, e.Bin, e.Dir, soakEntries, soakWorkers, s.parts)
	if err != nil {
		return err
	}
	defer cluster.Kill()
	s.cluster = cluster
	loadCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.submitJobs(loadCtx, rng) })
	s.stopLoad = func() {
		stop()
		wg.Wait()
	}
	err = scenario(ctx)
	s.stopLoad()
	s.checkJobs(ctx)
	return errors.Join(err, s.violationsError())
}

// violationsError returns all violations, including those that the workers recorded, as one error.
func (s *soak) violationsError() error {
	for _, violation := range s.cluster.Pool.Violations() {
		s.addViolation("worker: %s", violation)
	}
	errs := make([]error, len(s.violations))
	for i, text := range s.violations {
		errs[i] = errors.New(text)
	}
	return errors.Join(errs...)
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) addJob(j *soakJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, j)
}

// submitJobs submits jobs until ctx ends, each from a caller of its own, and waits for the callers.
func (s *soak) submitJobs(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for i := 1; ctx.Err() == nil; i++ {
		kernel.Sleep(ctx, time.Duration(rng.Int64N(int64(2*s.submitInterval))))
		j := &soakJob{id: fmt.Sprintf("%016x", i), payload: platformworker.Payload{MS: 100 + rng.Int64N(1500), GPUs: 1 << rng.IntN(4), Fail: rng.IntN(25) == 0}}
		count, queuePrefix := 1+rng.IntN(3), []string{"/urgent/", "/batch/"}[rng.IntN(2)]
		if rng.IntN(3) == 0 {
			count = 2
			j.payload.Gang = 2
		}
		j.path = queuePrefix + j.id
		body := WorkflowSteps(j.payload, count)
		cancel, firstEntry := rng.IntN(8) == 0, rng.IntN(soakEntries)
		s.addJob(j)
		wg.Go(func() { s.submit(j, body, firstEntry, cancel) })
	}
	wg.Wait()
}

// submit submits a job as a caller does: it retries at another entry after a refusal or without a
// response. With cancel it cancels the job after its acceptance.
func (s *soak) submit(j *soakJob, body []byte, firstEntry int, cancel bool) {
	j.allRefused = true
	for attempt := range maxCallAttempts {
		status, _ := s.cluster.Call(s.cluster.Entries[(firstEntry+attempt)%soakEntries], http.MethodPost, j.path, body)
		switch {
		case status == http.StatusOK:
			j.accepted, j.allRefused = true, false
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			j.allRefused = false // the job may have been accepted
		}
		if j.accepted {
			break
		}
		time.Sleep(soakFaultInterval)
	}
	if !j.accepted || !cancel {
		return
	}
	time.Sleep(soakFaultInterval)
	for attempt := range maxCallAttempts {
		if status, _ := s.cluster.Call(s.cluster.Entries[(firstEntry+attempt)%soakEntries], http.MethodDelete, j.path, nil); status == http.StatusOK {
			j.cancelled = time.Now()
			return
		}
	}
}

// injectFaults injects random faults until ctx ends. Each runs in a goroutine of wg, so that faults
// overlap.
func (s *soak) injectFaults(ctx context.Context, wg *sync.WaitGroup) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, time.Duration(s.faultRand.Int64N(int64(2*soakFaultInterval))))
		s.injectFault(wg, s.faultRand, 0, 12)
		// Drawn apart, so that a seed keeps its faults of the kinds before.
		if s.crashRand.IntN(6) == 0 {
			s.injectFault(wg, s.crashRand, 12, 2)
		}
	}
}

// injectFault injects a random fault of one of the given number of kinds from first on.
func (s *soak) injectFault(wg *sync.WaitGroup, rng *rand.Rand, first, kinds int) {
	nodes := s.cluster.nodes()
	n := nodes[rng.IntN(len(nodes))]
	w := s.cluster.Workers[rng.IntN(len(s.cluster.Workers))]
	duration := time.Duration(rng.Int64N(int64(4 * time.Second)))
	kind := first + rng.IntN(kinds)
	fmt.Fprintf(s.trace, "fault %d on %s, worker %s, %v\n", kind, n.Name, w.Addr(), duration)
	wg.Go(func() { s.applyFault(kind, n, w, duration) })
}

// applyFault injects a fault of the given kind and returns when it has ended. The kinds are:
//
//   - 0 and 1: kill n and start it again
//   - 2: stop n gracefully and start it again
//   - 3 and 4: freeze n
//   - 5: send SIGHUP to n, which reloads its settings
//   - 6: take the store down for n, in one of the ways in down
//   - 7: lose the responses to the next writes of n to the store; the writes may take effect late
//   - 8: take the store down for all processes, half of the time without expiry of leases; after
//     that the calls are delayed until the next change of the fault switches
//   - 9: cut n off from the other processes
//   - 10: drop the history of the store and lose the next responses of w to starts and stops
//   - 11: w announces that it is draining, then crashes
//   - 12: w crashes and starts again under its id, 0.2 to 2 s later
//   - 13: submit a job that crashes each worker that starts it, and has to fail
//
// The choice of a way in 6 to 8 follows from duration.
func (s *soak) applyFault(kind int, n *WorkflowNode, w *platformworker.Worker, duration time.Duration) {
	down := []string{platformstore.DownUnavailable, platformstore.DownTooManyRequests, platformstore.DownReset, platformstore.DownSilent}
	switch kind {
	case 0, 1:
		n.kills.Add(1)
		n.Process.Kill()
		time.Sleep(duration / 8)
		s.ensureRunning(n)
	case 2:
		kills, stops, onlyStop := n.kills.Load(), n.stops.Add(1), n.stopsInProgress.Add(1) == 1
		_, err := n.Terminate(20 * time.Second)
		n.stopsInProgress.Add(-1)
		// A second signal ends a graceful stop at once, and the process exits with an error.
		// So only a stop that no other stop or kill overlapped has to succeed.
		if err != nil && n.kills.Load() == kills && onlyStop && n.stops.Load() == stops {
			s.addViolation("graceful stop of %s failed: %v", n.Name, err)
		}
		s.ensureRunning(n)
	case 3, 4:
		n.Freeze()
		time.Sleep(duration)
		n.Thaw()
	case 5:
		n.signal(syscall.SIGHUP)
	case 6:
		n.storeEndpoint.SetFaults(platformstore.Faults{Down: down[int(duration)%len(down)]})
		time.Sleep(duration)
		n.storeEndpoint.SetFaults(platformstore.Faults{})
	case 7:
		n.storeEndpoint.SetFaults(platformstore.Faults{LoseResponses: 3, LostWriteDelay: duration / 2 * time.Duration(int(duration)%2)})
	case 8:
		s.setStoreFaults(platformstore.Faults{Down: down[int(duration)%len(down)]})
		s.cluster.Store.FreezeLeases(int(duration)%2 == 0)
		time.Sleep(duration)
		s.setStoreFaults(platformstore.Faults{CallDelay: duration / 50})
		s.cluster.Store.FreezeLeases(false)
	case 9:
		n.cut.Store(true)
		time.Sleep(2 * duration)
		n.cut.Store(false)
	case 10:
		s.cluster.Store.DropHistory()
		w.LoseResponses(4)
	case 11:
		w.Drain()
		time.Sleep(duration)
		w.Crash()
	case 12:
		w.Restart(soakDowntime(duration))
		time.Sleep(soakDowntime(duration))
	case 13:
		p := platformworker.Payload{MS: 60_000, GPUs: 1, CrashMS: 1 + duration.Milliseconds()/8, DownMS: soakDowntime(duration).Milliseconds()}
		j := &soakJob{id: fmt.Sprintf("d%015x", int64(duration)), payload: p} // the ids of the load begin with 0
		j.path = "/batch/" + j.id
		s.addJob(j)
		s.submit(j, WorkflowSteps(p, 1), int(duration)%soakEntries, false)
	}
}

// soakDowntime returns the downtime of a worker for a fault of the given duration, which is below 4 s.
func soakDowntime(duration time.Duration) time.Duration { return 200*time.Millisecond + duration*9/20 }

// setStoreFaults sets the faults of the store for all processes of the cluster.
func (s *soak) setStoreFaults(f platformstore.Faults) {
	for _, n := range s.cluster.nodes() {
		n.storeEndpoint.SetFaults(f)
	}
}

// ensureRunning starts a node that does not run.
func (s *soak) ensureRunning(n *WorkflowNode) {
	if n.Running() {
		return // an overlapping fault has started it
	}
	if err := n.Start(); err != nil && !n.Running() {
		s.addViolation("start of %s failed: %v", n.Name, err)
	}
}

// endFaults ends all faults and starts all nodes that do not run.
func (s *soak) endFaults() {
	s.cluster.Store.FreezeLeases(false)
	for _, n := range s.cluster.nodes() {
		n.Thaw()
		n.cut.Store(false)
		n.storeEndpoint.SetFaults(platformstore.Faults{})
		s.ensureRunning(n)
	}
}

// checkJobs waits until all jobs have ended, for at most soakSettleTimeout. It records a violation
// for each job that did not end in the state that its caller expects, and for each job with an
// item that started later than cancelBound after the cancellation.
func (s *soak) checkJobs(ctx context.Context) {
	deadline := time.Now().Add(soakSettleTimeout)
	for _, j := range s.jobs {
		for ctx.Err() == nil {
			problem := s.jobProblem(j)
			if problem == "" {
				break
			}
			if time.Now().After(deadline) {
				s.addViolation("job %s: %s", j.path, problem)
				break
			}
			kernel.Sleep(ctx, 50*time.Millisecond)
		}
		if !j.cancelled.IsZero() && s.cluster.Pool.LastStart(j.id).After(j.cancelled.Add(cancelBound)) {
			s.addViolation("job %s: an item started later than %v after the cancellation", j.path, cancelBound)
		}
	}
}

// jobProblem returns a text that says how the state of a job differs from the one that its caller
// expects, or an empty text if it doesn't differ.
func (s *soak) jobProblem(j *soakJob) string {
	status, state := s.cluster.State(s.cluster.Entries[0], j.path)
	begun, mustFail := !s.cluster.Pool.LastStart(j.id).IsZero(), j.payload.Fail || j.payload.CrashMS > 0
	// The platform allows a failure after such crashes, whatever their reason was.
	mayFail := mustFail || s.cluster.Pool.Crashes(j.id) >= platformworker.CrashesToGiveUp
	switch {
	case j.allRefused && begun:
		return "the job was refused, but ran"
	case j.allRefused || !j.accepted && status == http.StatusGone:
		return ""
	case status != http.StatusOK:
		return fmt.Sprintf("status %d", status)
	case !j.cancelled.IsZero():
		if state == "canceled" || state == "complete" || state == "failed" && mayFail {
			return ""
		}
	case state == "complete" && !mustFail, state == "failed" && mayFail:
		return ""
	}
	return fmt.Sprintf("state %q", state)
}
