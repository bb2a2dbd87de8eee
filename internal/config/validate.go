package config

import (
	"encoding/json"
	"fmt"
	"regexp"

	"snipegw/internal/kernel"
	"snipegw/internal/model"
)

// Limits of the document.
const (
	// MaxDocumentBytes bounds the encoded document. The store holds values of up to
	// 1 MB.
	MaxDocumentBytes = 900 << 10
	// MaxTeams bounds the number of teams.
	MaxTeams = 1024
	// MaxGuarantees bounds the guaranteed shapes of one team.
	MaxGuarantees = 64
	// MaxTokenHashes bounds the token hashes of one team and of the operators.
	MaxTokenHashes = 64
	// MaxTasks bounds the tasks of one shape.
	MaxTasks = 1024
	// MaxTimeoutMS is the longest request timeout in milliseconds. It must be
	// shorter than a graceful stop, which may take 70 s.
	MaxTimeoutMS = 60_000
	// maxCount bounds counts and amounts of resources.
	maxCount     = 1 << 20
	maxBodyBytes = 64 << 20
	maxWeight    = 1_000_000
)

// Defaults of model.Limits.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxQueuedJobs     = 10_000
	DefaultMaxQueuedRequests = 1_024
	DefaultTimeoutMS         = 30_000
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// document gives model.Config the methods of kernel.Settings, so that unknown
// fields, wrong types and invalid values are reported together.
type document struct{ model.Config }

// Provision implements kernel.Settings.
func (d *document) Provision() {
	l := &d.Limits
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxQueuedJobs == 0 {
		l.MaxQueuedJobs = DefaultMaxQueuedJobs
	}
	if l.MaxQueuedRequests == 0 {
		l.MaxQueuedRequests = DefaultMaxQueuedRequests
	}
	if l.DefaultTimeoutMS == 0 {
		l.DefaultTimeoutMS = DefaultTimeoutMS
	}
	if l.MaxTimeoutMS == 0 {
		l.MaxTimeoutMS = MaxTimeoutMS
	}
}

// Validate implements kernel.Settings.
func (d *document) Validate(f *kernel.ValidationErrors) {
	if len(d.Teams) > MaxTeams {
		f.Add("teams", "has %d teams, at most %d are allowed", len(d.Teams), MaxTeams)
		return
	}
	ids := make(map[string]int, len(d.Teams))
	hashes := make(map[string]string)
	for i := range d.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		validateTeam(f, path, &d.Teams[i])
		if first, ok := ids[d.Teams[i].ID]; ok {
			f.Add(path+".id", "%q is also the id of teams[%d]", d.Teams[i].ID, first)
		} else {
			ids[d.Teams[i].ID] = i
		}
		validateHashes(f, path+".token_hashes", d.Teams[i].TokenHashes, hashes)
	}
	validateHashes(f, "operator_token_hashes", d.OperatorTokenHashes, hashes)
	validateRange(f, "weights.completion_time", d.Weights.CompletionTime, 0, 1)
	validateRange(f, "weights.fragmentation", d.Weights.Fragmentation, 0, 1)
	validateLimits(f, &d.Limits)
	if len(d.Policy) > 64 {
		f.Add("policy", "is longer than 64 bytes")
	}
}

func validateTeam(f *kernel.ValidationErrors, path string, t *model.Team) {
	if !idPattern.MatchString(t.ID) {
		f.Add(path+".id", "%q must consist of 1 to 63 lower-case letters, digits, '.', '_' and '-' and begin with a letter or digit", t.ID)
	}
	validateRange(f, path+".weight", t.Weight, 1, maxWeight)
	validateRange(f, path+".max_requests", t.MaxRequests, 0, maxCount)
	validateRange(f, path+".max_queued_jobs", t.MaxQueuedJobs, 0, maxCount)
	if len(t.Guarantees) > MaxGuarantees {
		f.Add(path+".guarantees", "has %d shapes, at most %d are allowed", len(t.Guarantees), MaxGuarantees)
		return
	}
	for i := range t.Guarantees {
		g := &t.Guarantees[i]
		itemPath := fmt.Sprintf("%s.guarantees[%d]", path, i)
		validateRange(f, itemPath+".count", g.Count, 1, maxCount)
		validateShape(f, itemPath, g.Shape)
	}
}

