package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a stream, an exchange or a stand-in leaks a goroutine. It ignores the goroutines of fasthttp that
// end some time after the server is shut down.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}
