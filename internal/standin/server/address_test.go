package server_test

import (
	"net"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"waxwingpick/internal/loopback"
	"waxwingpick/internal/standin/server"
)

// TestAddressOfADownServerStaysFree stops servers permanently or temporarily and checks that the kernel does not assign
// their addresses to listeners on any port. Callers of a stopped server would otherwise reach another one.
func TestAddressOfADownServerStaysFree(t *testing.T) {
	const stopped, others = 300, 500
	left := make(map[string]bool)
	for i := range stopped {
		s, err := server.New(func(*fiber.App) {})
		require.NoError(t, err)
		defer s.Close()
		s.Start()
		if i%2 == 0 {
			s.Close()
		} else {
			s.Down(0)
		}
		left[s.Addr()] = true
	}
	for range others {
		ln, err := net.Listen("tcp", loopback.AnyPort())
		require.NoError(t, err)
		defer ln.Close()
		require.False(t, left[ln.Addr().String()], ln.Addr())
	}
}
