package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of one kind. Plug-ins register in init;
// lookups come after that.
type Registry[T any] struct {
	kind string
	mu   sync.RWMutex
	byID map[string]T
}

// NewRegistry returns an empty registry; kind names the kind of plug-in in
// messages.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, byID: make(map[string]T)}
}

// Register adds a plug-in. It panics on an empty or duplicate name, since both
// are faults of the program and found at its first start.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		panic(r.kind + ": plug-in without a name")
	}
	if _, ok := r.byID[name]; ok {
		panic(r.kind + ": plug-in registered twice: " + name)
	}
	r.byID[name] = plugin
}

// Get returns the plug-in registered as name. The error lists the known names.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p, ok := r.byID[name]
	if !ok {
		return p, fmt.Errorf("unknown %s %q, known: %s", r.kind, name, strings.Join(r.names(), ", "))
	}
	return p, nil
}

// Names returns the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.byID))
	for name := range r.byID {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
