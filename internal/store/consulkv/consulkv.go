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
	// maxAnswerBytes bounds an answer. A value of store.MaxValueBytes takes 4/3
	// of its size in base64, and the other fields need some space.
	maxAnswerBytes = store.MaxValueBytes/3*4 + 64<<10
	// maxIdleConns is the number of idle connections kept for each address;
	// watches and the page writers use most of them at the same time.
	maxIdleConns = 32
	// defaultTimeout applies to settings without timeout_ms.
	defaultTimeout = 2 * time.Second
)

func init() {
	store.Plugins.Register("consulkv", func(s store.Settings) (store.Store, error) { return New(s) })
}

// Client is a client of the service. It is safe for concurrent use.
type Client struct {
	addresses []*url.URL
	preferred atomic.Uint32 // index of the address that is tried first
	timeout   time.Duration
	token     string
	http      *http.Client
	calls     counters
}

var _ store.Store = (*Client)(nil)

// New returns a Client. Addresses without a scheme are taken as http.
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
	// A share of the timeout for each address leaves time for the others when
	// one does not accept connections.
	dialer := &net.Dialer{Timeout: c.timeout / time.Duration(len(c.addresses))}
	c.http = &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, nil
}

func parseAddress(a string) (*url.URL, error) {
	if !strings.Contains(a, "://") {
		a = "http://" + a
	}
	u, err := url.Parse(a)
	if err != nil {
		return nil, err
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("%q is not an http address", a)
	}
	return u, nil
}

// call is one operation on the service.
type call struct {
	op     string // name under which it is counted
	method string
	path   string
	query  url.Values
	body   []byte
	// timeout bounds the call over all addresses.
	timeout time.Duration
	// read marks a call without an effect, which may be repeated at another
	// address after an ambiguous failure.
	read bool
}

// answer is a complete answer of the service.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// do performs c at the preferred address and, if it does not answer, at the
// others in turn. A write is repeated only if no connection was made: after
// any other failure it may have taken effect, and the answer to a repeated
// compare-and-swap would then wrongly say that it had not.
func (c *Client) do(ctx context.Context, op call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, op.timeout)
	defer cancel()
	first := c.preferred.Load()
	var errs []error
	for i := range c.addresses {
		index := (first + uint32(i)) % uint32(len(c.addresses))
		a, err := c.attempt(ctx, c.addresses[index], op)
		if err == nil {
			return a, nil
		}
		c.preferred.CompareAndSwap(index, (index+1)%uint32(len(c.addresses)))
		errs = append(errs, err)
		if ctx.Err() != nil || (!op.read && !notSent(err)) {
			break
		}
	}
	return answer{}, result.Errorf(result.StoreUnavailable, "store %s %s: %w", op.op, op.path, errors.Join(errs...))
}

// notSent reports whether err shows that no connection was made, so that the
// request cannot have had an effect.
func notSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// statusError is an answer that does not say what became of the call.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

func (c *Client) attempt(ctx context.Context, base *url.URL, op call) (answer, error) {
	c.calls.add(op.op)
	u := base.JoinPath()
	u.Path = strings.TrimSuffix(u.Path, "/") + op.path
	u.RawQuery = op.query.Encode()
	req, err := http.NewRequestWithContext(ctx, op.method, u.String(), bytes.NewReader(op.body))
	if err != nil {
		return answer{}, err
	}
	if c.token != "" {
		req.Header.Set("X-Consul-Token", c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return answer{}, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	if resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		if !isInvalidSession(resp.StatusCode, body) {
			return answer{}, &statusError{resp.StatusCode, excerpt(body)}
		}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// isInvalidSession recognises the answer to an acquire with a lapsed session;
// the service sends it with status 500.
func isInvalidSession(status int, body []byte) bool {
	return status == http.StatusInternalServerError && bytes.Contains(body, []byte("invalid session"))
}

// excerpt returns the beginning of an error text for a message.
func excerpt(body []byte) string {
	const limit = 200
	if len(body) > limit {
		body = body[:limit]
	}
	return strings.TrimSpace(string(body))
}

// unexpected is the error for an answer that the operation does not allow.
func unexpected(op string, a answer) error {
	return result.Errorf(result.StoreUnavailable, "store %s: unexpected answer: %w", op, &statusError{a.status, excerpt(a.body)})
}
