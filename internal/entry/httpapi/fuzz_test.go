package httpapi

import (
	"encoding/json"
	"strings"
	"testing"

	"snipegw/internal/config"
	"snipegw/internal/entry/admission"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

func decodeIgnoringUnknown(text string, v any) error { return json.Unmarshal([]byte(text), v) }

// Guards against JSON bodies that crash the decoder, are refused with a code that does
// not blame the caller's input, or pass the checks with values out of bounds.
func FuzzJobBody(f *testing.F) {
	f.Add([]byte(`{"id":"j","class":"urgent","shape":{"tasks":2,"accelerators_per_task":8,"adjacent":"rack"}}`))
	f.Add([]byte(`{"class":"preemptible","shape":{"tasks":1,"cores_per_task":1,"adjacent":"any"},"declared_ms":-1}`))
	f.Add([]byte(`{"shape":{"tasks":1e99}}`))
	f.Add([]byte(`{"unknown":[[[[]]]]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{}{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var job model.Job
		err := decodeJSON(data, &job)
		if err == nil {
			err = admission.CheckJob(&job)
		}
		if err != nil {
			if code := result.CodeOf(err); code != result.BadRequest && code != result.UnknownField {
				t.Fatalf("code %d for an invalid body, want bad_request or unknown_field", code)
			}
			return
		}
		if job.Shape.Tasks < 1 || job.Shape.Accelerators() < 0 || job.DeclaredMS < 0 || job.ID == "" {
			t.Fatalf("accepted a job outside its bounds: %+v", job)
		}
	})
}

// Guards against patch bodies that crash the decoder.
func FuzzPatchBody(f *testing.F) {
	f.Add([]byte(`{"id":"p1","base_version":3,"type":"merge-patch","patch":{"teams":[]},"dry_run":true}`))
	f.Add([]byte(`{"id":"p1","base_version":-3,"type":"json-patch","patch":[{"op":"add","path":"/teams/-","value":{}}]}`))
	f.Add([]byte(`{"patch":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var p config.PatchRequest
		if err := decodeJSON(data, &p); err != nil && result.CodeOf(err) == result.Internal {
			t.Fatalf("an invalid body was reported as an internal error: %v", err)
		}
	})
}

// Guards against a service or target that loses or gains bytes when a path is split.
func FuzzRequestPath(f *testing.F) {
	f.Add("/v1/services/pricing/request/a/b", "x=1")
	f.Add("/v1/services/pricing/request", "")
	f.Add("/v1/services/pricing/requests/a", "")
	f.Add("/v1/services//request/a", "")
	f.Add("/v1/services/p/request/../../x//y", "")
	f.Fuzz(func(t *testing.T, path, query string) {
		service, target, ok := requestPath(path, query)
		if !ok {
			return
		}
		if service == "" || strings.Contains(service, "/") || !strings.HasPrefix(target, "/") {
			t.Fatalf("service %q, target %q", service, target)
		}
		whole := servicesPrefix + service + requestSegment
		rest := strings.TrimSuffix(target, "?"+query)
		if path != whole && path != whole+rest {
			t.Fatalf("%q became service %q, target %q", path, service, target)
		}
	})
}
