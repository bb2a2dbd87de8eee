package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"snipegw/internal/kernel"
	"snipegw/internal/standin/platformstore"
	"snipegw/internal/standin/platformworker"
	"snipegw/internal/workflow"
)

const (
	// storeOutage is the duration of the store's outage. It is far longer than the longest lease
	// on a worker and the time for which a planner extends leases without the store.
	storeOutage = 2 * time.Minute
	// outageItemRunTime is the run time of the items that run when the store goes down. It is
	// shorter than the time for which leases are extended, so the outage must not stop them.
	outageItemRunTime = 8 * time.Second
	// storeReturnBound is the time after the return of the store within which a job must be
	// accepted again. It is the time that callers wait for a response.
	storeReturnBound = callerTimeout
	// proofSubmitInterval is the mean time between two jobs. They need half of the pool, so that
	// work that faults delayed can be completed within soakSettleTimeout.
	proofSubmitInterval = 400 * time.Millisecond
	// pairClusters is the number of clusters that share the pairs of faults and run in parallel.
	pairClusters = 3
	// pairFaultDuration is the duration of the faults of a pair, pairPause the time until the
	// next pair. The system need not have recovered by then.
	pairFaultDuration = 2 * time.Second
	pairPause         = time.Second
)

// pairedFaults lists the kinds of soak.applyFault that are combined in pairs, with their names.
var pairedFaults = []struct {
	kind int
	name string
}{
	{0, "kill"}, {2, "stop"}, {3, "freeze"}, {6, "store refuses one"}, {7, "store loses answers"}, {8, "store down"},
	{9, "cut from the others"}, {10, "history dropped, worker loses answers"}, {11, "worker leaves and crashes"},
}

// workflowProof checks that workflows survive a long outage of the store, the loss of a rack, and
// all pairs of faults.
func workflowProof() Proof {
	return Proof{
		Name: "workflow-disasters", Property: "jobs of steps", Timeout: 12 * time.Minute,
		Bound: "every job ends as its caller was told, no item twice, accepted within 3s of the store's return",
		Run:   runWorkflowProof,
	}
}

// runWorkflowProof runs the cases in parallel, each on a cluster of its own.
func runWorkflowProof(ctx context.Context, e *Env) (Verdict, error) {
	cases := map[string]func(context.Context, *soak) (string, error){
		"store-down":   runStoreOutage,
		"rack-is-lost": runRackLoss,
	}
	for i := range pairClusters {
		cases[fmt.Sprintf("pairs-%d", i)] = func(ctx context.Context, s *soak) (string, error) { return runFaultPairs(ctx, s, i, e.Control) }
	}
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		measured []string
		errs     []error
	)
	for name, run := range cases {
		if e.Control && !strings.HasPrefix(name, "pairs") {
			continue
		}
		wg.Go(func() {
			text, err := runCase(ctx, e, name, run)
			mu.Lock()
			defer mu.Unlock()
			measured = append(measured, name+": "+text)
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", name, err))
			}
		})
	}
	wg.Wait()
	return Verdict{Pass: len(errs) == 0, Measured: strings.Join(measured, "; ")}, errors.Join(errs...)
}

// runCase runs a case and returns a text with what it measured.
func runCase(ctx context.Context, e *Env, name string, run func(context.Context, *soak) (string, error)) (string, error) {
	caseEnv := *e
	caseEnv.Dir = filepath.Join(e.Dir, name)
	if err := os.MkdirAll(caseEnv.Dir, 0o700); err != nil {
		return "", err
	}
	s := &soak{faultRand: rand.New(rand.NewPCG(e.Seed, 4)), submitInterval: proofSubmitInterval, trace: io.Discard}
	// No case requests an evacuation or expects a refusal. The setting changes the planner's
	// transactions all the same.
	s.parts = WorkflowParts{Evacuation: rand.New(rand.NewPCG(e.Seed, 8)).IntN(2) == 0}
	var text string
	err := s.runScenario(ctx, caseEnv, rand.New(rand.NewPCG(e.Seed, 5)), func(ctx context.Context) (err error) {
		text, err = run(ctx, s)
		if e.Control {
			s.stopLoad()
			s.removeLastAcceptedJob()
		}
		return err
	})
	return fmt.Sprintf("%s, %d jobs", text, len(s.jobs)), err
}

