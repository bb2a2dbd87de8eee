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

// MaxSettingsBytes limits the size of a settings file.
const MaxSettingsBytes = 1 << 20

// ValidationError describes one fault in the settings.
type ValidationError struct {
	Path   string // dotted path, such as "store.addresses"
	Reason string
}

// ValidationErrors is the error that lists all faults found in a settings file.
type ValidationErrors []ValidationError

// Error returns the faults as text, one per line.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Reason
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault at path with a formatted reason.
func (f *ValidationErrors) Add(path, format string, args ...any) {
	*f = append(*f, ValidationError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Settings is implemented by the settings type of each program.
type Settings interface {
	// Provision fills in defaults.
	Provision()
	// Validate appends to faults every invalid setting that it finds.
	Validate(faults *ValidationErrors)
}

// LoadSettings reads the JSON file at path into s, fills in defaults and
// validates the result. The error is of type ValidationErrors and reports unknown
// fields, wrong types and the faults found by Validate together.
func LoadSettings(path string, s Settings) error {
	f, err := os.Open(path)
	if err != nil {
		return ValidationErrors{{Path: "settings", Reason: err.Error()}}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxSettingsBytes+1))
	if err != nil {
		return ValidationErrors{{Path: "settings", Reason: err.Error()}}
	}
	if len(data) > MaxSettingsBytes {
		return ValidationErrors{{Path: "settings", Reason: fmt.Sprintf("larger than %d bytes", MaxSettingsBytes)}}
	}
	return ParseSettings(data, s)
}

// ParseSettings is like LoadSettings but parses data instead of a file.
func ParseSettings(data []byte, s Settings) error {
	var faults ValidationErrors
	if !json.Valid(data) {
		var v any
		return ValidationErrors{{Path: "settings", Reason: "not valid JSON: " + json.Unmarshal(data, &v).Error()}}
	}
	reportUnknownFields(data, reflect.TypeOf(s), "", &faults)
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

// DecodeSection decodes a part of a settings file, such as the settings of a plug-in,
// into s like ParseSettings. It appends the faults with paths below path.
func DecodeSection(data json.RawMessage, path string, s Settings, faults *ValidationErrors) {
	var found ValidationErrors
	if err, ok := ParseSettings(data, s).(ValidationErrors); ok {
		found = err
	}
	for _, fault := range found {
		*faults = append(*faults, ValidationError{Path: path + "." + fault.Path, Reason: fault.Reason})
	}
}

// decodeFault returns the fault that a JSON decoding error stands for.
func decodeFault(err error) ValidationError {
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
		return ValidationError{Path: typeErr.Field, Reason: fmt.Sprintf("is a %s, must be a %s", typeErr.Value, typeErr.Type)}
	}
	return ValidationError{Path: "settings", Reason: err.Error()}
}

// reportUnknownFields appends a fault for each object key in data, at any depth,
// that has no corresponding field in t. path is the dotted path of data.
func reportUnknownFields(data json.RawMessage, t reflect.Type, path string, faults *ValidationErrors) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		reportUnknownStructFields(data, t, path, faults)
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) == nil {
			for i, item := range items {
				reportUnknownFields(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), faults)
			}
		}
	}
}

func reportUnknownStructFields(data json.RawMessage, t reflect.Type, path string, faults *ValidationErrors) {
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil {
		return // the decoder reports a wrong type
	}
	known := make(map[string]reflect.Type)
	collectFields(t, known)
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		fieldPath := strings.TrimPrefix(path+"."+key, ".")
		fieldType, ok := known[key]
		if !ok {
			faults.Add(fieldPath, "unknown field")
			continue
		}
		reportUnknownFields(object[key], fieldType, fieldPath, faults)
	}
}

// collectFields adds the types of the fields of struct type t to known, by JSON
// name. Fields of embedded structs count as fields of t.
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
