package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingpick"
	"waxwingpick/core/quota"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/sidecar"
)

const (
	fleetName = "tanzplan"
	wireAsks  = 10_000
)

// wire prints what an ask costs over loopback, its two sides in one process.
func wire() error {
	owner, err := quota.NewOwner("entry-0")
	if err != nil {
		return err
	}
	owner.SetEntries(time.Now(), []waxwingpick.InstanceID{"entry-0"})
	server := jsonrpc.NewServer(fleetName)
	jsonrpc.HandleTyped(server, sidecar.MethodQuota, func(_ context.Context, ask quota.Ask) (quota.Grant, error) {
		return owner.Grant(time.Now(), ask, quota.NewLimit(perSecond, burst))
	})
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer server.Close()
	before := processorTime()
	if err := askMany(addr); err != nil {
		return err
	}
	took := processorTime() - before
	var carried atomic.Int64
	counted, err := count(addr, &carried)
	if err != nil {
		return err
	}
	if err := askMany(counted); err != nil {
		return err
	}
	fmt.Printf("\nan ask: %d µs of processor time at both sides, %d bytes in both directions\n",
		(took / wireAsks).Microseconds(), carried.Load()/wireAsks)
	return nil
}

// askMany sends asks one after the other over one connection.
func askMany(addr string) error {
	client, err := jsonrpc.NewClient(jsonrpc.Fleet(fleetName))
	if err != nil {
		return err
	}
	defer client.Close()
	for range wireAsks {
		var g quota.Grant
		err := client.Call(context.Background(), addr, sidecar.MethodQuota, quota.Ask{
			Workspace:    "workspace-1234",
			Offered:      2.345,
			Refilled:     0.312,
			Room:         3.456,
			PassedMillis: 1234,
		}, &g)
		if err != nil {
			return fmt.Errorf("ask: %w", err)
		}
	}
	return nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	// It fails for unknown arguments only.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// count passes one connection on to an address and adds up what it carries.
func count(to string, carried *atomic.Int64) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		defer ln.Close()
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			near.Close()
			return
		}
		go forward(near, far, carried)
		forward(far, near, carried)
	}()
	return ln.Addr().String(), nil
}

func forward(to, from net.Conn, carried *atomic.Int64) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, counter{
		carried: carried,
	}), from)
}

// counter adds up the lengths of what is written to it.
type counter struct {
	carried *atomic.Int64
}

// Write counts the bytes.
func (c counter) Write(p []byte) (int, error) {
	c.carried.Add(int64(len(p)))
	return len(p), nil
}
