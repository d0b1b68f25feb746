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

// warmUp is the time until every process applies the roles.
const warmUp = 2 * time.Second

// splitRoles assigns the prefill role to the first engine and the decode role to the other.
func splitRoles(in authority.Input) []plan.DesiredTarget {
	desired := authority.KeepCurrent(in)
	for i := range desired {
		desired[i].Config.Role = waxwingpick.RoleDecode
		if strings.HasSuffix(string(desired[i].ID), "-0") {
			desired[i].Config.Role = waxwingpick.RolePrefill
		}
	}
	return desired
}

func measureFirstTokens(prompts []int, runs int) error {
	fmt.Println("| prompt, tokens | way | first token |")
	fmt.Println("| --- | --- | --- |")
	for _, prompt := range prompts {
		for _, mode := range []transferMode{modeDirect, modeSidecar, modeOneEngine} {
			if err := firstTokenRow(prompt, mode, runs); err != nil {
				return err
			}
		}
	}
	return nil
}

// firstTokenRow prints the mean time to the first token of several requests.
func firstTokenRow(prompt int, mode transferMode, runs int) error {
	var sum time.Duration
	for range runs {
		first, err := firstToken(prompt, mode)
		if err != nil {
			return fmt.Errorf("request with a prompt of %d tokens: %w", prompt, err)
		}
		sum += first
	}
	fmt.Printf("| %d | %s | %.0f ms |\n", prompt, mode, float64(sum.Milliseconds())/float64(runs))
	return nil
}

func firstToken(prompt int, mode transferMode) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	clusterLayout := layout(mode)
	if mode != modeOneEngine {
		clusterLayout.Policy = splitRoles
	}
	c, err := demo.NewCluster(ctx, clusterLayout)
	if err != nil {
		return 0, err
	}
	defer c.Close(ctx)
	timer.Sleep(ctx, c.Timers(), warmUp)
	caller := demo.NewCaller("studio-1")
	defer caller.Close()
	got, err := chat(ctx, c, caller, prompt, 1)
	return got.FirstToken, err
}
