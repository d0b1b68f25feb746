package prometheus

import (
	"fmt"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"waxwingpick"
)

const namespace = "waxwingpick"

// Buckets of the histograms, in seconds.
var (
	responseBuckets   = []float64{0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120, 300}
	firstTokenBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.89, 1.5, 3, 6, 15, 60}
	reportAgeBuckets  = []float64{0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6}
	gapBuckets        = []float64{0.001, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.25, 1}
)

// Metrics is the set of metrics of an entry or sidecar. Its methods are safe for concurrent use.
type Metrics struct {
	registry *client.Registry
	services names
	records  names

	requests      *client.CounterVec
	responses     *client.HistogramVec
	firstToken    *client.HistogramVec
	tokenGap      *client.HistogramVec
	refused       *client.CounterVec
	retries       *client.CounterVec
	queue         *client.GaugeVec
	streams       client.Gauge
	role          *client.GaugeVec
	roleChanges   client.Counter
	revision      *client.GaugeVec
	calls         *client.CounterVec
	control       *client.CounterVec
	listReads     *client.CounterVec
	fetches       *client.CounterVec
	quotaRequests *client.CounterVec
	suspects      client.Gauge
	draining      client.Gauge
}

// New returns metrics with a new registry.
func New() (*Metrics, error) {
	m := &Metrics{
		registry:      client.NewRegistry(),
		requests:      counter("requests_total", "Requests by how they ended.", "service", "class", "result"),
		responses:     histogram("answer_seconds", "Time to the end of whole answers.", responseBuckets, "class"),
		firstToken:    histogram("first_token_seconds", "Time to the first token of model answers.", firstTokenBuckets, "class"),
		tokenGap:      histogram("token_gap_seconds", "Mean time between the tokens of one model answer.", gapBuckets, "class"),
		refused:       counter("refused_total", "Refused requests.", "outcome", "reason"),
		retries:       counter("retries_total", "Attempts after the first one.", "reason"),
		queue:         gauge("queue_length", "Requests that wait for admission.", "class"),
		role:          gauge("role", "1 for the role that the engine has.", "role"),
		revision:      gauge("revision_in_force", "Revision of the accepted record that the process acts under.", "record"),
		calls:         counter("keyvalue_calls_total", "Calls of the key-value service; a watch counts once.", "call", "result"),
		control:       counter("control_bytes_total", "Bytes of control traffic between the system's processes.", "direction"),
		listReads:     counter("platform_list_reads_total", "Own reads of the platform's list.", "result"),
		fetches:       counter("kv_fetches_total", "KV cache that the engine fetched from another engine.", "result"),
		quotaRequests: counter("quota_asks_total", "Asks of the owner of a workspace's rate for a part of it.", "result"),
		streams:       unlabeledGauge("active_streams", "Answers that are being streamed."),
		suspects:      unlabeledGauge("crash_suspects", "Request fingerprints suspected of crashing targets."),
		draining:      unlabeledGauge("draining", "1 while the process takes no new work."),
		roleChanges: client.NewCounter(client.CounterOpts{
			Namespace: namespace,
			Name:      "role_changes_total",
			Help:      "Role changes that the engine was told.",
		}),
	}
	for _, c := range m.collectors() {
		if err := m.registry.Register(c); err != nil {
			return nil, fmt.Errorf("register metrics: %w", err)
		}
	}
	return m, nil
}

// Runtime registers the metrics of the Go runtime and of the process.
func (m *Metrics) Runtime() error {
	for _, c := range []client.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := m.registry.Register(c); err != nil {
			return fmt.Errorf("register runtime metrics: %w", err)
		}
	}
	return nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() fiber.Handler {
	return adaptor.HTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
}

// Registry returns the registry, to which other packages may add metrics.
func (m *Metrics) Registry() *client.Registry {
	return m.registry
}

// Request counts a finished request. The duration is observed for complete responses only.
func (m *Metrics) Request(service waxwingpick.ServiceName, class waxwingpick.Class, result Result, duration time.Duration) {
	m.requests.WithLabelValues(m.services.label(string(service)), class.String(), labelOf(results, result)).Inc()
	if result == ResultResponded || result == ResultLate {
		m.responses.WithLabelValues(class.String()).Observe(duration.Seconds())
	}
}

// FirstToken observes the time to the first token.
func (m *Metrics) FirstToken(class waxwingpick.Class, duration time.Duration) {
	m.firstToken.WithLabelValues(class.String()).Observe(duration.Seconds())
}

// TokenGap observes the mean time between the tokens of one response.
func (m *Metrics) TokenGap(class waxwingpick.Class, gap time.Duration) {
	m.tokenGap.WithLabelValues(class.String()).Observe(gap.Seconds())
}

// Refused counts a refusal.
func (m *Metrics) Refused(refusal *waxwingpick.Refusal) {
	m.refused.WithLabelValues(labelOf(outcomes, refusal.Outcome), labelOf(reasons, refusal.Reason)).Inc()
}

// Retry counts an attempt after the first one, by the reason for which the previous attempt failed.
func (m *Metrics) Retry(reason waxwingpick.Reason) {
	m.retries.WithLabelValues(labelOf(reasons, reason)).Inc()
}

// ListRead counts a read of the platform's instance list by this process.
func (m *Metrics) ListRead(ok bool) {
	m.listReads.WithLabelValues(resultLabel(ok)).Inc()
}

// KVFetched counts a fetch of KV cache blocks by the engine.
func (m *Metrics) KVFetched(ok bool) {
	m.fetches.WithLabelValues(resultLabel(ok)).Inc()
}

func resultLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// ListAge exports the age of the platform's instance list that the process uses.
func (m *Metrics) ListAge(age func() time.Duration) {
	// Register fails only for a second list of the process. The first one stays registered.
	_ = m.registry.Register(client.NewGaugeFunc(client.GaugeOpts{
		Namespace: namespace,
		Name:      "platform_list_age_seconds",
		Help:      "Age of the platform's list that the process acts under, or time since its start where it knows none.",
	}, func() float64 {
		return age().Seconds()
	}))
}

// OrderResponses exports the number of bytes that stored and reserved responses of orders take.
func (m *Metrics) OrderResponses(bytes func() int64) {
	// Register fails only for a second guard of the process. The first one stays registered.
	_ = m.registry.Register(client.NewGaugeFunc(client.GaugeOpts{
		Namespace: namespace,
		Name:      "order_answer_bytes",
		Help:      "Bytes of the orders' answers that are kept for resends, and of the room for those to come.",
	}, func() float64 {
		return float64(bytes())
	}))
}

// LogDropped exports the number of dropped log lines by class. A nil function exports nothing.
func (m *Metrics) LogDropped(dropped func(class waxwingpick.LogClass) uint64) {
	registerDropped(m.registry, dropped)
}

func registerDropped(registry *client.Registry, dropped func(class waxwingpick.LogClass) uint64) {
	if dropped == nil {
		return
	}
	for _, class := range []waxwingpick.LogClass{waxwingpick.LogClassKept, waxwingpick.LogClassRoutine} {
		// Register fails only for a second log of the process. The first one stays registered.
		_ = registry.Register(client.NewCounterFunc(client.CounterOpts{
			Namespace: namespace,
			Name:      "log_lines_dropped_total",
			Help:      "Log lines that found no room, by class.",
			ConstLabels: client.Labels{
				"lane": class.String(),
			},
		}, func() float64 {
			return float64(dropped(class))
		}))
	}
}

// QuotaRequest counts a request for a part of the rate of a workspace.
func (m *Metrics) QuotaRequest(result QuotaResult) {
	m.quotaRequests.WithLabelValues(labelOf(askResults, result)).Inc()
}

// QuotaWorkspaces exports the number of workspaces whose rates are tracked.
func (m *Metrics) QuotaWorkspaces(count func() int) {
	// Register fails only for a second function of the process. The first one stays registered.
	_ = m.registry.Register(client.NewGaugeFunc(client.GaugeOpts{
		Namespace: namespace,
		Name:      "quota_workspaces",
		Help:      "Workspaces whose rates the process remembers.",
	}, func() float64 {
		return float64(count())
	}))
}

// QueueLength sets the number of waiting requests of a class.
func (m *Metrics) QueueLength(class waxwingpick.Class, n int) {
	m.queue.WithLabelValues(class.String()).Set(float64(n))
}

// StreamOpened counts an active stream. StreamClosed must follow.
func (m *Metrics) StreamOpened() {
	m.streams.Inc()
}

// StreamClosed counts the end of an active stream.
func (m *Metrics) StreamClosed() {
	m.streams.Dec()
}

// Role sets the current role of the engine.
func (m *Metrics) Role(role waxwingpick.Role) {
	for _, r := range waxwingpick.Roles() {
		value := 0.0
		if r == role {
			value = 1
		}
		m.role.WithLabelValues(r.String()).Set(value)
	}
}

// RoleChange counts a role change that was sent to the engine.
func (m *Metrics) RoleChange() {
	m.roleChanges.Inc()
}

// Revision sets the revision of a record that the process currently applies.
func (m *Metrics) Revision(record string, revision int64) {
	m.revision.WithLabelValues(m.records.label(record)).Set(float64(revision))
}

// ControlBytes counts the bytes of control traffic with other processes.
func (m *Metrics) ControlBytes(sent, received int) {
	m.control.WithLabelValues("sent").Add(float64(sent))
	m.control.WithLabelValues("received").Add(float64(received))
}

// Suspects sets the number of request fingerprints suspected of crashing targets.
func (m *Metrics) Suspects(n int) {
	m.suspects.Set(float64(n))
}

// Draining sets whether the process is draining and accepts no new requests.
func (m *Metrics) Draining(draining bool) {
	m.draining.Set(0)
	if draining {
		m.draining.Set(1)
	}
}

var outcomes = waxwingpick.NewSet(waxwingpick.OutcomeNotRun, waxwingpick.OutcomeUnknown)

func (m *Metrics) collectors() []client.Collector {
	return []client.Collector{
		m.requests,
		m.responses,
		m.firstToken,
		m.tokenGap,
		m.refused,
		m.retries,
		m.queue,
		m.streams,
		m.role,
		m.roleChanges,
		m.revision,
		m.calls,
		m.control,
		m.listReads,
		m.fetches,
		m.quotaRequests,
		m.suspects,
		m.draining,
	}
}

func counter(name, help string, labels ...string) *client.CounterVec {
	return client.NewCounterVec(client.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func gauge(name, help string, labels ...string) *client.GaugeVec {
	return client.NewGaugeVec(client.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
}

func unlabeledGauge(name, help string) client.Gauge {
	return client.NewGauge(client.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func unlabeledCounter(name, help string) client.Counter {
	return client.NewCounter(client.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
}

func histogram(name, help string, buckets []float64, labels ...string) *client.HistogramVec {
	return client.NewHistogramVec(client.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, labels)
}
