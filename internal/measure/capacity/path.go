package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"waxwingpick/internal/demo"
)

const (
	pathTokens        = 4
	pathSamples       = 600
	pathWarmup        = 100
	requestsPerCaller = 100
)

// measurePath compares requests through entry and sidecar with requests directly to the engine stand-in, in one run.
func measurePath(w io.Writer) error {
	p, err := newPath(time.Millisecond)
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.latencies(w); err != nil {
		return err
	}
	return p.throughput(w)
}

// latencies measures first-token times. It alternates between the addresses, so that all are measured under the same
// load of the machine.
func (p *path) latencies(w io.Writer) error {
	bare, err := spawnRelays(p.engine.Addr())
	if err != nil {
		return err
	}
	defer bare.stop()
	c := demo.NewCaller("capacity")
	defer c.Close()
	addrs := []string{p.engine.Addr(), bare.entrySide.addr, p.listen}
	all := make([]firstTokenTimes, len(addrs))
	for i := range pathWarmup + pathSamples {
		question := fmt.Sprintf("who swapped tuesday salsa %d", i)
		for j, addr := range addrs {
			one, err := p.firstToken(c, addr, question)
			if err != nil {
				return fmt.Errorf("send request to %s: %w", addr, err)
			}
			if i >= pathWarmup {
				all[j] = append(all[j], one)
			}
		}
	}
	writeLatencies(w, all[0], all[1], all[2])
	return nil
}

func writeLatencies(w io.Writer, direct, bare, through firstTokenTimes) {
	fmt.Fprintf(w, "first token, unloaded, %d of each in turn, p50 p90 p99:\n", pathSamples)
	fmt.Fprintf(w, "engine alone %s, through two bare relays %s, through entry and sidecar %s\n",
		quantiles(direct.totals()), quantiles(bare.totals()), quantiles(through.totals()))
	fmt.Fprintf(w, "held by the engine itself: %s alone, %s, %s\n",
		quantiles(direct.holds()), quantiles(bare.holds()), quantiles(through.holds()))
	fmt.Fprintf(w, "without what the engine held: engine alone %s, bare relays %s, entry and sidecar %s\n",
		quantiles(direct.shares()), quantiles(bare.shares()), quantiles(through.shares()))
	fmt.Fprintf(w, "added to the same question without what the engine held: bare relays %s, entry and sidecar %s\n",
		quantiles(subtract(bare.shares(), direct.shares())), quantiles(subtract(through.shares(), direct.shares())))
}

// firstTokenTime holds the time to the first token of one request, and the part of it that the engine took.
type firstTokenTime struct {
	total time.Duration
	held  time.Duration
}

type firstTokenTimes []firstTokenTime

func (p *path) firstToken(c *demo.Caller, addr, question string) (firstTokenTime, error) {
	p.held.reset()
	result, err := chat(c, addr, question, pathTokens)
	return firstTokenTime{
		total: result.FirstToken,
		held:  p.held.elapsed(),
	}, err
}

func (all firstTokenTimes) totals() []time.Duration {
	return all.each(func(w firstTokenTime) time.Duration {
		return w.total
	})
}

func (all firstTokenTimes) holds() []time.Duration {
	return all.each(func(w firstTokenTime) time.Duration {
		return w.held
	})
}

func (all firstTokenTimes) shares() []time.Duration {
	return all.each(func(w firstTokenTime) time.Duration {
		return w.total - w.held
	})
}

func (all firstTokenTimes) each(value func(firstTokenTime) time.Duration) []time.Duration {
	values := make([]time.Duration, len(all))
	for i, w := range all {
		values[i] = value(w)
	}
	return values
}

func subtract(a, b []time.Duration) []time.Duration {
	differences := make([]time.Duration, len(a))
	for i := range a {
		differences[i] = a[i] - b[i]
	}
	return differences
}

func quantiles(values []time.Duration) string {
	sorted := slices.Sorted(slices.Values(values))
	text := ""
	for _, q := range []float64{0.5, 0.9, 0.99} {
		text += " " + sorted[int(q*float64(len(sorted)-1))].Round(time.Microsecond).String()
	}
	return strings.TrimSpace(text)
}

// throughput runs the same closed-loop load directly on the engine, and then through entry and sidecar.
func (p *path) throughput(w io.Writer) error {
	entryCores := &series{y: "entry, short requests: share of a core", x: "requests/s"}
	sidecarCores := &series{y: "sidecar, short requests: share of a core", x: "requests/s"}
	for _, callers := range []int{1, 4, 8, 16} {
		direct, err := requestRate(p.engine.Addr(), callers)
		if err != nil {
			return fmt.Errorf("send requests to the engine: %w", err)
		}
		entry, sidecar, err := p.measured(func() error {
			return repeatChats(p.listen, callers, requestsPerCaller, pathTokens)
		})
		if err != nil {
			return fmt.Errorf("send requests to the entry: %w", err)
		}
		through := float64(callers*requestsPerCaller) / entry.took.Seconds()
		entryCores.add(through, entry.cores)
		sidecarCores.add(through, sidecar.cores)
		fmt.Fprintf(w, "%d callers: engine alone %.0f requests/s, through entry and sidecar %.0f requests/s, ratio %.2f\n",
			callers, direct, through, through/direct)
	}
	return write(w, entryCores, sidecarCores)
}

func requestRate(addr string, callers int) (float64, error) {
	started := time.Now()
	if err := repeatChats(addr, callers, requestsPerCaller, pathTokens); err != nil {
		return 0, err
	}
	return float64(callers*requestsPerCaller) / time.Since(started).Seconds(), nil
}
