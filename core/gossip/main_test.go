package gossip_test

import (
	"testing"

	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 100)
}
