package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"snipegw/internal/config"
	"snipegw/internal/model"
	"snipegw/internal/wire"
)

const (
	documentTeams      = 24 // in the largest document
	documentGuarantees = 3  // per team
	documentTokens     = 2  // per team
	documentPatches    = 256
	changesPerDay      = 1400 // new versions of the configuration
	secondsPerDay      = 24 * 3600
)

// documentSection prints the size of the configuration document for several
// numbers of teams, and the bytes per second that an entry sends to each agent. Agents
// get the document without its patch records. The baseline is the same traffic with
// the patch records.
func documentSection(_ *options, r *report) error {
	r.title("Configuration document with %d patch records; each agent fetches each of %d versions a day", documentPatches, changesPerDay)
	r.row("teams", "document bytes", "reply to an entry", "reply to an agent", "bytes/s per home agent", "baseline: with patch records, bytes/s")
	for _, teams := range []int{4, 8, 16, documentTeams} {
		doc := newDocument(teams)
		encoded, err := json.Marshal(doc)
		if err != nil {
			return err
		}
		entryReply, err := wire.Marshal(&wire.ConfigReply{Version: doc.Version, Document: encoded})
		if err != nil {
			return err
		}
		withoutPatches, err := config.WithoutHistory(encoded)
		if err != nil {
			return err
		}
		agentReply, err := wire.Marshal(&wire.ConfigReply{Version: doc.Version, Document: withoutPatches})
		if err != nil {
			return err
		}
		perSecond := func(n int) string { return fmt.Sprintf("%.0f", float64(n)*changesPerDay/secondsPerDay) }
		r.row(teams, len(encoded), len(entryReply), len(agentReply), perSecond(len(agentReply)), perSecond(len(entryReply)))
	}
	return nil
}

// newDocument returns a configuration document. Its ids and hashes are random, so
// that they do not compress.
func newDocument(teams int) model.Config {
	random := rand.New(rand.NewPCG(1, 2))
	c := model.Config{Version: 100_000}
	for i := range teams {
		t := model.Team{ID: fmt.Sprint("team-", i), Weight: 10}
		for range documentGuarantees {
			t.Guarantees = append(t.Guarantees, model.Guarantee{Count: 2, Shape: model.Shape{Tasks: 4, AcceleratorsPerTask: 8, CoresPerTask: 16, MemoryGBPerTask: 64, Adjacent: model.AdjacentRack}})
		}
		for range documentTokens {
			t.TokenHashes = append(t.TokenHashes, fmt.Sprintf("%016x%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64()))
		}
		c.Teams = append(c.Teams, t)
	}
	for range documentPatches {
		c.Patches = append(c.Patches, model.PatchRecord{ID: fmt.Sprintf("patch-%016x", random.Uint64()), Version: 99_000, Time: time.Unix(1_900_000_000+random.Int64N(secondsPerDay), 0).UTC(), Author: "operator"})
	}
	return c
}
