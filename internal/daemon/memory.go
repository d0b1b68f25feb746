package daemon

import (
	"cmp"
	"runtime/debug"
)

const (
	// defaultMemoryLimit is the default limit of the memory of the Go runtime, in bytes. The program's code is not included.
	defaultMemoryLimit = 48 << 20
	// gcPercent lets the heap grow to four times the live memory before a collection. With the runtime's default of 100, a
	// process with little live memory collects so often under load that its throughput drops.
	gcPercent = 300
)

// limitMemory sets the memory limit of the Go runtime in bytes. Zero sets the default. The garbage collector runs more
// often near the limit, so that only live memory can exceed it.
func limitMemory(bytes int) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cmp.Or(bytes, defaultMemoryLimit)))
}
