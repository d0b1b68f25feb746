package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"

	"waxwingpick/internal/loopback"

	"github.com/rotisserie/eris"
)

// relayCommand is the argument that makes the program a bare relay.
const relayCommand = "relay"

// relay is a process that only copies bytes between its connections and the target's; what two of them add to a
// request is what the machine takes for two more processes on its way, whatever they would do there.
type relay struct {
	cmd  *exec.Cmd
	addr string
}

// runRelay serves as a bare relay if the arguments say so: relay, address to listen on, target's address.
func runRelay(args []string) (bool, error) {
	if len(args) != 4 || args[1] != relayCommand {
		return false, nil
	}
	ln, err := net.Listen("tcp", args[2])
	if err != nil {
		return true, fmt.Errorf("listen: %w", err)
	}
	for {
		near, err := ln.Accept()
		if err != nil {
			return true, fmt.Errorf("accept: %w", err)
		}
		far, err := net.Dial("tcp", args[3])
		if err != nil {
			near.Close()
			continue
		}
		go forward(near, far)
		go forward(far, near)
	}
}

func forward(to, from net.Conn) {
	defer to.Close()
	// The copy goes through a buffer, as a process that reads the bytes has to.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 16*kibibyte))
}

func spawnRelay(target string) (*relay, error) {
	addr, err := loopback.Free()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the command: %w", err)
	}
	r := &relay{
		cmd:  exec.Command(self, relayCommand, addr, target),
		addr: addr,
	}
	if err := r.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	if !await(startLimit, func() bool { return takesConnections(addr) }) {
		r.stop()
		return nil, eris.Errorf("relay at %s did not start", addr)
	}
	return r, nil
}

func (r *relay) stop() {
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// relays is a chain of two bare relays before the engine stand-in.
type relays struct {
	near *relay
	far  *relay
}

func spawnRelays(target string) (*relays, error) {
	far, err := spawnRelay(target)
	if err != nil {
		return nil, err
	}
	near, err := spawnRelay(far.addr)
	if err != nil {
		far.stop()
		return nil, err
	}
	return &relays{
		near: near,
		far:  far,
	}, nil
}

func (r *relays) stop() {
	r.near.stop()
	r.far.stop()
}
