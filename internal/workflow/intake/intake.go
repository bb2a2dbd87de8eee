// Package intake accepts, reports and cancels workflows on behalf of callers,
// independently of the protocol that they speak.
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
	"snipegw/internal/workflow/mirror"
)

const (
	// refuseAfter is the time for which an acceptance is attempted while the
	// store says that nothing was done. Most refusals are over by then, and a
	// caller can ask another entry in time.
	refuseAfter = 200 * time.Millisecond
	// openFor is the time for which a write whose outcome is open is repeated. It
	// covers a store that answers in a quarter of a second, and leaves the caller
	// time to ask again: the same id finds out what became of the write.
	openFor = 1200 * time.Millisecond
	// unreachableAfter is the age of the store's latest answer, by any way, from
	// which writes are refused at once. A healthy watch answers each second.
	unreachableAfter = 1800 * time.Millisecond
	// answerReserve is kept of the caller's time limit to deliver the answer.
	answerReserve = 150 * time.Millisecond
	attemptPause  = 40 * time.Millisecond
	// freshFor is the age of the latest answer of the store up to which this
	// entry takes new callers.
	freshFor = 2500 * time.Millisecond
)

// ConfigFormat is the form of the operators' configuration in the store.
type ConfigFormat struct {
	Prefix string // watched
	Key    string // of the document
	Decode func([]byte) (*workflow.Config, error)
}

// ConfigFormats holds the registered forms.
var ConfigFormats = kernel.NewRegistry[ConfigFormat]("configuration format")

// Intake serves callers from mirrors of the store.
type Intake struct {
	table    store.Table
	records  *mirror.Mirror
	conf     *mirror.Mirror
	format   ConfigFormat
	config   atomic.Pointer[workflow.Config]
	configAt atomic.Int64 // Unix milliseconds at which config was adopted
	jobs     sync.Map     // id -> *workflow.JobRecord
	progress sync.Map     // id -> *workflow.Progress
	stopping atomic.Bool
	onConfig []func(*workflow.Config)
}

// New returns an Intake. Conf mirrors the operators' prefix, records the
// project's own.
func New(table store.Table, records, conf *mirror.Mirror, format ConfigFormat) *Intake {
	return &Intake{table: table, records: records, conf: conf, format: format}
}

// OnConfig adds a function that is called with each new configuration. It must
// be called before Begin.
func (in *Intake) OnConfig(f func(*workflow.Config)) { in.onConfig = append(in.onConfig, f) }

// Begin starts to follow the mirrors.
func (in *Intake) Begin() {
	in.records.Listen(in.takeRecords)
	in.conf.Listen(in.takeConfig)
}

// Config returns the configuration in force, nil before the first.
func (in *Intake) Config() *workflow.Config { return in.config.Load() }

// Ready reports whether this entry should get new callers.
func (in *Intake) Ready() bool {
	return !in.stopping.Load() && in.Config() != nil && in.records.Synced() &&
		in.records.Age() < freshFor && in.conf.Age() < freshFor
}

// Retire makes the entry not ready for the rest of its life.
func (in *Intake) Retire() { in.stopping.Store(true) }

// Retiring reports whether Retire was called.
func (in *Intake) Retiring() bool { return in.stopping.Load() }

func (in *Intake) takeConfig(events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if e.Key != in.format.Key {
			kernel.Metrics.Count("snipegw_operator_requests_total", "code", result.Unsupported.String())
			log.WithFields(log.Fields{"event": "operator_request_unsupported", "key": e.Key, "revision": e.Revision, "code": int(result.Unsupported)}).Error("not carried out, and no state is written")
			continue
		}
		c, err := in.format.Decode(e.Value)
		if err != nil {
			log.WithFields(log.Fields{"event": "config_unreadable", "revision": e.Revision, "code": int(result.InvalidConfig), "error": err.Error()}).Error("configuration ignored")
			continue
		}
		if old := in.config.Load(); old != nil && c.Version <= old.Version {
			continue
		}
		c.Provision()
		in.config.Store(c)
		in.configAt.Store(time.Now().UnixMilli())
		log.WithFields(log.Fields{"event": "config_in_force", "version": c.Version, "revision": e.Revision, "queues": len(c.Queues), "teams": len(c.Teams)}).Info("configuration adopted")
		for _, f := range in.onConfig {
			f(c)
		}
	}
}

