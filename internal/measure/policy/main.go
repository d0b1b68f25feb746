package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	m := measurement{}
	flag.Float64Var(&m.load, "load", 0.9, "offered work as a fraction of the fleet's capacity")
	flag.Float64Var(&m.quick, "quick", defaultQuick, "part of the work that quick requests are")
	flag.IntVar(&m.seeds, "seeds", 10, "number of seeds, from 1")
	flag.DurationVar(&m.length, "length", 6*time.Minute, "virtual time of each run")
	flag.IntVar(&m.parallel, "parallel", 2, "runs at once")
	flag.StringVar(&m.policy, "policy", "", "run this policy only")
	flag.StringVar(&m.trace, "trace", "", "run this trace only")
	flag.StringVar(&m.fleet, "fleet", "", "run this fleet only")
	flag.IntVar(&m.chunk, "chunk", defaultChunk, "prompt tokens that a step of a mixed engine takes at most")
	flag.StringVar(&m.format, "format", "svg", "format of plots: svg or png")
	flag.StringVar(&m.plots, "plots", "", "directory for plots; empty for none")
	flag.Parse()
	if err := m.tables(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
