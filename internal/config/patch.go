package config

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/store"
)

// Bounds of a patch.
const (
	// MaxPatchBytes bounds the patch itself.
	MaxPatchBytes = 256 << 10
	// MaxPatchDepth bounds the nesting of a patch and of the patched document.
	MaxPatchDepth = 16
	// MaxPatchOperations bounds the operations of an RFC 6902 patch.
	MaxPatchOperations = 1000
	// MaxPatchID bounds the length of a patch id and of an author in bytes.
	MaxPatchID = 128
	// KeptPatches is the number of patch ids that the document remembers.
	KeptPatches = 256
	// readTries bounds the reads before a patch is refused because the store does
	// not answer. A single lost answer is no outage.
	readTries = 3
	// patchTimeout bounds the resolution of a lost answer of the store.
	patchTimeout = 5 * time.Second
)

// Patch implements Source.
func (m *Manager) Patch(ctx context.Context, p PatchRequest) (PatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	version, problems, err := m.patch(ctx, p)
	res := PatchResult{Code: result.Accepted, Version: version, Problems: problems}
	switch {
	case err != nil:
		res.Code = result.CodeOf(err)
		res.Message = result.MessageOf(err)
		if version == 0 {
			res.Version = m.Version()
		}
	case p.DryRun && m.recorded(p.ID):
		res.Message = fmt.Sprintf("patch %s was accepted before as version %d", p.ID, version)
	case p.DryRun:
		res.Code = result.OK
		res.Message = fmt.Sprintf("the patch would be accepted as version %d; nothing was changed", version+1)
	default:
		res.Message = fmt.Sprintf("patch %s is accepted as version %d", p.ID, version)
	}
	res.Name = res.Code.String()
	log.WithFields(log.Fields{"event": "config_patch", "patch": p.ID, "author": p.Author, "base_version": p.BaseVersion, "version": res.Version, "dry_run": p.DryRun, "code": int(res.Code)}).Info(res.Message)
	return res, err
}

func (m *Manager) patch(ctx context.Context, p PatchRequest) (uint64, []string, error) {
	if err := checkRequest(p); err != nil {
		return 0, nil, err
	}
	if m.store == nil {
		return 0, nil, result.Errorf(result.StoreUnavailable, "this process has no access to the store")
	}
	entry, current, err := m.read(ctx)
	if err != nil {
		return 0, nil, err
	}
	if r, ok := findPatch(current, p.ID); ok {
		return r.Version, nil, nil
	}
	if p.BaseVersion != current.Version {
		return current.Version, nil, wrongBase(p, current.Version)
	}
	next, problems, err := m.build(entry.Value, current, p)
	if err != nil || p.DryRun {
		return current.Version, problems, err
	}
	data, err := encodeNext(next, p)
	if err != nil {
		return current.Version, nil, err
	}
	return m.write(ctx, p, entry, next.Version, data)
}

func checkRequest(p PatchRequest) error {
	switch {
	case p.ID == "" || len(p.ID) > MaxPatchID || strings.ContainsAny(p.ID, " \t\r\n"):
		return result.Errorf(result.BadRequest, "id: must have 1 to %d bytes without white space", MaxPatchID)
	case len(p.Author) > MaxPatchID:
		return result.Errorf(result.BadRequest, "author: is longer than %d bytes", MaxPatchID)
	case p.Type != JSONPatch && p.Type != MergePatch:
		return result.Errorf(result.BadRequest, "type: %q must be %s or %s", p.Type, JSONPatch, MergePatch)
	case len(p.Patch) == 0:
		return result.Errorf(result.BadRequest, "patch: is missing")
	case len(p.Patch) > MaxPatchBytes:
		return result.Errorf(result.BodyTooLarge, "patch: %d bytes exceed the limit of %d", len(p.Patch), MaxPatchBytes)
	}
	return checkDepth(p.Patch)
}

// checkDepth refuses nesting beyond MaxPatchDepth before anything decodes the
// patch recursively.
func checkDepth(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	depth := 0
	for {
		tok, err := dec.Token()
		if err != nil {
			break
		}
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth > MaxPatchDepth {
			return result.Errorf(result.BadRequest, "patch: nested deeper than %d levels", MaxPatchDepth)
		}
	}
	if !json.Valid(data) {
		return result.Errorf(result.BadRequest, "patch: is not valid JSON")
	}
	return nil
}

// build applies and checks p. The problems name every fault found.
func (m *Manager) build(stored []byte, current *model.Config, p PatchRequest) (*model.Config, []string, error) {
	p.Patch = bytes.TrimSpace(p.Patch)
	data, err := applyPatch(stored, p)
	if err != nil {
		problem := "patch: " + err.Error()
		return nil, []string{problem}, result.Errorf(result.InvalidConfig, "the patch does not apply to version %d: %w", current.Version, err)
	}
	if err := checkDepth(data); err != nil {
		return nil, []string{result.MessageOf(err)}, result.Errorf(result.InvalidConfig, "the patched document is nested too deeply")
	}
	next, err := Parse(data)
	problems := problemsOf(err)
	if next != nil {
		problems = append(problems, reservedFields(current, next)...)
	}
	if len(problems) > 0 {
		return nil, problems, result.Errorf(result.InvalidConfig, "the patched document has %d faults: %s", len(problems), strings.Join(problems, "; "))
	}
	if m.pack == nil {
		return next, nil, nil
	}
	if unpacked := m.pack(next.Teams); len(unpacked) > 0 {
		return nil, unpacked, result.Errorf(result.GuaranteesDoNotPack, "the guarantees do not pack into the healthy pool: %s", strings.Join(unpacked, "; "))
	}
	return next, nil, nil
}

