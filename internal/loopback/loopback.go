package loopback

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Free addresses have ports below those that kernels pick by themselves, 32,768 and up on Linux, so that no server which
// takes any port gets one of them before its own listens there.
const (
	firstFree = 10_000
	lastFree  = 32_000
)

var (
	mu   sync.Mutex
	next = firstFree
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
	for next < lastFree {
		addr := net.JoinHostPort(Host(), strconv.Itoa(next))
		next++
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			// Another process may listen there where not every process has an address of its own.
			continue
		}
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("release %s: %w", addr, err)
		}
		return addr, nil
	}
	return "", eris.Errorf("no port of %s is free", Host())
}
