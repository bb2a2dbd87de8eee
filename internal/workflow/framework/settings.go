package framework

import (
	"encoding/json"
	"maps"
	"slices"

	"snipegw/internal/kernel"
)

// Settings holds the settings of the plug-ins that are switched on, by name.
type Settings map[string]json.RawMessage

// Validate appends the faults of s to faults; path is the path of s in the settings
// file.
func (s Settings) Validate(path string, faults *kernel.ValidationErrors) { s.factories(path, faults) }

// Constructor returns a function that makes a new Set. The settings must have been
// validated.
func (s Settings) Constructor() func() Set {
	constructors := s.factories("", new(kernel.ValidationErrors))
	return func() Set {
		set := make(Set, len(constructors))
		for name, construct := range constructors {
			set[name] = construct()
		}
		return set
	}
}

func (s Settings) factories(path string, faults *kernel.ValidationErrors) map[string]func() Plugin {
	out := make(map[string]func() Plugin, len(s))
	for _, name := range slices.Sorted(maps.Keys(s)) {
		factory, err := Plugins.Get(name)
		if err != nil {
			faults.Add(path+"."+name, "%v", err)
			continue
		}
		if construct := factory(s[name], path+"."+name, faults); construct != nil {
			out[name] = construct
		}
	}
	return out
}
