package prometheus

import (
	"fmt"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"waxwingpick"
)

// Gateway is the set of metrics of an entry that sends requests straight to targets; its methods are safe for concurrent
// use.
type Gateway struct {
	registry *client.Registry
	services names

	requests   *client.CounterVec
	answers    *client.HistogramVec
	firstEvent *client.HistogramVec
	refused    *client.CounterVec
	retries    *client.CounterVec
	attempts   *client.CounterVec
	running    client.Gauge
	version    client.Gauge
	peers      client.Gauge
	sharing    client.Gauge
	feedReads  client.Gauge
	feedAge    client.Gauge
	toldAge    client.Histogram
	targets    *client.GaugeVec
}

// NewGateway returns metrics with a registry of their own.
func NewGateway() (*Gateway, error) {
	g := &Gateway{
		registry:   client.NewRegistry(),
		requests:   counter("gateway_requests_total", "Requests by how they ended.", "service", "kind", "result"),
		answers:    histogram("gateway_answer_seconds", "Time to the end of whole answers.", answerBuckets, "kind"),
		firstEvent: histogram("gateway_first_event_seconds", "Time to the first event of streams.", firstTokenBuckets, "service"),
		refused:    counter("gateway_refused_total", "Refused requests.", "outcome", "reason"),
		retries:    counter("gateway_retries_total", "Attempts after the first one, by the reason of the one before.", "reason"),
		attempts:   counter("gateway_attempts_total", "Sendings to targets by how they ended.", "service", "result"),
		running:    single("gateway_running", "Requests that run."),
		version:    single("gateway_routes_version", "Version of the configuration in force."),
		peers:      single("gateway_peers", "Other gateways that load is told to."),
		sharing:    single("gateway_sharing", "Gateways that share the retry budget; zero as long as their number is not known."),
		feedReads:  single("gateway_feed_reads", "1 where changes are read from the key-value service, 0 where other gateways tell them."),
		feedAge:    single("gateway_feed_age_seconds", "Time since it was last known that no change is missing."),
		toldAge: client.NewHistogram(client.HistogramOpts{
			Namespace: namespace,
			Name:      "gateway_told_age_seconds",
			Help:      "Age of what other gateways told of an engine's load, when the engine is chosen.",
			Buckets:   toldAgeBuckets,
		}),
		targets: gauge("gateway_targets", "Targets of the platform's list by state.", "service", "state"),
	}
	for _, c := range []client.Collector{
		g.requests, g.answers, g.firstEvent, g.refused, g.retries, g.attempts, g.running, g.version, g.peers, g.sharing,
		g.feedReads, g.feedAge, g.toldAge, g.targets,
	} {
		if err := g.registry.Register(c); err != nil {
			return nil, fmt.Errorf("register metrics: %w", err)
		}
	}
	return g, nil
}

// Handler serves the metrics in the Prometheus text format.
func (g *Gateway) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
}

// LogDropped shows the log lines of each class that found no room.
func (g *Gateway) LogDropped(dropped func(lane waxwingpick.Lane) uint64) {
	registerDropped(g.registry, dropped)
}

// Began counts a request that runs until Ended.
func (g *Gateway) Began() {
	g.running.Inc()
}

// Ended counts a request that ended; took is observed for whole answers only.
func (g *Gateway) Ended(service waxwingpick.ServiceName, kind waxwingpick.RequestKind, result Result, took time.Duration) {
	g.running.Dec()
	g.requests.WithLabelValues(g.services.label(string(service)), kind.String(), known(results, result)).Inc()
	if result == ResultAnswered {
		g.answers.WithLabelValues(kind.String()).Observe(took.Seconds())
	}
}

// FirstEvent observes the time to the first event of a stream.
func (g *Gateway) FirstEvent(service waxwingpick.ServiceName, took time.Duration) {
	g.firstEvent.WithLabelValues(g.services.label(string(service))).Observe(took.Seconds())
}

// Refused counts a refusal.
func (g *Gateway) Refused(refusal *waxwingpick.Refusal) {
	g.refused.WithLabelValues(known(outcomes, refusal.Outcome), known(reasons, refusal.Reason)).Inc()
}

// Retry counts an attempt after the first one, by the reason of the one before.
func (g *Gateway) Retry(reason waxwingpick.Reason) {
	g.retries.WithLabelValues(known(reasons, reason)).Inc()
}

// Attempt counts a sending to a target; refusal says why it gave no usable answer, nil where it did.
func (g *Gateway) Attempt(service waxwingpick.ServiceName, refusal *waxwingpick.Refusal) {
	result := string(ResultAnswered)
	if refusal != nil {
		result = known(reasons, refusal.Reason)
	}
	g.attempts.WithLabelValues(g.services.label(string(service)), result).Inc()
}

// Version sets the version of the configuration in force.
func (g *Gateway) Version(version int64) {
	g.version.Set(float64(version))
}

// Peers sets the number of other gateways that load is told to.
func (g *Gateway) Peers(n int) {
	g.peers.Set(float64(n))
}

// Sharing sets the number of gateways that share the retry budget.
func (g *Gateway) Sharing(n int) {
	g.sharing.Set(float64(n))
}

// Feed sets whether changes are read from the key-value service, and since when none is known to be missing.
func (g *Gateway) Feed(reads bool, age time.Duration) {
	g.feedReads.Set(0)
	if reads {
		g.feedReads.Set(1)
	}
	g.feedAge.Set(age.Seconds())
}

// ToldAges observes how old what other gateways told of the load at a chosen engine was.
func (g *Gateway) ToldAges(ages []time.Duration) {
	for _, age := range ages {
		g.toldAge.Observe(age.Seconds())
	}
}

// Targets sets the targets of a service that take requests and those that leave.
func (g *Gateway) Targets(service waxwingpick.ServiceName, ready, leaving int) {
	label := g.services.label(string(service))
	g.targets.WithLabelValues(label, "ready").Set(float64(ready))
	g.targets.WithLabelValues(label, "leaving").Set(float64(leaving))
}
