// Package config holds the configuration document of a process, accepts
// patches to it, and takes over newer versions from the store and from peers.
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

// PatchRequest is a patch of an operator.
type PatchRequest struct {
	ID          string          `json:"id"`
	BaseVersion uint64          `json:"base_version"`
	Type        string          `json:"type"`
	Patch       json.RawMessage `json:"patch"`
	DryRun      bool            `json:"dry_run,omitempty"`
	Author      string          `json:"author,omitempty"`
}

// PatchResult is the outcome of a patch.
type PatchResult struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	// Version is the version that holds the patch if it was accepted, else the
	// current version.
	Version uint64 `json:"version"`
	// Problems names every fault of a refused patch.
	Problems []string `json:"problems,omitempty"`
}

// Source gives access to the configuration. Current is safe for concurrent use
// and takes no lock.
type Source interface {
	// Current returns the document in force, nil before the first is known.
	Current() *model.Config
	// OnChange registers f to be called after each change, in order of version.
	OnChange(f func(*model.Config))
	// Offer tells the source that a peer has the given version; if it is newer,
	// fetch is called in the background and its document is taken over.
	Offer(version uint64, fetch func(context.Context) ([]byte, error))
	// Document returns the document in force as JSON.
	Document() []byte
	// Patch applies a patch. A refused one is an error with its code; the
	// result is filled in any case.
	Patch(ctx context.Context, p PatchRequest) (PatchResult, error)
}

// Packer checks that all guarantees pack into the pool at the same time. It
// returns one sentence for each team and shape that does not.
type Packer func(teams []model.Team) []string
