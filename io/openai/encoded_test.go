package openai_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/rawhttp"
	"waxwingpick/io/openai"
)

// TestEncodedModelRequestIsRefused guards against model requests whose decoded size exceeds the limit of a body by any factor.
func TestEncodedModelRequestIsRefused(t *testing.T) {
	body := rawhttp.Gzip(strings.Replace(requestBody("false"), "hi", strings.Repeat("a", 100*maxBody), 1))
	require.Less(t, len(body), maxBody)
	b := &backend{
		end: io.EOF,
	}
	url := start(t, b)
	for _, path := range []string{openai.ChatPath, openai.CompletionsPath} {
		resp, _ := post(t, url+path, body, "Content-Encoding", "gzip")
		require.Equal(t, http.StatusUnsupportedMediaType, resp.StatusCode)
		require.Equal(t, "identity", resp.Header.Get("Accept-Encoding"))
		resp, _ = post(t, url+path, "{", "Content-Encoding", "Identity")
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	require.Zero(t, b.call)
}

// TestResponseWithoutMediaTypeGetsNone guards against a media type that the server adds to the response of a service.
func TestResponseWithoutMediaTypeGetsNone(t *testing.T) {
	url := start(t, &backend{})
	resp, _ := post(t, url+"/services/app/bookings", "body")
	require.Equal(t, http.StatusCreated, resp.StatusCode)
	require.NotContains(t, resp.Header, "Content-Type")
}
