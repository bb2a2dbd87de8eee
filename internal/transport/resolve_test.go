package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"snipegw/internal/wire"
)

// Guards against a call that outlasts its time limit, because its address is a name and the
// resolver does not answer: calls to good peers wait behind it.
func TestCallEndsWhileItsAddressIsResolved(t *testing.T) {
	former := net.DefaultResolver
	defer func() { net.DefaultResolver = former }()
	silent := make(chan struct{})
	defer close(silent)
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(context.Context, string, string) (net.Conn, error) {
		<-silent
		return nil, net.ErrClosed
	}}
	creds, err := NewCredentials(Security{Mode: ModeDevelopment})
	if err != nil {
		t.Fatal(err)
	}
	p, err := NewPool("127.0.0.1:0", creds)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		ended <- p.Call(ctx, "no-such-host.example:7000", wire.KindRelease, &wire.Release{}, &wire.Ack{})
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the call has succeeded")
		}
	case <-time.After(2 * handshakeTimeout):
		t.Error("the call goes on after its time limit")
	}
}

// Guards against addresses that a call cannot use and that end the process, or reach another port.
func TestOddAddressesAreRefused(t *testing.T) {
	for _, addr := range []string{"", ":", "x", "127.0.0.1", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:99999999999999999999", "127.0.0.1:1e3", "[::1:1", "\x00:1"} {
		if a, err := resolve(t.Context(), addr); err == nil {
			t.Errorf("%q became %v", addr, a)
		}
	}
	for addr, want := range map[string]string{"127.0.0.1:7000": "127.0.0.1:7000", "[::1]:1": "[::1]:1", "localhost:7000": "127.0.0.1:7000"} {
		if a, err := resolve(t.Context(), addr); err != nil || a.String() != want {
			t.Errorf("%q became %v, %v", addr, a, err)
		}
	}
}
