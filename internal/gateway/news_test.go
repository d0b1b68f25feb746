package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/io/udp"
)

func news(value []byte) feed.News {
	return feed.News{
		From:     "gateway-1",
		Zone:     "zone",
		Touch:    true,
		Base:     17,
		Revision: 23,
		Returned: waxwingpick.Some(1500 * time.Millisecond),
		Changes: []waxwingpick.KeyChange{
			{
				Entry: waxwingpick.Entry{
					Key:      "op/config",
					Value:    value,
					Revision: 19,
				},
			},
			{
				Entry: waxwingpick.Entry{
					Key:      "servers/gone",
					Revision: 20,
				},
				Removed: true,
			},
		},
	}
}

func TestNewsComeBackTheSame(t *testing.T) {
	want := news(bytes.Repeat([]byte(`{"name":"route"}`), 10_000))
	message, err := encodeNews(want)
	require.NoError(t, err)
	require.Less(t, len(message), udp.MaxMessage)
	got, err := decodeNews(message)
	require.NoError(t, err)
	require.Equal(t, want, got)

	want.Changes = nil
	want.Returned = waxwingpick.None[time.Duration]()
	message, err = encodeNews(want)
	require.NoError(t, err)
	require.Less(t, len(message), 80, "a message without changes is sent several times a second")
	got, err = decodeNews(message)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// TestNewsThatAreTooLargeLeaveAGap has a value that no datagram holds: its receivers are to read it from the service.
func TestNewsThatAreTooLargeLeaveAGap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for name, value := range map[string][]byte{
		"beyond a datagram": func() []byte {
			value := make([]byte, 2*udp.MaxMessage)
			for i := range value {
				value[i] = byte(random.Uint32())
			}
			return value
		}(),
		"beyond the bound of a receiver": bytes.Repeat([]byte("a"), mostNews),
	} {
		message, err := encodeNews(news(value))
		require.NoError(t, err, name)
		got, err := decodeNews(message)
		require.NoError(t, err, name)
		require.Empty(t, got.Changes, name)
		require.EqualValues(t, 23, got.Base, name)
	}
}

func TestNewsOfAnybodyAreBounded(t *testing.T) {
	for name, message := range map[string][]byte{
		"nothing":     nil,
		"summary":     {0x83, 0, 0, 0},
		"kind alone":  {newsKind},
		"no compress": {newsKind, 0xff, 0xff, 0xff, 0xff, 0xff},
		"no news":     append([]byte{newsKind}, s2.Encode(nil, []byte("{}"))...),
		"a bomb":      append([]byte{newsKind}, s2.Encode(nil, make([]byte, 64<<20))...),
	} {
		_, err := decodeNews(message)
		require.ErrorIs(t, err, errNews, name)
	}
}

// FuzzNews has datagrams of anybody decoded.
func FuzzNews(f *testing.F) {
	message, err := encodeNews(news([]byte("value")))
	require.NoError(f, err)
	f.Add(message)
	f.Add(message[:len(message)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := decodeNews(data)
		if err != nil {
			return
		}
		message, err := encodeNews(n)
		require.NoError(t, err)
		_, err = decodeNews(message)
		require.NoError(t, err, fmt.Sprint(n))
	})
}
