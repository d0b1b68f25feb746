package prometheus_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
	"unsafe"

	"github.com/gofiber/fiber/v3"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/io/prometheus"
)

// failing is a key-value client whose calls all return the same error.
type failing struct {
	waxwingpick.KeyValue
	err error
}

func (f failing) Get(context.Context, string) (waxwingpick.Entry, error) {
	return waxwingpick.Entry{}, f.err
}

func (f failing) Watch(context.Context, string, func(string)) error {
	return f.err
}

func scrape(t *testing.T, m *prometheus.Metrics) []byte {
	t.Helper()
	app := fiber.New()
	app.Get("/metrics", m.Handler())
	resp, err := app.Test(httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return body
}

func TestExposition(t *testing.T) {
	m, err := prometheus.New()
	require.NoError(t, err)
	m.Request("studio-app", waxwingpick.ClassOrder, prometheus.ResultResponded, 200*time.Millisecond)
	m.Request("stundenplan-llm", waxwingpick.ClassQuick, prometheus.ResultNotRun, 0)
	m.Request("stundenplan-llm", waxwingpick.ClassQuick, "made up", 0)
	m.FirstToken(waxwingpick.ClassQuick, 80*time.Millisecond)
	m.TokenGap(waxwingpick.ClassLong, 30*time.Millisecond)
	m.Refused(waxwingpick.NotRun(waxwingpick.ReasonOverload, time.Second, ""))
	m.Refused(waxwingpick.Unknown("made up", ""))
	m.Retry(waxwingpick.ReasonLeaving)
	m.QuotaRequest(prometheus.QuotaInsufficient)
	m.QuotaWorkspaces(func() int {
		return 3
	})
	m.QueueLength(waxwingpick.ClassLong, 7)
	m.StreamOpened()
	m.StreamOpened()
	m.StreamClosed()
	m.Role(waxwingpick.RolePrefill)
	m.Role(waxwingpick.RoleDecode)
	m.RoleChange()
	m.Revision("config", 41)
	m.ControlBytes(120, 80)
	m.ListRead(true)
	m.ListRead(false)
	m.ListAge(func() time.Duration {
		return 1500 * time.Millisecond
	})
	m.Suspects(2)
	m.Draining(true)
	for _, err := range []error{
		nil,
		fmt.Errorf("read: %w", waxwingpick.ErrUnavailable),
		waxwingpick.ErrConflict,
		waxwingpick.ErrUnknownOutcome,
		waxwingpick.ErrLeaseExpired,
		waxwingpick.ErrValueTooLarge,
		context.Canceled,
		errors.New("made up"),
	} {
		kv := m.KeyValue(failing{err: err})
		_, got := kv.Get(t.Context(), "k")
		require.Equal(t, err, got)
		require.Equal(t, err, kv.Watch(t.Context(), "k", nil))
	}
	goldie.New(t).Assert(t, "exposition", scrape(t, m))
}

func TestLabelsAreBounded(t *testing.T) {
	const services = 5800
	m, err := prometheus.New()
	require.NoError(t, err)
	require.NoError(t, m.Runtime())
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		m.Request(waxwingpick.ServiceName(name), waxwingpick.ClassQuick, prometheus.ResultResponded, time.Second)
		m.Revision(name, 1)
	}
	families, err := m.Registry().Gather()
	require.NoError(t, err)
	for _, f := range families {
		require.LessOrEqual(t, len(f.Metric), 65, f.GetName())
	}
	require.Contains(t, string(scrape(t, m)), `service="other"`)
}

func TestLabelsDoNotAliasRequestBuffers(t *testing.T) {
	m, err := prometheus.New()
	require.NoError(t, err)
	buffer := []byte("studio-app")
	reused := unsafe.String(&buffer[0], len(buffer))
	m.Request(waxwingpick.ServiceName(reused), waxwingpick.ClassQuick, prometheus.ResultResponded, time.Second)
	copy(buffer, "XXXXXXXXXX")
	require.Contains(t, string(scrape(t, m)), `service="studio-app"`)
}

func BenchmarkRequest(b *testing.B) {
	m, err := prometheus.New()
	require.NoError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Request("studio-app", waxwingpick.ClassQuick, prometheus.ResultResponded, time.Second)
		}
	})
}
