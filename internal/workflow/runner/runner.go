// Package runner is the part of the agent that runs workflows. It passes the
// planner's leases and orders to the worker on its host, and the worker's
// announcements and reports to the planner. All its state is in memory and can
// be lost.
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

// WorkerAPI calls the worker on this host. A call whose instance is not empty is
// for that incarnation only: at another one Hold fails with ErrOtherIncarnation,
// and Start and Stop are refused with workflow.ReasonInstance. The worker does nothing
// for a call whose token is below the highest one that it has seen. Implementations are
// safe for concurrent use.
type WorkerAPI interface {
	// Hold extends the worker's lease to leaseUntilMS on the worker's monotonic
	// clock (0 leaves it unchanged), acknowledges ended runs up to number acked,
	// and returns the runs in progress and the ended runs that are not
	// acknowledged. If there are none of the latter, it waits up to wait for a run
	// to end.
	Hold(ctx context.Context, instance string, token, acked uint64, leaseUntilMS int64, wait time.Duration) (*workflow.WorkerReport, error)
	// Start starts a run of an item.
	Start(ctx context.Context, instance string, token uint64, o workflow.StartOrder) (workflow.OrderOutcome, error)
	// Stop stops a run, or prevents it if it has not started.
	Stop(ctx context.Context, instance string, token uint64, o workflow.StopOrder) (workflow.OrderOutcome, error)
}

// ErrOtherIncarnation is returned by a WorkerAPI when the worker at the address
// is not the incarnation that was called.
var ErrOtherIncarnation = errors.New("another incarnation of the worker responded")

// ErrNoListener is returned by a WorkerAPI when no process listens at the
// worker's address.
var ErrNoListener = errors.New("no process listens at the worker's address")

// Settings select the plug-in for the worker and the worker's address.
type Settings struct {
	Type    string `json:"type"`
	Address string `json:"address"`
}

// Plugins holds the registered implementations of WorkerAPI.
var Plugins = kernel.NewRegistry[func(Settings) (WorkerAPI, error)]("workflow worker interface")

const (
	// callTimeout limits one call to the worker, which is on the same host, beyond
	// the time that the worker is asked to wait.
	callTimeout = 400 * time.Millisecond
	// pollWait is the time for which a poll of the worker waits for a run to end.
	pollWait = 500 * time.Millisecond
	// pollRetryDelay is the delay after a poll that returned ended runs, since the
	// worker responds immediately until they are acknowledged, and after a poll to
	// which another incarnation responded.
	pollRetryDelay = 40 * time.Millisecond
	// failureDelay is the delay after a poll that failed for another reason.
	failureDelay = 200 * time.Millisecond
	// maxAnswerAge is the age of the latest answer to a poll from which on a start waits
	// for a further answer. A healthy worker answers more often, but the agent itself may
	// have been stopped for a while, and the worker have restarted meanwhile.
	maxAnswerAge = pollWait + callTimeout
	// maxSyncWait limits the wait of a planner's call for a new report.
	maxSyncWait = time.Second
)

// Runner polls the worker and serves the planner's calls.
type Runner struct {
	api WorkerAPI

	mu                sync.Mutex
	refusing          bool   // see SetServing
	epoch             uint64 // highest epoch of a planner that has called; 0: none
	token             uint64 // highest fencing token of a call, see workflow.FencingToken
	instance          string // instance and startedMS identify the incarnation that responded last
	startedMS         int64
	answeredAt        time.Time // of the latest poll, zero if it was not answered
	respondedAt       time.Time // of the latest poll that was answered, or the agent's start
	leaseUntilMS      int64
	ackedEnds         uint64
	candidates        []candidate            // incarnations that have announced themselves, see Announce
	announced         *workflow.Announcement // latest one of the incarnation that has answered, see selectAnnounced
	announcedLogAt    time.Time              // start of the present period of announcedLogLines
	announcedLogLines int                    // lines of logAnnounced in that period
	deregistered      *workflow.Announcement // latest one of the incarnation that has deregistered last, nil for none
	workerReport      *workflow.WorkerReport
	workerReportToken uint64        // token of the poll that returned workerReport
	hasLeft           bool          // the deregistered instance no longer listens
	version           uint64        // version of the state that Sync returns
	changed           chan struct{} // closed when version changes
	epochKnown        chan struct{} // signals a new epoch to Run
	incarnationKnown  chan struct{} // signals the announcement of a new incarnation to Run
}

