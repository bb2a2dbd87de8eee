package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"snipegw/internal/config"
	"snipegw/internal/kernel"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

const (
	patchRunTime   = 30 * time.Second
	patchOperators = 4
	// patchInterval is the interval between two patches of an operator. It keeps the number of
	// patches below 256, the number of patch IDs that the document keeps.
	patchInterval = 500 * time.Millisecond
	// inForceBound is the bound of P8 for the time from the acceptance of a patch until it is in
	// force everywhere.
	inForceBound = 9 * time.Second
	// versionPollInterval is the interval between two polls of the configuration version of a
	// process.
	versionPollInterval = 100 * time.Millisecond
)

// patchProof checks P8. Operators send concurrent patches while the store loses answers, is slow,
// returns stale states or is down, and entries and agents are killed. Every accepted patch must
// have a version of its own and be in the final history, and no refused patch may be in it. No
// process may show a lower version than before, and every process that runs throughout must have
// an accepted version within 9 s.
func patchProof() Proof {
	return Proof{
		Name: "racing-patches", Property: "P8", Timeout: 120 * time.Second,
		Bound: "in force within 9s, 0 lost, 0 doubled, 0 reverted",
		Run:   runPatchProof,
	}
}

// acceptedPatch is a patch whose acceptance was confirmed to the operator.
type acceptedPatch struct {
	id      string
	version uint64
	at      time.Time
}

// patchLoad sends the patches of the operators and records the results.
type patchLoad struct {
	cluster  *Cluster
	mu       sync.Mutex
	accepted []acceptedPatch
	refused  []string
	unknown  int
}

func runPatchProof(ctx context.Context, e *Env) (Verdict, error) {
	spec := DefaultSpec()
	spec.Entries, spec.Service, spec.Relayed = 3, "", true
	c, err := Launch(ctx, e.Bin, e.Dir, spec)
	if err != nil {
		return Verdict{}, err
	}
	defer c.Kill()
	if e.Control {
		if err := SetFaults(c.Store, map[string]any{"ignore_cas": true}); err != nil {
			return Verdict{}, err
		}
	}
	watch := watchVersions(c)
	load := &patchLoad{cluster: c}
	runCtx, cancel := context.WithTimeout(ctx, patchRunTime)
	defer cancel()
	var operators sync.WaitGroup
	for i := range patchOperators {
		operators.Go(func() { load.sendPatches(runCtx, i) })
	}
	faults := e.injectFaults(runCtx, faultPlan{
		pause: [2]time.Duration{400 * time.Millisecond, time.Second}, duration: [2]time.Duration{300 * time.Millisecond, 2 * time.Second}, parallel: 2,
		next: func() fault {
			entry := pickRandom(e, c.Entries)
			return pickRandom(e, []fault{
				storeLosesAnswersFault(c.Store), storeLosesAnswersFault(c.Store), storeDownFault(c.Store), storeStaleFault(c.Store), storeSlowFault(c.Store),
				killFault(c, entry), freezeFault(entry), killFault(c, pickRandom(e, c.Agents)),
			})
		},
	})
	operators.Wait()
	kernel.Sleep(ctx, inForceBound+time.Second)
	watch.stop()
	final, err := finalDocument(ctx, c)
	if err != nil {
		return Verdict{}, err
	}
	lost, doubled := load.compareHistory(final)
	reverted, slowest, missing := watch.evaluate(e, load.accepted)
	measured := fmt.Sprintf("in force after %s, %d lost, %d doubled, %d reverted, %d not in force; %d accepted, %d refused, %d unknown, final version %d, %d faults",
		slowest.Round(10*time.Millisecond), lost, doubled, reverted, missing, len(load.accepted), len(load.refused), load.unknown, final.Version, faults)
	pass := lost == 0 && doubled == 0 && reverted == 0 && missing == 0 && slowest <= inForceBound && len(load.accepted) > 0
	return Verdict{Pass: pass, Measured: measured}, nil
}

// finalDocument returns the configuration document from the first entry that answers.
func finalDocument(ctx context.Context, c *Cluster) (model.Config, error) {
	var doc model.Config
	client := NewClient(OperatorToken)
	err := firstSuccess(c.Entries, func(e *Node) error {
		got, err := client.Config(ctx, e)
		doc = got
		return err
	})
	return doc, err
}

// sendPatches sends patches as one operator until ctx ends.
func (l *patchLoad) sendPatches(ctx context.Context, operator int) {
	client := NewClient(OperatorToken)
	for n := 0; ctx.Err() == nil; n++ {
		kernel.Sleep(ctx, patchInterval)
		e := l.cluster.Entries[(operator+n)%len(l.cluster.Entries)]
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		doc, err := client.Config(callCtx, e)
		if err == nil {
			l.sendPatch(callCtx, client, e, doc.Version, fmt.Sprintf("patch-%d-%d", operator, n), operator*1000+n)
		}
		cancel()
	}
}