func (in *Intake) takeRecords(events []store.Event) {
	for _, e := range events {
		id := workflow.IDOf(e.Key)
		switch {
		case strings.HasPrefix(e.Key, workflow.JobPrefix):
			takeRecord[workflow.JobRecord](&in.jobs, id, e)
		case strings.HasPrefix(e.Key, workflow.RunPrefix):
			takeRecord[workflow.Progress](&in.progress, id, e)
		}
	}
}

func takeRecord[T any](m *sync.Map, id string, e store.Event) {
	if e.Deleted {
		m.Delete(id)
		return
	}
	v, err := workflow.Decode[T](e.Value)
	if err != nil {
		log.WithFields(log.Fields{"event": "record_unreadable", "key": e.Key, "revision": e.Revision, "error": err.Error()}).Error("record ignored")
		return
	}
	m.Store(id, v)
}

// Submit accepts a job, or finds that it was accepted before. An error with a
// code that promises "not run" is only returned if no write may take effect.
func (in *Intake) Submit(ctx context.Context, q *workflow.Queue, team, id string, job *workflow.Job) error {
	if _, known := in.jobs.Load(id); known {
		return nil
	}
	if q.Advised {
		return result.Errorf(result.Unsupported, "queue %s needs placement advice, which is not supported", q.Name)
	}
	if err := job.Validate(); err != nil {
		return err
	}
	rec := &workflow.JobRecord{
		Job: *job, Queue: q.Name, Team: team, AcceptedMS: time.Now().UnixMilli(), Service: q.Service, Priority: q.Priority,
		MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor, TargetMS: q.TargetMS, Nonce: rand.Uint64(),
	}
	key := workflow.JobPrefix + id
	detail := log.Fields{"queue": q.Name, "team": team, "steps": describe(job)}
	return in.write(ctx, "accept", id, detail, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: workflow.Encode(rec)}},
	})
}

// State returns the state of a job that team may see.
func (in *Intake) State(ctx context.Context, team, id string) (workflow.State, error) {
	rec, err := in.find(ctx, id)
	if err != nil {
		return "", err
	}
	if team != "" && rec.Team != "" && rec.Team != team {
		return "", result.Errorf(result.JobGone, "no job %s of this team", id)
	}
	if p, ok := in.progress.Load(id); ok && p.(*workflow.Progress).State.Terminal() {
		return p.(*workflow.Progress).State, nil
	}
	if _, ok := in.records.Get(workflow.CancelPrefix + id); ok {
		return workflow.StateCanceled, nil
	}
	if p, ok := in.progress.Load(id); ok {
		return p.(*workflow.Progress).State, nil
	}
	return workflow.StatePending, nil
}

// find returns a job's record. One that the mirror lacks is read from the store.
func (in *Intake) find(ctx context.Context, id string) (*workflow.JobRecord, error) {
	if v, ok := in.jobs.Load(id); ok {
		return v.(*workflow.JobRecord), nil
	}
	for _, prefix := range []string{workflow.RunPrefix, workflow.CancelPrefix, workflow.JobPrefix} {
		r, found, err := in.table.Lookup(ctx, prefix+id)
		if err != nil {
			return nil, err
		}
		if found {
			in.records.Apply([]store.Event{{Record: r}})
		}
	}
	if v, ok := in.jobs.Load(id); ok {
		return v.(*workflow.JobRecord), nil
	}
	return nil, result.Errorf(result.JobGone, "no job %s", id)
}

// Cancel records the cancellation of a job.
func (in *Intake) Cancel(ctx context.Context, team, id string) error {
	state, err := in.State(ctx, team, id)
	if err != nil || state.Terminal() {
		return err
	}
	key := workflow.CancelPrefix + id
	return in.write(ctx, "cancel", id, nil, store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{{Key: key, Value: []byte{1}}},
	})
}

