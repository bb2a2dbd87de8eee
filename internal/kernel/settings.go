package kernel

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"
)

// MaxSettingsBytes bounds a settings file.
const MaxSettingsBytes = 1 << 20

// Fault is one fault of the settings.
type Fault struct {
	Path   string // dotted path, such as "store.addresses"
	Reason string
}

// Faults are all faults of a settings file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Reason
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (f *Faults) Add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Settings are the typed settings of a program.
type Settings interface {
	// Provision fills in defaults.
	Provision()
	// Validate appends every fault that it finds.
	Validate(faults *Faults)
}

// LoadSettings reads the file at path into s. Unknown fields, wrong types and
// the faults found by Validate are all reported at once as Faults.
func LoadSettings(path string, s Settings) error {
	f, err := os.Open(path)
	if err != nil {
		return Faults{{Path: "settings", Reason: err.Error()}}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxSettingsBytes+1))
	if err != nil {
		return Faults{{Path: "settings", Reason: err.Error()}}
	}
	if len(data) > MaxSettingsBytes {
		return Faults{{Path: "settings", Reason: fmt.Sprintf("larger than %d bytes", MaxSettingsBytes)}}
	}
	return ParseSettings(data, s)
}

// ParseSettings is LoadSettings for data already read.
func ParseSettings(data []byte, s Settings) error {
	var faults Faults
	if !json.Valid(data) {
		var v any
		return Faults{{Path: "settings", Reason: "not valid JSON: " + json.Unmarshal(data, &v).Error()}}
	}
	unknownFields(data, reflect.TypeOf(s), "", &faults)
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		faults = append(faults, decodeFault(err))
	}
	s.Provision()
	s.Validate(&faults)
	if len(faults) > 0 {
		return faults
	}
	return nil
}

func decodeFault(err error) Fault {
	if te, ok := err.(*json.UnmarshalTypeError); ok {
		return Fault{Path: te.Field, Reason: fmt.Sprintf("is a %s, must be a %s", te.Value, te.Type)}
	}
	return Fault{Path: "settings", Reason: err.Error()}
}

// unknownFields reports the object keys of data that t has no field for.
func unknownFields(data json.RawMessage, t reflect.Type, path string, faults *Faults) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		unknownStructFields(data, t, path, faults)
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) == nil {
			for i, item := range items {
				unknownFields(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), faults)
			}
		}
	}
}

func unknownStructFields(data json.RawMessage, t reflect.Type, path string, faults *Faults) {
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil {
		return // a wrong type is reported by the decoder
	}
	known := make(map[string]reflect.Type)
	collectFields(t, known)
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		full := strings.TrimPrefix(path+"."+key, ".")
		ft, ok := known[key]
		if !ok {
			faults.Add(full, "unknown field")
			continue
		}
		unknownFields(object[key], ft, full, faults)
	}
}

func collectFields(t reflect.Type, known map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			collectFields(f.Type, known)
		case name != "-" && name != "" && f.IsExported():
			known[name] = f.Type
		}
	}
}
