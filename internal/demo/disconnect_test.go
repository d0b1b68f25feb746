package demo

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/openai"
)

// TestCallerThatLeavesAWholeAnswerFreesItsEngine checks that generation is cancelled when the caller of a response that
// is not streamed disconnects.
func TestCallerThatLeavesAWholeAnswerFreesItsEngine(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Config:        moveConfig(),
		Engines:       1,
		PlainServices: 1,
		Entries:       1,
		EngineOptions: []standinengine.Option{standinengine.Speed(time.Microsecond, 5*time.Millisecond)},
	})
	ctx, leave := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		body := strings.NewReader(`{"model":"stundenplan","max_tokens":2000,"messages":[{"role":"user","content":"salsa"}]}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Entries()[0].CallerAddr()+openai.ChatPath, body)
		require.NoError(t, err)
		_, err = http.DefaultClient.Do(req)
		require.ErrorIs(t, err, context.Canceled)
	})
	awaitTokens(t, c, 20)
	leave()
	c.requireReleased(t)
	r := c.Engines()[0].Record()
	t.Logf("%d of 2,000 tokens were generated", r.Tokens)
	require.Equal(t, 1, r.Cancelled)
	require.Less(t, r.Tokens, int64(2000))
}
