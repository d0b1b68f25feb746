package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/instances"
	"waxwingpick/internal/loopback"
	standinengine "waxwingpick/internal/standin/engine"
	standinplatform "waxwingpick/internal/standin/platform"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
	"waxwingpick/io/sidecar"
)

const (
	// warmUpTime is the time after which an entry reads the list only when it is its turn.
	warmUpTime   = 15 * time.Second
	measureTime  = 6 * time.Second
	probeTimeout = time.Second
	// maxListAge is the maximum age of the list that sidecar stubs hold.
	maxListAge = 2 * time.Second
)

// sidecarStub is a stand-in for a sidecar; it responds to the control calls of an entry as if it held the same records.
type sidecarStub struct {
	report sidecar.Report
	list   *sharedList
	counts *controlCounts
}

// controlCounts counts the calls to all sidecar stubs.
type controlCounts struct {
	probes    atomic.Int64
	exchanges atomic.Int64
}

// sharedList is the copy of the platform's list that all sidecar stubs share, at most maxListAge old.
type sharedList struct {
	platform *standinplatform.Platform
	mu       sync.Mutex
	list     *instances.List
}

func newSharedList(platform *standinplatform.Platform) *sharedList {
	return &sharedList{
		platform: platform,
		list:     instances.NewList(),
	}
}

// diff returns the status of the list and the changes that a peer lacks.
func (l *sharedList) diff(other waxwingpick.ListStatus) (waxwingpick.ListStatus, *waxwingpick.ListChanges) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.list.ReadAt()) > maxListAge {
		l.list.Read(now, now, l.platform.Served())
	}
	status := l.list.Status(now)
	changes, ok := l.list.Changes(now, other)
	if !ok {
		return status, nil
	}
	return status, &changes
}

func (e *sidecarStub) probe(_ context.Context, req sidecar.ProbeRequest) (sidecar.ProbeResponse, error) {
	e.counts.probes.Add(1)
	return req.Response(e.report, 0, req.RecordsSum), nil
}

// HandleExchange responds with the sender's checksum of records and with changes of the platform's list.
func (e *sidecarStub) HandleExchange(_ context.Context, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	e.counts.exchanges.Add(1)
	response := waxwingpick.PeerMessage{
		From: waxwingpick.InstanceID(e.report.Target),
		Sum:  msg.Sum,
	}
	if msg.List != nil {
		status, changes := e.list.diff(*msg.List)
		response.List = &status
		response.ListChanges = changes
	}
	return response, nil
}

// startSidecarStubs starts n stubs and returns their servers and rows.
func (b *bench) startSidecarStubs(n int) ([]*jsonrpc.Server, []waxwingpick.Instance, error) {
	list := newSharedList(b.platform)
	credentials, err := b.security.credentials(mtls.RoleSidecar)
	if err != nil {
		return nil, nil, err
	}
	servers := make([]*jsonrpc.Server, 0, n)
	rows := make([]waxwingpick.Instance, 0, n)
	for i := range n {
		e := &sidecarStub{
			report: sampleReport(i),
			list:   list,
			counts: &b.control,
		}
		s := jsonrpc.NewServer("", jsonrpc.WithServerCredentials(credentials))
		jsonrpc.HandleTyped(s, sidecar.MethodProbe, e.probe, mtls.RoleEntry)
		jsonrpc.HandlePeers(s, e)
		addr, err := s.Start(loopback.AnyPort())
		if err != nil {
			return servers, nil, fmt.Errorf("start control server: %w", err)
		}
		servers = append(servers, s)
		rows = append(rows, targetRow(i, addr, addr))
	}
	return servers, rows, nil
}

func sampleReport(i int) sidecar.Report {
	return sidecar.Report{
		Target:      targetRow(i, "", "").Target,
		Incarnation: uuid.NewString(),
		Load: waxwingpick.TargetLoad{
			Running:                24,
			Queued:                 3,
			Slots:                  32,
			PrefillTokens:          18_000,
			QuickPrefillTokens:     900,
			KVBlocksUsed:           120,
			KVBlocksTotal:          160,
			QuickWaitMillis:        40,
			LongWaitMillis:         4_000,
			PrefillTokensPerSecond: 8_000,
			TokenIntervalMicros:    31_000,
			AgeMillis:              120,
		},
		Active: waxwingpick.EngineConfig{
			Role:    waxwingpick.RoleMixed,
			Model:   modelName,
			Version: "1",
		},
		ConfigRevision: 1,
	}
}

