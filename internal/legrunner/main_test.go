package legrunner_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails where a request on two engines leaves a goroutine behind; those that the
// server library lets run out by themselves are left out.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}
