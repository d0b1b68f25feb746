package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestResumedStreamBeginsAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	for ids, follows := range map[[2]string]bool{
		{"4", "3"}:                    true,
		{"10", "9"}:                   true,
		{"7", "3"}:                    true,
		{"3", "3"}:                    false,
		{"1", "3"}:                    false,
		{"03", "3"}:                   false,
		{"", "3"}:                     true,
		{"b", "a"}:                    true,
		{"a", "a"}:                    false,
		{"-1", "3"}:                   true,
		{"99999999999999999999", "3"}: true,
	} {
		require.Equal(t, follows, eventFollows(ids[0], ids[1]), "%q after %q", ids[0], ids[1])
	}
}
