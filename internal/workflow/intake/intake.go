// Package intake accepts, reports and cancels jobs for callers, independently of
// the protocol that they use.
package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/admission"
	"snipegw/internal/workflow/mirror"
)

const (
	// refusedWriteTimeout limits the retries of a write while every attempt is
	// known to have had no effect. Most periods in which the store refuses calls
	// are shorter, and the caller keeps enough time to try another entry.
	refusedWriteTimeout = 200 * time.Millisecond
	// unknownWriteTimeout limits every write, including the retries of one whose
	// outcome is unknown. It covers a store that takes a quarter of a second to
	// respond, and leaves the caller time to repeat its call: the same id reveals
	// the outcome.
	unknownWriteTimeout = 1200 * time.Millisecond
	// maxStoreSilence is the time since the last response of the store, directly
	// or through a peer, after which writes are refused immediately. A healthy
	// watch responds every second.
	maxStoreSilence = 1800 * time.Millisecond
	// responseReserve is the part of the caller's deadline that is kept for sending
	// the response, and responseReserveDivisor bounds it to a share of the time that
	// is left: the last attempt of a caller often has less than the reserve.
	responseReserve        = 150 * time.Millisecond
	responseReserveDivisor = 3
	retryDelay             = 40 * time.Millisecond
	// maxReadyAge is the time since the last response of the store after which
	// this entry is not ready for new callers.
	maxReadyAge = 2500 * time.Millisecond
)

// ConfigFormat describes how the operators' configuration is stored.
type ConfigFormat struct {
	Prefix string // key prefix to watch
	Key    string // key of the configuration document
	Decode func([]byte) (*workflow.Config, error)
	// Evacuation describes the requests to evacuate failure domains.
	Evacuation EvacuationFormat
	// Path returns the path in the document for one of workflow.Config.Validate; nil if
	// they are the same.
	Path func(string) string
}

// ConfigFormats holds the registered configuration formats.
var ConfigFormats = kernel.NewRegistry[ConfigFormat]("configuration format")

// Intake serves callers. It reads from mirrors of the store and writes to the
// store itself.
type Intake struct {
	table           store.Table
	recordMirror    *mirror.Mirror
	configMirror    *mirror.Mirror
	format          ConfigFormat
	config          atomic.Pointer[workflow.Config]
	configAdoptedMS atomic.Int64 // Unix milliseconds at which config was adopted
	jobs            sync.Map     // id -> *workflow.JobRecord
	progress        sync.Map     // id -> *workflow.Progress
	backlog         atomic.Pointer[receivedBacklog]
	admission       *admission.Settings // nil accepts every job
	draining        atomic.Bool
	onConfig        []func(*workflow.Config)
	evacuations     map[string]trackedEvacuation // by failure domain; used by listeners of configMirror only
	onEvacuations   []func([]workflow.Evacuation)
}

// New returns an Intake. The recordMirror covers the records of snipegw, the
// configMirror the prefix of the operators' configuration.
func New(table store.Table, recordMirror, configMirror *mirror.Mirror, format ConfigFormat) *Intake {
	return &Intake{table: table, recordMirror: recordMirror, configMirror: configMirror, format: format}
}

// OnConfig adds a function that is called with each new configuration. It must
// be called before Subscribe.
func (in *Intake) OnConfig(f func(*workflow.Config)) { in.onConfig = append(in.onConfig, f) }

// Subscribe registers the Intake as a listener of both mirrors.
func (in *Intake) Subscribe() {
	in.recordMirror.Listen(in.applyRecords)
	in.configMirror.Listen(in.applyConfig)
}

// Config returns the configuration in force; nil before the first one.
func (in *Intake) Config() *workflow.Config { return in.config.Load() }

// Ready reports whether the balancer should send new callers to this entry.
func (in *Intake) Ready() bool {
	return !in.draining.Load() && in.Config() != nil && in.recordMirror.Synced() &&
		in.recordMirror.Age() < maxReadyAge && in.configMirror.Age() < maxReadyAge
}

// StartDraining makes the entry permanently not ready.
func (in *Intake) StartDraining() { in.draining.Store(true) }

// Draining reports whether StartDraining was called.
func (in *Intake) Draining() bool { return in.draining.Load() }

