package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"waxwingpick"
)

// measurement configures the runs and prints their tables.
type measurement struct {
	load     float64
	quick    float64
	seeds    int
	length   time.Duration
	parallel int
	policy   string
	trace    string
	fleet    string
	plots    string
	format   string
	chunk    int
}

const header = "| policy | goodput/s (least–most) | late quick | late long | first token within 0.89 s | role changes | engine-seconds lost | score/s |\n" +
	"|---|---|---|---|---|---|---|---|"

// row holds the results of one policy, over all seeds.
type row struct {
	policy controlPolicy
	// goodput, minGoodput and maxGoodput are responses in time per second: the mean, minimum and maximum over the
	// seeds.
	goodput, minGoodput, maxGoodput float64
	// offered is the offered load in requests per second.
	offered             float64
	lateQuick, lateLong float64
	fastFirstTokens     float64
	// fastGoodput is the goodput without quick responses whose first token was late.
	fastGoodput          float64
	changes, lostSeconds float64
	// score is the goodput minus the price of the role changes, per second.
	score float64
	// points are the responses in time by second of arrival, as the mean over the seeds.
	points []float64
}

func (m measurement) tables() error {
	for _, f := range []fleet{tanzplan(), cacaotera()} {
		if m.fleet != "" && f.name != m.fleet {
			continue
		}
		var figures []figure
		for _, t := range traces() {
			if m.trace != "" && t.name != m.trace {
				continue
			}
			rows, err := m.table(f, t)
			if err != nil {
				return err
			}
			figures = append(figures, figure{
				fleet: f,
				trace: t,
				rows:  rows,
			})
			if err := m.draw(f, figures); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m measurement) table(f fleet, t trace) ([]row, error) {
	fmt.Printf("\n### %s (%d engines + %d plain), %s, load %.2f, quick %.2f, chunk %d\n\n%s\n", f.name, f.engines, f.plain, t.name, m.load, m.quick, m.chunk, header)
	var rows []row
	for _, p := range policies(f) {
		if m.policy != "" && p.name != m.policy {
			continue
		}
		r, err := m.row(f, t, p)
		if err != nil {
			return nil, err
		}
		fmt.Println(r)
		rows = append(rows, r)
	}
	compare(rows)
	return rows, nil
}

// compare prints each policy's goodput relative to the best fixed split, with and without quick responses whose first
// token was late, and its role changes beside those of the threshold policy.
func compare(rows []row) {
	best, bestFast, threshold := 0.0, 0.0, 0.0
	for _, r := range rows {
		if r.policy.fixed {
			best = max(best, r.goodput)
			bestFast = max(bestFast, r.fastGoodput)
		}
		if r.policy.name == thresholdName {
			threshold = r.changes
		}
	}
	fmt.Println()
	if best > 0 {
		fmt.Printf("- every request in time: %.3f of the best fixed split\n", rows[0].offered/best)
	}
	for _, r := range rows {
		if r.policy.fixed || best == 0 {
			continue
		}
		fmt.Printf("- %s: %.3f of the best fixed split, %.3f where first tokens count, %.1f role changes for the threshold's %.1f\n",
			r.policy.name, r.goodput/best, r.fastGoodput/bestFast, r.changes, threshold)
	}
}

func (m measurement) row(f fleet, t trace, p controlPolicy) (row, error) {
	results := make([]result, m.seeds)
	work := pool.New().WithErrors().WithMaxGoroutines(m.parallel)
	for i := range results {
		work.Go(func() error {
			b := bench{
				fleet:  f,
				trace:  t,
				policy: p,
				seed:   uint64(i + 1),
				load:   m.load,
				quick:  m.quick,
				length: m.length,
				chunk:  m.chunk,
			}
			r, err := b.run()
			results[i] = r
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return row{}, fmt.Errorf("policy %s: %w", p.name, err)
	}
	return m.summarize(f, p, results), nil
}

func (m measurement) summarize(f fleet, p controlPolicy, results []result) row {
	r := row{
		policy: p,
		points: make([]float64, len(results[0].points)),
	}
	n := float64(len(results))
	var goodputs []float64
	offered, inTime := make(map[waxwingpick.Class]int), make(map[waxwingpick.Class]int)
	fastFirstTokens := 0
	for _, one := range results {
		g := one.goodput(m.length)
		goodputs = append(goodputs, g)
		r.goodput += g / n
		r.changes += float64(one.changes) / n
		r.lostSeconds += one.lostSeconds / n
		fastFirstTokens += one.fastFirstTokens
		slow := one.inTime[waxwingpick.ClassQuick] - one.fastFirstTokens
		r.fastGoodput += (g - float64(slow)/m.length.Seconds()) / n
		for class := range one.offered {
			r.offered += float64(one.offered[class]) / n / m.length.Seconds()
			offered[class] += one.offered[class]
			inTime[class] += one.inTime[class]
		}
		for i, v := range one.points {
			r.points[i] += float64(v) / n
		}
	}
	r.minGoodput, r.maxGoodput = slices.Min(goodputs), slices.Max(goodputs)
	r.lateQuick = lateShare(offered, inTime, waxwingpick.ClassQuick)
	r.lateLong = lateShare(offered, inTime, waxwingpick.ClassLong)
	r.fastFirstTokens = float64(fastFirstTokens) / float64(max(1, offered[waxwingpick.ClassQuick]))
	r.score = r.goodput - f.price*r.changes/m.length.Seconds()
	return r
}

func lateShare(offered, inTime map[waxwingpick.Class]int, class waxwingpick.Class) float64 {
	return 1 - float64(inTime[class])/float64(max(1, offered[class]))
}

// String returns the row in Markdown.
func (r row) String() string {
	return fmt.Sprintf("| %s | %.2f (%.2f–%.2f) | %.3f | %.3f | %.3f | %.1f | %.0f | %.2f |",
		r.policy.name, r.goodput, r.minGoodput, r.maxGoodput, r.lateQuick, r.lateLong, r.fastFirstTokens, r.changes, r.lostSeconds, r.score)
}

func splitName(prefill, decode int) string {
	return fmt.Sprintf("fixed %d prefill, %d decode", prefill, decode)
}
