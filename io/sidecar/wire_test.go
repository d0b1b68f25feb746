package sidecar_test

import (
	"encoding/json"
	"testing"
	"time"

	fast "github.com/goccy/go-json"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/suspect"
	"waxwingpick/io/sidecar"
)

// TestFastEncodingMatchesStandard checks that go-json, which encodes the messages of the request path, and
// encoding/json decode each other's output to the same values.
func TestFastEncodingMatchesStandard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String()
		lifted := time.Unix(rapid.Int64Range(0, 1<<40).Draw(t, "lifted"), rapid.Int64Range(0, 999_999_999).Draw(t, "nanos")).UTC()
		record := suspect.Record{
			Fingerprint: suspect.Of("w", "p", []byte(text.Draw(t, "body"))),
			Lifted:      lifted,
		}
		requireSameEncoding(t, &sidecar.Attempt{
			ID:              text.Draw(t, "id"),
			Class:           rapid.SampledFrom([]waxwingpick.Class{waxwingpick.ClassQuick, waxwingpick.ClassLong, waxwingpick.ClassOrder}).Draw(t, "class"),
			Headers:         rapid.SliceOfN(rapid.Make[waxwingpick.Header](), 0, 3).Draw(t, "headers"),
			RemainingMillis: rapid.Int64().Draw(t, "remaining"),
			Fingerprint:     record.Fingerprint,
			Suspicion:       &record,
			Prefill:         rapid.Ptr(rapid.Make[sidecar.PrefillStage](), true).Draw(t, "prefill"),
			Source:          rapid.Ptr(rapid.Make[sidecar.MoveSource](), true).Draw(t, "source"),
		})
		data, err := json.Marshal(text.Draw(t, "data"))
		require.NoError(t, err)
		requireSameEncoding(t, &sidecar.Frame{
			Attempt: text.Draw(t, "attempt"),
			Offset:  rapid.Int64().Draw(t, "offset"),
			Data:    data,
			Refusal: rapid.Ptr(rapid.Make[waxwingpick.Refusal](), true).Draw(t, "refusal"),
			Report: &sidecar.Report{
				Load: rapid.Make[waxwingpick.TargetLoad]().Draw(t, "load"),
				Active: waxwingpick.EngineConfig{
					Role:  rapid.SampledFrom(waxwingpick.Roles()).Draw(t, "role"),
					Model: text.Draw(t, "model"),
				},
				Totals: rapid.Make[sidecar.Totals]().Draw(t, "totals"),
			},
		})
	})
}

// TestFieldValuesOfAnyBytesReachTheOtherSide guards against fields of a call or its response whose bytes JSON replaces.
func TestFieldValuesOfAnyBytesReachTheOtherSide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		headers := []waxwingpick.Header{{
			Name:  "X-Own",
			Value: string(rapid.SliceOf(rapid.Byte()).Draw(t, "value")),
		}}
		encoded, err := fast.Marshal(sidecar.Attempt{
			Headers: headers,
		})
		require.NoError(t, err)
		var a sidecar.Attempt
		require.NoError(t, fast.Unmarshal(encoded, &a))
		require.Equal(t, headers, a.Headers)
		encoded, err = fast.Marshal(sidecar.Result{
			Headers: headers,
		})
		require.NoError(t, err)
		var r sidecar.Result
		require.NoError(t, fast.Unmarshal(encoded, &r))
		require.Equal(t, headers, r.Headers)
	})
}

func requireSameEncoding[T any](t *rapid.T, value *T) {
	standardJSON, err := json.Marshal(value)
	if err != nil {
		// Values that encoding/json can't encode, such as an infinite load, must fail in both packages.
		_, err = fast.Marshal(value)
		require.Error(t, err)
		return
	}
	fastJSON, err := fast.Marshal(value)
	require.NoError(t, err)
	require.JSONEq(t, string(standardJSON), string(fastJSON))
	var want, got T
	require.NoError(t, json.Unmarshal(fastJSON, &want))
	require.NoError(t, fast.Unmarshal(standardJSON, &got))
	require.Equal(t, want, got)
}