func (l *patchLoad) sendPatch(ctx context.Context, client *Client, e *Node, baseVersion uint64, id string, queuedJobs int) {
	r, err := client.Patch(ctx, e, config.PatchRequest{
		ID: id, BaseVersion: baseVersion, Type: config.MergePatch, Author: "operator",
		Patch: json.RawMessage(fmt.Sprintf(`{"limits":{"max_queued_jobs":%d}}`, 1000+queuedJobs)),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch code := result.CodeOf(err); {
	case err == nil:
		l.accepted = append(l.accepted, acceptedPatch{id, r.Version, time.Now()})
	case code.NotRun():
		l.refused = append(l.refused, id)
	default:
		l.unknown++
	}
}

// compareHistory compares the results with the final history. lost counts accepted patches that
// the history doesn't hold at their version. doubled counts patches that were accepted with the
// version of another, and refused patches that the history holds.
func (l *patchLoad) compareHistory(final model.Config) (lost, doubled int) {
	history := make(map[string]uint64)
	for _, p := range final.Patches {
		history[p.ID] = p.Version
	}
	versions := make(map[uint64]bool)
	for _, a := range l.accepted {
		if history[a.id] != a.version {
			lost++
		}
		if versions[a.version] {
			doubled++
		}
		versions[a.version] = true
	}
	for _, id := range l.refused {
		if _, ok := history[id]; ok {
			doubled++
		}
	}
	return lost, doubled
}

// versionSample is the configuration version that a process showed at one poll.
type versionSample struct {
	at       time.Time
	version  uint64
	answered bool // the process answered with a version
	pid      int
}

// versionWatch polls the configuration versions of all entries and agents.
type versionWatch struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	samples map[string][]versionSample
}

func watchVersions(c *Cluster) *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{cancel: cancel, samples: make(map[string][]versionSample)}
	operator := NewClient(OperatorToken)
	for _, e := range c.Entries {
		w.wg.Go(func() {
			w.poll(ctx, e, func(ctx context.Context) (uint64, error) {
				doc, err := operator.Config(ctx, e)
				return doc.Version, err
			})
		})
	}
	for _, a := range c.Agents {
		w.wg.Go(func() {
			w.poll(ctx, a, func(ctx context.Context) (uint64, error) {
				var state struct {
					Agent struct {
						ConfigVersion uint64 `json:"config_version"`
					} `json:"agent"`
				}
				err := operator.JSON(ctx, http.MethodGet, a.URL()+"/debug/state", nil, &state)
				return state.Agent.ConfigVersion, err
			})
		})
	}
	return w
}

func (w *versionWatch) poll(ctx context.Context, n *Node, read func(context.Context) (uint64, error)) {
	for ctx.Err() == nil {
		pid := n.PID()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		v, err := read(callCtx)
		cancel()
		s := versionSample{at: time.Now(), version: v, answered: err == nil && v > 0, pid: pid}
		w.mu.Lock()
		w.samples[n.Name] = append(w.samples[n.Name], s)
		w.mu.Unlock()
		kernel.Sleep(ctx, versionPollInterval)
	}
}

func (w *versionWatch) stop() {
	w.cancel()
	w.wg.Wait()
}

// evaluate returns the number of samples with a lower version than the same process showed
// before, also across restarts; the longest time from the acceptance of a patch until a process
// that answered without a gap showed its version; and the number of times that such a process
// never showed it.
func (w *versionWatch) evaluate(e *Env, patches []acceptedPatch) (reverted int, slowest time.Duration, missing int) {
	for name, samples := range w.samples {
		highest := uint64(0)
		for _, s := range samples {
			if s.answered && s.version < highest {
				reverted++
				e.tracef("%s shows version %d after version %d at %s, process %d", name, s.version, highest, s.at.Format("15:04:05.000"), s.pid)
			}
			highest = max(highest, s.version)
		}
		for _, a := range patches {
			took, inForce, interrupted := inForceAfter(samples, a)
			switch {
			case interrupted:
			case inForce:
				slowest = max(slowest, took)
			default:
				missing++
			}
		}
	}
	return reverted, slowest, missing
}

// inForceAfter looks for the first sample that has at least the version of a patch. interrupted is
// set if, before that sample, the process did not answer or was restarted.
func inForceAfter(samples []versionSample, a acceptedPatch) (took time.Duration, seen, interrupted bool) {
	pid := 0
	for _, s := range samples {
		if s.at.Before(a.at) {
			pid = s.pid
			continue
		}
		if s.answered && s.version >= a.version {
			return s.at.Sub(a.at), true, false
		}
		if !s.answered || (pid != 0 && s.pid != pid) {
			return 0, false, true
		}
		pid = s.pid
	}
	return 0, false, false
}