// Queued returns the number of accepted jobs of a queue that have not begun.
func (in *Intake) Queued(queue string) int {
	n := 0
	in.jobs.Range(func(k, v any) bool {
		if v.(*workflow.JobRecord).Queue != queue {
			return true
		}
		if p, ok := in.progress.Load(k); ok && p.(*workflow.Progress).State != workflow.StatePending {
			return true
		}
		if _, cancelled := in.records.Get(workflow.CancelPrefix + k.(string)); !cancelled {
			n++
		}
		return true
	})
	return n
}

// write commits t, which creates one key; a key that exists is a success. It
// repeats attempts that failed or whose outcome is open for a while, within the
// caller's time. Detail goes into the log line.
func (in *Intake) write(ctx context.Context, operation, id string, detail log.Fields, t store.Txn) error {
	begin := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerReserve))
		defer cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, openFor)
	defer cancel()
	if age := min(in.records.Age(), in.conf.Age()); age > unreachableAfter {
		err := result.Errorf(result.StoreUnavailable, "the platform's store has not answered for %d ms", age.Milliseconds())
		in.logWrite(operation, id, detail, result.StoreUnavailable, 0, begin, err)
		return err
	}
	open := false
	for attempt := 1; ; attempt++ {
		out, err := in.table.Commit(ctx, t)
		if err == nil {
			in.applied(t, out)
			in.logWrite(operation, id, detail, result.OK, attempt, begin, nil)
			return nil
		}
		open = open || result.CodeOf(err) != result.StoreUnavailable
		limit := refuseAfter
		if open {
			limit = openFor
		}
		if ctx.Err() == nil && time.Since(begin) < limit {
			select {
			case <-time.After(attemptPause):
				continue
			case <-ctx.Done():
			}
		}
		code := result.StoreUnavailable
		if open {
			code = result.DeadlineRan
		}
		in.logWrite(operation, id, detail, code, attempt, begin, err)
		return result.Errorf(code, "the platform's store does not answer: %w", err)
	}
}

// applied takes what a transaction wrote or found into the mirror, so that the
// caller's next question is answered from it.
func (in *Intake) applied(t store.Txn, out store.Outcome) {
	if !out.Committed {
		for _, r := range out.Current {
			in.records.Apply([]store.Event{{Record: r}})
		}
		return
	}
	for _, p := range t.Puts {
		in.records.Apply([]store.Event{{Record: store.Record{Key: p.Key, Value: p.Value, Revision: out.Revision}}})
	}
}

func (in *Intake) logWrite(operation, id string, detail log.Fields, code result.Code, attempts int, begin time.Time, err error) {
	kernel.Metrics.Count("snipegw_caller_operations_total", "operation", operation, "code", code.String())
	kernel.Metrics.Observe(time.Since(begin), "snipegw_caller_operation_seconds", "operation", operation)
	version, age := in.ConfigVersion()
	e := log.WithFields(detail).WithFields(log.Fields{
		"event": "job_" + operation, "job": id, "code": int(code), "attempts": attempts,
		"took_ms": time.Since(begin).Milliseconds(), "config_version": version, "config_age_ms": age.Milliseconds(), "mirror_age_ms": in.records.Age().Milliseconds(),
	})
	if err != nil {
		e.WithField("error", err.Error()).Warn("not recorded")
		return
	}
	e.Info("recorded")
}

// maxDescribed bounds the steps that a log line describes.
const maxDescribed = 8

// describe returns the steps of a job for the log.
func describe(job *workflow.Job) string {
	var parts []string
	for i := range job.Steps[:min(len(job.Steps), maxDescribed)] {
		parts = append(parts, job.Steps[i].String())
	}
	text := strings.Join(parts, "; ")
	if more := len(job.Steps) - maxDescribed; more > 0 {
		text += fmt.Sprintf("; %d more", more)
	}
	if job.Occurrences > 0 {
		text += fmt.Sprintf("; %d times each %d ms", job.Occurrences, job.IntervalMS)
	}
	return text
}

// ConfigVersion returns the version of the configuration in force and the time for
// which it has been; both are 0 before the first one.
func (in *Intake) ConfigVersion() (version int64, age time.Duration) {
	c := in.Config()
	if c == nil {
		return 0, 0
	}
	return c.Version, time.Since(time.UnixMilli(in.configAt.Load()))
}
