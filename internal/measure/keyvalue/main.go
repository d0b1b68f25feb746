package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/internal/demo"
	"waxwingpick/io/yaml"
)

func main() {
	file := flag.String("config", "config/tanzplan.yaml", "configuration file")
	settle := flag.Duration("settle", 10*time.Second, "time before counting")
	steady := flag.Duration("steady", 20*time.Second, "time of counting without changes")
	changes := flag.Int("changes", 5, "number of preset switches")
	onlyEntries := flag.Int("entries", 0, "measure only the sizes with this number of entries; 0 measures all")
	gap := flag.Duration("gap", 4*time.Second, "time for each switch")
	flag.Parse()
	r, err := yaml.LoadConfig(*file)
	if err != nil {
		fail(err)
	}
	m := measurement{
		record:  r,
		settle:  *settle,
		steady:  *steady,
		changes: *changes,
		gap:     *gap,
	}
	fmt.Println("| entries | targets | reads/s | writes/s | watches opened/s | reads per change | writes per change |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []fleet{
		newFleet(1, 4),
		newFleet(2, 4),
		newFleet(4, 4),
		newFleet(8, 4),
		newFleet(16, 4),
		newFleet(32, 4),
		newFleet(2, 8),
		newFleet(2, 16),
	} {
		if *onlyEntries != 0 && *onlyEntries != size.entries {
			continue
		}
		if err := m.run(size); err != nil {
			fail(err)
		}
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// fleet is the size of a system.
type fleet struct {
	entries int
	targets int
}

func newFleet(entries, targets int) fleet {
	return fleet{
		entries: entries,
		targets: targets,
	}
}

// measurement configures the run at each size.
type measurement struct {
	record  config.Record
	settle  time.Duration
	steady  time.Duration
	changes int
	gap     time.Duration
}

// counts holds the numbers of calls to the key-value service.
type counts struct {
	reads   int64
	writes  int64
	watches int64
}

func (m measurement) run(size fleet) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := demo.NewCluster(ctx, demo.Layout{
		Config:        m.record,
		Engines:       size.targets * 3 / 4,
		PlainServices: size.targets / 4,
		Entries:       size.entries,
		Zones:         []waxwingpick.AvailabilityZone{"at-ost-a", "at-ost-b", "at-ost-c", "at-ost-d"},
		Log:           log,
	})
	if err != nil {
		return fmt.Errorf("start system: %w", err)
	}
	defer c.Close(context.Background())
	wait(c, m.settle)
	steady := countCalls(c, func() {
		wait(c, m.steady)
	})
	var failed error
	changed := countCalls(c, func() {
		failed = m.change(c)
	})
	if failed != nil {
		return failed
	}
	m.print(size, steady, changed)
	return nil
}

// change switches back and forth between two presets.
func (m measurement) change(c *demo.Cluster) error {
	store := config.NewStore(c.Store().Client())
	for i := range m.changes {
		base, err := store.Load(context.Background())
		if err != nil {
			return err
		}
		if _, err := store.Commit(context.Background(), base, config.Request{
			Edit:     config.SwitchPreset(m.record.Presets[(i+1)%2].Name),
			ChangeID: fmt.Sprint(i),
			By:       "measurement",
			At:       time.Now(),
		}); err != nil {
			return err
		}
		wait(c, m.gap)
	}
	return nil
}

// print writes the steady rates, and the number of calls per change above these rates.
func (m measurement) print(size fleet, steady, changed counts) {
	seconds := m.steady.Seconds()
	during := m.gap.Seconds() * float64(m.changes)
	perChange := func(n, base int64) float64 {
		return (float64(n) - float64(base)/seconds*during) / float64(m.changes)
	}
	fmt.Printf("| %d | %d | %.2f | %.2f | %.2f | %.1f | %.1f |\n", size.entries, size.targets,
		float64(steady.reads)/seconds, float64(steady.writes)/seconds, float64(steady.watches)/seconds,
		perChange(changed.reads, steady.reads), perChange(changed.writes, steady.writes))
}

func wait(c *demo.Cluster, d time.Duration) {
	done := make(chan struct{})
	c.Timers().After(d, func(time.Time) {
		close(done)
	})
	<-done
}

func countCalls(c *demo.Cluster, fn func()) counts {
	c.Store().ResetCalls()
	fn()
	var n counts
	for _, kind := range waxwingpick.KeyValueCalls() {
		calls := c.Store().Calls(kind)
		switch {
		case kind == waxwingpick.CallWatch:
			n.watches += calls
		case kind.Writes():
			n.writes += calls
		default:
			n.reads += calls
		}
	}
	return n
}
