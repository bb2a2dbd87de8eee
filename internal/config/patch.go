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

// Limits of a patch.
const (
	// MaxPatchBytes bounds the size of the patch itself.
	MaxPatchBytes = 256 << 10
	// MaxPatchDepth bounds the nesting of a patch and of the patched document.
	MaxPatchDepth = 16
	// MaxPatchOperations bounds the operations of an RFC 6902 patch.
	MaxPatchOperations = 1000
	// MaxPatchIDBytes bounds the length of a patch id and of an author in bytes.
	MaxPatchIDBytes = 128
	// MaxPatchHistory is the number of accepted patches that the document records.
	MaxPatchHistory = 256
	// maxReadTries bounds the reads before a patch is refused because the store
	// does not answer. One lost answer does not mean that the store is down.
	maxReadTries = 3
	// patchTimeout bounds one patch, including the reads that resolve a lost answer
	// of the store.
	patchTimeout = 5 * time.Second
)

// Patch implements Source.
func (m *Manager) Patch(ctx context.Context, p PatchRequest) (PatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, patchTimeout)
	defer cancel()
	version, problems, err := m.submitPatch(ctx, p)
	res := PatchResult{Code: result.Accepted, Version: version, Problems: problems}
	switch {
	case err != nil:
		res.Code = result.CodeOf(err)
		res.Message = result.MessageOf(err)
		if version == 0 {
			res.Version = m.Version()
		}
	case p.DryRun && m.hasPatch(p.ID):
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

// submitPatch validates p and, unless it is a dry run, writes the patched document to
// the store. It returns the Version and Problems of the PatchResult; version 0 means
// that the version in the store is not known.
func (m *Manager) submitPatch(ctx context.Context, p PatchRequest) (uint64, []string, error) {
	if err := checkRequest(p); err != nil {
		return 0, nil, err
	}
	if m.store == nil {
		return 0, nil, result.Errorf(result.StoreUnavailable, "this process has no access to the store")
	}
	entry, current, err := m.readCurrent(ctx)
	if err != nil {
		return 0, nil, err
	}
	if r, ok := findPatch(current, p.ID); ok {
		return r.Version, nil, nil
	}
	if p.BaseVersion != current.Version {
		return current.Version, nil, wrongBaseError(p, current.Version)
	}
	next, problems, err := m.buildNext(entry.Value, current, p)
	if err != nil || p.DryRun {
		return current.Version, problems, err
	}
	data, err := encodeNext(next, p)
	if err != nil {
		return current.Version, nil, err
	}
	return m.writeNext(ctx, p, entry, next.Version, data)
}

// checkRequest checks the fields of p without regard to the document. It fails with
// result.BadRequest or result.BodyTooLarge.
func checkRequest(p PatchRequest) error {
	switch {
	case p.ID == "" || len(p.ID) > MaxPatchIDBytes || strings.ContainsAny(p.ID, " \t\r\n"):
		return result.Errorf(result.BadRequest, "id: must have 1 to %d bytes without white space", MaxPatchIDBytes)
	case len(p.Author) > MaxPatchIDBytes:
		return result.Errorf(result.BadRequest, "author: is longer than %d bytes", MaxPatchIDBytes)
	case p.Type != JSONPatch && p.Type != MergePatch:
		return result.Errorf(result.BadRequest, "type: %q must be %s or %s", p.Type, JSONPatch, MergePatch)
	case len(p.Patch) == 0:
		return result.Errorf(result.BadRequest, "patch: is missing")
	case len(p.Patch) > MaxPatchBytes:
		return result.Errorf(result.BodyTooLarge, "patch: %d bytes exceed the limit of %d", len(p.Patch), MaxPatchBytes)
	}
	return checkDepth(p.Patch)
}

// checkDepth refuses JSON that is invalid or nested deeper than MaxPatchDepth, before
// anything decodes it recursively. It fails with result.BadRequest.
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

// buildNext applies p to the stored document and validates the result. The
// problems list every fault found.
func (m *Manager) buildNext(stored []byte, current *model.Config, p PatchRequest) (*model.Config, []string, error) {
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
	problems := problemsFrom(err)
	if next != nil {
		problems = append(problems, checkReservedFields(current, next)...)
	}
	if len(problems) > 0 {
		return nil, problems, result.Errorf(result.InvalidConfig, "the patched document has %d faults: %s", len(problems), strings.Join(problems, "; "))
	}
	if m.checkGuarantees == nil {
		return next, nil, nil
	}
	if unpacked := m.checkGuarantees(next.Teams); len(unpacked) > 0 {
		return nil, unpacked, result.Errorf(result.GuaranteesDoNotPack, "the guarantees do not pack into the healthy pool: %s", strings.Join(unpacked, "; "))
	}
	return next, nil, nil
}

// problemsFrom returns one line for each fault in the error of Parse.
func problemsFrom(err error) []string {
	var faults kernel.ValidationErrors
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

// checkReservedFields returns a problem for each changed field that only the
// system may write.
func checkReservedFields(current, next *model.Config) []string {
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

// encodeNext gives next the following version, adds p to its patch history and encodes
// it. It fails with result.InvalidConfig if the document exceeds MaxDocumentBytes.
func encodeNext(next *model.Config, p PatchRequest) ([]byte, error) {
	next.Version++
	next.Patches = append(next.Patches, model.PatchRecord{
		ID: p.ID, Version: next.Version, Time: time.Now().UTC(), Author: p.Author,
	})
	if n := len(next.Patches) - MaxPatchHistory; n > 0 {
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

// readCurrent returns the document in the store. It repeats a read that is older
// than the version in force, since the store may return an older state.
func (m *Manager) readCurrent(ctx context.Context) (store.Entry, *model.Config, error) {
	backoff := minBackoff
	for tries := 1; ; tries++ {
		e, err := m.store.Get(ctx, Key)
		if err != nil && tries < maxReadTries && sleepContext(ctx, backoff) {
			backoff = min(2*backoff, maxBackoff)
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
		if !sleepContext(ctx, backoff) {
			return e, nil, result.Errorf(result.StoreUnavailable, "the patch was not submitted, because the store returns a version older than %d", m.Version())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// writeNext stores data as the next version after entry. After an error of the
// store it is unknown whether the write took effect, so the document is read
// back. Repeating the write is safe, because it depends on the same revision.
func (m *Manager) writeNext(ctx context.Context, p PatchRequest, entry store.Entry, version uint64, data []byte) (uint64, []string, error) {
	backoff := minBackoff
	ambiguous := false
	for {
		ok, err := m.store.CompareAndSwap(ctx, Key, entry.Revision, data)
		if err == nil && ok {
			return version, nil, m.adopt(data, "patch")
		}
		ambiguous = ambiguous || err != nil
		v, revision, decided, resolveErr := m.resolveWrite(ctx, p, version-1)
		if decided {
			return v, nil, resolveErr
		}
		// A starting process writes the document again without a change; see
		// confirmRead. If the document still has the base version at a later
		// revision, no write so far took effect, and none of them still can.
		entry.Revision = max(entry.Revision, revision)
		if !sleepContext(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	if !ambiguous {
		// The store refused every write; only the read of the newer version failed.
		return 0, nil, result.Errorf(result.WrongBaseVersion, "version %d is no longer the current one; the newer one could not be read", p.BaseVersion)
	}
	return 0, nil, result.Errorf(result.PatchOutcomeUnknown, "the store did not answer in time; whether patch %s was accepted is unknown until its id is looked up in the history", p.ID)
}

// resolveWrite reads the outcome of a write that replaces version base. Decided is
// set if the outcome is known; err is then nil if the document holds the patch. If
// the document still has version base, revision is the revision of the document.
func (m *Manager) resolveWrite(ctx context.Context, p PatchRequest, base uint64) (version, revision uint64, decided bool, err error) {
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
	return c.Version, 0, true, wrongBaseError(p, c.Version)
}

func wrongBaseError(p PatchRequest, current uint64) error {
	return result.Errorf(result.WrongBaseVersion, "the patch is based on version %d, but the current version is %d", p.BaseVersion, current)
}

// hasPatch reports whether the document in force holds the patch.
func (m *Manager) hasPatch(id string) bool {
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

// sleepContext waits for d. It reports false if ctx ended first.
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
