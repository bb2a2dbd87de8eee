package intake

import (
	"context"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/result"
	"snipegw/internal/store"
)

// recordWrite is the write of one record for a caller.
type recordWrite struct {
	operation, id string
	fields        log.Fields // of the log line
	key           string
	value         []byte
	// revision is that of the record to replace; 0 requires that there is none.
	revision uint64
	// onConflict decides what follows if the key holds another record, which has revision
	// 0 if there is none: another attempt, on the condition that the key is at next, or
	// the outcome of the write.
	onConflict func(current store.Record) (next uint64, retry bool, err error)
}

// writeRecord writes a record under its condition. Attempts that failed or whose outcome
// is unknown are repeated within the caller's deadline, up to refusedWriteTimeout or
// unknownWriteTimeout. It fails with code StoreUnavailable if no attempt can have taken
// effect, with DeadlineRan if one may have, and with the error of onConflict.
func (in *Intake) writeRecord(ctx context.Context, w *recordWrite) error {
	begin := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-min(responseReserve, time.Until(deadline)/responseReserveDivisor)))
		defer cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, unknownWriteTimeout)
	defer cancel()
	if age := min(in.recordMirror.Age(), in.configMirror.Age()); age > maxStoreSilence {
		err := result.Errorf(result.StoreUnavailable, "the platform's store has not responded for %d ms", age.Milliseconds())
		in.logWrite(w, result.StoreUnavailable, 0, begin, err)
		return err
	}
	t := store.Txn{Conditions: []store.Condition{{Key: w.key, Revision: w.revision}}, Puts: []store.Put{{Key: w.key, Value: w.value}}}
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		out, err := in.table.Commit(ctx, t)
		timeout := unknownWriteTimeout
		if err == nil {
			in.applyOutcome(t, out)
			retry := false
			if !out.Committed {
				t.Conditions[0].Revision, retry, err = w.onConflict(out.Current[w.key])
			}
			if !retry {
				in.logWrite(w, result.CodeOf(err), attempt, begin, err)
				return err
			}
			// The condition of the earlier attempts cannot hold any more.
			outcomeUnknown = false
			err = result.Errorf(result.StoreUnavailable, "the record was replaced")
		} else {
			outcomeUnknown = outcomeUnknown || result.CodeOf(err) != result.StoreUnavailable
			if !outcomeUnknown {
				timeout = refusedWriteTimeout
			}
		}
		if ctx.Err() == nil && time.Since(begin) < timeout {
			select {
			case <-time.After(retryDelay):
				continue
			case <-ctx.Done():
			}
		}
		code := result.StoreUnavailable
		if outcomeUnknown {
			code = result.DeadlineRan
		}
		in.logWrite(w, code, attempt, begin, err)
		return result.Errorf(code, "the platform's store did not confirm the write: %w", err)
	}
}

// applyOutcome applies the records that a transaction wrote or found to the
// mirror, so that the caller's next call sees them.
func (in *Intake) applyOutcome(t store.Txn, out store.Outcome) {
	if !out.Committed {
		for _, r := range out.Current {
			in.recordMirror.Apply([]store.Event{{Record: r}})
		}
		return
	}
	for _, p := range t.Puts {
		in.recordMirror.Apply([]store.Event{{Record: store.Record{Key: p.Key, Value: p.Value, Revision: out.Revision}}})
	}
}

func (in *Intake) logWrite(w *recordWrite, code result.Code, attempts int, begin time.Time, err error) {
	kernel.Metrics.Count("snipegw_caller_operations_total", "operation", w.operation, "code", code.String())
	kernel.Metrics.Observe(time.Since(begin), "snipegw_caller_operation_seconds", "operation", w.operation)
	version, age := in.ConfigVersion()
	e := log.WithFields(w.fields).WithFields(log.Fields{
		"event": "job_" + w.operation, "job": w.id, "code": int(code), "attempts": attempts,
		"took_ms": time.Since(begin).Milliseconds(), "config_version": version, "config_age_ms": age.Milliseconds(), "mirror_age_ms": in.recordMirror.Age().Milliseconds(),
	})
	if err != nil {
		e.WithField("error", err.Error()).Warn("not recorded")
		return
	}
	e.Info("recorded")
}
