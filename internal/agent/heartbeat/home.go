package heartbeat

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snipegw/internal/wire"
)

// maxEntries bounds the entry list that an agent adopts; a longer one is ignored.
const maxEntries = 256

// rankEntries returns the addresses of entries in order of preference for a worker:
// the entries of its failure domain, then the other entries, then the seeds, each
// ordered by rendezvous hashing. Adding or removing an entry moves only the agents
// that prefer this entry.
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

// rankSeeds orders the seeds by rendezvous hashing, so that agents without an entry
// list are spread over them.
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

// rendezvousWeight returns the weight of an entry for a worker; the highest wins.
func rendezvousWeight(worker, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(entry)
	return d.Sum64()
}
