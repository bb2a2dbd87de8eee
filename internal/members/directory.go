package members

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

const (
	// directoryRenewInterval is the maximum interval between two renewals of the record
	// of an entry. A random part of up to a fifth is subtracted.
	directoryRenewInterval = 10 * time.Second
	// staleRecordAge is the time without a change after which other entries remove a
	// record.
	staleRecordAge = 30 * time.Second
	// maxDirectoryAttempts bounds the attempts of one compare-and-swap loop.
	maxDirectoryAttempts = 5
	// directoryRetryBackoff is the minimum backoff after a failed renewal. The backoff is
	// random between one and two times this value.
	directoryRetryBackoff = 2 * time.Second
)

// directory is the value of the directory key in the store: the records of all entries
// of a region.
type directory struct {
	Entries []wire.EntryInfo `json:"entries"`
}

// recordObservation is the time at which this entry first saw the current version of a
// record. It is measured by the clock of this entry, since the clocks of two hosts may
// differ.
type recordObservation struct {
	updatedMS   int64
	incarnation string
	firstSeen   time.Time
}

// DirectoryKey returns the key of the directory of a region.
func DirectoryKey(region string) string { return "snipegw/entries/" + region }

func (s *Service) directoryLoop(ctx context.Context) {
	seen := make(map[string]recordObservation)
	for {
		wait := directoryRenewInterval - time.Duration(rand.Int64N(int64(directoryRenewInterval/5)))
		if err := s.renewDirectory(ctx, seen); err != nil {
			wait = directoryRetryBackoff + time.Duration(rand.Int64N(int64(directoryRetryBackoff)))
			if ctx.Err() == nil {
				log.WithFields(log.Fields{"event": "directory_failed", "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("the record of this entry in the directory of entries was not renewed; it is retried")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// renewDirectory writes the record of this entry and removes the stale records of
// others.
func (s *Service) renewDirectory(ctx context.Context, seen map[string]recordObservation) error {
	return s.changeDirectory(ctx, func(d *directory) {
		s.table.AddListedEntries(s.Clock(), d.Entries)
		kept := d.Entries[:0]
		for _, e := range d.Entries {
			if e.ID != s.Self.ID && !isStaleRecord(seen, e, s.Clock()) {
				kept = append(kept, e)
			}
		}
		self := s.Self
		self.UpdatedMS = s.Clock().UnixMilli()
		d.Entries = append(kept, self)
	})
}

// isStaleRecord reports whether the record e has not changed for staleRecordAge. It
// stores in seen when it first saw the current version of e.
func isStaleRecord(seen map[string]recordObservation, e wire.EntryInfo, now time.Time) bool {
	o := seen[e.ID]
	if o.updatedMS != e.UpdatedMS || o.incarnation != e.Incarnation || o.firstSeen.IsZero() {
		seen[e.ID] = recordObservation{updatedMS: e.UpdatedMS, incarnation: e.Incarnation, firstSeen: now}
		return false
	}
	return now.Sub(o.firstSeen) > staleRecordAge
}

// leaveDirectory removes the record of this entry, unless a newer incarnation of the
// entry has replaced it.
func (s *Service) leaveDirectory(ctx context.Context) error {
	return s.changeDirectory(ctx, func(d *directory) {
		kept := d.Entries[:0]
		for _, e := range d.Entries {
			if e.ID != s.Self.ID || e.Incarnation > s.Self.Incarnation {
				kept = append(kept, e)
			}
		}
		d.Entries = kept
	})
}

// changeDirectory applies change to the directory in the store by compare-and-swap. It
// replaces a directory that cannot be decoded by an empty one.
func (s *Service) changeDirectory(ctx context.Context, change func(*directory)) error {
	key := DirectoryKey(s.Self.Region)
	for range maxDirectoryAttempts {
		entry, err := s.Store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read the directory of entries: %w", err)
		}
		var d directory
		if entry.Revision != 0 {
			if err := json.Unmarshal(entry.Value, &d); err != nil {
				log.WithFields(log.Fields{"event": "directory_invalid", "error": err.Error()}).Error("the directory of entries cannot be decoded and is replaced by an empty one")
				d = directory{}
			}
		}
		change(&d)
		value, err := json.Marshal(d)
		if err != nil {
			return fmt.Errorf("encode the directory of entries: %w", err)
		}
		directoryWrites.Add(1)
		ok, err := s.Store.CompareAndSwap(ctx, key, entry.Revision, value)
		if err != nil {
			return fmt.Errorf("write the directory of entries: %w", err)
		}
		if ok {
			return nil
		}
	}
	return result.Errorf(result.StoreUnavailable, "the directory of entries was not written: %d conflicting writes in a row", maxDirectoryAttempts)
}
