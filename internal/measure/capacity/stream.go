package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"waxwingpick/core/config"
	"waxwingpick/internal/demo"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	tokenTime     = 10 * time.Millisecond
	streamTimeout = time.Minute
	// streamTokens is the length of a response in tokens, each of which is one event.
	streamTokens = 300
)

// path is an entry, a sidecar and an engine stand-in.
type path struct {
	bench   *bench
	engine  *standinengine.Engine
	held    *stopwatch
	entry   *process
	sidecar *process
	listen  string
}

func newPath(token time.Duration) (*path, error) {
	b, err := newBench()
	if err != nil {
		return nil, err
	}
	held := newStopwatch()
	e, err := standinengine.New(
		standinengine.Timers(held),
		standinengine.MaxRunning(slots),
		standinengine.Memory(1_000_000, 2000),
		standinengine.Speed(0, token),
		standinengine.BatchSlowdown(0),
		standinengine.ChangeTime(0))
	if err != nil {
		held.Close()
		b.close()
		return nil, fmt.Errorf("start engine stand-in: %w", err)
	}
	p := &path{
		bench:  b,
		engine: e,
		held:   held,
	}
	if err := p.start(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *path) start() error {
	sidecar, row, err := p.bench.spawnSidecar(0, config.KindEngine, p.engine.Addr())
	if err != nil {
		return err
	}
	p.sidecar = sidecar
	p.bench.platform.Set(row)
	entry, listen, control, err := p.bench.spawnEntry()
	if err != nil {
		return err
	}
	p.entry = entry
	p.listen = listen
	p.bench.platform.Set(row, entryRow(0, control))
	c := demo.NewCaller("capacity")
	defer c.Close()
	responds := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.Chat(ctx, listen, modelName, "ready", 1)
		return err == nil
	}
	if !await(startTimeout, responds) {
		return eris.New("no response through entry and sidecar")
	}
	return nil
}

func (p *path) close() {
	for _, d := range []*process{p.entry, p.sidecar} {
		if d != nil {
			d.stop()
		}
	}
	p.engine.Close()
	p.held.Close()
	p.bench.close()
}

// measureStreams measures entry and sidecar as functions of the token rate and the number of streams.
func measureStreams(w io.Writer, sizes []int) error {
	p, err := newPath(tokenTime)
	if err != nil {
		return err
	}
	defer p.close()
	entryCores := &series{y: "entry loaded: share of a core", x: "tokens/s"}
	sidecarCores := &series{y: "sidecar loaded: share of a core", x: "tokens/s"}
	entryMemory := &series{y: "entry loaded: resident bytes", x: "streams"}
	sidecarMemory := &series{y: "sidecar loaded: resident bytes", x: "streams"}
	for _, n := range append([]int{0}, sizes...) {
		entry, sidecar, err := p.load(n)
		if err != nil {
			return err
		}
		rate := float64(n*streamTokens) / entry.took.Seconds()
		entryCores.add(rate, entry.cores)
		sidecarCores.add(rate, sidecar.cores)
		entryMemory.add(float64(n), entry.resident)
		sidecarMemory.add(float64(n), sidecar.resident)
	}
	return write(w, entryCores, sidecarCores, entryMemory, sidecarMemory)
}

// load runs concurrent streams of one response each, and returns the resource usage of entry and sidecar. Without
// streams it measures them idle.
func (p *path) load(streams int) (entry, sidecar rates, err error) {
	return p.measured(func() error {
		if streams == 0 {
			time.Sleep(warmUpTime)
			return nil
		}
		return repeatChats(p.listen, streams, 1, streamTokens)
	})
}

// measured returns the resource usage of entry and sidecar while work ran.
func (p *path) measured(work func() error) (entry, sidecar rates, err error) {
	entryBefore, err := p.entry.usage()
	if err != nil {
		return rates{}, rates{}, err
	}
	sidecarBefore, err := p.sidecar.usage()
	if err != nil {
		return rates{}, rates{}, err
	}
	if err := work(); err != nil {
		return rates{}, rates{}, err
	}
	entryAfter, err := p.entry.usage()
	if err != nil {
		return rates{}, rates{}, err
	}
	sidecarAfter, err := p.sidecar.usage()
	return entryAfter.since(entryBefore), sidecarAfter.since(sidecarBefore), err
}

// repeatChats runs concurrent callers that send their requests in sequence.
func repeatChats(addr string, callers, each, tokens int) error {
	wg := pool.New().WithErrors().WithFirstError()
	for i := range callers {
		wg.Go(func() error {
			c := demo.NewCaller(fmt.Sprintf("studio-%d", i))
			defer c.Close()
			for n := range each {
				if _, err := chat(c, addr, fmt.Sprintf("who swapped salsa %d of %d", n, i), tokens); err != nil {
					return fmt.Errorf("chat: %w", err)
				}
			}
			return nil
		})
	}
	return wg.Wait()
}

func chat(c *demo.Caller, addr, question string, tokens int) (demo.ChatResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	return c.Chat(ctx, addr, modelName, question, tokens)
}
