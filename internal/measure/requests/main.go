package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"waxwingpick"
)

func main() {
	load := flag.Float64("load", 0.9, "offered work as a fraction of the fleet's capacity")
	seeds := flag.Int("seeds", 5, "number of seeds, from 1")
	length := flag.Duration("length", 8*time.Minute, "virtual time of each run")
	parallel := flag.Int("parallel", 2, "runs at once")
	capacity := flag.Bool("capacity", false, "print the goodput of the all-knowing greedy policy at several loads instead")
	hints := flag.Bool("hints", false, "print what cache hints change instead")
	sample := flag.Bool("sample", false, "print what holding the load of some targets costs in a large fleet instead")
	onlyPolicy := flag.String("policy", "", "run this policy only")
	onlyScenario := flag.String("scenario", "", "run this scenario only")
	flag.Parse()
	m := measurement{
		seeds:        *seeds,
		length:       *length,
		parallel:     *parallel,
		onlyScenario: *onlyScenario,
		policy:       *onlyPolicy,
	}
	var err error
	switch {
	case *capacity:
		err = m.capacity()
	case *hints:
		err = m.hintTables(*load)
	case *sample:
		err = m.sampleTables(*load)
	default:
		err = m.tables(*load)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measurement configures the runs and prints their tables.
type measurement struct {
	seeds        int
	length       time.Duration
	parallel     int
	onlyScenario string
	policy       string
}

func (m measurement) tables(load float64) error {
	for _, f := range []fleet{tanzplan(), cacaotera()} {
		for _, s := range scenarios(load) {
			if err := m.table(f, s, policies()); err != nil {
				return err
			}
		}
	}
	for _, f := range []fleet{tanzplan().plain(4), cacaotera().plain(3)} {
		for _, s := range plainScenarios() {
			if err := m.table(f, s, plainPolicies()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m measurement) capacity() error {
	ps := policies()
	greedy := ps[len(ps)-1]
	for _, f := range []fleet{tanzplan(), cacaotera()} {
		for _, load := range []float64{0.9, 1.0, 1.05, 1.1, 1.15, 1.2, 1.25, 1.3, 1.35} {
			s := scenario{
				phases: steadyPhases(),
				load:   load,
			}
			runs, err := m.runs(f, s, greedy)
			if err != nil {
				return err
			}
			fmt.Printf("%s load %.1f: %s\n", f.name, load, summarize(greedy.name, runs, m.length))
		}
	}
	return nil
}

func (m measurement) table(f fleet, s scenario, ps []policy) error {
	if m.onlyScenario != "" && m.onlyScenario != s.name {
		return nil
	}
	fmt.Printf("\n### %s, %s, load %.2f\n\n%s\n", f.name, s.name, s.load, header)
	sums := make(map[string]summary)
	for _, p := range ps {
		if m.policy != "" && m.policy != p.name {
			continue
		}
		runs, err := m.runs(f, s, p)
		if err != nil {
			return err
		}
		sum := summarize(p.name, runs, m.length)
		sums[p.name] = sum
		fmt.Println(sum)
	}
	fmt.Println()
	project, ok := sums[projectName]
	if !ok {
		return nil
	}
	for _, p := range ps {
		other, ok := sums[p.name]
		if ok && (p.baseline || p.oracle) {
			fmt.Printf("- %s / %s: goodput %.2f", projectName, p.name, project.goodput/other.goodput)
			if other.long > 0 {
				fmt.Printf(", long in time %.2f", project.long/other.long)
			}
			fmt.Println()
		}
	}
	return nil
}

func (m measurement) runs(f fleet, s scenario, p policy) ([]result, error) {
	results := make([]result, m.seeds)
	work := pool.New().WithErrors().WithMaxGoroutines(m.parallel)
	for i := range results {
		work.Go(func() error {
			b := bench{
				fleet:    f,
				scenario: s,
				policy:   p,
				seed:     uint64(i + 1),
				length:   m.length,
			}
			r, err := b.run()
			results[i] = r
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return nil, fmt.Errorf("policy %s: %w", p.name, err)
	}
	return results, nil
}

const header = "| policy | goodput/s (least–most) | quick (or order) in time | long in time | first token quick p50/p95/p99 s | between tokens p50/p95/p99 ms | wasted work | engine crashes |\n" +
	"|---|---|---|---|---|---|---|---|"

// summary holds the results of one policy, over all seeds.
type summary struct {
	name                   string
	goodput                float64
	minGoodput, maxGoodput float64
	quick, long            float64
	first, between         [3]float64
	wasted                 float64
	crashes                float64
}

func summarize(name string, runs []result, length time.Duration) summary {
	s := summary{
		name: name,
	}
	all := newResult()
	var goodputs []float64
	computed, wasted := 0, 0
	for _, r := range runs {
		g, _ := r.goodput(length)
		goodputs = append(goodputs, g)
		computed += r.computed
		wasted += r.wasted
		s.crashes += float64(r.crashes) / float64(len(runs))
		for class, c := range r.classes {
			all.classes[class].add(c)
		}
	}
	for _, g := range goodputs {
		s.goodput += g / float64(len(goodputs))
	}
	s.minGoodput, s.maxGoodput = slices.Min(goodputs), slices.Max(goodputs)
	quick, long := all.classes[waxwingpick.ClassQuick], all.classes[waxwingpick.ClassLong]
	if orders := all.classes[waxwingpick.ClassOrder]; orders.offered > 0 {
		quick = orders
	}
	s.quick, s.long = quick.share(), long.share()
	quick.betweenTokens.Merge(long.betweenTokens)
	for i, q := range []float64{50, 95, 99} {
		s.first[i] = float64(quick.firstToken.ValueAtQuantile(q)) / 1e6
		s.between[i] = float64(quick.betweenTokens.ValueAtQuantile(q)) / 1e3
	}
	s.wasted = float64(wasted) / float64(max(1, computed))
	return s
}

func (c *classResult) add(other *classResult) {
	c.offered += other.offered
	c.inTime += other.inTime
	c.refused += other.refused
	c.untried += other.untried
	c.firstToken.Merge(other.firstToken)
	c.betweenTokens.Merge(other.betweenTokens)
}

func (c *classResult) share() float64 {
	return float64(c.inTime) / float64(max(1, c.offered))
}

// String returns the summary as a row of a Markdown table.
func (s summary) String() string {
	return fmt.Sprintf("| %s | %.2f (%.2f–%.2f) | %.3f | %.3f | %.2f / %.2f / %.2f | %.0f / %.0f / %.0f | %.1f%% | %.1f |",
		s.name, s.goodput, s.minGoodput, s.maxGoodput, s.quick, s.long, s.first[0], s.first[1], s.first[2],
		s.between[0], s.between[1], s.between[2], 100*s.wasted, s.crashes)
}
