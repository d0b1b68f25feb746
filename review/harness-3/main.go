package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
)

// The exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoTrial = 2
)

var (
	// errBroken means that the rule was broken, errNoTrial that the script could not tell.
	errBroken  = eris.New("rule broken")
	errNoTrial = eris.New("no trial")
)

// cases are the scripts by the names that they pass.
var cases = map[string]func(ctx context.Context, w *world, trouble bool) error{
	"backlog": backlogCase,
	"idle":    idleCase,
	"poison":  poisonCase,
	"turned":  turnedCase,
	"refused": refusedCase,
}

func main() {
	os.Exit(execute())
}

func execute() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return exitNoTrial
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoTrial
	}
	w, err := newWorld(r)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNoTrial
	}
	defer w.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err = cases[os.Args[1]](ctx, w, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		r.printf("held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.printf("%v", err)
		return exitBroken
	}
	r.printf("could not run: %v", err)
	return exitNoTrial
}
