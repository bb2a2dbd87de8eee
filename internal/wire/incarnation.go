package wire

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NewIncarnation returns the incarnation of a process that starts at now.
// Incarnations compare as strings in order of start time; a random suffix
// distinguishes processes that start in the same microsecond.
func NewIncarnation(now time.Time) string {
	return fmt.Sprintf("%014x%04x", now.UnixMicro(), rand.Uint32()&0xffff)
}

// HashEntries returns a hash of the ids, addresses and failure domains of
// entries, independent of their order. It is never 0, which stands for no list in
// Heartbeat.EntriesHash.
func HashEntries(entries []EntryInfo) uint64 {
	keys := make([]string, len(entries))
	for i, e := range entries {
		keys[i] = e.ID + "\x00" + e.Address + "\x00" + e.FailureDomain
	}
	sort.Strings(keys)
	d := xxhash.New()
	for _, k := range keys {
		_, _ = d.WriteString(k)
		_, _ = d.WriteString("\x01")
	}
	return d.Sum64() | 1
}
