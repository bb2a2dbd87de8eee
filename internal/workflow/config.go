package workflow

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Queue accepts the jobs that callers submit under a path prefix of an HTTP host
// name, and runs them on a service.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 is the highest priority, and may preempt the others.
	Priority    int
	MaxAttempts int
	// The completion-time objective of a job is SlackFactor times the length of its
	// critical path, plus TargetMS. It counts from the acceptance of the job, or
	// from the start time of an occurrence if that is later. A SlackFactor below 1
	// counts as 1.
	SlackFactor float64
	TargetMS    int64
	// Public reports whether the queue accepts calls without a token.
	Public bool
	// Advised reports whether the queue may use only workers that an external
	// advisor recommends. Jobs of such queues are refused as unsupported.
	Advised bool
}

// TokenDigest is the SHA-256 digest of a caller's token. Processes keep tokens in this
// form only, so that no dump, log line or error can show one.
type TokenDigest [sha256.Size]byte

// DigestToken returns the digest of a token.
func DigestToken(token string) TokenDigest { return sha256.Sum256([]byte(token)) }

// fingerprintBytes is the length of the part of a digest that is shown. It tells the
// tokens of a configuration apart.
const fingerprintBytes = 4

// String returns a short fingerprint of the token, for dumps and logs.
func (d TokenDigest) String() string {
	return "token " + hex.EncodeToString(d[:fingerprintBytes])
}

// MarshalText implements encoding.TextMarshaler with the fingerprint.
func (d TokenDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Team is a tenant that shares the workers with other teams.
type Team struct {
	Name   string
	Tokens []TokenDigest
	// Guarantee is the number of accelerators that the team can claim at any
	// time for jobs of priority 0.
	Guarantee int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version        int64
	Queues         []Queue
	Services       map[string]Service
	Teams          map[string]Team
	MaxBody        int64
	teamByToken    map[TokenDigest]string // name of the team
	queueByName    map[string]*Queue
	queuesByPrefix []*Queue // longest prefix first
}

// Service is a set of workers: those that announce its name.
type Service struct {
	Name string
	// Standby reports whether the workers of the service are switched off.
	Standby bool
}

// Provision builds the lookup tables of c. It must be called once before use.
func (c *Config) Provision() {
	c.teamByToken, c.queueByName = make(map[TokenDigest]string), make(map[string]*Queue)
	for _, t := range c.Teams {
		for _, token := range t.Tokens {
			c.teamByToken[token] = t.Name
		}
	}
	c.queuesByPrefix = nil
	for i := range c.Queues {
		c.queueByName[c.Queues[i].Name] = &c.Queues[i]
		c.queuesByPrefix = append(c.queuesByPrefix, &c.Queues[i])
	}
	slices.SortStableFunc(c.queuesByPrefix, func(a, b *Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
}

// Match returns the queue on host whose path prefix is the longest that matches
// path, and the rest of the path; nil if there is none.
func (c *Config) Match(host, path string) (*Queue, string) {
	for _, q := range c.queuesByPrefix {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) {
			return q, path[len(q.PathPrefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue with the given name; nil if there is none.
func (c *Config) Queue(name string) *Queue { return c.queueByName[name] }

// ServiceOf returns the service that runs the items of a job. It is the service
// of its queue, or the recorded one if the queue no longer exists.
func (c *Config) ServiceOf(r *JobRecord) string {
	if q := c.Queue(r.Queue); q != nil {
		return q.Service
	}
	return r.Service
}

// PriorityOf returns the priority of a job: that of its queue, or the recorded
// one if the queue no longer exists.
func (c *Config) PriorityOf(r *JobRecord) int {
	if q := c.Queue(r.Queue); q != nil {
		return q.Priority
	}
	return r.Priority
}

// HasUrgentQueue reports whether a queue of priority 0 runs its jobs on a service.
func (c *Config) HasUrgentQueue(service string) bool {
	return slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == service && q.Priority == 0 })
}

// MaxAttemptsOf returns the number of failed runs of a single unit with which the
// whole job fails, at least 1. It is that of the queue, or the recorded one if the
// queue no longer exists or sets none.
func (c *Config) MaxAttemptsOf(r *JobRecord) int {
	if q := c.Queue(r.Queue); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return max(r.MaxAttempts, 1)
}

// TeamOf returns the team to which token belongs.
func (c *Config) TeamOf(token string) (team string, ok bool) {
	team, ok = c.teamByToken[DigestToken(token)]
	return team, ok
}
