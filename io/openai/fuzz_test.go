package openai

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzChunk compares the go-json decoder and encoder of chunks with encoding/json. Data that encoding/json rejects must
// be rejected, and other data must decode and encode to the same value.
func FuzzChunk(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" x"},"finish_reason":null}]}`,
		`{"choices":[{"index":0,"text":"\ud83d\ude00\u2028<&>","logprobs":{"tokens":["a"]},"finish_reason":"stop"}],"usage":{"prompt_tokens":1}}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"c","function":{"name":"f","arguments":"{}"}}]}}]}`,
		`{"usage":{"prompt_tokens":}}`,
		`{"choices":null,"choices":[]}`,
		"{\"id\":\"\xff\\ud800\"}",
		`{"created":1e3}`,
		`[]`,
		`null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var want Chunk
		wantErr := json.Unmarshal(data, &want)
		got, err := ParseChunk(data)
		if wantErr != nil {
			require.Error(t, err)
			return
		}
		require.NoError(t, err)
		wantJSON, err := json.Marshal(want)
		require.NoError(t, err)
		gotJSON, err := marshalChunk(got)
		require.NoError(t, err)
		require.JSONEq(t, string(wantJSON), string(gotJSON))
	})
}
