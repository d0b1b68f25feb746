// Command waxwingpick is the command-line client for operators.
package main

import (
	"context"
	"os"

	"waxwingpick/internal/demo"
	"waxwingpick/internal/operator"
)

func main() {
	env := operator.DefaultEnv()
	os.Exit(operator.Main(context.Background(), env, os.Args[1:], demo.NewCommand(env.Stdout, env.Stderr)))
}
