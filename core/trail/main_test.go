package trail

import (
	"testing"

	"waxwingpick/internal/rapidtest"
)

// checks is the number of generated loads.
const checks = 100

func TestMain(m *testing.M) {
	rapidtest.Main(m, checks)
}
