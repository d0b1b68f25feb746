package daemon

import (
	"cmp"
	"runtime/debug"
)

const (
	// defaultMemory is what the runtime may hold, in bytes; the program's code comes on top.
	defaultMemory = 48 << 20
	// collectPercent lets the heap grow to four times what lives before it is collected. With the runtime's own 100 a
	// process with little live memory collects so often under load that it answers fewer requests.
	collectPercent = 300
)

// limitMemory sets the budget that everything in the process shares, in bytes; zero takes the default. The collector
// works harder near the budget, which is exceeded only by what lives.
func limitMemory(bytes int) {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(cmp.Or(bytes, defaultMemory)))
}
