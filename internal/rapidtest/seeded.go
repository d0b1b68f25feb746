package rapidtest

import "math/rand/v2"

// Seeded returns a Draw with a fixed seed.
func Seeded(seed uint64) Draw {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}
