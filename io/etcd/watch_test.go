package etcd_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/internal/kvcontract"
)

// watching runs a watch and returns channels of the changed keys and of the final error.
func watching(ctx context.Context, s kvcontract.System, prefix string) (keys chan string, ended chan error) {
	keys = make(chan string, 16)
	ended = make(chan error, 1)
	go func() {
		ended <- s.KV.Watch(ctx, prefix, func(key string) {
			select {
			case keys <- key:
			default:
			}
		})
	}()
	return keys, ended
}

// put writes a key until the watch reports it, since the watch starts asynchronously.
func put(t *testing.T, s kvcontract.System, key string, keys chan string) {
	for {
		e, err := s.KV.Get(t.Context(), key)
		require.NoError(t, err)
		_, err = s.KV.CompareAndSwap(t.Context(), key, e.Revision, nil, 0)
		require.NoError(t, err)
		select {
		case got := <-keys:
			require.NotEqual(t, "p/dropped", got)
			require.NotEqual(t, "q", got)
			if got == key {
				return
			}
		default:
		}
	}
}

func TestWatch(t *testing.T) {
	for _, tc := range systems {
		t.Run(tc.name, func(t *testing.T) {
			s := tc.make(t)
			ctx, cancel := context.WithCancel(t.Context())
			keys, ended := watching(ctx, s, "p/")
			_, err := s.KV.CompareAndSwap(t.Context(), "q", 0, nil, 0)
			require.NoError(t, err)
			put(t, s, "p/1", keys)
			cancel()
			require.ErrorIs(t, <-ended, context.Canceled)

			keys, ended = watching(t.Context(), s, "p/")
			put(t, s, "p/2", keys)
			s.Store.SetDown(true)
			require.ErrorIs(t, <-ended, waxwingpick.ErrUnavailable)
			_, ended = watching(t.Context(), s, "p/")
			require.ErrorIs(t, <-ended, waxwingpick.ErrUnavailable)
		})
	}
}

func TestDroppedEventsStayUnseen(t *testing.T) {
	for _, tc := range systems {
		t.Run(tc.name, func(t *testing.T) {
			s := tc.make(t)
			keys, _ := watching(t.Context(), s, "p/")
			put(t, s, "p/1", keys)
			s.Store.SetDropEvents(true)
			_, err := s.KV.CompareAndSwap(t.Context(), "p/dropped", 0, nil, 0)
			require.NoError(t, err)
			s.Store.SetDropEvents(false)
			put(t, s, "p/3", keys)
			s.Store.BreakWatches()
		})
	}
}
