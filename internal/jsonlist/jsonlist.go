// Package jsonlist decodes JSON arrays whose elements take far more memory than their text.
package jsonlist

import (
	"bytes"
	"encoding/json"
)

// Decode decodes data, a valid JSON value that must be an array or null, up to limit+1 elements: a caller that accepts at most
// limit sees that there are too many. It ignores the rest of the array. If equal isn't nil, it leaves out elements
// that are equal to an earlier one.
func Decode[T any](data []byte, limit int, equal func(a, b T) bool) ([]T, error) {
	if len(data) == 0 || data[0] != '[' {
		var list []T
		return list, json.Unmarshal(data, &list)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	list := []T{}
next:
	for d.More() && len(list) <= limit {
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		if equal != nil {
			for _, e := range list {
				if equal(e, element) {
					continue next
				}
			}
		}
		list = append(list, element)
	}
	return list, nil
}
