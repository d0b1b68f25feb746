package waxwingpick

import "github.com/rotisserie/eris"

// ErrMemory means that a request would hold too much of the memory that all requests of the process share.
var ErrMemory = eris.New("too much memory in use")

// MemoryHold accounts for the memory that one request holds.
type MemoryHold interface {
	// Grow adds n bytes before they are allocated. It fails with ErrMemory, and adds none, if there is too little memory.
	Grow(n int) error
	// Shrink subtracts n bytes that are no longer in use.
	Shrink(n int)
}
