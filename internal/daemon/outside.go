package daemon

import (
	"errors"
	"fmt"

	"waxwingpick/core/timer"
	"waxwingpick/io/etcd"
	"waxwingpick/io/mtls"
	"waxwingpick/io/platform"
)

// outside is a process's clients of the platform, with its timer service and its credentials.
type outside struct {
	timers  *timer.System
	kv      *etcd.Client
	list    *platform.Client
	secured []*mtls.Credentials
}

// reload reads the credentials again; those that can't be used stay as they were.
func (o *outside) reload() error {
	var failures []error
	for _, c := range o.secured {
		failures = append(failures, c.Reload())
	}
	return errors.Join(failures...)
}

// connect makes the clients; nothing is sent yet.
func connect(keyValueAddr, platformAddr string) (*outside, error) {
	timers := timer.NewSystem()
	kv, err := etcd.New(keyValueAddr, etcd.WithTimers(timers))
	if err != nil {
		timers.Close()
		return nil, fmt.Errorf("create key-value client: %w", err)
	}
	list, err := platform.New(platformAddr)
	if err != nil {
		kv.Close()
		timers.Close()
		return nil, fmt.Errorf("create platform client: %w", err)
	}
	return &outside{
		timers: timers,
		kv:     kv,
		list:   list,
	}, nil
}

// Close closes the clients and ends the timers.
func (o *outside) Close() {
	o.list.Close()
	o.kv.Close()
	o.timers.Close()
}
