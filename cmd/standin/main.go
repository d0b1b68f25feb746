// Command standin runs one simulated external system on loopback, to test the
// daemons as separate processes.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"waxwingpick/internal/standin/engine"
	"waxwingpick/internal/standin/etcd"
	"waxwingpick/internal/standin/platform"
	"waxwingpick/internal/standin/server"
	"waxwingpick/internal/standin/service"
)

var errKind = errors.New("kind is not one of etcd, platform, engine, service")

func main() {
	kind := flag.String("kind", "", "etcd, platform, engine or service")
	addr := flag.String("addr", "127.0.0.1:0", "IP address and port to listen on")
	token := flag.Duration("token", 10*time.Millisecond, "time for one token of an engine")
	flag.Parse()
	stop, bound, err := start(*kind, *addr, *token)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	fmt.Println(bound)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	stop()
}

// start starts the simulated system and returns its stop function and bound address.
func start(kind, addr string, token time.Duration) (func(), string, error) {
	switch kind {
	case "etcd":
		s, err := etcd.New()
		if err != nil {
			return nil, "", err
		}
		bound, err := s.Start(addr)
		return s.Close, bound, err
	case "platform":
		s, err := platform.New(server.Addr(addr))
		if err != nil {
			return nil, "", err
		}
		return s.Close, s.Addr(), nil
	case "engine":
		s, err := engine.New(engine.Addr(addr), engine.Speed(time.Microsecond, token))
		if err != nil {
			return nil, "", err
		}
		return s.Close, s.Addr(), nil
	case "service":
		s, err := service.New(server.Addr(addr))
		if err != nil {
			return nil, "", err
		}
		return s.Close, s.Addr(), nil
	}
	return nil, "", errKind
}
