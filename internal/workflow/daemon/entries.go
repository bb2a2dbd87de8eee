package daemon

import (
	"context"
	"net"
	"sync/atomic"

	"snipegw/internal/store"
	"snipegw/internal/workflow"
	"snipegw/internal/workflow/mirror"
	"snipegw/internal/workflow/relay"
)

// knownEntries passes the addresses of all entries to the relay: those recorded
// in the store, and the seeds of the settings, which may be outdated. It is a
// kernel.Component and a kernel.Reloader.
type knownEntries struct {
	process      Process
	table        *relay.Table
	recordMirror *mirror.Mirror
	seeds        atomic.Pointer[[]string]
}

// Name implements kernel.Component.
func (k *knownEntries) Name() string { return "known entries" }

// Start implements kernel.Component.
func (k *knownEntries) Start(context.Context) error { return nil }

// Stop implements kernel.Component.
func (k *knownEntries) Stop(context.Context) error { return nil }

// Reload implements kernel.Reloader. It takes the seeds from the settings.
func (k *knownEntries) Reload() error {
	if k.process.Reload == nil {
		return nil
	}
	s, err := k.process.Reload()
	if err != nil {
		return err
	}
	k.setSeeds(s)
	return nil
}

func (k *knownEntries) setSeeds(s EntrySettings) {
	seeds := s.seedAddresses(k.process.Address)
	k.seeds.Store(&seeds)
	k.updatePeers()
}

// updatePeers passes the current addresses to the relay.
func (k *knownEntries) updatePeers() {
	var addresses []string
	k.recordMirror.Each(workflow.EntryPrefix, func(r store.Record) {
		e, err := workflow.DecodeProcess(workflow.IDOfKey(r.Key), r.Value)
		if err != nil {
			workflow.ReportUnreadable(r.Key, err)
			return
		}
		addresses = append(addresses, e.Address)
	})
	k.table.SetPeers(append(addresses, *k.seeds.Load()...))
}

// seedAddresses returns the hosts of the seeds with the port of own, the entry's
// own address.
func (s *EntrySettings) seedAddresses(own string) []string {
	var out []string
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil // unreachable: the address was validated
	}
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}
