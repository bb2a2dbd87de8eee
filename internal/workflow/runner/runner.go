// Package runner is the agent's part in running workflows: it carries the
// planner's leases and orders to the worker on its host, and the worker's
// announcements and lists to the planner. It keeps nothing that must last.
package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/transport"
	"snipegw/internal/wire"
	"snipegw/internal/workflow"
)

// WorkerAPI is the interface of the worker on this host. Implementations are
// safe for concurrent use.
type WorkerAPI interface {
	// Hold extends the worker's lease to untilMS on its clock (0: leaves it),
	// acknowledges ends up to acked, and returns what the worker lists. It waits
	// up to wait for an end.
	Hold(ctx context.Context, instance string, epoch, acked uint64, untilMS int64, wait time.Duration) (*workflow.WorkerLists, error)
	// Start starts an item.
	Start(ctx context.Context, instance string, epoch uint64, o workflow.StartOrder) (workflow.OrderOutcome, error)
	// Stop ends a run, or prevents it.
	Stop(ctx context.Context, instance string, epoch uint64, o workflow.StopOrder) (workflow.OrderOutcome, error)
}

// ErrOtherIncarnation is returned by a WorkerAPI when another incarnation than
// the one named answers.
var ErrOtherIncarnation = errors.New("another incarnation of the worker answers")

// ErrNoListener is returned by a WorkerAPI when no process listens at the
// worker's address.
var ErrNoListener = errors.New("nothing listens at the worker's address")

// Settings select the worker interface.
type Settings struct {
	Type    string `json:"type"`
	Address string `json:"address"`
}

// Plugins holds the registered worker interfaces.
var Plugins = kernel.NewRegistry[func(Settings) (WorkerAPI, error)]("workflow worker interface")

const (
	// callTimeout bounds one call to the worker, which is on the same host.
	callTimeout = 400 * time.Millisecond
	// lookWait is the time for which a look at the worker waits for an end.
	lookWait = 500 * time.Millisecond
	// lookPause separates looks while the worker lists ends that are not
	// acknowledged, which make it answer at once, or does not answer.
	lookPause = 40 * time.Millisecond
	failPause = 200 * time.Millisecond
	// maxWait bounds the wait of a planner's call for a new report.
	maxWait = time.Second
)

// Runner serves the planner's calls.
type Runner struct {
	api WorkerAPI

	mu        sync.Mutex
	epoch     uint64
	instance  string // incarnation that answered last
	born      int64
	untilMS   int64
	acked     uint64
	announced *workflow.Announcement
	goodbye   string // instance that has said goodbye
	lists     *workflow.WorkerLists
	listEpoch uint64 // epoch under which lists was made
	left      bool
	version   uint64
	changed   chan struct{} // closed when version changes
	kick      chan struct{}
}

// New returns a Runner for a worker.
func New(api WorkerAPI) *Runner {
	return &Runner{api: api, changed: make(chan struct{}), kick: make(chan struct{}, 1), version: 1}
}

// Register adds the planner's calls to mux.
func (r *Runner) Register(mux *transport.Mux) {
	mux.Handle(wire.KindWorkflowSync, transport.Unary(r.Sync))
	mux.Handle(wire.KindWorkflowOrder, transport.Unary(r.Order))
}

// publish wakes the calls that wait for a report. r.mu is held.
func (r *Runner) publish() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

// Announce takes in what the worker says about itself.
func (r *Runner) Announce(a *workflow.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.announced; old != nil {
		if old.Instance == a.Instance && old.Born == a.Born && a.Seq < old.Seq || a.Born < old.Born {
			return // overtaken by a newer one
		}
		if old.Instance != a.Instance || old.Born != a.Born || old.Draining != a.Draining {
			r.logAnnounced(a)
		}
	} else {
		r.logAnnounced(a)
	}
	changed := r.announced == nil || r.announced.Draining != a.Draining || r.announced.Instance != a.Instance ||
		r.announced.Born != a.Born || r.announced.Capacity != a.Capacity
	r.announced = a
	if changed {
		r.publish()
	}
}

func (r *Runner) logAnnounced(a *workflow.Announcement) {
	log.WithFields(log.Fields{
		"event": "worker_announced", "worker": a.Instance, "born": a.Born, "draining": a.Draining,
		"remaining_ms": a.RemainingMS, "seq": a.Seq, "service": a.Service,
	}).Info("the worker has announced itself")
}

