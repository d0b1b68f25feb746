// Command statements measures in virtual time whether request limits that targets state are held and used by fleets of
// several sizes, and what that costs. It ends with 1 if a limit is not held or not used.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"github.com/sourcegraph/conc/pool"

	"waxwingpick"
	"waxwingpick/internal/limitfleet"
)

const (
	// warmup passes before targets state their limits, shortRun or longRun after it. A low limit needs a long run.
	warmup   = time.Second
	shortRun = 15 * time.Second
	longRun  = time.Minute
	lowLimit = 1.0
	// faultPeriod is the time between two faults.
	faultPeriod = 3 * time.Second
	// restartTime is the time after which the platform starts a killed process again.
	restartTime = time.Second
	// requiredUse is the part of a limit that has to be used while the demand exceeds it.
	requiredUse = 0.8
	// requiredServed is the part of the mean number of requests that each gateway has to serve without faults.
	// It is not checked below a mean of minMean, where chance decides.
	requiredServed = 0.5
	minMean        = 30
	// slowDemand is the demand that a limit serves in full.
	slowDemand, highDemand = 0.5, 3
	seed                   = 1
)

// row is one measurement.
type row struct {
	gateways int
	limit    float64
	targets  int
	demand   float64
	fault    fault
}

// fault disturbs a fleet at one time.
type fault struct {
	name string
	// faults are the faults of messages.
	faults limitfleet.Faults
	inject func(f *limitfleet.Fleet, r *rand.Rand)
}

func faults() []fault {
	anyOf := func(f *limitfleet.Fleet, r *rand.Rand) int { return r.IntN(f.Processes()) }
	return []fault{
		{
			name: "kill",
			inject: func(f *limitfleet.Fleet, r *rand.Rand) {
				i := anyOf(f, r)
				f.Kill(i)
				f.Run(restartTime)
				f.Kill(i)
			},
		},
		{
			name: "freeze",
			inject: func(f *limitfleet.Fleet, r *rand.Rand) {
				f.Freeze(anyOf(f, r), 2*time.Second)
			},
		},
		{
			name: "cut",
			inject: func(f *limitfleet.Fleet, r *rand.Rand) {
				f.Cut(anyOf(f, r), 2*time.Second)
			},
		},
		{
			name: "add",
			inject: func(f *limitfleet.Fleet, _ *rand.Rand) {
				f.Add()
			},
		},
		{
			name: "lost10%",
			faults: limitfleet.Faults{
				Loss: 0.1,
			},
		},
		{
			name: "late1s",
			faults: limitfleet.Faults{
				MaxDelay: time.Second,
			},
		},
		{
			name: "change",
			inject: func(f *limitfleet.Fleet, r *rand.Rand) {
				f.State(r.IntN(f.Targets()), waxwingpick.Some(1+10*r.Float64()))
			},
		},
	}
}

func rows() []row {
	var all []row
	for _, gateways := range []int{5, 68, 400} {
		for _, limit := range []float64{0.3, 3.3, 33, 330} {
			for _, targets := range []int{1, 3, 9} {
				for _, demand := range []float64{slowDemand, highDemand} {
					all = append(all, row{
						gateways: gateways,
						limit:    limit,
						targets:  targets,
						demand:   demand,
						fault: fault{
							name: "none",
						},
					})
				}
			}
		}
		for _, fault := range faults() {
			all = append(all, row{
				gateways: gateways,
				limit:    3.3,
				targets:  9,
				demand:   highDemand,
				fault:    fault,
			})
		}
	}
	return all
}

// result is the outcome of a row.
type result struct {
	row
	// worst is the largest number of requests in a window beyond Tolerance times the limit.
	worst float64
	// used is the part of the limits that was used, refused the part of the requests that were refused.
	used    float64
	refused float64
	// least and mean are the least and the mean number of requests that a gateway served.
	least float64
	mean  float64
	// bytes is the number of bytes per second that the busiest gateway sends and receives.
	bytes float64
	err   error
}

func measure(r row) result {
	random := rand.New(rand.NewPCG(seed, seed))
	f := limitfleet.New(random, r.gateways, r.targets)
	f.SetDemand(r.demand * r.limit * float64(r.targets))
	f.Run(warmup)
	for i := range f.Targets() {
		f.State(i, waxwingpick.Some(r.limit))
	}
	f.SetFaults(r.fault.faults)
	f.ResetCounts()
	run := shortRun
	if r.limit < lowLimit {
		run = longRun
	}
	for range int(run / faultPeriod) {
		f.Run(faultPeriod)
		if r.fault.inject != nil {
			r.fault.inject(f, random)
		}
	}
	out := result{
		row: r,
		err: f.Check(),
	}
	for i := range f.Targets() {
		out.worst = max(out.worst, f.Received(i))
		out.used += f.Used(i, limitfleet.Contact) / float64(f.Targets())
	}
	out.least, out.mean = f.Served()
	out.refused = f.RefusedPart()
	out.bytes = f.BusiestBytes() / run.Seconds()
	return out
}

// short returns why a result falls short, or an empty string.
func (r result) short() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.demand > 1 && r.used < requiredUse:
		return "not used"
	case r.fault.inject == nil && r.demand > 1 && r.mean >= minMean && r.least < requiredServed*r.mean:
		return "not shared"
	}
	return ""
}

func main() {
	all := rows()
	results := make([]result, len(all))
	p := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for i, r := range all {
		p.Go(func() { results[i] = measure(r) })
	}
	p.Wait()
	fmt.Println("| gateways | limit | targets | demand | fault | worstWindow | allowed | used | refused | leastServed | meanServed | bytesPerSecond | |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	failed := false
	for _, r := range results {
		allowed := limitfleet.Tolerance*r.limit*limitfleet.Window.Seconds() + limitfleet.Slack
		fmt.Printf("| %d | %v | %d | %v | %s | %.0f | %.1f | %.2f | %.2f | %.0f | %.0f | %.0f | %s |\n", r.gateways, r.limit, r.targets, r.demand,
			r.fault.name, r.worst, allowed, r.used, r.refused, r.least, r.mean, r.bytes, r.short())
		failed = failed || r.short() != ""
	}
	if failed {
		os.Exit(1)
	}
}
