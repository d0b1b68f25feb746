package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/config"
	standinengine "waxwingpick/internal/standin/engine"
	"waxwingpick/io/sidecar"
)

const (
	transferRuns = 10
	// transferTokenBytes is the size of the KV cache of one token.
	transferTokenBytes = 16_000
	transferModel      = "standin"
	completionsPath    = "/v1/completions"
)

// transferPair is two engines with their sidecars; the first prefills and the second decodes.
type transferPair struct {
	bench    *bench
	engines  []*standinengine.Engine
	sidecars []*process
	rows     []waxwingpick.Instance
	client   *sidecar.Client
}

func newTransferPair(direct bool) (*transferPair, error) {
	b, err := newBench()
	if err != nil {
		return nil, err
	}
	p := &transferPair{
		bench: b,
	}
	for i := range 2 {
		if err := p.start(i, direct); err != nil {
			p.close()
			return nil, err
		}
	}
	b.platform.Set(p.rows...)
	p.client, err = sidecar.NewClient("", megabyte)
	if err != nil {
		p.close()
		return nil, fmt.Errorf("create client: %w", err)
	}
	time.Sleep(warmUpTime)
	return p, nil
}

func (p *transferPair) start(i int, direct bool) error {
	opts := []standinengine.Option{
		standinengine.Memory(1_000_000, 2000),
		standinengine.KVTokenBytes(transferTokenBytes),
	}
	if direct {
		opts = append(opts, standinengine.DirectKV())
	}
	e, err := standinengine.New(opts...)
	if err != nil {
		return fmt.Errorf("start engine stand-in: %w", err)
	}
	p.engines = append(p.engines, e)
	s, row, err := p.bench.spawnSidecar(i, config.KindEngine, e.Addr())
	if err != nil {
		return err
	}
	p.sidecars = append(p.sidecars, s)
	p.rows = append(p.rows, row)
	return nil
}

func (p *transferPair) close() {
	if p.client != nil {
		p.client.Close()
	}
	for _, s := range p.sidecars {
		s.stop()
	}
	for _, e := range p.engines {
		e.Close()
	}
	p.bench.close()
}

// request runs one request on both engines, with a KV cache of size MB.
func (p *transferPair) request(run, size int) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	tokens := size * megabyte / transferTokenBytes
	body, err := json.Marshal(map[string]any{
		"prompt":     fmt.Sprintf("%d ", run) + strings.Repeat("word ", tokens),
		"max_tokens": 1,
		"stream":     true,
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	stream, err := p.client.Generate(ctx, p.rows[1].Data, sidecar.Attempt{
		ID:              fmt.Sprintf("transfer-%d", run),
		Target:          p.rows[1].Target,
		Workspace:       "capacity",
		Path:            completionsPath,
		Model:           transferModel,
		PromptTokens:    tokens,
		OutputTokens:    1,
		RemainingMillis: streamTimeout.Milliseconds(),
		Prefill: &sidecar.PrefillStage{
			Target: p.rows[0].Target,
			Data:   p.rows[0].Data,
		},
	}, body)
	if err != nil {
		return fmt.Errorf("generate: %w", err)
	}
	defer stream.Close()
	for {
		f, err := stream.Next()
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
		if f.Last {
			return nil
		}
		if f.Refusal != nil || f.Broken {
			return eris.Errorf("request failed: %+v", f)
		}
	}
}

// transferCost holds the processor time of both sidecars per request, and the higher peak of their resident memory in
// bytes.
type transferCost struct {
	cpu  time.Duration
	peak int64
	// recomputed counts the requests whose prompt was computed again by the second engine.
	recomputed int64
}

// transfers returns the cost of requests with a KV cache of size MB.
func transfers(direct bool, size int) (transferCost, error) {
	p, err := newTransferPair(direct)
	if err != nil {
		return transferCost{}, err
	}
	defer p.close()
	before, err := p.used()
	if err != nil {
		return transferCost{}, err
	}
	for run := range transferRuns {
		if err := p.request(run, size); err != nil {
			return transferCost{}, err
		}
	}
	cost, err := p.used()
	cost.cpu = (cost.cpu - before.cpu) / transferRuns
	cost.recomputed = p.engines[1].Record().PrefillTokens / int64(size*megabyte/transferTokenBytes)
	return cost, err
}

// used returns the total processor time of both sidecars since their start, and their peak memory.
func (p *transferPair) used() (transferCost, error) {
	var sum transferCost
	for _, s := range p.sidecars {
		u, err := s.usage()
		if err != nil {
			return sum, err
		}
		peak, err := s.counter("status", "VmHWM:")
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu
		sum.peak = max(sum.peak, peak*kibibyte)
	}
	return sum, nil
}

// measureTransfers compares transfers of the KV cache through the sidecars with transfers between the engines.
func measureTransfers(w io.Writer, sizes []int) error {
	for _, direct := range []bool{false, true} {
		mode := "through the sidecars"
		if direct {
			mode = "from engine to engine"
		}
		cpu := &series{y: "KV cache " + mode + ": s of both sidecars", x: "MB"}
		peak := &series{y: "KV cache " + mode + ": highest resident MB of a sidecar", x: "MB"}
		for _, size := range sizes {
			cost, err := transfers(direct, size)
			if err != nil {
				return fmt.Errorf("%s, %d MB: %w", mode, size, err)
			}
			cpu.add(float64(size), cost.cpu.Seconds())
			peak.add(float64(size), float64(cost.peak)/megabyte)
			fmt.Fprintf(w, "%s, %d MB: %d of %d prompts computed again\n", mode, size, cost.recomputed, transferRuns)
		}
		if err := write(w, cpu, peak); err != nil {
			return err
		}
	}
	return nil
}
