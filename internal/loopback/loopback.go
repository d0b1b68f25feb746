package loopback

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Free ports are below the ephemeral range of the kernel, which begins at 32,768 on Linux. A server that listens on
// any port cannot be assigned one of them before the intended server listens there.
const (
	minFreePort = 10_000
	endFreePort = 32_000
)

var (
	mu       sync.Mutex
	nextPort = minFreePort
)

// Host returns the loopback IP address of this process. On Linux each process uses a different address in 127.64.0.0/10,
// so that no other process can take a port while the server on it restarts.
func Host() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	pid := os.Getpid()
	return net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid)).String()
}

// AnyPort returns an address to listen on with a port that the kernel assigns.
func AnyPort() string {
	return net.JoinHostPort(Host(), "0")
}

// checkPidfd makes the Go runtime check once whether the kernel has process descriptors. The check forks a process that
// syscall.ForkLock does not cover, and would otherwise run when the first process is started.
var checkPidfd = sync.OnceFunc(func() {
	p, err := os.FindProcess(os.Getpid())
	if err != nil {
		return
	}
	// Release cannot fail for a process that was found just now.
	_ = p.Release()
})

// FreeAddr returns an address that nothing listens on. It never returns the same address twice.
func FreeAddr() (string, error) {
	checkPidfd()
	mu.Lock()
	defer mu.Unlock()
	// A process that is forked while the listener is open holds it until it executes its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for nextPort < endFreePort {
		addr := net.JoinHostPort(Host(), strconv.Itoa(nextPort))
		nextPort++
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			// Another process may listen here on systems where all processes share one address.
			continue
		}
		if err := ln.Close(); err != nil {
			return "", fmt.Errorf("release %s: %w", addr, err)
		}
		return addr, nil
	}
	return "", eris.Errorf("no free port on %s", Host())
}
