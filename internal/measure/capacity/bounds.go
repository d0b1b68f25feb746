package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/suspect"
	standinservice "waxwingpick/internal/standin/service"
	"waxwingpick/io/jsonrpc"
	"waxwingpick/io/mtls"
	"waxwingpick/io/sidecar"
)

const (
	// boundConns is the number of entries that keep a connection.
	boundConns = 400
	// boundOrders is more orders than a sidecar remembers.
	boundOrders = 20_000
	// boundAnswer is the size of one order's answer, in bytes; boundCalls of them are more than a sidecar keeps.
	boundAnswer = 60_000
	boundCalls  = 80
	// boundSuspects is the number of crash suspects that a process keeps, sent in pieces of suspectsSent.
	boundSuspects = 4_096
	suspectsSent  = 512
	boundLimit    = 10 * time.Second
)

// measureBounds measures the sidecar of a plain service before and after its stores are filled to their bounds.
func measureBounds(w io.Writer) error {
	b, err := newBench()
	if err != nil {
		return err
	}
	defer b.close()
	s, err := standinservice.New()
	if err != nil {
		return fmt.Errorf("start service stand-in: %w", err)
	}
	defer s.Close()
	p, row, err := b.spawnSidecar(0, config.KindPlain, s.Addr())
	if err != nil {
		return err
	}
	defer p.stop()
	b.platform.Set(row)
	credentials, err := b.security.credentials(mtls.RoleEntry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range boundConns {
		wg.Go(func() {
			probeOften(ctx, credentials, row.Control, boundLimit)
		})
	}
	time.Sleep(settleTime)
	clients, err := newBoundClients(credentials)
	if err != nil {
		return err
	}
	defer clients.close()
	return clients.fillInTurn(ctx, w, p, row)
}

// boundClients send a sidecar what fills its stores.
type boundClients struct {
	control *jsonrpc.Client
	data    *sidecar.Client
}

func newBoundClients(credentials *mtls.Credentials) (*boundClients, error) {
	control, err := jsonrpc.NewClient(jsonrpc.WithCredentials(credentials))
	if err != nil {
		return nil, fmt.Errorf("create client: %w", err)
	}
	data, err := sidecar.NewClient("", 2*boundAnswer, sidecar.WithCredentials(credentials))
	if err != nil {
		control.Close()
		return nil, fmt.Errorf("create data client: %w", err)
	}
	return &boundClients{
		control: control,
		data:    data,
	}, nil
}

func (c *boundClients) close() {
	c.control.Close()
	c.data.Close()
}

// fillInTurn fills one store after the other and writes what the sidecar holds after each.
func (c *boundClients) fillInTurn(ctx context.Context, w io.Writer, p *process, row waxwingpick.Instance) error {
	for _, store := range []struct {
		name string
		fill func(ctx context.Context, row waxwingpick.Instance) error
	}{
		{"connections", func(context.Context, waxwingpick.Instance) error { return nil }},
		{"answers", c.sendOrders},
		{"orders", c.barOrders},
		{"suspects", c.sendSuspects},
	} {
		if err := store.fill(ctx, row); err != nil {
			return fmt.Errorf("fill %s: %w", store.name, err)
		}
		r, err := p.during(measureTime)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "sidecar of a plain service with %s: resident %.1f MB\n", store.name, r.resident/1e6)
	}
	return nil
}

func (c *boundClients) sendSuspects(ctx context.Context, row waxwingpick.Instance) error {
	for sent := 0; sent < boundSuspects; sent += suspectsSent {
		var msg, answer sidecar.SuspectsMessage
		for i := range suspectsSent {
			msg.Records = append(msg.Records, suspect.Record{
				Fingerprint: suspect.Of("capacity", "/", fmt.Append(nil, sent+i)),
				Crashes: []suspect.Crash{{
					ID:     fmt.Sprintf("%s/%s/%d", row.Target, uuid.NewString(), i),
					At:     time.Now(),
					Target: row.Target,
				}},
			})
		}
		if err := c.control.Call(ctx, row.Control, sidecar.MethodSuspects, msg, &answer); err != nil {
			return fmt.Errorf("send suspects: %w", err)
		}
	}
	return nil
}

// sendOrders runs orders with large answers, more than the sidecar keeps.
func (c *boundClients) sendOrders(ctx context.Context, row waxwingpick.Instance) error {
	var probe sidecar.ProbeResponse
	if err := c.control.Call(ctx, row.Control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &probe); err != nil {
		return fmt.Errorf("learn the incarnation: %w", err)
	}
	for range boundCalls {
		result, err := c.data.Call(ctx, row.Data, sidecar.Attempt{
			ID:              uuid.NewString(),
			Service:         row.Service,
			Target:          row.Target,
			Class:           waxwingpick.ClassOrder,
			Method:          http.MethodPost,
			Path:            "/bookings",
			RemainingMillis: boundLimit.Milliseconds(),
			Incarnation:     probe.Report.Incarnation,
		}, bytes.Repeat([]byte("x"), boundAnswer))
		if err != nil {
			return err
		}
		if result.Refusal != nil && result.Refusal.Outcome != waxwingpick.OutcomeNotRun {
			return eris.Wrap(result.Refusal, "order")
		}
	}
	return nil
}

// barOrders makes the sidecar remember attempts until it has no room.
func (c *boundClients) barOrders(ctx context.Context, row waxwingpick.Instance) error {
	var probe sidecar.ProbeResponse
	if err := c.control.Call(ctx, row.Control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &probe); err != nil {
		return fmt.Errorf("learn the incarnation: %w", err)
	}
	for range boundOrders {
		var answer sidecar.BarResponse
		err := c.control.Call(ctx, row.Control, sidecar.MethodBar, sidecar.BarRequest{
			Attempt:     uuid.NewString(),
			Incarnation: probe.Report.Incarnation,
		}, &answer)
		if err != nil {
			return fmt.Errorf("bar an order: %w", err)
		}
	}
	return nil
}
