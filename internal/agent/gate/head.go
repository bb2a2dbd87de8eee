package gate

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"snipegw/internal/result"
	"snipegw/internal/wire"
)

// Limits of a request head.
const (
	maxHeaderFields = 256
	maxHeaderBytes  = 64 << 10
	maxTargetBytes  = 16 << 10
	maxMethodBytes  = 32
)

// RequestIDHeader is the header field that carries the request id to the backend
// server.
const RequestIDHeader = "Snipegw-Request-Id"

// hopByHop lists the header fields that are not forwarded: those that apply to one
// connection only (RFC 9110, section 7.6.1, and those that older peers treat as
// such) and Content-Length.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true, // the head carries the length in BodyBytes
}

// checkHead validates a request head received from an entry and returns the parsed
// target. The error has the code BadRequest.
func checkHead(head *wire.RequestHead) (*url.URL, error) {
	if !validToken(head.Method) || len(head.Method) > maxMethodBytes || head.Method == http.MethodConnect {
		return nil, result.Errorf(result.BadRequest, "method %.32q is not supported", head.Method)
	}
	if len(head.Target) > maxTargetBytes || !strings.HasPrefix(head.Target, "/") {
		return nil, result.Errorf(result.BadRequest, "the target must begin with / and have at most %d bytes", maxTargetBytes)
	}
	target, err := url.ParseRequestURI(head.Target)
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "target: %w", err)
	}
	if head.BodyBytes < -1 {
		return nil, result.Errorf(result.BadRequest, "the body length must be -1 (unknown) or not negative")
	}
	if len(head.Header) > maxHeaderFields {
		return nil, result.Errorf(result.BadRequest, "the request has more than %d header fields", maxHeaderFields)
	}
	total := 0
	for _, f := range head.Header {
		total += len(f.Name) + len(f.Value)
		if !validToken(f.Name) || !validValue(f.Value) {
			return nil, result.Errorf(result.BadRequest, "header field %.64q is not valid", f.Name)
		}
	}
	if total > maxHeaderBytes || !validValue(head.ID) {
		return nil, result.Errorf(result.BadRequest, "the header exceeds %d bytes or the request id holds control characters", maxHeaderBytes)
	}
	return target, nil
}

// validToken reports whether s is a token as in RFC 9110, section 5.6.2.
func validToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

// validValue reports whether s has no control characters other than tab, so that
// it cannot end a header field.
func validValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// requestHeader returns the header to send to the backend server without
// hop-by-hop fields, and the value of the Host field, which is not part of it.
func requestHeader(head *wire.RequestHead) (header http.Header, host string) {
	header = make(http.Header, len(head.Header)+2)
	for _, f := range head.Header {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		switch {
		case hopByHop[name]:
			if name == "Connection" {
				defer removeConnectionFields(header, f.Value)
			}
		case name == "Host":
			host = f.Value
		default:
			header[name] = append(header[name], f.Value)
		}
	}
	header[RequestIDHeader] = []string{head.ID}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // stops http.Transport from adding its own
	}
	if !head.Idempotent {
		hideIdempotencyKeys(header)
	}
	return header, host
}

// hideIdempotencyKeys changes the names of the idempotency key fields to lower
// case. http.Transport resends a request that has one of them in canonical case
// when a connection fails.
func hideIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = v
		}
	}
}

// removeConnectionFields removes the fields listed in a Connection field, except
// RequestIDHeader.
func removeConnectionFields(header http.Header, list string) {
	for name := range strings.SplitSeq(list, ",") {
		name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
		if name != RequestIDHeader {
			delete(header, name)
		}
	}
}

// responseFields returns the header fields of a response that are forwarded to the
// caller: all but the hop-by-hop fields.
func responseFields(header http.Header) []wire.HeaderField {
	listed := make(http.Header)
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			listed.Add(strings.TrimSpace(name), "")
		}
	}
	out := make([]wire.HeaderField, 0, len(header))
	for name, values := range header {
		if _, skip := listed[name]; skip || hopByHop[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.HeaderField{Name: name, Value: v})
		}
	}
	return out
}
