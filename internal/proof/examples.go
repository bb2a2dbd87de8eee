package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"snipegw/internal/model"
)

// exampleSettings is the part of the settings of any program that LaunchExamples needs.
type exampleSettings struct {
	Address          string `json:"address"`
	HTTPAddress      string `json:"http_address"`
	LocalHTTPAddress string `json:"local_http_address"`
	ID               string `json:"id"`
	Service          string `json:"service"`
}

// LaunchExamples starts the processes whose settings files are in the directory examples and
// waits until they are ready. The name of a file selects the program: store.json,
// worker-*.json, entry-*.json, agent-*.json and backend-*.json. Logs go to dir.
func LaunchExamples(ctx context.Context, binDir, dir, examples string) (*Cluster, error) {
	c := &Cluster{Dir: dir, binDir: binDir, links: newLinks()}
	if err := c.loadExamples(examples); err != nil {
		return nil, err
	}
	if err := c.startAll(); err != nil {
		c.Kill()
		return nil, err
	}
	if err := c.AwaitReady(ctx, readyTimeout); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) loadExamples(examples string) error {
	data, err := os.ReadFile(filepath.Join(examples, "config.json"))
	if err != nil {
		return err
	}
	var doc model.Config
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	c.Spec.Teams = doc.Teams
	files, err := filepath.Glob(filepath.Join(examples, "*.json"))
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := c.loadExample(file); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	if c.Store == nil {
		return fmt.Errorf("directory %s has no store.json", examples)
	}
	c.Spec.Agents, c.Spec.Entries, c.Spec.PerRack = len(c.Agents), len(c.Entries), 1
	return nil
}

func (c *Cluster) loadExample(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var s exampleSettings
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(file), ".json")
	kind, id, _ := strings.Cut(name, "-")
	n := &Node{ID: id}
	switch kind {
	case "entry":
		n.Process, n.ID = newProcess(c.Dir, c.binDir, "snipegw-entry", name, "--settings", file), s.ID
		n.HTTP, n.QUIC = s.HTTPAddress, s.Address
		c.Entries = append(c.Entries, n)
	case "agent":
		n.Process = newProcess(c.Dir, c.binDir, "snipegw-agent", name, "--settings", file)
		n.HTTP, n.QUIC = s.LocalHTTPAddress, s.Address
		c.Agents = append(c.Agents, n)
	case "store", "worker", "backend":
		n.Process, n.HTTP = newProcess(c.Dir, c.binDir, "snipegw-standin", name, kind, "--settings", file), s.Address
		switch kind {
		case "store":
			c.Store = n
		case "worker":
			c.Workers = append(c.Workers, n)
		default:
			c.Backends = append(c.Backends, n)
			c.Spec.Service = s.Service
		}
	}
	return nil
}