func problemsOf(err error) []string {
	var faults kernel.Faults
	if !errors.As(err, &faults) {
		if err != nil {
			return []string{err.Error()}
		}
		return nil
	}
	problems := make([]string, len(faults))
	for i, f := range faults {
		problems[i] = f.Path + ": " + f.Reason
	}
	return problems
}

// reservedFields refuses changes of the fields that only the system writes.
func reservedFields(current, next *model.Config) []string {
	var problems []string
	if next.Version != current.Version {
		problems = append(problems, "version: is set by the system")
	}
	a, _ := json.Marshal(current.Patches)
	b, _ := json.Marshal(next.Patches)
	if !bytes.Equal(a, b) {
		problems = append(problems, "patches: is set by the system")
	}
	return problems
}

func encodeNext(next *model.Config, p PatchRequest) ([]byte, error) {
	next.Version++
	next.Patches = append(next.Patches, model.PatchRecord{
		ID: p.ID, Version: next.Version, Time: time.Now().UTC(), Author: p.Author,
	})
	if n := len(next.Patches) - KeptPatches; n > 0 {
		next.Patches = next.Patches[n:]
	}
	data, err := json.Marshal(next)
	if err != nil {
		return nil, result.Errorf(result.Internal, "encode document: %w", err)
	}
	if len(data) > MaxDocumentBytes {
		return nil, result.Errorf(result.InvalidConfig, "the patched document has %d bytes, more than the limit of %d", len(data), MaxDocumentBytes)
	}
	return data, nil
}

// read returns the document of the store. A read that is older than the version
// in force is repeated, since the store may answer with an older state.
func (m *Manager) read(ctx context.Context) (store.Entry, *model.Config, error) {
	pause := minPause
	for tries := 1; ; tries++ {
		e, err := m.store.Get(ctx, Key)
		if err != nil && tries < readTries && sleepContext(ctx, pause) {
			pause = min(2*pause, maxPause)
			continue
		}
		if err != nil {
			return e, nil, result.Errorf(result.StoreUnavailable, "the patch was not submitted, because the store does not answer: %w", err)
		}
		if m.Version() == 0 {
			return e, nil, result.Errorf(result.ConfigVersionUnknown, "this process has no configuration document yet")
		}
		if e.Revision != 0 {
			c, err := parseStored(e.Value)
			if err != nil {
				return e, nil, result.Errorf(result.Internal, "the document in the store is damaged: %w", err)
			}
			if c.Version >= m.Version() {
				return e, c, m.adopt(e.Value, "store")
			}
		}
		if !sleepContext(ctx, pause) {
			return e, nil, result.Errorf(result.StoreUnavailable, "the patch was not submitted, because the store returns a version older than %d", m.Version())
		}
		pause = min(2*pause, maxPause)
	}
}

// write stores data as the successor of entry. An error of the store leaves
// open whether the write took effect; the document tells. Repeating the write
// is safe, because it depends on the same revision.
func (m *Manager) write(ctx context.Context, p PatchRequest, entry store.Entry, version uint64, data []byte) (uint64, []string, error) {
	pause := minPause
	ambiguous := false
	for {
		ok, err := m.store.CompareAndSwap(ctx, Key, entry.Revision, data)
		if err == nil && ok {
			return version, nil, m.adopt(data, "patch")
		}
		ambiguous = ambiguous || err != nil
		v, revision, decided, rerr := m.resolve(ctx, p, version-1)
		if decided {
			return v, nil, rerr
		}
		// A starting process writes the document again without a change. The
		// base version at a later revision proves that no write so far took
		// effect and that none still can.
		entry.Revision = max(entry.Revision, revision)
		if !sleepContext(ctx, pause) {
			break
		}
		pause = min(2*pause, maxPause)
	}
	if !ambiguous {
		// Every write was answered with a refusal and only the read of the
		// newer version failed.
		return 0, nil, result.Errorf(result.WrongBaseVersion, "version %d is no longer the current one; the newer one could not be read", p.BaseVersion)
	}
	return 0, nil, result.Errorf(result.PatchOutcomeUnknown, "the store did not answer in time; whether patch %s was accepted is unknown until its id is looked up in the history", p.ID)
}

// resolve reads what became of a write on top of version base. If the document
// still has that version, it returns its revision.
func (m *Manager) resolve(ctx context.Context, p PatchRequest, base uint64) (version, revision uint64, decided bool, err error) {
	e, err := m.store.Get(ctx, Key)
	if err != nil || e.Revision == 0 {
		return 0, 0, false, nil
	}
	c, err := parseStored(e.Value)
	switch {
	case err != nil || c.Version < base:
		return 0, 0, false, nil
	case c.Version == base:
		return 0, e.Revision, false, nil
	}
	if err := m.adopt(e.Value, "store"); err != nil {
		return 0, 0, false, nil
	}
	if r, ok := findPatch(c, p.ID); ok {
		return r.Version, 0, true, nil
	}
	return c.Version, 0, true, wrongBase(p, c.Version)
}

func wrongBase(p PatchRequest, current uint64) error {
	return result.Errorf(result.WrongBaseVersion, "the patch is based on version %d, but the current version is %d", p.BaseVersion, current)
}

// recorded reports whether the document in force holds the patch.
func (m *Manager) recorded(id string) bool {
	c := m.Current()
	if c == nil {
		return false
	}
	_, ok := findPatch(c, id)
	return ok
}

func findPatch(c *model.Config, id string) (model.PatchRecord, bool) {
	for _, r := range c.Patches {
		if r.ID == id {
			return r, true
		}
	}
	return model.PatchRecord{}, false
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