// New returns a Runner for a worker.
func New(api WorkerAPI) *Runner {
	return &Runner{api: api, changed: make(chan struct{}), epochKnown: make(chan struct{}, 1), incarnationKnown: make(chan struct{}, 1), version: 1, respondedAt: time.Now()}
}

// SetServing sets whether planners are served; at first they are. While they are not, the worker's lease is not
// extended beyond what follows from its reports until then.
func (r *Runner) SetServing(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = !on
}

// errNotServing refuses calls of planners.
var errNotServing = result.Errorf(result.Stopping, "the agent is not registered in the store, or stops")

// Register registers the handlers of the planner's calls on mux.
func (r *Runner) Register(mux *transport.Mux) {
	mux.Handle(wire.KindWorkflowSync, transport.Unary(r.Sync))
	mux.Handle(wire.KindWorkflowOrder, transport.Unary(r.Order))
}

// publish increments the version and wakes the calls of Sync that wait for a new
// one. The caller holds r.mu.
func (r *Runner) publish() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

// Run polls the worker until ctx ends. A panic ends the process: what it knows of the worker's
// incarnation, lease and ends may be half changed, and a new process learns it anew.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := r.poll(ctx, pollWait); pause > 0 {
			r.pause(ctx, pause)
		}
	}
}

// pause waits for d, until a new incarnation announces itself, or until ctx ends.
func (r *Runner) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.incarnationKnown:
	case <-ctx.Done():
	}
}

// poll calls the worker once, renews its lease and records its report. The worker
// waits up to wait for a run to end. The result is the delay before the next poll.
// The first poll after one that failed waits for nothing, and renews and acknowledges
// nothing: another incarnation may answer it.
func (r *Runner) poll(ctx context.Context, wait time.Duration) time.Duration {
	r.mu.Lock()
	epoch, token, instance, ackedEnds, leaseUntil := r.epoch, r.token, r.instance, r.ackedEnds, r.leaseUntilMS
	if !r.isConfirmed() {
		wait, ackedEnds, leaseUntil = 0, 0, 0
	}
	r.mu.Unlock()
	if epoch == 0 {
		// Before the first call of a planner there is no lease to renew and nothing
		// to report.
		select {
		case <-r.epochKnown:
		case <-ctx.Done():
		}
		return 0
	}
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	report, err := r.api.Hold(callCtx, instance, token, ackedEnds, leaseUntil, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil { // a caller that gave up says nothing about the worker
			r.answeredAt = time.Time{}
		}
		return r.handlePollError(instance, err)
	}
	r.respondedAt = time.Now()
	if r.workerReport != nil && (report.StartedMS < r.workerReport.StartedMS || report.StartedMS == r.workerReport.StartedMS && report.ClockMS < r.workerReport.ClockMS) {
		// A newer response has already arrived, or the clock by which the worker states its
		// birth was set back over a restart.
		return pollRetryDelay
	}
	if report.Instance == "" {
		report.Instance = r.announcedInstance(report.StartedMS)
	}
	if report.StartedMS != r.startedMS || report.StartedMS == 0 && report.Instance != r.instance {
		log.WithFields(log.Fields{"event": "worker_incarnation", "worker": report.Instance, "born": report.StartedMS, "former": r.instance}).Info("a new incarnation of the worker has responded")
		r.startedMS, r.leaseUntilMS, r.ackedEnds = report.StartedMS, 0, 0
	}
	r.instance, r.answeredAt = report.Instance, time.Time{}
	if time.Since(sentAt) <= wait+callTimeout {
		r.answeredAt = time.Now()
	} // else the agent was stopped, and the worker may have restarted after it had answered
	r.settleCandidates(sentAt)
	reportChanged := r.workerReport == nil || len(report.Ended) > 0 || r.workerReportToken != token || len(report.Running) != len(r.workerReport.Running)
	r.workerReport, r.workerReportToken, r.hasLeft = report, token, false
	if reportChanged {
		r.publish()
	}
	if len(report.Ended) > 0 {
		return pollRetryDelay
	}
	return 0
}

