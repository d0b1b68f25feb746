package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/io/platform"
)

// TestOddRowDoesNotStopTheList has the platform serve one odd row among sound ones. The sound ones have to be read, and what
// is reported of the odd one is short.
func TestOddRowDoesNotStopTheList(t *testing.T) {
	t.Parallel()
	const maxReportBytes = 600
	row := func(field, value string) string {
		return fmt.Sprintf(`{"id":"odd","kind":"target","zone":"at-ost-a","control":"127.0.0.1:1","data":"127.0.0.1:2",%q:%s}`, field, value)
	}
	tests := map[string]string{
		"nested":              strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000),
		"nested field":        row("extra", strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000)),
		"number too large":    row("leaving", "1e999"),
		"many digits":         row("leaving", strings.Repeat("9", 300_000)),
		"year out of range":   row("leaveBy", `"99999-01-01T00:00:00Z"`),
		"port out of range":   row("data", `"127.0.0.1:65536"`),
		"port zero":           row("control", `"127.0.0.1:0"`),
		"no port":             row("data", `"127.0.0.1"`),
		"no ID":               row("id", `""`),
		"long ID":             row("id", `"`+strings.Repeat("i", 300_000)+`"`),
		"ID of another type":  row("id", "{}"),
		"null":                "null",
		"number":              "7",
		"quotes and brackets": `"],\"{"`,
		"wrong brackets":      "[}",
		"nothing":             "",
	}
	for name, odd := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := runningInstance
			second.ID = "i2"
			var reported []string
			got, err := read(t, odd, func(err error) {
				reported = append(reported, err.Error())
			}, runningInstance, second)
			require.NoError(t, err)
			require.Equal(t, []waxwingpick.Instance{runningInstance, second}, got)
			require.Len(t, reported, 1)
			require.LessOrEqual(t, len(reported[0]), maxReportBytes)
		})
	}
	for name, odd := range map[string]string{
		"without end":        "[[",
		"end twice":          "]]",
		"string without end": `"`,
	} {
		_, err := read(t, odd, func(error) {}, runningInstance)
		require.ErrorIs(t, err, platform.ErrUnavailable, name)
	}
}

// read reads a list in which an odd row follows the first instance.
func read(t *testing.T, odd string, skipped func(error), instances ...waxwingpick.Instance) ([]waxwingpick.Instance, error) {
	t.Helper()
	var rows []string
	for n, i := range instances {
		encoded, err := json.Marshal(i)
		require.NoError(t, err)
		rows = append(rows, " "+string(encoded)+"\n")
		if n == 0 {
			rows = append(rows, odd)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("[" + strings.Join(rows, ",") + "]\n"))
	}))
	t.Cleanup(server.Close)
	c, err := platform.New(strings.TrimPrefix(server.URL, "http://"), platform.Skipped(skipped))
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c.Instances(t.Context())
}
