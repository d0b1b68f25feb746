package gateway

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/placement"
)

// sampleMessage returns a message of typical size.
func sampleMessage() message {
	s := placement.Summary{}
	for i := range 18 {
		s.Engines = append(s.Engines, placement.EngineLoad{
			Engine:        placement.KeyOf(waxwingpick.TargetID(rune('a' + i))),
			WorkMillis:    300,
			Running:       12,
			OverdueMillis: 200,
			Occupied:      []int{3000, 180_000},
		})
		s.Reads = append(s.Reads, placement.CachedPrompt{
			Engine: placement.KeyOf(waxwingpick.TargetID(rune('a' + i))),
			Keys:   []uint64{1 << 63, 1 << 62},
			Tokens: []int{13_000, 4000},
		})
	}
	return message{
		From: "gateway-1",
		Zone: "zone",
		Services: map[waxwingpick.ServiceName]placement.Summary{
			"llm": s,
		},
		Digests: []zoneDigest{{
			Zone:      "other",
			AgeMillis: 120,
			Services: map[waxwingpick.ServiceName]placement.Summary{
				"llm": {
					Engines: s.Engines[:2],
				},
			},
		}},
	}
}

// TestMessagesOfFormerVersionsAreDropped decodes the message of a gateway from before zone digests. Such a gateway is
// listed without a zone, and its messages have three fields.
func TestMessagesOfFormerVersionsAreDropped(t *testing.T) {
	former, err := cbor.Marshal([]any{"former", map[string]any{}, nil})
	require.NoError(t, err)
	var m message
	require.Error(t, cbor.Unmarshal(former, &m))
	_, all, _ := newNetwork(t, 1, 2)
	all[0].receive(former)
}

func TestMessagesAreShortAndRoundTrip(t *testing.T) {
	encoded, err := cbor.Marshal(sampleMessage())
	require.NoError(t, err)
	require.Less(t, len(encoded), 1200)
	var m message
	require.NoError(t, cbor.Unmarshal(encoded, &m))
	require.Equal(t, sampleMessage(), m)
}

// FuzzMessage decodes arbitrary datagrams.
func FuzzMessage(f *testing.F) {
	encoded, err := cbor.Marshal(sampleMessage())
	require.NoError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		again, err := cbor.Marshal(m)
		require.NoError(t, err)
		require.NoError(t, cbor.Unmarshal(again, &m))
	})
}