// handlePollError records that a poll failed, and returns the delay before the
// next one. The caller holds r.mu.
func (r *Runner) handlePollError(instance string, err error) time.Duration {
	if errors.Is(err, ErrOtherIncarnation) {
		r.refuteInstance(instance)
		if r.instance == instance {
			r.instance = "" // the next poll accepts any incarnation
		}
		return pollRetryDelay
	}
	if d := r.deregistered; errors.Is(err, ErrNoListener) && d != nil && d.Instance == instance && d.StartedMS == r.startedMS && !r.hasLeft {
		log.WithFields(log.Fields{"event": "worker_left", "worker": instance}).Info("the deregistered worker no longer listens and has left")
		r.hasLeft = true
		r.publish()
	}
	return failureDelay
}

// Sync handles the planner's call for a report. It fails with code Fenced if a
// planner with a higher epoch has called, and with Stopping while planners are not served.
func (r *Runner) Sync(ctx context.Context, req *workflow.SyncRequest) (*workflow.SyncReply, error) {
	r.mu.Lock()
	if r.refusing {
		r.mu.Unlock()
		return nil, errNotServing
	}
	if req.Epoch < r.epoch {
		r.mu.Unlock()
		return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", req.Epoch, r.epoch)
	}
	if req.Epoch > r.epoch {
		log.WithFields(log.Fields{"event": "planner_epoch", "epoch": req.Epoch, "former": r.epoch}).Info("a new planner has called: older epochs are fenced")
		r.epoch = req.Epoch
		select {
		case r.epochKnown <- struct{}{}:
		default:
		}
	}
	token := workflow.FencingToken(req.Epoch, req.Generation)
	r.token = max(r.token, token)
	if req.StartedMS == r.startedMS && (req.StartedMS != 0 || req.Instance == r.instance) {
		r.leaseUntilMS, r.ackedEnds = max(r.leaseUntilMS, req.LeaseUntilMS), max(r.ackedEnds, req.AckedEnds)
	}
	reportOutdated := r.workerReportToken < token
	r.mu.Unlock()
	if reportOutdated {
		// The report must come from a poll under this token, since the worker then refuses
		// calls of earlier planners, or for former incarnations, that arrive later.
		r.poll(ctx, 0)
	}
	return r.awaitReport(ctx, req)
}

// awaitReport returns the current state as soon as its version differs from the
// one that the planner has, or when the wait of the request is over. The planner takes the
// clock in the report for the worker's clock at the arrival of the reply.
func (r *Runner) awaitReport(ctx context.Context, req *workflow.SyncRequest) (*workflow.SyncReply, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMS)*time.Millisecond, maxSyncWait))
	defer timer.Stop()
	for waited := false; ; {
		r.mu.Lock()
		reply := &workflow.SyncReply{Version: r.version, Announced: r.announced, Left: r.hasLeft, Generation: req.Generation}
		if r.workerReportToken == workflow.FencingToken(req.Epoch, req.Generation) && !r.hasLeft {
			reply.Report = r.workerReport
		} else {
			reply.SilentMS = time.Since(r.respondedAt).Milliseconds()
		}
		changed, epoch := r.changed, r.epoch
		r.mu.Unlock()
		if epoch != req.Epoch {
			return nil, result.Errorf(result.Fenced, "epoch %d is older than %d", req.Epoch, epoch)
		}
		if waited || reply.Version != req.Version {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
