package workflow

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"snipegw/internal/kernel"
)

// Validate appends what is wrong with c: values without a meaning, entries that can never
// match, and limits that contradict each other. A configuration with findings can be
// adopted; Validate says what in it has no effect or another one than it seems to have.
// Pool is the capacity of all known workers, nil if they are not known.
func (c *Config) Validate(faults *kernel.ValidationErrors, pool *Resources) {
	if c.Version < 1 {
		faults.Add("version", "%d must be positive", c.Version)
	}
	if c.MaxBody < 0 {
		faults.Add("max_body", "%d must not be negative", c.MaxBody)
	}
	for i := range c.Queues {
		c.validateQueue(i, faults)
	}
	c.validateServices(faults)
	c.validateTeams(faults, pool)
}

func (c *Config) validateQueue(i int, faults *kernel.ValidationErrors) {
	q, path := &c.Queues[i], fmt.Sprintf("queues[%d]", i)
	switch {
	case q.Name == "":
		faults.Add(path+".name", "required")
	case q.Host == "":
		faults.Add(path+".host", "required; without a host no call matches the queue")
	}
	for j := range c.Queues[:i] {
		o := &c.Queues[j]
		if o.Name == q.Name && q.Name != "" {
			faults.Add(path+".name", "%q is also the name of queues[%d]", q.Name, j)
		}
		if strings.EqualFold(o.Host, q.Host) && o.PathPrefix == q.PathPrefix {
			faults.Add(path+".path_prefix", "no call matches: queues[%d] has the same host and path prefix and comes first", j)
		}
	}
	if service, ok := c.Services[q.Service]; !ok {
		faults.Add(path+".service", "there is no service %q: jobs of the queue never run", q.Service)
	} else if service.Standby {
		faults.Add(path+".service", "the workers of service %q are switched off: jobs of the queue do not run", q.Service)
	}
	if q.Priority < 0 {
		faults.Add(path+".priority", "%d must not be negative", q.Priority)
	}
	if q.MaxAttempts < 1 {
		faults.Add(path+".max_attempts", "%d counts as 1", q.MaxAttempts)
	}
	// A NaN fails every comparison.
	if !(q.SlackFactor >= 1) {
		faults.Add(path+".slack_factor", "%v counts as 1: no job ends sooner than its longest chain of steps", q.SlackFactor)
	}
	if q.TargetMS < 0 {
		faults.Add(path+".target_ms", "%d must not be negative", q.TargetMS)
	}
	if !q.Public && c.tokens() == 0 {
		faults.Add(path, "no call is let in: the queue is not public, and no team has a token")
	}
}

func (c *Config) tokens() int {
	n := 0
	for _, t := range c.Teams {
		n += len(t.Tokens)
	}
	return n
}

func (c *Config) validateServices(faults *kernel.ValidationErrors) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		used := slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Service == name })
		if path := fmt.Sprintf("services[%s]", name); name == "" {
			faults.Add(path, "the name is empty")
		} else if !used && !c.Services[name].Standby {
			faults.Add(path, "no queue leads to the service: its workers stay idle")
		}
	}
}

func (c *Config) validateTeams(faults *kernel.ValidationErrors, pool *Resources) {
	owners := make(map[TokenDigest]string)
	guaranteed := int64(0)
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		t, path := c.Teams[name], fmt.Sprintf("teams[%s]", name)
		for i, token := range t.Tokens {
			tokenPath := fmt.Sprintf("%s.tokens[%d]", path, i)
			switch owner, known := owners[token]; {
			case token == DigestToken(""):
				faults.Add(tokenPath, "the token is empty: calls without a token would belong to the team")
			case name == "":
				faults.Add(tokenPath, "the token belongs to no team: the name is empty")
			case known && owner == name:
				faults.Add(tokenPath, "the token is listed twice")
			case known:
				faults.Add(tokenPath, "the token also belongs to team %q", owner)
			}
			owners[token] = name
		}
		switch {
		case t.Guarantee < 0:
			faults.Add(path+".guarantee", "%d must not be negative", t.Guarantee)
			continue
		case t.Guarantee > 0 && len(t.Tokens) == 0:
			faults.Add(path+".guarantee", "nobody can claim it: the team has no token")
		}
		guaranteed += min(t.Guarantee, maxGuarantee)
	}
	urgent := slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Priority == 0 })
	if guaranteed > 0 && !urgent {
		faults.Add("teams", "the guarantees have no effect: no queue has priority 0")
	}
	if pool != nil && guaranteed > pool.Accelerators {
		faults.Add("teams", "the guarantees add up to %d accelerators, but the known workers have %d", guaranteed, pool.Accelerators)
	}
}

// maxGuarantee bounds a guarantee in sums, so that they do not overflow.
const maxGuarantee = 1 << 40
