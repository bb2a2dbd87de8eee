package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/apex/log"

	"snipegw/internal/result"
)

// Names of the header fields of this API.
const (
	HeaderCode       = "Snipegw-Code"
	HeaderTicket     = "Snipegw-Ticket"
	HeaderIdempotent = "Snipegw-Idempotent"
	HeaderTimeout    = "Snipegw-Timeout-Ms"
	HeaderRequestID  = "Snipegw-Request-Id"
	HeaderTeam       = "Snipegw-Team"
	headerPrefix     = "Snipegw-"
)

const (
	// maxJSONBytes is the maximum size of a JSON request body.
	maxJSONBytes = 1 << 20
	// retryAfterSeconds is the value of Retry-After in responses 429 and 503.
	retryAfterSeconds = 1
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	Ran     result.Ran  `json:"ran"`
	Action  string      `json:"action"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		writeError(w, "", result.Errorf(result.Internal, "encode response: %w", err))
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// setCode sets HeaderCode, and Retry-After for the statuses 429 and 503.
func setCode(h http.Header, code result.Code) {
	h.Set(HeaderCode, strconv.Itoa(int(code))+" "+code.String())
	if status := code.Info().Status; status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
}

// writeError writes the error response for err. The id is that of the request, or
// empty. Internal errors are logged with it.
func writeError(w http.ResponseWriter, id string, err error) {
	code := result.CodeOf(err)
	info := code.Info()
	if code == result.Internal {
		log.WithFields(log.Fields{"event": "internal", "code": int(code), "request": id, "error": err.Error()}).Error("request failed with an internal error")
	}
	setCode(w.Header(), code)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	writeJSON(w, info.Status, errorBody{Code: code, Name: info.Name, Message: result.MessageOf(err), Ran: info.Ran, Action: info.Action})
}

// readJSON decodes the JSON body of r into v. It refuses unknown fields, a second JSON
// value, and bodies larger than maxJSONBytes.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxJSONBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.BodyTooLarge, "the body exceeds the limit of %d bytes; send a smaller one", maxJSONBytes)
	}
	if result.HasCode(err) {
		return err
	}
	if err != nil {
		return result.Errorf(result.BadRequest, "the body cannot be read: %w", err)
	}
	return decodeJSON(data, v)
}

func decodeJSON(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return jsonError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.Errorf(result.BadRequest, "the body holds more than one JSON value; send exactly one")
	}
	return nil
}

// jsonError returns the error for the caller for an error of the JSON decoder.
func jsonError(err error) error {
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return result.Errorf(result.UnknownField, "the field %s is not known; remove or correct it", name)
	}
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return result.Errorf(result.BadRequest, "the field %q is a JSON %s and must be a %s", te.Field, te.Value, te.Type)
	}
	if errors.Is(err, io.EOF) {
		return result.Errorf(result.BadRequest, "the body is empty; send a JSON object")
	}
	return result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
}

// parseBoolHeader returns the value of a header field that must be true or false, and
// whether the field is set.
func parseBoolHeader(h http.Header, name string) (value, set bool, err error) {
	text := h.Get(name)
	switch text {
	case "":
		return false, false, nil
	case "true":
		return true, true, nil
	case "false":
		return false, true, nil
	}
	return false, false, result.Errorf(result.BadRequest, "the header %s is %q and must be true or false", name, fmt.Sprintf("%.40s", text))
}
