// Package config holds the configuration document of a process. It applies
// patches to the document and adopts newer versions from the store and from
// peers.
package config

import (
	"context"
	"encoding/json"

	"snipegw/internal/model"
	"snipegw/internal/result"
)

// Key is the key of the document in the store.
const Key = "snipegw/config"

// Patch types.
const (
	JSONPatch  = "json-patch"  // RFC 6902
	MergePatch = "merge-patch" // RFC 7396
)

// PatchRequest is an operator's request to patch the document. ID makes it
// idempotent: a repeated request with the ID of an accepted patch changes nothing.
type PatchRequest struct {
	ID          string          `json:"id"`
	BaseVersion uint64          `json:"base_version"`
	Type        string          `json:"type"`
	Patch       json.RawMessage `json:"patch"`
	DryRun      bool            `json:"dry_run,omitempty"`
	Author      string          `json:"author,omitempty"`
}

// PatchResult is the outcome of a PatchRequest.
type PatchResult struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	// Version is the first version that holds the patch if it was accepted, else
	// the current version.
	Version uint64 `json:"version"`
	// Problems lists every fault of a refused patch, with its path.
	Problems []string `json:"problems,omitempty"`
}

// Source gives access to the configuration. Current is safe for concurrent use
// and takes no lock.
type Source interface {
	// Current returns the document in force, nil while none is known.
	Current() *model.Config
	// OnChange registers f to be called after each change, in order of version.
	OnChange(f func(*model.Config))
	// Offer tells the source that a peer has the given version. If that is newer,
	// fetch is called in the background and the document that it returns is
	// adopted.
	Offer(version uint64, fetch func(context.Context) ([]byte, error))
	// Document returns the document in force as JSON, nil while none is known.
	Document() []byte
	// Patch applies a patch. If the patch is refused, the error carries the result
	// code. The result is filled in either case.
	Patch(ctx context.Context, p PatchRequest) (PatchResult, error)
}

// GuaranteeCheck checks that the guarantees of all teams pack into the pool at the
// same time. It returns one sentence for each team and shape that does not fit.
type GuaranteeCheck func(teams []model.Team) []string
