package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/authority"
	"waxwingpick/internal/demo"
)

// warmUp lets every process hear of the roles.
const warmUp = 2 * time.Second

// split gives the first engine prefill and the other decode.
func split(in authority.Input) []plan.Wanted {
	wanted := authority.Keep(in)
	for i := range wanted {
		wanted[i].Config.Role = waxwingpick.RoleDecode
		if strings.HasSuffix(string(wanted[i].ID), "-0") {
			wanted[i].Config.Role = waxwingpick.RolePrefill
		}
	}
	return wanted
}

func measureFirstTokens(prompts []int, runs int) error {
	fmt.Println("| prompt, tokens | way | first token |")
	fmt.Println("| --- | --- | --- |")
	for _, prompt := range prompts {
		for _, w := range []way{wayDirect, waySidecar, wayOne} {
			if err := firstTokenRow(prompt, w, runs); err != nil {
				return err
			}
		}
	}
	return nil
}

// firstTokenRow prints the mean time to the first token of requests on two engines, or on one.
func firstTokenRow(prompt int, w way, runs int) error {
	var sum time.Duration
	for range runs {
		first, err := firstToken(prompt, w)
		if err != nil {
			return fmt.Errorf("ask with a prompt of %d tokens: %w", prompt, err)
		}
		sum += first
	}
	fmt.Printf("| %d | %s | %.0f ms |\n", prompt, w, float64(sum.Milliseconds())/float64(runs))
	return nil
}

func firstToken(prompt int, w way) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	parts := layout(w)
	if w != wayOne {
		parts.Policy = split
	}
	c, err := demo.NewCluster(ctx, parts)
	if err != nil {
		return 0, err
	}
	defer c.Close(ctx)
	timer.Sleep(ctx, c.Timers(), warmUp)
	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	got, err := ask(ctx, c, caller, prompt, 1)
	return got.First, err
}
