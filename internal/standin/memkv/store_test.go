package memkv_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

func TestWriteFaults(t *testing.T) {
	cases := []struct {
		fate    memkv.Fault
		err     error
		written bool
		late    bool
	}{
		{
			fate:    memkv.FaultNone,
			written: true,
		},
		{
			fate: memkv.FaultUnavailable,
			err:  waxwingpick.ErrUnavailable,
		},
		{
			fate: memkv.FaultLoseRequest,
			err:  waxwingpick.ErrUnknownOutcome,
		},
		{
			fate:    memkv.FaultLoseResponse,
			err:     waxwingpick.ErrUnknownOutcome,
			written: true,
		},
		{
			fate: memkv.FaultDefer,
			err:  waxwingpick.ErrUnknownOutcome,
			late: true,
		},
	}
	for _, tc := range cases {
		s := memkv.New(timer.NewManual(time.Unix(0, 0)))
		c, other := s.Client(), s.Client()
		c.SetFault(func(waxwingpick.KeyValueCall) memkv.Fault {
			return tc.fate
		})
		_, err := c.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0)
		require.ErrorIs(t, err, tc.err)
		e, err := other.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, tc.written, e.Exists())
		s.ReleaseDeferred()
		e, err = other.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, tc.written || tc.late, e.Exists())
	}
}

func TestLeaseExpiresOnTheTimerService(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	s := memkv.New(clock)
	c := s.Client()
	var changed []string
	s.Subscribe("k", func(key string) {
		changed = append(changed, key)
	})
	id, err := c.Grant(t.Context(), 3*time.Second)
	require.NoError(t, err)
	_, err = c.CompareAndSwap(t.Context(), "k", 0, nil, id)
	require.NoError(t, err)
	clock.Advance(2 * time.Second)
	left, err := c.KeepAlive(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, left)
	clock.Advance(2 * time.Second)
	require.Len(t, changed, 1)
	clock.Advance(time.Second)
	require.Len(t, changed, 2)
	_, err = c.KeepAlive(t.Context(), id)
	require.ErrorIs(t, err, waxwingpick.ErrLeaseExpired)
}

func TestDelayedWriteTakesEffectAfterItsContextEnds(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	s := memkv.New(clock)
	c := s.Client()
	s.SetDelay(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.CompareAndSwap(ctx, "k", 0, nil, 0)
		done <- err
	}()
	for s.Calls(waxwingpick.CallSwap) == 0 {
		clock.Advance(0)
	}
	cancel()
	require.ErrorIs(t, <-done, waxwingpick.ErrUnknownOutcome)
	clock.Advance(time.Second)
	require.Equal(t, int64(1), s.Revision())
}
