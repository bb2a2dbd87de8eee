package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Registry maps names to plug-ins of one kind. Plug-ins register themselves in
// init functions. It is safe for concurrent use.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewRegistry returns an empty registry. kind describes its plug-ins in error
// messages.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: make(map[string]T)}
}

// Register adds a plug-in. It panics on an empty or duplicate name, which is a
// programming error that shows at the first start of the program.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" {
		panic(r.kind + ": plug-in without a name")
	}
	if _, ok := r.plugins[name]; ok {
		panic(r.kind + ": plug-in registered twice: " + name)
	}
	r.plugins[name] = plugin
}

// Get returns the plug-in registered as name. The error for an unknown name lists
// the registered ones.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	p, ok := r.plugins[name]
	if !ok {
		return p, fmt.Errorf("unknown %s %q, known: %s", r.kind, name, strings.Join(r.names(), ", "))
	}
	return p, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
