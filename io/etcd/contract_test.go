package etcd_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick/core/timer"
	"waxwingpick/internal/kvcontract"
	"waxwingpick/internal/rapidtest"
	"waxwingpick/internal/standin/etcd"
	adapter "waxwingpick/io/etcd"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, kvcontract.Checks)
}

func overHTTP(t kvcontract.Cleaner) kvcontract.System {
	clock := timer.NewManual(time.Unix(0, 0))
	server, client, _ := start(t, clock)
	return kvcontract.System{
		KV:    client,
		Store: server.Store(),
		Clock: clock,
	}
}

func start(t kvcontract.Cleaner, clock *timer.Manual) (*etcd.Server, *adapter.Client, string) {
	server, err := etcd.New(etcd.WithTimers(clock))
	require.NoError(t, err)
	addr, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client, err := adapter.New(addr, adapter.WithTimers(clock))
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return server, client, addr
}

var systems = []struct {
	name string
	make func(t kvcontract.Cleaner) kvcontract.System
}{
	{
		name: "memkv",
		make: kvcontract.Fake,
	},
	{
		name: "etcd",
		make: overHTTP,
	},
}

// TestContractAgainstModel runs random calls and compares every result with a reference model.
func TestContractAgainstModel(t *testing.T) {
	for _, tc := range systems {
		t.Run(tc.name, func(t *testing.T) {
			kvcontract.Check(t, "\xff", tc.make)
		})
	}
}
