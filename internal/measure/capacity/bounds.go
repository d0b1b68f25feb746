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
	// boundConns is the number of connections from entries.
	boundConns = 400
	// boundOrders exceeds the number of orders that a sidecar stores.
	boundOrders = 20_000
	// boundResponseBytes is the size of an order's response, in bytes. boundCalls such responses exceed what a sidecar
	// stores.
	boundResponseBytes = 60_000
	boundCalls         = 80
	// boundSuspects is the number of crash suspects that a process stores. They are sent in batches of suspectBatch.
	boundSuspects = 4_096
	suspectBatch  = 512
	boundTimeout  = 10 * time.Second
)

// measureBounds measures the memory of a plain service's sidecar as its stores are filled to their bounds.
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
			probePeriodically(ctx, credentials, row.Control, boundTimeout)
		})
	}
	time.Sleep(warmUpTime)
	clients, err := newBoundClients(credentials)
	if err != nil {
		return err
	}
	defer clients.close()
	return clients.fillStores(ctx, w, p, row)
}

// boundClients holds the clients that fill the stores of a sidecar.
type boundClients struct {
	control *jsonrpc.Client
	data    *sidecar.Client
}

func newBoundClients(credentials *mtls.Credentials) (*boundClients, error) {
	control, err := jsonrpc.NewClient(jsonrpc.WithCredentials(credentials))
	if err != nil {
		return nil, fmt.Errorf("create client: %w", err)
	}
	data, err := sidecar.NewClient("", 2*boundResponseBytes, sidecar.WithCredentials(credentials))
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

// fillStores fills the stores in sequence and prints the memory of the sidecar after each.
func (c *boundClients) fillStores(ctx context.Context, w io.Writer, p *process, row waxwingpick.Instance) error {
	for _, store := range []struct {
		name string
		fill func(ctx context.Context, row waxwingpick.Instance) error
	}{
		{"connections", func(context.Context, waxwingpick.Instance) error { return nil }},
		{"answers", c.sendOrders},
		{"orders", c.fenceOrders},
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
	for sent := 0; sent < boundSuspects; sent += suspectBatch {
		var msg, response sidecar.SuspectsMessage
		for i := range suspectBatch {
			msg.Records = append(msg.Records, suspect.Record{
				Fingerprint: suspect.Of("capacity", "/", fmt.Append(nil, sent+i)),
				Crashes: []suspect.Crash{{
					ID:     fmt.Sprintf("%s/%s/%d", row.Target, uuid.NewString(), i),
					At:     time.Now(),
					Target: row.Target,
				}},
			})
		}
		if err := c.control.Call(ctx, row.Control, sidecar.MethodSuspects, msg, &response); err != nil {
			return fmt.Errorf("send suspects: %w", err)
		}
	}
	return nil
}

// sendOrders runs orders with more response data than the sidecar stores.
func (c *boundClients) sendOrders(ctx context.Context, row waxwingpick.Instance) error {
	var probe sidecar.ProbeResponse
	if err := c.control.Call(ctx, row.Control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &probe); err != nil {
		return fmt.Errorf("read the incarnation: %w", err)
	}
	for range boundCalls {
		result, err := c.data.Call(ctx, row.Data, sidecar.Attempt{
			ID:              uuid.NewString(),
			Service:         row.Service,
			Target:          row.Target,
			Class:           waxwingpick.ClassOrder,
			Method:          http.MethodPost,
			Path:            "/bookings",
			RemainingMillis: boundTimeout.Milliseconds(),
			Incarnation:     probe.Report.Incarnation,
		}, bytes.Repeat([]byte("x"), boundResponseBytes))
		if err != nil {
			return err
		}
		if result.Refusal != nil && result.Refusal.Outcome != waxwingpick.OutcomeNotRun {
			return eris.Wrap(result.Refusal, "order")
		}
	}
	return nil
}

// fenceOrders fences attempts of orders, more than the sidecar stores.
func (c *boundClients) fenceOrders(ctx context.Context, row waxwingpick.Instance) error {
	var probe sidecar.ProbeResponse
	if err := c.control.Call(ctx, row.Control, sidecar.MethodProbe, sidecar.ProbeRequest{}, &probe); err != nil {
		return fmt.Errorf("read the incarnation: %w", err)
	}
	for range boundOrders {
		var response sidecar.FenceResponse
		err := c.control.Call(ctx, row.Control, sidecar.MethodFence, sidecar.FenceRequest{
			Attempt:     uuid.NewString(),
			Incarnation: probe.Report.Incarnation,
		}, &response)
		if err != nil {
			return fmt.Errorf("fence an order: %w", err)
		}
	}
	return nil
}
