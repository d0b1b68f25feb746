package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
)

const (
	// maxRecord is the maximum size of the encoded record at the expected scale, in bytes.
	maxRecord = 256 << 10
	replicas  = 600
	models    = 7
	rates     = 1024
)

// largeRecord has seven models, an announcement for each replica, and the maximum number of workspace rates.
func largeRecord() config.Record {
	r := sample()
	r.Revision = 1
	for i := range models - 1 {
		r.Services[0].Models = append(r.Services[0].Models, config.Model{
			Name:    fmt.Sprintf("model-%d", i),
			Version: "2031-03-09",
		})
	}
	for i := range replicas {
		r.Leaving = append(r.Leaving, config.Leaving{
			Instance: waxwingpick.InstanceID(fmt.Sprintf("region-zone-engine-instance-%d", i)),
			By:       time.Unix(1_900_000_000, 0).UTC(),
			Since:    time.Unix(1_900_000_000, 0).UTC(),
		})
	}
	for i := range rates {
		r.Limits.WorkspaceRates = append(r.Limits.WorkspaceRates, config.WorkspaceRate{
			Workspace:         waxwingpick.WorkspaceID(fmt.Sprintf("workspace-of-a-customer-%d", i)),
			RequestsPerSecond: 100,
		})
	}
	for i := range config.MaxHistory {
		r.History = append(r.History, config.Change{
			Revision: int64(i),
			ChangeID: strings.Repeat("0", 36),
			By:       "operator",
			Summary:  "announce that region-zone-engine-instance-100 leaves",
		})
	}
	return r
}

func TestRecordSizeAtExpectedScale(t *testing.T) {
	r := largeRecord()
	require.NoError(t, config.Validate(r))
	data, err := config.Encode(r)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	require.Less(t, len(data), maxRecord)
}

func BenchmarkDecode(b *testing.B) {
	data, err := config.Encode(largeRecord())
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPreview(b *testing.B) {
	r := largeRecord()
	edit := config.SwitchPreset("peak")
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := config.Preview(r, edit); err != nil {
			b.Fatal(err)
		}
	}
}
