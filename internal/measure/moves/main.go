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
	// movedAfter is the number of tokens of the answer before the target's leave is announced.
	movedAfter = 20
	poll       = time.Millisecond
	// tokenBytes is the size of the KV cache of one token: 32 MB for 16,000 tokens, 128 MB for 64,000.
	tokenBytes   = 2000
	memoryPieces = 100_000
	pieceTokens  = 16
	deadline     = time.Minute
	runLimit     = 2 * time.Minute
)

var errNotMoved = eris.New("the answer ended before its target heard that it leaves")

// way is how a target comes by the KV cache of a prompt.
type way string

const (
	wayDirect  way = "engine to engine"
	waySidecar way = "through the sidecars"
	wayAgain   way = "computed again"
	wayOne     way = "one engine"
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
		for _, w := range []way{wayDirect, waySidecar, wayAgain} {
			if err := row(prompt, w, runs); err != nil {
				return err
			}
		}
	}
	return nil
}

// cost is what a move costs: the caller's longest wait, and tokens computed again or for nobody.
type cost struct {
	pause   time.Duration
	prefill int64
	wasted  int64
}

// row prints the mean cost of some moves.
func row(prompt int, w way, runs int) error {
	var sum cost
	for range runs {
		c, err := move(prompt, w)
		if err != nil {
			return fmt.Errorf("move a prompt of %d tokens: %w", prompt, err)
		}
		sum.pause += c.pause
		sum.prefill += c.prefill
		sum.wasted += c.wasted
	}
	n := float64(runs)
	fmt.Printf("| %d | %s | %.0f ms | %.0f | %.1f |\n", prompt, w,
		float64(sum.pause.Milliseconds())/n, float64(sum.prefill)/n, float64(sum.wasted)/n)
	return nil
}

// move starts a stream and announces that its target leaves.
func move(prompt int, w way) (cost, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	c, err := demo.NewCluster(ctx, layout(w))
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
		got, failed = ask(ctx, c, caller, prompt, answerTokens)
	})
	from := running(ctx, c)
	if w == wayAgain {
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
	left, taken := c.Engines()[from].Record(), c.Engines()[1-from].Record()
	return cost{
		pause:   got.Pause,
		prefill: taken.PrefillTokens,
		wasted:  left.Tokens + taken.Tokens - answerTokens,
	}, nil
}

func ask(ctx context.Context, c *demo.Cluster, caller *demo.Caller, prompt, tokens int) (demo.ChatResult, error) {
	return caller.Chat(ctx, c.Entries()[0].CallerAddr(), "stundenplan", strings.Repeat("word ", prompt), tokens)
}

// running waits until an engine has generated some tokens and returns its number.
func running(ctx context.Context, c *demo.Cluster) int {
	for timer.Sleep(ctx, c.Timers(), poll) {
		for i, e := range c.Engines() {
			if e.Record().Tokens >= movedAfter {
				return i
			}
		}
	}
	return 0
}

// announce makes the platform's list take an instance away within the time of its moves.
func announce(c *demo.Cluster, i int) {
	list := append([]waxwingpick.Instance(nil), c.Instances()...)
	list[i].Leaving = true
	list[i].LeaveBy = time.Now().Add(time.Minute)
	c.Platform().Set(list...)
}

func layout(w way) demo.Layout {
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := []standinengine.Option{
		standinengine.Speed(prefillToken, decodeToken),
		standinengine.Memory(memoryPieces, pieceTokens),
		standinengine.KVTokenBytes(tokenBytes),
	}
	if w == wayDirect {
		opts = append(opts, standinengine.DirectKV())
	}
	return demo.Layout{
		Config:        record(),
		Engines:       2,
		Plains:        1,
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
