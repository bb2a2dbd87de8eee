package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// checkOperations returns an error that lists every operation that RFC 6902 does
// not allow. The patch library panics on some of them, for example on a test
// without a value.
func checkOperations(patch []byte) error {
	var raw []map[string]json.RawMessage
	if err := json.Unmarshal(patch, &raw); err != nil {
		return fmt.Errorf("a json-patch must be an array of operations: %w", err)
	}
	if raw == nil {
		return errors.New("a json-patch must be an array of operations")
	}
	if len(raw) > MaxPatchOperations {
		return fmt.Errorf("%d operations exceed the limit of %d", len(raw), MaxPatchOperations)
	}
	var faults []string
	for i, fields := range raw {
		if fault := checkOperation(fields); fault != "" {
			faults = append(faults, fmt.Sprintf("operation %d: %s", i, fault))
		}
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

// checkOperation returns the fault of one operation, or an empty string.
func checkOperation(fields map[string]json.RawMessage) string {
	var op string
	if json.Unmarshal(fields["op"], &op) != nil {
		return "op must be a string"
	}
	pointers := []string{"path"}
	switch op {
	case "add", "replace", "test":
		if _, ok := fields["value"]; !ok {
			return op + " has no value"
		}
	case "move", "copy":
		pointers = append(pointers, "from")
	case "remove":
	default:
		return fmt.Sprintf("op %q is unknown", op)
	}
	for _, name := range pointers {
		var p *string
		if json.Unmarshal(fields[name], &p) != nil || p == nil {
			return name + " must be a string"
		}
		// An operation on the whole document (an empty path) would replace the
		// reserved fields.
		if !strings.HasPrefix(*p, "/") {
			return name + " must begin with a slash"
		}
	}
	return ""
}

// applyPatch returns the patched document. If the patch library panics on a patch
// that passed the checks, the panic is returned as an error, since one request
// must not end the process.
func applyPatch(doc []byte, p PatchRequest) (out []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			out, err = nil, fmt.Errorf("cannot be applied: %v", r)
		}
	}()
	if p.Type == MergePatch {
		if p.Patch[0] != '{' {
			return nil, errors.New("a merge-patch must be an object")
		}
		return jsonpatch.MergePatch(doc, p.Patch)
	}
	if err := checkOperations(p.Patch); err != nil {
		return nil, err
	}
	ops, err := jsonpatch.DecodePatch(p.Patch)
	if err != nil {
		return nil, err
	}
	options := jsonpatch.NewApplyOptions()
	options.AccumulatedCopySizeLimit = MaxDocumentBytes
	options.SupportNegativeIndices = false // RFC 6902 has no negative indices
	return ops.ApplyWithOptions(doc, options)
}
