package demo

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	standinengine "waxwingpick/internal/standin/engine"
)

// maxClusters is the maximum number of clusters that run concurrently.
const maxClusters = 5

// clusterSlots is a semaphore with one slot for each running cluster.
var clusterSlots = make(chan struct{}, maxClusters)

// acquireClusterSlot acquires a slot for one cluster and releases it when the test ends.
func acquireClusterSlot(t *testing.T) {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() {
		<-clusterSlots
	})
}

func startCluster(t *testing.T, layout Layout) *Cluster {
	t.Helper()
	acquireClusterSlot(t)
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
	log.SetOutput(t.Output())
	layout.Log = log
	if len(layout.Config.Services) == 0 {
		layout.Config = testConfig()
	}
	layout.Zones = []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b"}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c, err := NewCluster(ctx, layout)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		require.NoError(t, c.Close(ctx))
	})
	return c
}

func TestChatAndBookingEndToEnd(t *testing.T) {
	t.Parallel()
	c := startCluster(t, Layout{
		Engines:       2,
		PlainServices: 2,
		Entries:       2,
	})
	caller := NewCaller("studio-1")
	defer caller.Close()
	entry := c.Entries()[0].CallerAddr()
	t.Log(c.Entries()[0].Models())
	got, err := caller.Chat(t.Context(), entry, "stundenplan", "who swapped Tuesday salsa", 12)
	require.NoError(t, err)
	prompt := standinengine.ChatPrompt([]standinengine.Message{{
		Role:    "user",
		Content: "who swapped Tuesday salsa",
	}})
	require.Equal(t, strings.Join(standinengine.ResponseTokens(prompt, 12), ""), got.Text)

	body := []byte(`{"class":"tuesday","child":"a"}`)
	first, err := caller.Call(t.Context(), entry, "studio-app", "POST", "/bookings", body, "key-1")
	require.NoError(t, err)
	again, err := caller.Call(t.Context(), c.Entries()[1].CallerAddr(), "studio-app", "POST", "/bookings", body, "key-1")
	require.NoError(t, err)
	require.Equal(t, string(first), string(again))
	runs := 0
	for _, s := range c.Services() {
		runs += len(s.Runs())
	}
	require.Equal(t, 1, runs)
}