func (in *Intake) applyConfig(events []store.Event) {
	for _, e := range events {
		if e.Key != in.format.Key {
			in.applyRequest(e)
			continue
		}
		if e.Deleted {
			continue
		}
		c, err := in.format.Decode(e.Value)
		if err != nil {
			log.WithFields(log.Fields{"event": "config_unreadable", "revision": e.Revision, "code": int(result.InvalidConfig), "error": err.Error()}).Error("configuration cannot be decoded: the one in force is kept")
			continue
		}
		if old := in.config.Load(); old != nil && c.Version <= old.Version {
			continue
		}
		c.Provision()
		in.reportFindings(c)
		in.config.Store(c)
		in.configAdoptedMS.Store(time.Now().UnixMilli())
		log.WithFields(log.Fields{"event": "config_in_force", "version": c.Version, "revision": e.Revision, "queues": len(c.Queues), "teams": len(c.Teams)}).Info("configuration adopted")
		for _, f := range in.onConfig {
			f(c)
		}
	}
}

// reportFindings logs what is wrong with a configuration that is being adopted. It is
// adopted all the same: the store holds only what it accepts, and refusing it would leave
// this entry with another configuration than the others.
func (in *Intake) reportFindings(c *workflow.Config) {
	var faults kernel.ValidationErrors
	c.Validate(&faults, nil)
	path := in.format.Path
	if path == nil {
		path = func(p string) string { return p }
	}
	for _, f := range faults[:min(len(faults), maxLoggedFindings)] {
		log.WithFields(log.Fields{"event": "config_finding", "version": c.Version, "path": path(f.Path), "reason": f.Reason, "findings": len(faults)}).Warn("configuration is adopted with a finding")
	}
}

// maxLoggedFindings limits the findings of a configuration that are logged.
const maxLoggedFindings = 5

func (in *Intake) applyRecords(events []store.Event) {
	for _, e := range events {
		id := workflow.IDOfKey(e.Key)
		switch {
		case e.Key == workflow.BacklogKey:
			in.applyBacklog(e)
		case strings.HasPrefix(e.Key, workflow.JobPrefix):
			in.applyJob(id, e)
		case strings.HasPrefix(e.Key, workflow.ProgressPrefix):
			applyRecord(&in.progress, id, e, workflow.Decode[workflow.Progress])
		}
	}
}

func applyRecord[T any](m *sync.Map, id string, e store.Event, decode func([]byte) (*T, error)) {
	if e.Deleted {
		m.Delete(id)
		return
	}
	v, err := decode(e.Value)
	if err != nil {
		workflow.ReportUnreadable(e.Key, err)
		return
	}
	m.Store(id, v)
}

// Submit accepts a job. It succeeds without a change if a job was accepted under
// the same id before. An error whose code guarantees that the job does not run
// (result.Code.NotRun) is returned only if no write can take effect any more.
func (in *Intake) Submit(ctx context.Context, q *workflow.Queue, team, id string, job *workflow.Job) error {
	if _, known := in.jobs.Load(id); known {
		return nil
	}
	closing := in.closingRevision(id)
	if q.Advised {
		return result.Errorf(result.Unsupported, "queue %s needs placement advice, which is not supported", q.Name)
	}
	if err := job.Validate(); err != nil {
		return err
	}
	if known, err := in.admit(ctx, q, team, id, job); known || err != nil {
		return err
	}
	rec := &workflow.JobRecord{
		Job: *job, Queue: q.Name, Team: team, AcceptedMS: time.Now().UnixMilli(), Service: q.Service, Priority: q.Priority,
		MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMS: q.TargetMS, Nonce: rand.Uint64(),
	}
	key := workflow.JobPrefix + id
	fields := log.Fields{"queue": q.Name, "team": team, "steps": describeSteps(job)}
	return in.writeRecord(ctx, &recordWrite{
		operation: "accept", id: id, fields: fields, key: key, value: workflow.Encode(rec), revision: closing, onConflict: acceptOverRecord,
	})
}

