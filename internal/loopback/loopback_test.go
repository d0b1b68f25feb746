package loopback_test

import (
	"net"
	"os"
	"os/exec"
	"testing"

	"github.com/sourcegraph/conc"
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

// TestFreeAddressIsHeldByNoForkedProcess guards against addresses that a process which was forked meanwhile holds until
// it executes its program.
func TestFreeAddressIsHeldByNoForkedProcess(t *testing.T) {
	const addresses, forks = 1500, 4
	done := make(chan struct{})
	var forking conc.WaitGroup
	for range forks {
		forking.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	var used []error
	for range addresses {
		addr, err := loopback.FreeAddr()
		require.NoError(t, err)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			used = append(used, err)
			continue
		}
		require.NoError(t, ln.Close())
	}
	close(done)
	forking.Wait()
	require.Empty(t, used, "of %d addresses", addresses)
}
