package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	"waxwingpick/internal/demo"
	standinengine "waxwingpick/internal/standin/engine"
)

const (
	prefillToken = 100 * time.Microsecond
	decodeToken  = 10 * time.Millisecond
	answerTokens = 800
	// tokensBeforeLeave is the number of generated tokens after which the target's leave is announced.
	tokensBeforeLeave = 20
	pollInterval      = time.Millisecond
	// tokenBytes is the size of the KV cache of one token: 32 MB for 16,000 tokens, 128 MB for 64,000.
	tokenBytes   = 2000
	memoryPieces = 100_000
	pieceTokens  = 16
	deadline     = time.Minute
	runTimeout   = 2 * time.Minute
)

var errNotMoved = eris.New("the response ended before its target received the leave")

// transferMode is how a target obtains the KV cache of a prompt.
type transferMode string

const (
	modeDirect    transferMode = "engine to engine"
	modeSidecar   transferMode = "through the sidecars"
	modeRecompute transferMode = "computed again"
	modeOneEngine transferMode = "one engine"
)

func main() {
	runs := flag.Int("runs", 3, "moves and requests for each size and way")
	longest := flag.Int("longest", 64_000, "longest prompt, in tokens")
	shortest := flag.Int("shortest", 1000, "shortest prompt, in tokens")
	firstTokens := flag.Bool("firstTokens", false, "measure first tokens of requests on two engines in place of moves")
	flag.Parse()
	prompts := slices.DeleteFunc([]int{1000, 4000, 16_000, 64_000}, func(n int) bool {
		return n < *shortest || n > *longest
	})
	measure := measureMoves
	if *firstTokens {
		measure = measureFirstTokens
	}
	if err := measure(prompts, *runs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measureMoves(prompts []int, runs int) error {
	fmt.Println("| prompt, tokens | way | longest pause between two tokens | prompt tokens computed again | tokens generated for nobody |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, prompt := range prompts {
		for _, mode := range []transferMode{modeDirect, modeSidecar, modeRecompute} {
			if err := row(prompt, mode, runs); err != nil {
				return err
			}
		}
	}
	return nil
}

// cost is the cost of a move: the maximum time between two tokens, the prompt tokens that were computed again, and the
// generated tokens that no caller received.
type cost struct {
	maxGap  time.Duration
	prefill int64
	wasted  int64
}

// row prints the mean cost of several moves.
func row(prompt int, mode transferMode, runs int) error {
	var sum cost
	for range runs {
		c, err := move(prompt, mode)
		if err != nil {
			return fmt.Errorf("move a prompt of %d tokens: %w", prompt, err)
		}
		sum.maxGap += c.maxGap
		sum.prefill += c.prefill
		sum.wasted += c.wasted
	}
	n := float64(runs)
	fmt.Printf("| %d | %s | %.0f ms | %.0f | %.1f |\n", prompt, mode,
		float64(sum.maxGap.Milliseconds())/n, float64(sum.prefill)/n, float64(sum.wasted)/n)
	return nil
}

// move starts a stream, announces that its target leaves, and returns the cost of the move.
func move(prompt int, mode transferMode) (cost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	c, err := demo.NewCluster(ctx, layout(mode))
	if err != nil {
		return cost{}, err
	}
	defer c.Close(ctx)
	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	var got demo.ChatResult
	var failed error
	var wg conc.WaitGroup
	wg.Go(func() {
		got, failed = chat(ctx, c, caller, prompt, answerTokens)
	})
	from := awaitTokens(ctx, c)
	if mode == modeRecompute {
		c.Engines()[from].LoseRequests("/kv/export", 1)
	}
	announce(c, from)
	wg.Wait()
	if failed != nil {
		return cost{}, failed
	}
	if c.Engines()[1-from].Record().Tokens == 0 {
		return cost{}, errNotMoved
	}
	source, destination := c.Engines()[from].Record(), c.Engines()[1-from].Record()
	return cost{
		maxGap:  got.MaxGap,
		prefill: destination.PrefillTokens,
		wasted:  source.Tokens + destination.Tokens - answerTokens,
	}, nil
}

func chat(ctx context.Context, c *demo.Cluster, caller *demo.Caller, prompt, tokens int) (demo.ChatResult, error) {
	return caller.Chat(ctx, c.Entries()[0].CallerAddr(), "stundenplan", strings.Repeat("word ", prompt), tokens)
}

// awaitTokens waits until an engine has generated tokensBeforeLeave tokens, and returns its index.
func awaitTokens(ctx context.Context, c *demo.Cluster) int {
	for timer.Sleep(ctx, c.Timers(), pollInterval) {
		for i, e := range c.Engines() {
			if e.Record().Tokens >= tokensBeforeLeave {
				return i
			}
		}
	}
	return 0
}

// announce marks an instance as leaving in the platform's list, with a date that leaves time to move its streams.
func announce(c *demo.Cluster, i int) {
	list := append([]waxwingpick.Instance(nil), c.Instances()...)
	list[i].Leaving = true
	list[i].LeaveBy = time.Now().Add(time.Minute)
	c.Platform().Set(list...)
}

func layout(mode transferMode) demo.Layout {
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := []standinengine.Option{
		standinengine.Speed(prefillToken, decodeToken),
		standinengine.Memory(memoryPieces, pieceTokens),
		standinengine.KVTokenBytes(tokenBytes),
	}
	if mode == modeDirect {
		opts = append(opts, standinengine.DirectKV())
	}
	return demo.Layout{
		Config:        record(),
		Engines:       2,
		PlainServices: 1,
		Entries:       1,
		Zones:         []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b"},
		EngineOptions: opts,
		Log:           log,
	}
}

func record() config.Record {
	preset := config.Preset{
		Name:                "ordinary",
		RoleChangesInFlight: 1,
	}
	for _, class := range waxwingpick.Classes() {
		preset.Classes = append(preset.Classes, config.ClassPolicy{
			Class:     class,
			Deadline:  config.Duration(deadline),
			Objective: 0.95,
		})
	}
	return config.Record{
		InForce: preset.Name,
		Presets: []config.Preset{preset},
		Services: []config.Service{
			{
				Name:          "stundenplan-llm",
				Kind:          config.KindEngine,
				ChecksFencing: true,
				Models: []config.Model{
					{
						Name:    "stundenplan",
						Version: "1",
					},
				},
			},
			{
				Name: "studio-app",
				Kind: config.KindPlain,
			},
		},
		Limits: config.Limits{
			RetryBudget: 0.1,
		},
	}
}
