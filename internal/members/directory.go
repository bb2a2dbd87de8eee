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
	// directoryRenewInterval is the time between renewals of an entry's own record.
	directoryRenewInterval = 10 * time.Second
	// staleRecordAge is the time after which a record that has not changed is
	// removed by others.
	staleRecordAge = 30 * time.Second
	// maxDirectoryAttempts bounds the tries of one compare-and-swap loop.
	maxDirectoryAttempts = 5
	// directoryRetryBackoff is the pause after a failed renewal.
	directoryRetryBackoff = 2 * time.Second
)

// directory is the value of the directory key.
type directory struct {
	Entries []wire.EntryInfo `json:"entries"`
}

// recordObservation is when this entry first saw a record in its present form, by
// its own clock, since the clocks of hosts are not compared.
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
				log.WithFields(log.Fields{"event": "directory_failed", "code": int(result.CodeOf(err)), "error": err.Error()}).Warn("directory of entries not renewed")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// renewDirectory writes the record of this entry and removes stale ones.
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

func isStaleRecord(seen map[string]recordObservation, e wire.EntryInfo, now time.Time) bool {
	o := seen[e.ID]
	if o.updatedMS != e.UpdatedMS || o.incarnation != e.Incarnation || o.firstSeen.IsZero() {
		seen[e.ID] = recordObservation{updatedMS: e.UpdatedMS, incarnation: e.Incarnation, firstSeen: now}
		return false
	}
	return now.Sub(o.firstSeen) > staleRecordAge
}

// leaveDirectory removes the record of this entry.
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

func (s *Service) changeDirectory(ctx context.Context, change func(*directory)) error {
	key := DirectoryKey(s.Self.Region)
	for range maxDirectoryAttempts {
		entry, err := s.Store.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read directory: %w", err)
		}
		var d directory
		if entry.Revision != 0 {
			if err := json.Unmarshal(entry.Value, &d); err != nil {
				log.WithFields(log.Fields{"event": "directory_invalid", "error": err.Error()}).Error("directory of entries replaced")
				d = directory{}
			}
		}
		change(&d)
		value, err := json.Marshal(d)
		if err != nil {
			return fmt.Errorf("encode directory: %w", err)
		}
		directoryWrites.Add(1)
		ok, err := s.Store.CompareAndSwap(ctx, key, entry.Revision, value)
		if err != nil {
			return fmt.Errorf("write directory: %w", err)
		}
		if ok {
			return nil
		}
	}
	return result.Errorf(result.StoreUnavailable, "directory of entries: %d conflicting writes in a row", maxDirectoryAttempts)
}
