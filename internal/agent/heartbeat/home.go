package heartbeat

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snipegw/internal/wire"
)

// maxEntries bounds the entry list that an agent takes over.
const maxEntries = 256

// rankEntries orders the addresses of entries by preference for a worker: rendezvous
// hashing within the failure domain, then the other entries, then the seeds.
// Adding or removing one entry moves only the agents of that entry.
func rankEntries(worker, domain string, entries []wire.EntryInfo, seeds []string) []string {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b wire.EntryInfo) int {
		if near := a.FailureDomain == domain; near != (b.FailureDomain == domain) {
			if near {
				return -1
			}
			return 1
		}
		wa, wb := rendezvousWeight(worker, a.ID), rendezvousWeight(worker, b.ID)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	out := make([]string, 0, len(sorted)+len(seeds))
	for _, e := range sorted {
		if e.Address != "" && !slices.Contains(out, e.Address) {
			out = append(out, e.Address)
		}
	}
	for _, seed := range rankSeeds(worker, seeds) {
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

// rankSeeds spreads agents that know no entry yet over the seeds.
func rankSeeds(worker string, seeds []string) []string {
	sorted := slices.Clone(seeds)
	slices.SortFunc(sorted, func(a, b string) int {
		wa, wb := rendezvousWeight(worker, a), rendezvousWeight(worker, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return sorted
}

func rendezvousWeight(worker, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
