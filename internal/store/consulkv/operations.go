package consulkv

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

// indexHeader is the response header with the index for the next blocking query.
const indexHeader = "X-Consul-Index"

// MinSessionTTL is the shortest session TTL that the published API allows.
const MinSessionTTL = 10 * time.Second

// kvPair is a key as the service encodes it, with the value in base64.
type kvPair struct {
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	e, _, err := c.read(ctx, "get", key, nil, c.timeout)
	return e, err
}

// read returns the entry of key, with revision 0 if there is none, and the index of
// the response. The call is counted under opName.
func (c *Client) read(ctx context.Context, opName, key string, query url.Values, timeout time.Duration) (store.Entry, uint64, error) {
	resp, err := c.do(ctx, operation{name: opName, method: http.MethodGet, path: keyPath(key), query: query, timeout: timeout, readOnly: true})
	if err != nil {
		return store.Entry{}, 0, err
	}
	index, _ := strconv.ParseUint(resp.header.Get(indexHeader), 10, 64)
	switch resp.status {
	case http.StatusNotFound:
		return store.Entry{}, index, nil
	case http.StatusOK:
	default:
		return store.Entry{}, 0, unexpectedResponse(opName, resp)
	}
	var pairs []kvPair
	if err := json.Unmarshal(resp.body, &pairs); err != nil {
		return store.Entry{}, 0, result.Errorf(result.StoreUnavailable, "store %s %s: malformed response: %w", opName, key, err)
	}
	if len(pairs) != 1 || pairs[0].ModifyIndex == 0 {
		return store.Entry{}, 0, result.Errorf(result.StoreUnavailable, "store %s %s: malformed response: %d entries, expected 1 with an index", opName, key, len(pairs))
	}
	p := pairs[0]
	return store.Entry{Value: p.Value, Revision: p.ModifyIndex, Session: p.Session}, index, nil
}

// Watch implements store.Store with blocking queries. A query with index 0 does
// not block, so a watch for the creation of a key first reads the current index.
func (c *Client) Watch(ctx context.Context, key string, rev uint64, wait time.Duration) (store.Entry, error) {
	deadline := time.Now().Add(wait)
	index := rev
	for {
		e, next, err := c.watchOnce(ctx, key, index, time.Until(deadline))
		if err != nil || e.Revision != rev || time.Until(deadline) <= 0 {
			return e, err
		}
		if next < index {
			next = 0 // the service was restored from an older backup
		}
		if next == 0 && index == 0 {
			next = 1
		}
		index = next
	}
}

// watchOnce makes one blocking query for a change after index, or reads key without
// blocking if there is no index or no time left to wait.
func (c *Client) watchOnce(ctx context.Context, key string, index uint64, wait time.Duration) (store.Entry, uint64, error) {
	if index == 0 || wait < time.Millisecond {
		return c.read(ctx, "get", key, nil, c.timeout)
	}
	query := url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	// The service adds up to wait/16 of jitter.
	return c.read(ctx, "watch", key, query, wait+wait/16+c.timeout)
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, rev uint64, value []byte) (bool, error) {
	return c.put(ctx, "cas", key, url.Values{"cas": {strconv.FormatUint(rev, 10)}}, value)
}

// Acquire implements store.Store. It returns ErrLeaseLost for an expired lease.
func (c *Client) Acquire(ctx context.Context, key, session string, value []byte) (bool, error) {
	return c.put(ctx, "acquire", key, url.Values{"acquire": {session}}, value)
}

// Release implements store.Store.
func (c *Client) Release(ctx context.Context, key, session string) (bool, error) {
	e, err := c.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if e.Session != session {
		return false, nil
	}
	return c.put(ctx, "release", key, url.Values{"release": {session}}, e.Value)
}

// put writes value and returns the boolean of the response, which says whether
// the write took place.
func (c *Client) put(ctx context.Context, opName, key string, query url.Values, value []byte) (bool, error) {
	if len(value) > store.MaxValueBytes {
		return false, result.Errorf(result.BodyTooLarge, "store %s %s: value of %d bytes exceeds the limit of %d", opName, key, len(value), store.MaxValueBytes)
	}
	resp, err := c.do(ctx, operation{name: opName, method: http.MethodPut, path: keyPath(key), query: query, body: value, timeout: c.timeout})
	if err != nil {
		return false, err
	}
	if isInvalidSession(resp.status, resp.body) {
		return false, store.ErrLeaseLost
	}
	var done bool
	if resp.status != http.StatusOK || json.Unmarshal(resp.body, &done) != nil {
		return false, unexpectedResponse(opName, resp)
	}
	return done, nil
}

// NewSession implements store.Store. The service refuses a ttl below
// MinSessionTTL.
func (c *Client) NewSession(ctx context.Context, ttl time.Duration) (string, error) {
	if ttl < MinSessionTTL {
		return "", result.Errorf(result.BadRequest, "store session: TTL %s is below the minimum of %s", ttl, MinSessionTTL)
	}
	// Without a lock delay a key can be acquired as soon as its lease expires.
	body := fmt.Sprintf(`{"TTL":"%ds","LockDelay":"0s","Behavior":"release"}`, int(ttl.Seconds()))
	resp, err := c.do(ctx, operation{name: "session_create", method: http.MethodPut, path: "/v1/session/create", body: []byte(body), timeout: c.timeout})
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if resp.status != http.StatusOK || json.Unmarshal(resp.body, &created) != nil || created.ID == "" {
		return "", unexpectedResponse("session_create", resp)
	}
	return created.ID, nil
}

// RenewSession implements store.Store.
func (c *Client) RenewSession(ctx context.Context, session string) error {
	resp, err := c.do(ctx, operation{name: "session_renew", method: http.MethodPut, path: "/v1/session/renew/" + session, timeout: c.timeout})
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrLeaseLost
	}
	return unexpectedResponse("session_renew", resp)
}

// EndSession implements store.Store.
func (c *Client) EndSession(ctx context.Context, session string) error {
	resp, err := c.do(ctx, operation{name: "session_end", method: http.MethodPut, path: "/v1/session/destroy/" + session, timeout: c.timeout})
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return unexpectedResponse("session_end", resp)
	}
	return nil
}

func keyPath(key string) string { return "/v1/kv/" + key }
