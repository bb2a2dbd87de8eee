package workflow

import (
	"encoding/json"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
)

// validConfig returns a configuration without findings.
func validConfig() *Config {
	return &Config{
		Version: 1, Services: map[string]Service{"s": {Name: "s"}},
		Queues: []Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 1.5, TargetMS: 250}},
		Teams:  map[string]Team{"a": {Name: "a", Tokens: []TokenDigest{DigestToken("x")}, Guarantee: 8}},
	}
}

// Guards against a fault of a configuration that is not found, or whose path is another's.
func TestFaultsOfAConfiguration(t *testing.T) {
	for path, change := range map[string]func(*Config){
		"version":        func(c *Config) { c.Version = 0 },
		"max_body":       func(c *Config) { c.MaxBody = -1 },
		"queues[0].name": func(c *Config) { c.Queues[0].Name = "" },
		"queues[0].host": func(c *Config) { c.Queues[0].Host = "" },
		"queues[0].priority": func(c *Config) {
			c.Queues[0].Priority = -1
			c.Teams = map[string]Team{"a": {Tokens: c.Teams["a"].Tokens}}
		},
		"queues[0].max_attempts": func(c *Config) { c.Queues[0].MaxAttempts = 0 },
		"queues[0].slack_factor": func(c *Config) { c.Queues[0].SlackFactor = math.NaN() },
		"queues[0].target_ms":    func(c *Config) { c.Queues[0].TargetMS = -1 },
		"queues[0].service":      func(c *Config) { c.Services["s"] = Service{Name: "s", Standby: true} },
		"queues[0]":              func(c *Config) { c.Teams = nil },
		"queues[1].name":         func(c *Config) { c.Queues = append(c.Queues, c.Queues[0]); c.Queues[1].PathPrefix = "/r/" },
		"queues[1].path_prefix": func(c *Config) {
			c.Queues = append(c.Queues, c.Queues[0])
			c.Queues[1].Name, c.Queues[1].Host = "r", "H"
		},
		"services[t]":        func(c *Config) { c.Services["t"] = Service{Name: "t"} },
		"teams[b].tokens[0]": func(c *Config) { c.Teams["b"] = Team{Name: "b", Tokens: c.Teams["a"].Tokens} },
		"teams[].tokens[0]":  func(c *Config) { c.Teams[""] = Team{Tokens: []TokenDigest{DigestToken("y")}} },
		"teams[a].tokens[1]": func(c *Config) {
			c.Teams["a"] = Team{Name: "a", Guarantee: 8, Tokens: []TokenDigest{DigestToken("x"), DigestToken("")}}
		},
		"teams[a].guarantee": func(c *Config) { c.Teams["a"] = Team{Name: "a", Guarantee: -1, Tokens: c.Teams["a"].Tokens} },
		"teams[b].guarantee": func(c *Config) { c.Teams["b"] = Team{Name: "b", Guarantee: 2} },
		"teams":              func(c *Config) { c.Teams["a"] = Team{Name: "a", Guarantee: 17, Tokens: c.Teams["a"].Tokens} },
	} {
		g := NewWithT(t)
		c := validConfig()
		var faults kernel.ValidationErrors
		c.Validate(&faults, &Resources{Accelerators: 16})
		g.Expect(faults).To(BeEmpty())
		change(c)
		c.Validate(&faults, &Resources{Accelerators: 16})
		g.Expect(faults).To(HaveLen(1), path)
		g.Expect(faults[0].Path).To(Equal(path))
	}
}

// Guards against a panic, or findings in another order at each run, on any configuration.
func FuzzValidateConfig(f *testing.F) {
	for _, seed := range []string{
		`{"Version":1,"Queues":[{"Name":"q","Host":"h","PathPrefix":"/","Service":"s","SlackFactor":0.5}],"Services":{"s":{}},"Teams":{"a":{"Guarantee":9223372036854775807},"b":{"Guarantee":9223372036854775807}}}`,
		`{"Queues":[{},{}],"Services":{"":{}},"Teams":{"":{}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := new(Config)
		if json.Unmarshal(data, c) != nil {
			return
		}
		var first, second kernel.ValidationErrors
		c.Provision()
		c.Validate(&first, &Resources{Accelerators: 8})
		c.Validate(&second, &Resources{Accelerators: 8})
		NewWithT(t).Expect(second).To(Equal(first))
	})
}
