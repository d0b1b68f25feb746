package loopback

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"

	"github.com/rotisserie/eris"
)

// freeTries bounds the search for an address that was not given before; the kernel picks from some 28,000 ports.
const freeTries = 1000

var (
	mu    sync.Mutex
	given = make(map[string]bool)
)

// Host returns the loopback IP address of this process. On Linux every process has one of its own in 127.64.0.0/10, so
// a port that is left for a while, as by a server that restarts, is not taken by another process.
func Host() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	pid := os.Getpid()
	return net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// AnyPort returns an address for listening on a port that the kernel picks.
func AnyPort() string {
	return net.JoinHostPort(Host(), "0")
}

// Free returns an address that nothing listens on, and returns none twice.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range freeTries {
		ln, err := net.Listen("tcp", AnyPort())
		if err != nil {
			return "", fmt.Errorf("find a free port: %w", err)
		}
		addr := ln.Addr().String()
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("release %s: %w", addr, err)
		}
		if !given[addr] {
			given[addr] = true
			return addr, nil
		}
	}
	return "", eris.Errorf("no port of %s is free", Host())
}
