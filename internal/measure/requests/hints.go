package main

import "fmt"

const (
	// hotBlocks is the number of blocks that fits into a report, allBlocks that of an engine's complete cache.
	hotBlocks = 16
	allBlocks = 64
)

const hintHeader = "| policy | goodput/s | long in time | first token quick p50/p95/p99 s | prompt tokens from caches |\n" +
	"|---|---|---|---|---|"

// hintPolicies returns policies that differ in the information of entries about the engines' caches.
func hintPolicies() []policy {
	var base, without policy
	for _, p := range policies() {
		switch p.name {
		case projectName:
			base = p
		case withoutAffinityName:
			without = p
		}
	}
	hot, all := base, base
	hot.name, hot.hints = "waxwingpick, cache hints of 16 blocks", hotBlocks
	all.name, all.hints = "waxwingpick, cache hints of all blocks", allBlocks
	return []policy{without, base, hot, all}
}

// hintTables prints the effect of cache hints.
func (m measurement) hintTables(load float64) error {
	for _, f := range []fleet{tanzplan(), cacaotera()} {
		for _, s := range scenarios(load) {
			if m.onlyScenario != "" && m.onlyScenario != s.name {
				continue
			}
			fmt.Printf("\n### %s, %s, load %.2f\n\n%s\n", f.name, s.name, s.load, hintHeader)
			if err := m.hintRows(f, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m measurement) hintRows(f fleet, s scenario) error {
	for _, p := range hintPolicies() {
		runs, err := m.runs(f, s, p)
		if err != nil {
			return err
		}
		cachedTokens := 0
		for _, r := range runs {
			cachedTokens += r.cachedTokens
		}
		sum := summarize(p.name, runs, m.length)
		fmt.Printf("| %s | %.2f | %.3f | %.2f / %.2f / %.2f | %.2f M |\n", p.name, sum.goodput, sum.long,
			sum.first[0], sum.first[1], sum.first[2], float64(cachedTokens)/float64(len(runs))/1e6)
	}
	return nil
}
