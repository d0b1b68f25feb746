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

// relayCommand is the first argument that makes the program run as a bare relay.
const relayCommand = "relay"

// relay is a process that only copies bytes between its clients and a target. Two of them on a path show the latency
// that any two additional processes cost on this machine.
type relay struct {
	cmd  *exec.Cmd
	addr string
}

// runRelay runs a bare relay if the arguments are relayCommand, the address to listen on and the target's address. It
// returns false otherwise.
func runRelay(args []string) (bool, error) {
	if len(args) != 4 || args[1] != relayCommand {
		return false, nil
	}
	ln, err := net.Listen("tcp", args[2])
	if err != nil {
		return true, fmt.Errorf("listen: %w", err)
	}
	for {
		client, err := ln.Accept()
		if err != nil {
			return true, fmt.Errorf("accept: %w", err)
		}
		upstream, err := net.Dial("tcp", args[3])
		if err != nil {
			client.Close()
			continue
		}
		go forward(client, upstream)
		go forward(upstream, client)
	}
}

func forward(to, from net.Conn) {
	defer to.Close()
	// The wrappers force a copy through a buffer, since a process that parses the data can't splice it in the kernel.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 16*kibibyte))
}

func spawnRelay(target string) (*relay, error) {
	addr, err := loopback.FreeAddr()
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
	if !await(startTimeout, func() bool { return acceptsConnections(addr) }) {
		r.stop()
		return nil, eris.Errorf("relay at %s did not start", addr)
	}
	return r, nil
}

func (r *relay) stop() {
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// relays is a chain of two bare relays to the engine stand-in.
type relays struct {
	entrySide  *relay
	engineSide *relay
}

func spawnRelays(target string) (*relays, error) {
	engineSide, err := spawnRelay(target)
	if err != nil {
		return nil, err
	}
	entrySide, err := spawnRelay(engineSide.addr)
	if err != nil {
		engineSide.stop()
		return nil, err
	}
	return &relays{
		entrySide:  entrySide,
		engineSide: engineSide,
	}, nil
}

func (r *relays) stop() {
	r.entrySide.stop()
	r.engineSide.stop()
}
