package engine

import (
	"maps"
	"slices"
)

// sharing tells during one decision, or one trial of it, which units that serve and which that fill
// hold a worker: the two never share one, because filling items raise the latency of serving ones.
type sharing struct {
	released map[*unit]bool // taken for ended
	// kept holds the workers on which units start in this decision, or that are kept free for them.
	keptForServing, keptForFilling map[*worker]bool
}

func newSharing() sharing {
	return sharing{released: make(map[*unit]bool), keptForServing: make(map[*worker]bool), keptForFilling: make(map[*worker]bool)}
}

// clone returns a copy for a trial.
func (s sharing) clone() sharing {
	return sharing{released: maps.Clone(s.released), keptForServing: maps.Clone(s.keptForServing), keptForFilling: maps.Clone(s.keptForFilling)}
}

func (u *unit) serves() bool { return u.spec().TargetMS > 0 }

func (u *unit) fills() bool { return u.spec().Fills }

// excludes reports whether items of u and of o must not run on one worker.
func (u *unit) excludes(o *unit) bool {
	s, other := u.spec(), o.spec()
	return s.TargetMS > 0 && other.Fills || s.Fills && other.TargetMS > 0
}

// keepFor records that w is taken, or kept free, for items of u.
func (s sharing) keepFor(u *unit, w *worker) {
	if u.serves() {
		s.keptForServing[w] = true
	}
	if u.fills() {
		s.keptForFilling[w] = true
	}
}

// isKeptFrom reports whether w is kept free for units that exclude u.
func (s sharing) isKeptFrom(u *unit, w *worker) bool {
	return u.serves() && s.keptForFilling[w] || u.fills() && s.keptForServing[w]
}

// mayShare reports whether items of u may run beside those that hold w.
func (s sharing) mayShare(u *unit, w *worker) bool {
	if !u.serves() && !u.fills() {
		return true
	}
	return !s.isKeptFrom(u, w) && !slices.ContainsFunc(w.members, func(m *member) bool { return u.excludes(m.unit) && !s.released[m.unit] })
}

// mayShareLater reports whether nothing that lasts, and that the class of u may not preempt, keeps u
// from w.
func (e *Engine) mayShareLater(u *unit, class int, w *worker) bool {
	if !u.serves() && !u.fills() {
		return true
	}
	return !slices.ContainsFunc(w.members, func(m *member) bool { return u.excludes(m.unit) && e.holdsForLong(m.unit, class) })
}
