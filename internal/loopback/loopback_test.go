package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
)

// TestFreeAddressesDiffer checks that addresses are not returned again while nothing listens on them.
func TestFreeAddressesDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		require.False(t, seen[addr], addr)
		seen[addr] = true
	}
}

// TestFreeAddressIsListenedOn listens on a free address and connects to it.
func TestFreeAddressIsListenedOn(t *testing.T) {
	addr, err := loopback.FreeAddr()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

// TestFreeAddressIsNoServersThatTakesAnyPort checks that the kernel does not assign a free address to listeners on any
// port.
func TestFreeAddressIsNoServersThatTakesAnyPort(t *testing.T) {
	const addresses = 500
	free := make(map[string]bool)
	for range addresses {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		free[addr] = true
	}
	for range addresses {
		ln, err := net.Listen("tcp", loopback.AnyPort())
		require.NoError(t, err)
		defer ln.Close()
		require.False(t, free[ln.Addr().String()], ln.Addr())
	}
}
