package stagerunner_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a request leaks a goroutine. Goroutines of the server library that end by themselves are ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}
