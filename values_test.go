package waxwingpick_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
)

func TestSetSortsItsMembers(t *testing.T) {
	s := waxwingpick.NewSet("b", "a", "b")
	s.Add("c")
	s.Remove("a")
	require.Equal(t, []string{"b", "c"}, s.Sorted())
	require.Equal(t, 2, s.Len())
	require.False(t, s.Has("a"))
}

func TestClassAndRoleTextRoundTrip(t *testing.T) {
	for _, c := range waxwingpick.Classes() {
		text, err := c.MarshalText()
		require.NoError(t, err)
		var got waxwingpick.Class
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, c, got)
	}
	for _, r := range waxwingpick.Roles() {
		text, err := r.MarshalText()
		require.NoError(t, err)
		var got waxwingpick.Role
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, r, got)
	}
	var r waxwingpick.Role
	require.ErrorContains(t, r.UnmarshalText([]byte("cook")), `role "cook" is none of`)
}
