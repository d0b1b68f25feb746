package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/internal/demo"
	"waxwingpick/internal/loopback"
	standinetcd "waxwingpick/internal/standin/etcd"
	standinplatform "waxwingpick/internal/standin/platform"
	"waxwingpick/io/etcd"
	"waxwingpick/io/mtls"
)

const (
	service   waxwingpick.ServiceName = "maestro"
	modelName                         = "model-0"
	zones                             = 9
	// slots is the number of requests that an engine runs concurrently.
	slots = 256
)

// bench holds the stand-ins to which the measured daemons connect.
type bench struct {
	kv       *standinetcd.Server
	kvAddr   string
	platform *standinplatform.Platform
	security *security
	// kvMeter and listMeter count the traffic between the measured daemons and the key-value service or the platform.
	kvMeter   *meter
	listMeter *meter
	control   controlCounts
}

// overTLS is whether the measured processes and their peers communicate over TLS.
var overTLS bool

func newBench() (*bench, error) {
	kv, err := standinetcd.New()
	if err != nil {
		return nil, fmt.Errorf("create key-value stand-in: %w", err)
	}
	b := &bench{
		kv: kv,
	}
	if b.kvAddr, err = kv.Start(loopback.AnyPort()); err != nil {
		return nil, fmt.Errorf("start key-value stand-in: %w", err)
	}
	if b.platform, err = standinplatform.New(); err != nil {
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	if b.kvMeter, err = startMeter(b.kvAddr); err != nil {
		return nil, err
	}
	if b.listMeter, err = startMeter(b.platform.Addr()); err != nil {
		return nil, err
	}
	if overTLS {
		if b.security, err = newSecurity(); err != nil {
			return nil, err
		}
	}
	return b, b.configure()
}

func (b *bench) close() {
	b.security.close()
	b.kvMeter.close()
	b.listMeter.close()
	b.platform.Close()
	b.kv.Close()
}

// configure writes the configuration, as an operator does.
func (b *bench) configure() error {
	ctx := context.Background()
	client, err := etcd.New(b.kvAddr)
	if err != nil {
		return fmt.Errorf("create key-value client: %w", err)
	}
	store := config.NewStore(client)
	base, err := store.Load(ctx)
	if err != nil {
		return fmt.Errorf("load configuration: %w", err)
	}
	_, err = store.Commit(ctx, base, config.Request{
		Edit:     config.ApplyRecord(demo.OneModel(service, modelName)),
		By:       "capacity",
		At:       time.Now().UTC(),
		ChangeID: uuid.NewString(),
	})
	if err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

// holdAuthority writes a plan and takes the authority over the service, so that the measured entry can't hold it.
func (b *bench) holdAuthority(targets int) error {
	client, err := etcd.New(b.kvAddr)
	if err != nil {
		return fmt.Errorf("create key-value client: %w", err)
	}
	if _, err := client.CompareAndSwap(context.Background(), plan.AuthorityKey(service), 0, []byte("capacity"), 0); err != nil {
		return fmt.Errorf("hold authority: %w", err)
	}
	value, err := json.Marshal(samplePlan(targets))
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if _, err := client.CompareAndSwap(context.Background(), plan.Key(service), 0, value, 0); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	return nil
}

// planned reports whether the service has a plan.
func (b *bench) planned() bool {
	e, _ := b.kv.Store().Peek(plan.Key(service))
	return e.Exists()
}

func zone(i int) waxwingpick.AvailabilityZone {
	return waxwingpick.AvailabilityZone(fmt.Sprintf("sierra-%d", i%zones))
}

// targetRow returns the row of a target in the platform's list.
func targetRow(i int, control, data string) waxwingpick.Instance {
	return waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(fmt.Sprintf("maestro-%04d", i)),
		Kind:    waxwingpick.KindTarget,
		Zone:    zone(i),
		Control: control,
		Data:    data,
		Service: service,
		Target:  waxwingpick.TargetID(fmt.Sprintf("maestro-%04d", i)),
	}
}

func entryRow(i int, control string) waxwingpick.Instance {
	return waxwingpick.Instance{
		ID:      waxwingpick.InstanceID(fmt.Sprintf("entry-%04d", i)),
		Kind:    waxwingpick.KindEntry,
		Zone:    zone(i),
		Control: control,
	}
}

// spawnEntry starts an entry; listen is its address for callers.
func (b *bench) spawnEntry() (p *process, listen, control string, err error) {
	if listen, err = loopback.FreeAddr(); err != nil {
		return nil, "", "", err
	}
	if control, err = loopback.FreeAddr(); err != nil {
		return nil, "", "", err
	}
	section, err := b.security.settings(mtls.RoleEntry)
	if err != nil {
		return nil, "", "", err
	}
	settings := fmt.Sprintf("instance: entry-0000\navailabilityZone: %s\nlisten: %s\ncontrol: %s\nkeyValue: %s\nplatform: %s\nlogLevel: error\n",
		zone(0), listen, control, b.kvMeter.addr(), b.listMeter.addr())
	p, err = spawn(daemonEntry, settings+section, control)
	return p, listen, control, err
}

// spawnSidecar starts the sidecar of a target of the given kind, and returns the target's row.
func (b *bench) spawnSidecar(i int, kind config.TargetKind, targetAddr string) (*process, waxwingpick.Instance, error) {
	control, err := loopback.FreeAddr()
	if err != nil {
		return nil, waxwingpick.Instance{}, err
	}
	data, err := loopback.FreeAddr()
	if err != nil {
		return nil, waxwingpick.Instance{}, err
	}
	section, err := b.security.settings(mtls.RoleSidecar)
	if err != nil {
		return nil, waxwingpick.Instance{}, err
	}
	row := targetRow(i, control, data)
	settings := fmt.Sprintf("instance: %s\ntarget: %s\nservice: %s\nkind: %s\navailabilityZone: %s\ncontrol: %s\ndata: %s\nkeyValue: %s\nplatform: %s\ntargetAddress: %s\nmaxConcurrent: %d\nlogLevel: error\n",
		row.ID, row.Target, service, kind, row.Zone, control, data, b.kvMeter.addr(), b.listMeter.addr(), targetAddr, slots)
	p, err := spawn(daemonSidecar, settings+section, control)
	return p, row, err
}
