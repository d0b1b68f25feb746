package bodyend_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/bodyend"
)

// TestOnlyTheSameIncarnationProvesTheEndOfItsResponse has an address answer after the end of a response. A target that has started
// again, or another one at the address, must not make a truncated response complete.
func TestOnlyTheSameIncarnationProvesTheEndOfItsResponse(t *testing.T) {
	const born = 1000
	id := func(id string, start int64) waxwingpick.Identity {
		var identity waxwingpick.Identity
		if id != "" {
			identity.ID = waxwingpick.Some(waxwingpick.TargetID(id))
		}
		if start != 0 {
			identity.StartUnixMillis = waxwingpick.Some(start)
		}
		return identity
	}
	for name, tc := range map[string]struct {
		senderStart int64
		listedStart int64
		answer      waxwingpick.Identity
		err         error
		want        bodyend.Verdict
	}{
		"same start":                        {senderStart: born, answer: id("", born), want: bodyend.VerdictComplete},
		"same ID and start":                 {senderStart: born, answer: id("a", born), want: bodyend.VerdictComplete},
		"later start":                       {senderStart: born, answer: id("", born+1), want: bodyend.VerdictBroken},
		"same ID, later start":              {senderStart: born, answer: id("a", born+1), want: bodyend.VerdictBroken},
		"another ID, same start":            {senderStart: born, answer: id("b", born), want: bodyend.VerdictBroken},
		"another ID":                        {senderStart: born, answer: id("b", 0), want: bodyend.VerdictBroken},
		"same ID":                           {senderStart: born, answer: id("a", 0), want: bodyend.VerdictComplete},
		"same ID, listed":                   {senderStart: born, listedStart: born, answer: id("a", 0), want: bodyend.VerdictComplete},
		"same ID, listed with later start":  {senderStart: born, listedStart: born + 1, answer: id("a", 0), want: bodyend.VerdictBroken},
		"same ID, no start of the sender":   {listedStart: born, answer: id("a", 0), want: bodyend.VerdictComplete},
		"only a start, none of the sender":  {answer: id("", born), want: bodyend.VerdictUnknown},
		"start and ID, none of the sender":  {answer: id("a", born), want: bodyend.VerdictComplete},
		"names nothing":                     {senderStart: born, want: bodyend.VerdictUnknown},
		"refused connection":                {senderStart: born, err: waxwingpick.ErrEngineUnreachable, want: bodyend.VerdictBroken},
		"no answer":                         {senderStart: born, err: waxwingpick.ErrEngineLost, want: bodyend.VerdictUnknown},
		"answer with an error, same as was": {senderStart: born, answer: id("a", born), err: waxwingpick.ErrEngineLost, want: bodyend.VerdictUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			sender := waxwingpick.Target{
				ID:              "a",
				StartUnixMillis: tc.senderStart,
			}
			err := tc.err
			if err != nil {
				err = fmt.Errorf("identify: %w", err)
			}
			require.Equal(t, tc.want, bodyend.Decide(sender, tc.listedStart, tc.answer, err))
		})
	}
}
