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

type document struct {
	version uint64
	data    []byte
}

// configHolder keeps the newest configuration document that the agent has
// seen. It never goes back to an older one.
type configHolder struct {
	current atomic.Pointer[document]
}

func (c *configHolder) version() uint64 {
	if d := c.current.Load(); d != nil {
		return d.version
	}
	return 0
}

// adopt takes over a document if its own version matches and is newer.
func (c *configHolder) adopt(version uint64, data []byte) error {
	var parsed model.Config
	if err := json.Unmarshal(data, &parsed); err != nil {
		return result.Errorf(result.InvalidConfig, "configuration version %d: %w", version, err)
	}
	if parsed.Version != version {
		return result.Errorf(result.InvalidConfig, "the document of version %d names version %d", version, parsed.Version)
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

// handleFetch answers wire.KindConfigFetch, for entries that cannot reach the store.
func (c *configHolder) handleFetch(_ context.Context, req *wire.ConfigFetch) (*wire.ConfigReply, error) {
	d := c.current.Load()
	if d == nil {
		return &wire.ConfigReply{}, nil
	}
	reply := &wire.ConfigReply{Version: d.version}
	if d.version > req.Have {
		reply.Document = d.data
	}
	return reply, nil
}