// State returns the state of a job. It fails with code JobGone if the job does
// not exist or belongs to another team, and with StoreUnavailable if the job is
// not in the mirror and the store does not respond.
func (in *Intake) State(ctx context.Context, team, id string) (workflow.State, error) {
	rec, err := in.findJob(ctx, id)
	if err != nil {
		return "", err
	}
	if team != "" && rec.Team != "" && rec.Team != team {
		return "", result.Errorf(result.JobGone, "this team has no job %s", id)
	}
	if p, ok := in.progress.Load(id); ok && p.(*workflow.Progress).State.Terminal() {
		return p.(*workflow.Progress).State, nil
	}
	if _, ok := in.recordMirror.Get(workflow.CancelPrefix + id); ok {
		return workflow.StateCanceled, nil
	}
	if p, ok := in.progress.Load(id); ok {
		return p.(*workflow.Progress).State, nil
	}
	return workflow.StatePending, nil
}

// findJob returns the record of a job, from the store if the mirror lacks it. It
// fails with code JobGone if the job does not exist.
func (in *Intake) findJob(ctx context.Context, id string) (*workflow.JobRecord, error) {
	if v, ok := in.jobs.Load(id); ok {
		return v.(*workflow.JobRecord), nil
	}
	for _, prefix := range []string{workflow.ProgressPrefix, workflow.CancelPrefix, workflow.JobPrefix} {
		r, found, err := in.table.Lookup(ctx, prefix+id)
		if err != nil {
			return nil, err
		}
		if found {
			in.recordMirror.Apply([]store.Event{{Record: r}})
		}
	}
	if v, ok := in.jobs.Load(id); ok {
		return v.(*workflow.JobRecord), nil
	}
	return nil, result.Errorf(result.JobGone, "job %s does not exist", id)
}

// Cancel records the cancellation of a job. It succeeds without a change if the
// state of the job is final. An id without a job is closed before Cancel fails with
// code JobGone, so that an acceptance that is still under way cannot take effect.
func (in *Intake) Cancel(ctx context.Context, team, id string) error {
	_, err := in.findJob(ctx, id)
	if result.CodeOf(err) == result.JobGone {
		closeErr := in.closeID(ctx, id)
		switch {
		case closeErr == nil:
			return err
		case result.CodeOf(closeErr) != result.JobConflict:
			return closeErr
		}
	} else if err != nil {
		return err
	}
	state, err := in.State(ctx, team, id)
	if err != nil || state.Terminal() {
		return err
	}
	return in.writeRecord(ctx, &recordWrite{
		operation: "cancel", id: id, key: workflow.CancelPrefix + id, value: []byte{1},
		onConflict: func(store.Record) (uint64, bool, error) { return 0, false, nil },
	})
}

// Queued returns the number of open jobs of a queue of which no worker has begun an item
// and that have not been cancelled.
func (in *Intake) Queued(queue string) int {
	n := 0
	in.jobs.Range(func(k, v any) bool {
		if v.(*workflow.JobRecord).Queue != queue {
			return true
		}
		if p, ok := in.progress.Load(k); ok && !p.(*workflow.Progress).IsQueued() {
			return true
		}
		if _, cancelled := in.recordMirror.Get(workflow.CancelPrefix + k.(string)); !cancelled {
			n++
		}
		return true
	})
	return n
}

// maxLoggedSteps limits the steps that a log line describes.
const maxLoggedSteps = 8

// describeSteps returns a description of the steps of a job for logs.
func describeSteps(job *workflow.Job) string {
	var parts []string
	for i := range job.Steps[:min(len(job.Steps), maxLoggedSteps)] {
		parts = append(parts, job.Steps[i].String())
	}
	text := strings.Join(parts, "; ")
	if more := len(job.Steps) - maxLoggedSteps; more > 0 {
		text += fmt.Sprintf("; %d more", more)
	}
	if job.Occurrences > 0 {
		text += fmt.Sprintf("; %d times each %d ms", job.Occurrences, job.IntervalMS)
	}
	return text
}

// ConfigVersion returns the version of the configuration in force and the time
// since it was adopted; both are 0 before the first configuration.
func (in *Intake) ConfigVersion() (version int64, age time.Duration) {
	c := in.Config()
	if c == nil {
		return 0, 0
	}
	return c.Version, time.Since(time.UnixMilli(in.configAdoptedMS.Load()))
}