// measureEntries measures an idle entry with few targets, as a function of the number of entries in the platform's
// list.
func measureEntries(w io.Writer, sizes []int) error {
	return measureIdle(w, "entry idle, 12 targets", "entries", sizes, func(entries int) (rates, error) {
		return idleEntry(12, entries, entries == 1)
	})
}

// measureEntry measures a single idle entry as a function of the number of targets.
func measureEntry(w io.Writer, sizes []int) error {
	return measureIdle(w, "entry idle, alone", "targets", sizes, func(targets int) (rates, error) {
		return idleEntry(targets, 1, true)
	})
}

// measureShare measures one of many idle entries as a function of the number of targets, at two entries per three
// targets.
func measureShare(w io.Writer, sizes []int) error {
	return measureIdle(w, "entry idle, 2 entries for 3 targets", "targets", sizes, func(targets int) (rates, error) {
		return idleEntry(targets, targets*2/3, false)
	})
}

// measureHolder measures the entry of measureShare while it holds the authority over the service.
func measureHolder(w io.Writer, sizes []int) error {
	return measureIdle(w, "entry idle, 2 entries for 3 targets, holder", "targets", sizes, func(targets int) (rates, error) {
		return idleEntry(targets, targets*2/3, true)
	})
}

func measureIdle(w io.Writer, what, x string, sizes []int, idle func(size int) (rates, error)) error {
	cores := &series{y: what + ": share of a core", x: x}
	bytes := &series{y: what + ": bytes/s", x: x}
	memory := &series{y: what + ": resident bytes", x: x}
	kv := &series{y: what + ": key-value service, bytes/s", x: x}
	list := &series{y: what + ": platform, bytes/s", x: x}
	control := &series{y: what + ": other processes, bytes/s", x: x}
	probes := &series{y: what + ": probes/s", x: x}
	exchanges := &series{y: what + ": exchanges/s", x: x}
	for _, n := range sizes {
		r, err := idle(n)
		if err != nil {
			return err
		}
		cores.add(float64(n), r.cores)
		bytes.add(float64(n), r.bytes)
		memory.add(float64(n), r.resident)
		kv.add(float64(n), r.controlTraffic.kv)
		list.add(float64(n), r.controlTraffic.list)
		control.add(float64(n), r.bytes-r.controlTraffic.kv-r.controlTraffic.list)
		probes.add(float64(n), r.controlTraffic.probes)
		exchanges.add(float64(n), r.controlTraffic.exchanges)
	}
	return write(w, cores, bytes, memory, kv, list, control, probes, exchanges)
}

// idleEntry measures an idle entry whose targets are sidecar stubs. The other entries in the list share the first
// target's server. holds is whether the entry holds the authority over the service.
func idleEntry(targets, entries int, holds bool) (rates, error) {
	b, err := newBench()
	if err != nil {
		return rates{}, err
	}
	defer b.close()
	servers, rows, err := b.startSidecarStubs(targets)
	for _, s := range servers {
		defer s.Close()
	}
	if err != nil {
		return rates{}, err
	}
	if !holds {
		if err := b.holdAuthority(targets); err != nil {
			return rates{}, err
		}
	}
	b.platform.Set(rows...)
	p, listen, control, err := b.spawnEntry()
	if err != nil {
		return rates{}, err
	}
	defer p.stop()
	if holds {
		// The other entries are added after this one holds the authority, so that it takes it without waiting.
		await(startTimeout, b.planned)
	}
	for i := 1; i < entries; i++ {
		rows = append(rows, entryRow(i, rows[0].Control))
	}
	b.platform.Set(append(rows, entryRow(0, control))...)
	await(startTimeout, func() bool { return ready(listen) })
	time.Sleep(warmUpTime)
	before := b.controlTraffic()
	r, err := p.during(measureTime)
	r.controlTraffic = b.controlTraffic().since(before, r.took)
	return r, err
}

