// Package consulkv implements store.Store with the KV and session endpoints of
// the published Consul v1 HTTP API. It registers as "consulkv".
package consulkv

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

const (
	// maxResponseBytes limits the size of a response. A value of
	// store.MaxValueBytes takes 4/3 of its size in base64, and the other fields
	// need some space.
	maxResponseBytes = store.MaxValueBytes/3*4 + 64<<10
	// maxIdleConns is the number of idle connections per address. Watches and the
	// page writers use most of them at the same time.
	maxIdleConns = 32
	// defaultTimeout is the timeout if the settings have no timeout_ms.
	defaultTimeout = 2 * time.Second
)

func init() {
	store.Plugins.Register("consulkv", func(s store.Settings) (store.Store, error) { return New(s) })
}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	addresses []*url.URL
	preferred atomic.Uint32 // index of the address that is tried first
	timeout   time.Duration
	token     string
	http      *http.Client
	calls     counters
}

var _ store.Store = (*Client)(nil)

// New returns a Client. An address without a scheme is an http address.
func New(s store.Settings) (*Client, error) {
	if len(s.Addresses) == 0 {
		return nil, errors.New("store.addresses: at least one address is required")
	}
	c := &Client{token: s.Token, timeout: time.Duration(s.TimeoutMS) * time.Millisecond}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	for i, a := range s.Addresses {
		u, err := parseAddress(a)
		if err != nil {
			return nil, fmt.Errorf("store.addresses[%d]: %w", i, err)
		}
		c.addresses = append(c.addresses, u)
	}
	// Dialing one address takes at most an equal share of the timeout, so that
	// there is time for the others when one does not accept connections.
	dialer := &net.Dialer{Timeout: c.timeout / time.Duration(len(c.addresses))}
	c.http = &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, nil
}

func parseAddress(address string) (*url.URL, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil {
		return nil, err
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%q is not an http or https address", address)
	}
	return u, nil
}

// operation is a call to the service.
type operation struct {
	name   string // name under which it is counted
	method string
	path   string
	query  url.Values
	body   []byte
	// timeout limits the attempts at all addresses together.
	timeout time.Duration
	// readOnly marks a call without an effect, which can be repeated at another
	// address even after a failure that does not show whether it was performed.
	readOnly bool
}

// response is a complete response of the service.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do performs op at the preferred address and, if that does not respond, at the
// others in turn. A write is repeated only if no connection was made: after any
// other failure it may have taken effect, and the response to a repeated
// compare-and-swap would then wrongly say that it had not.
func (c *Client) do(ctx context.Context, op operation) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, op.timeout)
	defer cancel()
	first := c.preferred.Load()
	var errs []error
	for i := range c.addresses {
		index := (first + uint32(i)) % uint32(len(c.addresses))
		resp, err := c.attempt(ctx, c.addresses[index], op)
		if err == nil {
			return resp, nil
		}
		c.preferred.CompareAndSwap(index, (index+1)%uint32(len(c.addresses)))
		errs = append(errs, err)
		if ctx.Err() != nil || (!op.readOnly && !notSent(err)) {
			break
		}
	}
	return response{}, result.Errorf(result.StoreUnavailable, "store %s %s: %w", op.name, op.path, errors.Join(errs...))
}

// notSent reports whether err shows that no connection was made, so that the
// request cannot have taken effect.
func notSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// statusError is a response whose status does not reveal the outcome of the call.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// attempt performs op at one address. A response with status 429 or at least 500
// is an error, since it does not reveal the outcome, unless it says that the
// session is invalid.
func (c *Client) attempt(ctx context.Context, base *url.URL, op operation) (response, error) {
	c.calls.add(op.name)
	u := base.JoinPath()
	u.Path = strings.TrimSuffix(u.Path, "/") + op.path
	u.RawQuery = op.query.Encode()
	req, err := http.NewRequestWithContext(ctx, op.method, u.String(), bytes.NewReader(op.body))
	if err != nil {
		return response{}, err
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return response{}, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		if !isInvalidSession(resp.StatusCode, body) {
			return response{}, &statusError{resp.StatusCode, truncate(body)}
		}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// isInvalidSession reports whether the response is that to an acquire with an
// expired session, which the service sends with status 500.
func isInvalidSession(status int, body []byte) bool {
	return status == http.StatusInternalServerError && bytes.Contains(body, []byte("invalid session"))
}

// truncate returns the first 200 bytes of a response body, for an error message.
func truncate(body []byte) string {
	const limit = 200
	if len(body) > limit {
		body = body[:limit]
	}
	return strings.TrimSpace(string(body))
}

// unexpectedResponse returns the error for a response that is not valid for the
// operation.
func unexpectedResponse(opName string, resp response) error {
	return result.Errorf(result.StoreUnavailable, "store %s: unexpected response: %w", opName, &statusError{resp.status, truncate(resp.body)})
}