func validateShape(f *kernel.ValidationErrors, path string, s model.Shape) {
	validateRange(f, path+".tasks", s.Tasks, 1, MaxTasks)
	validateRange(f, path+".accelerators_per_task", s.AcceleratorsPerTask, 0, maxCount)
	validateRange(f, path+".cores_per_task", s.CoresPerTask, 0, maxCount)
	validateRange(f, path+".memory_gb_per_task", s.MemoryGBPerTask, 0, maxCount)
	if s.PerTask() == (model.Resources{}) {
		f.Add(path, "asks for no resources")
	}
	switch s.Adjacent {
	case model.AdjacentHost, model.AdjacentRack, model.AdjacentFailureDomain, model.AdjacentAny:
	default:
		f.Add(path+".adjacent", "%q must be one of host, rack, failure_domain, any", string(s.Adjacent))
	}
}

// validateHashes checks token hashes. A hash that is listed twice is a fault,
// because the owner of a request would be ambiguous. Seen maps each hash to the
// path at which it was found first.
func validateHashes(f *kernel.ValidationErrors, path string, hashes []string, seen map[string]string) {
	if len(hashes) > MaxTokenHashes {
		f.Add(path, "has %d hashes, at most %d are allowed", len(hashes), MaxTokenHashes)
		return
	}
	for i, h := range hashes {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !hashPattern.MatchString(h) {
			f.Add(itemPath, "must be a SHA-256 sum of 64 lower-case hexadecimal digits")
			continue
		}
		if first, ok := seen[h]; ok {
			f.Add(itemPath, "is also listed as %s", first)
			continue
		}
		seen[h] = itemPath
	}
}

func validateLimits(f *kernel.ValidationErrors, l *model.Limits) {
	validateRange(f, "limits.max_body_bytes", l.MaxBodyBytes, 1, maxBodyBytes)
	validateRange(f, "limits.max_queued_jobs", l.MaxQueuedJobs, 1, maxCount)
	validateRange(f, "limits.max_queued_requests", l.MaxQueuedRequests, 1, maxCount)
	validateRange(f, "limits.max_timeout_ms", l.MaxTimeoutMS, 1, MaxTimeoutMS)
	validateRange(f, "limits.default_timeout_ms", l.DefaultTimeoutMS, 1, MaxTimeoutMS)
	if l.DefaultTimeoutMS > l.MaxTimeoutMS && l.MaxTimeoutMS > 0 {
		f.Add("limits.default_timeout_ms", "%d is more than limits.max_timeout_ms %d", l.DefaultTimeoutMS, l.MaxTimeoutMS)
	}
}

func validateRange[T int | int64 | float64](f *kernel.ValidationErrors, path string, v, low, high T) {
	// A NaN fails every comparison, so the test is for the accepted range.
	if v >= low && v <= high {
		return
	}
	f.Add(path, "%v is outside %v to %v", v, low, high)
}

// Parse decodes and validates a document. The error is kernel.ValidationErrors and lists
// every fault with its path.
func Parse(data []byte) (*model.Config, error) {
	if len(data) > MaxDocumentBytes {
		return nil, kernel.ValidationErrors{{Path: "document", Reason: fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxDocumentBytes)}}
	}
	d := new(document)
	if err := kernel.ParseSettings(data, d); err != nil {
		return nil, err
	}
	return &d.Config, nil
}

// parseStored decodes a document that another process has accepted. It does not
// validate values, since a process must not refuse a version that is in force
// elsewhere, for example one written by a newer release.
func parseStored(data []byte) (*model.Config, error) {
	if len(data) > 1<<20 {
		return nil, fmt.Errorf("document of %d bytes is larger than 1 MiB", len(data))
	}
	d := new(document)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	if d.Version == 0 {
		return nil, fmt.Errorf("document has no version")
	}
	d.Provision()
	return &d.Config, nil
}