// measureSidecar measures an idle sidecar as a function of the rate of probes, and of the number of connections from
// entries.
func measureSidecar(w io.Writer) error {
	cores := &series{y: "sidecar: share of a core", x: "probes/s"}
	bytes := &series{y: "sidecar: bytes/s", x: "probes/s"}
	for _, rate := range []int{0, 100, 200, 400} {
		r, err := probedSidecar(10, rate, 1)
		if err != nil {
			return err
		}
		cores.add(float64(rate), r.cores)
		bytes.add(float64(rate), r.bytes)
	}
	if err := measureConnections(w); err != nil {
		return err
	}
	return write(w, cores, bytes)
}

// measureSidecarList measures an idle sidecar as a function of the number of rows in the platform's list.
func measureSidecarList(w io.Writer) error {
	listCores := &series{y: "sidecar: share of a core", x: "rows of the platform's list"}
	listBytes := &series{y: "sidecar: bytes/s", x: "rows of the platform's list"}
	for _, rows := range []int{16, 250, 500, 1000} {
		r, err := probedSidecar(1, 0, rows)
		if err != nil {
			return err
		}
		listCores.add(float64(rows), r.cores)
		listBytes.add(float64(rows), r.bytes)
	}
	return write(w, listCores, listBytes)
}

// measureConnections measures an idle sidecar as a function of the number of connections from entries.
func measureConnections(w io.Writer) error {
	memory := &series{y: "sidecar: resident bytes", x: "entries connected"}
	for _, conns := range []int{10, 100, 200, 400} {
		r, err := probedSidecar(conns, 40, 1)
		if err != nil {
			return err
		}
		memory.add(float64(conns), r.resident)
	}
	return write(w, memory)
}

// probedSidecar measures a sidecar that is probed over conns connections at a total rate of perSecond, with rows
// instances in the platform's list.
func probedSidecar(conns, perSecond, rows int) (rates, error) {
	b, err := newBench()
	if err != nil {
		return rates{}, err
	}
	defer b.close()
	e, err := standinengine.New(standinengine.MaxRunning(slots))
	if err != nil {
		return rates{}, fmt.Errorf("start engine stand-in: %w", err)
	}
	defer e.Close()
	p, row, err := b.spawnSidecar(0, config.KindEngine, e.Addr())
	if err != nil {
		return rates{}, err
	}
	defer p.stop()
	// The other rows share one control server, so that the sidecar has a peer for its exchanges.
	servers, others, err := b.startSidecarStubs(1)
	for _, s := range servers {
		defer s.Close()
	}
	if err != nil {
		return rates{}, err
	}
	list := []waxwingpick.Instance{row}
	for i := 1; i < rows; i++ {
		list = append(list, targetRow(i, others[0].Control, others[0].Data))
	}
	b.platform.Set(list...)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	credentials, err := b.security.credentials(mtls.RoleEntry)
	if err != nil {
		return rates{}, err
	}
	if perSecond > 0 {
		for range conns {
			wg.Go(func() {
				probePeriodically(ctx, credentials, row.Control, time.Second*time.Duration(conns)/time.Duration(perSecond))
			})
		}
	}
	time.Sleep(warmUpTime)
	return p.during(measureTime)
}

// probePeriodically probes a sidecar periodically over one connection until ctx is done.
func probePeriodically(ctx context.Context, credentials *mtls.Credentials, addr string, period time.Duration) {
	client, err := jsonrpc.NewClient(jsonrpc.WithCredentials(credentials))
	if err != nil {
		return
	}
	defer client.Close()
	t := time.NewTicker(period)
	defer t.Stop()
	var req sidecar.ProbeRequest
	for {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		var resp sidecar.ProbeResponse
		_ = client.Call(probeCtx, addr, sidecar.MethodProbe, req, &resp)
		cancel()
		if resp.Report != nil {
			req.BaseSum = resp.Report.Sum()
		}
		req.RecordsSum = resp.Records(req)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