// runStoreOutage makes the store unavailable for storeOutage. Items whose work ends before
// the extension of leases does must not be stopped. Jobs must be accepted and run again when the
// store has returned.
func runStoreOutage(ctx context.Context, s *soak) (string, error) {
	const path = "/urgent/e000000000000001"
	body := WorkflowSteps(platformworker.Payload{MS: outageItemRunTime.Milliseconds(), GPUs: 1}, 2)
	if status, _ := s.cluster.Call(s.cluster.Entries[0], http.MethodPost, path, body); status != http.StatusOK {
		return "", fmt.Errorf("the job before the outage was not accepted: status %d", status)
	}
	kernel.Sleep(ctx, 2*time.Second)
	s.setStoreFaults(platformstore.Faults{Down: platformstore.DownSilent})
	kernel.Sleep(ctx, storeOutage)
	s.setStoreFaults(platformstore.Faults{})
	returned := time.Now()
	accepted := -1 * time.Second
	for i := 0; time.Since(returned) < workflowTimeout; i++ {
		job := fmt.Sprintf("/batch/f%015x", i) // the IDs of the load begin with 0
		if status, _ := s.cluster.Call(s.cluster.Entries[i%soakEntries], http.MethodPost, job, WorkflowSteps(platformworker.Payload{MS: 100, GPUs: 1}, 1)); status == http.StatusOK {
			accepted = time.Since(returned)
			break
		}
		kernel.Sleep(ctx, 50*time.Millisecond)
	}
	text := fmt.Sprintf("%v without the store, accepted %v after its return", storeOutage, accepted.Round(time.Millisecond))
	if accepted < 0 || accepted > storeReturnBound {
		return text, fmt.Errorf("no job was accepted within %v after the return of the store", storeReturnBound)
	}
	for i := range 2 {
		if runs := s.cluster.Pool.RunOutcomes(fmt.Sprintf("%s.0.0.%d", path[len("/urgent/"):], i)); len(runs) != 1 || runs[0] != string(workflow.EndDone) {
			return text, fmt.Errorf("item %d of %v that ran when the store went down has the runs %v, want one that is done", i, outageItemRunTime, runs)
		}
	}
	return text, nil
}

// runRackLoss permanently removes the workers and agents of a rack, and with them the entry of
// their failure domain.
func runRackLoss(ctx context.Context, s *soak) (string, error) {
	kernel.Sleep(ctx, 4*time.Second)
	s.cluster.Entries[soakEntries-1].Process.Kill()
	for i := soakWorkers / 2; i < soakWorkers; i++ {
		s.cluster.Agents[i].Process.Kill()
		_ = s.cluster.Workers[i].Close() // its running items go on until their leases expire
	}
	kernel.Sleep(ctx, 15*time.Second)
	return fmt.Sprintf("%d of %d workers and an entry gone", soakWorkers/2, soakWorkers), nil
}

// runFaultPairs injects both faults of a pair at the same time, the first at the planner, the
// second at another process. The cluster with the given index takes its share of all pairs.
func runFaultPairs(ctx context.Context, s *soak, index int, control bool) (string, error) {
	n, pairs := 0, 0
	for i, a := range pairedFaults {
		for _, b := range pairedFaults[i:] {
			if n++; n%pairClusters != index || ctx.Err() != nil || control && pairs > 0 {
				continue
			}
			pairs++
			planner, other := s.plannerAndOther()
			w := s.cluster.Workers[s.faultRand.IntN(len(s.cluster.Workers))]
			var wg sync.WaitGroup
			wg.Go(func() { s.applyFault(a.kind, planner, w, pairFaultDuration) })
			wg.Go(func() { s.applyFault(b.kind, other, w, pairFaultDuration) })
			wg.Wait()
			kernel.Sleep(ctx, pairPause)
		}
	}
	s.endFaults()
	return fmt.Sprintf("%d pairs", pairs), nil
}

// plannerAndOther returns the entry that the store records as planner, or the first entry if there
// is none, and another process at random.
func (s *soak) plannerAndOther() (planner, other *WorkflowNode) {
	planner = s.cluster.Entries[0]
	if r, err := workflow.Decode[workflow.PlannerRecord](s.cluster.Store.Value(workflow.PlannerKey)); err == nil {
		for _, e := range s.cluster.Entries {
			if e.Name == r.Entry {
				planner = e
			}
		}
	}
	for other == nil || other == planner {
		nodes := s.cluster.nodes()
		other = nodes[s.faultRand.IntN(len(nodes))]
	}
	return planner, other
}

// removeLastAcceptedJob removes the store's record of the last accepted job, so that the proof has
// to fail.
func (s *soak) removeLastAcceptedJob() {
	for _, j := range slices.Backward(s.jobs) {
		if j.accepted {
			s.cluster.Store.Remove(workflow.JobPrefix + j.id)
			return
		}
	}
}
