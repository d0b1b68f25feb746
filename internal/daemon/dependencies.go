package daemon

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"waxwingpick/core/timer"
	"waxwingpick/io/etcd"
	"waxwingpick/io/mtls"
	"waxwingpick/io/platform"
)

// dependencies holds a process's timer service, its clients for the key-value service and the platform's list of
// instances, and its credentials.
type dependencies struct {
	timers         *timer.System
	kv             *etcd.Client
	platformClient *platform.Client
	reloadable     []*mtls.Credentials
}

// reload reads the credentials again. Credentials that cannot be loaded remain unchanged.
func (d *dependencies) reload() error {
	var errs []error
	for _, c := range d.reloadable {
		errs = append(errs, c.Reload())
	}
	return errors.Join(errs...)
}

// connect creates the clients without sending any request.
func connect(keyValueAddr, platformAddr string, log logrus.FieldLogger) (*dependencies, error) {
	timers := timer.NewSystem()
	kv, err := etcd.New(keyValueAddr, etcd.WithTimers(timers))
	if err != nil {
		timers.Close()
		return nil, fmt.Errorf("create key-value client: %w", err)
	}
	platformClient, err := platform.New(platformAddr, platform.Skipped(func(err error) {
		log.WithError(err).Warn("invalid row of the platform's list skipped")
	}))
	if err != nil {
		kv.Close()
		timers.Close()
		return nil, fmt.Errorf("create platform client: %w", err)
	}
	return &dependencies{
		timers:         timers,
		kv:             kv,
		platformClient: platformClient,
	}, nil
}

// Close closes the clients and stops the timers.
func (d *dependencies) Close() {
	d.platformClient.Close()
	d.kv.Close()
	d.timers.Close()
}
