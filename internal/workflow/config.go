package workflow

import (
	"slices"
	"strings"
)

// Queue takes jobs below a path of a host and hands them to a service.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 comes first and may preempt others.
	Priority    int
	MaxAttempts int
	// SlackFactor times the longest chain of work, plus TargetMS, is the time in
	// which a job should be complete.
	SlackFactor float64
	TargetMS    int64
	// Public queues take calls without a token.
	Public bool
	// Advised queues may use only workers that an external service names.
	Advised bool
}

// Team is a customer of the pool.
type Team struct {
	Name   string
	Tokens []string
	// Guarantee is the number of accelerators that the team can claim for jobs
	// of priority 0 at any time.
	Guarantee int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Teams    map[string]Team
	MaxBody  int64
	teamOf   map[string]string // token -> team
	byName   map[string]*Queue
	byPath   []*Queue // longest prefix first
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Standby services have their workers switched off.
	Standby bool
}

// Provision builds the indexes of c. It must be called once before use.
func (c *Config) Provision() {
	c.teamOf, c.byName = make(map[string]string), make(map[string]*Queue)
	for _, t := range c.Teams {
		for _, token := range t.Tokens {
			c.teamOf[token] = t.Name
		}
	}
	c.byPath = nil
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
		c.byPath = append(c.byPath, &c.Queues[i])
	}
	slices.SortStableFunc(c.byPath, func(a, b *Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
}

// Match returns the queue with the longest prefix of path on host, and the rest
// of the path; nil if there is none.
func (c *Config) Match(host, path string) (*Queue, string) {
	for _, q := range c.byPath {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) {
			return q, path[len(q.PathPrefix):]
		}
	}
	return nil, ""
}

// Queue returns the queue of that name, nil if there is none.
func (c *Config) Queue(name string) *Queue { return c.byName[name] }

// ServiceOf returns the service that runs a job's items: that of its queue, or of
// its acceptance if the queue is gone.
func (c *Config) ServiceOf(r *JobRecord) string {
	if q := c.Queue(r.Queue); q != nil {
		return q.Service
	}
	return r.Service
}

// PriorityOf returns the priority of a job, like ServiceOf.
func (c *Config) PriorityOf(r *JobRecord) int {
	if q := c.Queue(r.Queue); q != nil {
		return q.Priority
	}
	return r.Priority
}

// AttemptsOf returns how often an item of a job may fail, at least once, like
// ServiceOf.
func (c *Config) AttemptsOf(r *JobRecord) int {
	if q := c.Queue(r.Queue); q != nil && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return max(r.MaxAttempts, 1)
}

// TeamOf returns the team that holds token.
func (c *Config) TeamOf(token string) (team string, ok bool) {
	team, ok = c.teamOf[token]
	return team, ok
}
