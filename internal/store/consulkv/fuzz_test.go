package consulkv

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"snipegw/internal/result"
	"snipegw/internal/store"
)

// cannedTransport responds to every call with the same status and body.
type cannedTransport struct {
	status int
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status, Header: http.Header{"X-Consul-Index": {"7"}}, Request: r,
		Body: io.NopCloser(bytes.NewReader(c.body)),
	}, nil
}

// FuzzAnswers guards against a panic on a damaged response of the store, and
// against a damaged response that is taken for a missing key or a successful
// write.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`[{"Key":"k","Value":"dg==","ModifyIndex":7,"Session":"s"}]`))
	f.Add(200, []byte(`true`))
	f.Add(404, []byte(``))
	f.Add(500, []byte(`rpc error`))
	f.Add(200, []byte(`[{"ModifyIndex":18446744073709551616}]`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c, err := New(store.Settings{Addresses: []string{"http://127.0.0.1:1"}, TimeoutMS: 100})
		if err != nil {
			t.Fatal(err)
		}
		c.http.Transport = cannedTransport{status, body}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e, err := c.Get(ctx, "k")
		if err != nil && result.CodeOf(err) != result.StoreUnavailable {
			t.Fatalf("get: %v", err)
		}
		if err == nil && e.Revision == 0 && status != http.StatusNotFound {
			t.Fatalf("status %d with body %q reads as a missing key", status, body)
		}
		done, err := c.CompareAndSwap(ctx, "k", 1, nil)
		if done && (err != nil || status != http.StatusOK) {
			t.Fatalf("status %d with body %q reads as a write", status, body)
		}
	})
}
