package waxwingpick

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] struct {
	members map[T]struct{}
}

// NewSet returns a set that holds the given members.
func NewSet[T cmp.Ordered](members ...T) Set[T] {
	s := Set[T]{
		members: make(map[T]struct{}, len(members)),
	}
	for _, m := range members {
		s.members[m] = struct{}{}
	}
	return s
}

// Add adds a member to the set.
func (s *Set[T]) Add(member T) {
	if s.members == nil {
		s.members = make(map[T]struct{})
	}
	s.members[member] = struct{}{}
}

// Remove removes a member from the set.
func (s *Set[T]) Remove(member T) {
	delete(s.members, member)
}

// Has reports whether the set contains the member.
func (s Set[T]) Has(member T) bool {
	_, ok := s.members[member]
	return ok
}

// Len returns the number of members.
func (s Set[T]) Len() int {
	return len(s.members)
}

// Sorted returns the members in ascending order.
func (s Set[T]) Sorted() []T {
	return slices.Sorted(maps.Keys(s.members))
}

// Option is a value that may be absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds a value.
func Some[T any](value T) Option[T] {
	return Option[T]{
		value:   value,
		present: true,
	}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// OrElse returns the value, or fallback if the option is empty.
func (o Option[T]) OrElse(fallback T) T {
	if o.present {
		return o.value
	}
	return fallback
}