// Goodbye takes in that an instance ends now.
func (r *Runner) Goodbye(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.goodbye = instance
	if r.announced != nil && r.announced.Instance == instance && !r.announced.Draining {
		gone := *r.announced
		gone.Draining, gone.RemainingMS = true, 0
		r.announced = &gone
	}
	log.WithFields(log.Fields{"event": "worker_goodbye", "worker": instance}).Info("the worker leaves")
	r.publish()
}

// Run looks at the worker until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.look(ctx, lookWait)
		if pause > 0 {
			kernel.Sleep(ctx, pause)
		}
	}
}

// look asks the worker once for its lists, and returns how long to pause.
func (r *Runner) look(ctx context.Context, wait time.Duration) time.Duration {
	r.mu.Lock()
	epoch, instance, acked, until := r.epoch, r.instance, r.acked, r.untilMS
	r.mu.Unlock()
	if epoch == 0 {
		// Before the first planner's call there is nothing to extend or report.
		select {
		case <-r.kick:
		case <-ctx.Done():
		}
		return 0
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	lists, err := r.api.Hold(callCtx, instance, epoch, acked, until, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		return r.lookFailed(instance, err)
	}
	if r.lists != nil && (lists.Born < r.lists.Born || lists.Born == r.lists.Born && lists.ClockMS < r.lists.ClockMS) {
		return 0 // overtaken by a newer answer
	}
	if lists.Instance == "" && r.announced != nil && r.announced.Born == lists.Born {
		lists.Instance = r.announced.Instance
	}
	if lists.Born != r.born || lists.Born == 0 && lists.Instance != r.instance {
		log.WithFields(log.Fields{"event": "worker_incarnation", "worker": lists.Instance, "born": lists.Born, "former": r.instance}).Info("a new incarnation of the worker answers")
		r.born, r.untilMS, r.acked = lists.Born, 0, 0
	}
	r.instance = lists.Instance
	fresh := r.lists == nil || len(lists.Ended) > 0 || r.listEpoch != epoch || len(lists.Running) != len(r.lists.Running)
	r.lists, r.listEpoch, r.left = lists, epoch, false
	if fresh {
		r.publish()
	}
	if len(lists.Ended) > 0 {
		return lookPause
	}
	return 0
}

// lookFailed takes in that the worker did not answer. r.mu is held.
func (r *Runner) lookFailed(instance string, err error) time.Duration {
	if errors.Is(err, ErrOtherIncarnation) {
		if r.instance == instance {
			r.instance = "" // ask whoever answers
		}
		return lookPause
	}
	if errors.Is(err, ErrNoListener) && r.goodbye != "" && r.goodbye == instance && !r.left {
		log.WithFields(log.Fields{"event": "worker_left", "worker": instance}).Info("the worker has left")
		r.left = true
		r.publish()
	}
	return failPause
}

// Sync implements the planner's call for a report.
func (r *Runner) Sync(ctx context.Context, q *workflow.SyncRequest) (*workflow.SyncReply, error) {
	r.mu.Lock()
	if q.Epoch < r.epoch {
		r.mu.Unlock()
		return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", q.Epoch, r.epoch)
	}
	if q.Epoch > r.epoch {
		log.WithFields(log.Fields{"event": "planner_epoch", "epoch": q.Epoch, "former": r.epoch}).Info("a new planner is in charge")
		r.epoch = q.Epoch
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
	if q.Born == r.born && (q.Born != 0 || q.Instance == r.instance) {
		r.untilMS, r.acked = max(r.untilMS, q.LeaseUntilMS), max(r.acked, q.AckedEnds)
	}
	stale := r.listEpoch != q.Epoch
	r.mu.Unlock()
	if stale {
		// The lists must be made under this epoch, so that orders of an earlier
		// planner cannot take effect after them.
		r.look(ctx, 0)
	}
	return r.await(ctx, q)
}

// await returns a report when there is one that the planner does not have.
func (r *Runner) await(ctx context.Context, q *workflow.SyncRequest) (*workflow.SyncReply, error) {
	timer := time.NewTimer(min(time.Duration(q.WaitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		r.mu.Lock()
		reply := &workflow.SyncReply{Version: r.version, Announced: r.announced, Left: r.left}
		if r.listEpoch == q.Epoch && !r.left {
			reply.Lists = r.lists
		}
		changed, epoch := r.changed, r.epoch
		r.mu.Unlock()
		if epoch != q.Epoch {
			return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", q.Epoch, epoch)
		}
		if reply.Version != q.Version {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
