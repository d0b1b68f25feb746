package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts by their names.
var cases = map[string]func(w *world, trouble bool) error{
	"late-heartbeat": lateHeartbeat,
	"held-report":    heldReport,
	"changed-bodies": changedBodies,
}

func main() {
	program := flag.String("gateway", "target/waxwingpickd", "the program of the deploy file")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *record))
}

func run(name, program, record string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = play(w, os.Getenv("TROUBLE") != "0")
	w.close()
	switch {
	case errors.Is(err, errBroken):
		w.log("result: %v", err)
		return exitBroken
	case err != nil:
		w.log("the case could not run: %v", err)
		return exitFailed
	}
	w.log("result: the rule held")
	return exitHeld
}
