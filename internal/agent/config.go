package agent

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/apex/log"

	"snipegw/internal/model"
	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// document is a configuration document and its version.
type document struct {
	version uint64
	data    []byte
}

// configHolder keeps the newest configuration document that the agent has seen. It
// never returns to an older one.
type configHolder struct {
	current atomic.Pointer[document]
}

func (c *configHolder) version() uint64 {
	if d := c.current.Load(); d != nil {
		return d.version
	}
	return 0
}

// adopt keeps a document if it is newer than the current one. It refuses a document
// that is not valid JSON or states another version, with the code InvalidConfig.
func (c *configHolder) adopt(version uint64, data []byte) error {
	var parsed model.Config
	if err := json.Unmarshal(data, &parsed); err != nil {
		return result.Errorf(result.InvalidConfig, "configuration version %d: %w", version, err)
	}
	if parsed.Version != version {
		return result.Errorf(result.InvalidConfig, "configuration version %d: the document states version %d", version, parsed.Version)
	}
	fresh := &document{version: version, data: data}
	for {
		old := c.current.Load()
		if old != nil && old.version >= version {
			return nil
		}
		if c.current.CompareAndSwap(old, fresh) {
			log.WithFields(log.Fields{"event": "config_adopted", "version": version, "code": int(result.OK)}).Info("configuration adopted")
			return nil
		}
	}
}

// handleFetch serves wire.KindConfigFetch, for entries that cannot reach the store.
func (c *configHolder) handleFetch(_ context.Context, req *wire.ConfigFetch) (*wire.ConfigReply, error) {
	d := c.current.Load()
	if d == nil {
		return &wire.ConfigReply{}, nil
	}
	reply := &wire.ConfigReply{Version: d.version}
	if d.version > req.HaveVersion {
		reply.Document = d.data
	}
	return reply, nil
}
