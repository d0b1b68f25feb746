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
	fleetName    = "tanzplan"
	costRequests = 10_000
)

// measureCost prints the cost of a request for quota over loopback, with client and server in one process.
func measureCost() error {
	owner, err := quota.NewOwner("entry-0")
	if err != nil {
		return err
	}
	owner.SetEntries(time.Now(), []waxwingpick.InstanceID{"entry-0"})
	server := jsonrpc.NewServer(fleetName)
	jsonrpc.HandleTyped(server, sidecar.MethodQuota, func(_ context.Context, request quota.TokenRequest) (quota.Grant, error) {
		return owner.Grant(time.Now(), request, quota.NewLimit(perSecond, burst))
	})
	addr, err := server.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer server.Close()
	before := processorTime()
	if err := requestQuota(addr); err != nil {
		return err
	}
	took := processorTime() - before
	var bytes atomic.Int64
	counted, err := startCountingProxy(addr, &bytes)
	if err != nil {
		return err
	}
	if err := requestQuota(counted); err != nil {
		return err
	}
	fmt.Printf("\nan ask: %d µs of processor time at both sides, %d bytes in both directions\n",
		(took / costRequests).Microseconds(), bytes.Load()/costRequests)
	return nil
}

// requestQuota sends costRequests requests for quota in sequence over one connection.
func requestQuota(addr string) error {
	client, err := jsonrpc.NewClient(jsonrpc.Fleet(fleetName))
	if err != nil {
		return err
	}
	defer client.Close()
	for range costRequests {
		var g quota.Grant
		err := client.Call(context.Background(), addr, sidecar.MethodQuota, quota.TokenRequest{
			Workspace:     "workspace-1234",
			Offered:       2.345,
			Refilled:      0.312,
			MaxTokens:     3.456,
			ElapsedMillis: 1234,
		}, &g)
		if err != nil {
			return fmt.Errorf("request quota: %w", err)
		}
	}
	return nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	// The call fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startCountingProxy starts a proxy that forwards one connection to an address and adds the bytes in both directions to
// bytes. It returns the address of the proxy.
func startCountingProxy(to string, bytes *atomic.Int64) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		defer ln.Close()
		client, err := ln.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", to)
		if err != nil {
			client.Close()
			return
		}
		go forward(client, upstream, bytes)
		forward(upstream, client, bytes)
	}()
	return ln.Addr().String(), nil
}

func forward(to, from net.Conn, bytes *atomic.Int64) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, counter{
		bytes: bytes,
	}), from)
}

// counter is a writer that adds up the number of bytes written.
type counter struct {
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (c counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}
