package httpworker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"snipegw/internal/workerapi"
)

// cannedTransport is a transport that answers every request with the same status and body.
type cannedTransport struct {
	status int
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (c cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: c.status, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(c.body))}, nil
}

// FuzzResponses guards against a panic on a malformed response of the worker
// interface.
func FuzzResponses(f *testing.F) {
	f.Add(200, []byte(`{"id":"w1","capacity":{"accelerators":8}}`))
	f.Add(200, []byte(`[{"id":"j/1/0","state":"running","lease_ms":3000}]`))
	f.Add(404, []byte(`{}`))
	f.Add(200, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		c, err := New(workerapi.Settings{Address: "http://127.0.0.1:1", TimeoutMS: 100})
		if err != nil {
			t.Fatal(err)
		}
		c.http.Transport = cannedTransport{status, body}
		ctx := context.Background()
		_, _ = c.Worker(ctx)
		_, _ = c.Tasks(ctx)
		_, _ = c.Usage(ctx)
		_, _ = c.Run(ctx, workerapi.Task{ID: "j/1/0"}, 0)
	})
}
