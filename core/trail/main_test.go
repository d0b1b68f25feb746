package trail

import (
	"testing"

	"waxwingpick/internal/rapidtest"
)

// checks is the number of drawn loads.
const checks = 100

func TestMain(m *testing.M) {
	rapidtest.Main(m, checks)
}
