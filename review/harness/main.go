package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	recordName  = "record.txt"
	argumentLen = 3
	// targetArgumentLen is the number of arguments of a replica.
	targetArgumentLen = 4
	// timeLimit ends a case that takes too long.
	timeLimit = 118 * time.Second
)

// cases holds the cases by name. Each returns what broke the rule; none if it held.
var cases = map[string]func(w *world) ([]string, error){}

func main() {
	if len(os.Args) == targetArgumentLen && os.Args[1] == targetArgument {
		fmt.Fprintln(os.Stderr, "harness:", serveUnframed(os.Args[2], os.Args[3]))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != argumentLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and writes its record into the folder.
func runCase(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, recordName))
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	w.closeEarly(timeLimit)
	broken, err := cases[name](w)
	w.close()
	if err != nil {
		w.record.write("case did not run: %v", err)
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	for _, b := range broken {
		w.record.write("BROKEN: %s", b)
	}
	w.record.write("result: %d breaks, trouble %t", len(broken), w.trouble)
	fmt.Printf("%s: %d breaks, trouble %t\n", name, len(broken), w.trouble)
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
