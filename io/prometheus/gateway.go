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

// Gateway is the set of metrics of a gateway, which sends requests directly to targets. Its methods are safe for
// concurrent use.
type Gateway struct {
	registry *client.Registry
	services names
	zones    names

	requests   *client.CounterVec
	responses  *client.HistogramVec
	firstEvent *client.HistogramVec
	refused    *client.CounterVec
	retries    *client.CounterVec
	attempts   *client.CounterVec
	streamEnds *client.CounterVec
	endChecks  *client.CounterVec
	running    client.Gauge
	version    client.Gauge
	peers      client.Gauge
	sharing    client.Gauge
	feedReads  client.Gauge
	probes     *client.CounterVec
	era        client.Gauge
	feedAge    client.Gauge
	reportAge  client.Histogram
	targets    *client.GaugeVec
	listEvents *client.CounterVec
	statements *client.CounterVec
	stated     *client.GaugeVec
	crashes    client.Counter
	inFlight   client.Counter
	verdicts   *client.CounterVec
	suspects   *client.GaugeVec
	lingers    *client.CounterVec
	keys       *client.CounterVec
	duties     *client.GaugeVec
	tokens     *client.GaugeVec
	windows    *client.CounterVec
	window     *client.GaugeVec
	zoneShares *client.GaugeVec
	zoneSent   *client.CounterVec
}

// NewGateway returns metrics with a new registry.
func NewGateway() (*Gateway, error) {
	g := &Gateway{
		registry:   client.NewRegistry(),
		requests:   counter("gateway_requests_total", "Requests by how they ended.", "service", "kind", "result"),
		responses:  histogram("gateway_answer_seconds", "Time to the end of whole answers.", responseBuckets, "kind"),
		firstEvent: histogram("gateway_first_event_seconds", "Time to the first event of streams.", firstTokenBuckets, "service"),
		refused:    counter("gateway_refused_total", "Refused requests.", "outcome", "reason"),
		retries:    counter("gateway_retries_total", "Attempts after the first one, by the reason of the one before.", "reason"),
		attempts:   counter("gateway_attempts_total", "Sendings to targets by how they ended.", "service", "result"),
		streamEnds: counter("gateway_stream_ends_total", "Streams of targets by how they state their end and how they ended.", "framing", "end"),
		endChecks:  counter("gateway_end_checks_total", "Responses that ended with their connection, by what their target said afterwards.", "verdict"),
		running:    unlabeledGauge("gateway_running", "Requests that run."),
		version:    unlabeledGauge("gateway_routes_version", "Version of the configuration in force."),
		peers:      unlabeledGauge("gateway_peers", "Other gateways that load is told to."),
		sharing:    unlabeledGauge("gateway_sharing", "Gateways that share the retry budget; zero as long as their number is not known."),
		feedReads:  unlabeledGauge("gateway_feed_reads", "1 where changes are read from the key-value service, 0 where other gateways tell them."),
		probes:     counter("gateway_feed_probes_total", "Probes of the key-value service while calls to it were not answered, by result.", "result"),
		era:        unlabeledGauge("gateway_store_era", "Era of the key-value service that is followed; zero if it names none."),
		feedAge:    unlabeledGauge("gateway_feed_age_seconds", "Time since it was last known that no change is missing."),
		reportAge: client.NewHistogram(client.HistogramOpts{
			Namespace: namespace,
			Name:      "gateway_told_age_seconds",
			Help:      "Age of what other gateways told of an engine's load, when the engine is chosen.",
			Buckets:   reportAgeBuckets,
		}),
		targets:    gauge("gateway_targets", "Targets of the platform's list by state.", "service", "state"),
		listEvents: counter("gateway_target_list_changes_total", "Targets of the platform's list that were found to leave, to be missing, back or removed.", "change"),
		statements: counter("gateway_statements_total", "Responses in which a target states something about itself, by kind.", "service", "kind"),
		stated:     gauge("gateway_stated_targets", "Targets by the statements about themselves that apply.", "kind"),
		crashes:    unlabeledCounter("gateway_target_crashes_total", "Crashes of targets that this gateway detected."),
		inFlight:   unlabeledCounter("gateway_crashed_requests_total", "Requests of this gateway that were in flight when a target crashed."),
		verdicts:   counter("gateway_crash_verdicts_total", "Requests and prompt parts that were convicted of crashes, or cleared.", "verdict"),
		suspects:   gauge("gateway_crash_suspects", "Requests and prompt parts by what is known of their crashes.", "state"),
		duties:     gauge("gateway_duty_held", "1 where this gateway holds the duty.", "duty"),
		tokens:     gauge("gateway_duty_token", "Fencing token of a duty that this gateway holds; zero where it does not.", "duty"),
		windows:    counter("gateway_usage_windows_total", "Steps of usage reports by their outcome.", "outcome"),
		window:     gauge("gateway_usage_window", "Newest window of usage reports by outcome.", "outcome"),
		zoneShares: gauge("gateway_zone_share", "Share of the requests of a zone that goes to another one.", "service", "from", "to"),
		zoneSent:   counter("gateway_zone_requests_total", "Requests that were sent to engines of another zone as part of its share.", "service", "from", "to"),
		keys:       counter("gateway_key_refusals_total", "Requests refused for their key, by what the key is and the reason.", "verdict", "reason"),
		lingers:    counter("gateway_lingering_closes_total", "Connections closed after a response to a request that was not read completely, by how the close ended.", "end"),
	}
	for _, c := range []client.Collector{
		g.requests, g.responses, g.firstEvent, g.refused, g.retries, g.attempts, g.running, g.version, g.peers, g.sharing,
		g.feedReads, g.feedAge, g.reportAge, g.targets, g.statements, g.stated, g.crashes, g.inFlight,
		g.verdicts, g.suspects, g.streamEnds, g.endChecks, g.era, g.lingers, g.keys, g.duties, g.tokens, g.windows, g.window,
		g.zoneShares, g.zoneSent, g.listEvents, g.probes,
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

// LogDropped exports the number of dropped log lines by class.
func (g *Gateway) LogDropped(dropped func(lane waxwingpick.LogClass) uint64) {
	registerDropped(g.registry, dropped)
}

// Memory exports the bytes that requests hold, and how often a request was refused more.
func (g *Gateway) Memory(used func() int64, refused func() uint64) {
	// Register fails only for a second budget of the process. The first one stays registered.
	_ = g.registry.Register(client.NewGaugeFunc(client.GaugeOpts{
		Namespace: namespace,
		Name:      "gateway_held_bytes",
		Help:      "Bytes of requests and responses that are held.",
	}, func() float64 { return float64(used()) }))
	_ = g.registry.Register(client.NewCounterFunc(client.CounterOpts{
		Namespace: namespace,
		Name:      "gateway_memory_refusals_total",
		Help:      "Requests and responses that would have held too much memory.",
	}, func() float64 { return float64(refused()) }))
}

// Duty exports whether this gateway holds a duty, and the fencing token.
func (g *Gateway) Duty(name string, held bool, token int64) {
	value := 0.0
	if held {
		value = 1
	}
	g.duties.WithLabelValues(name).Set(value)
	g.tokens.WithLabelValues(name).Set(float64(token))
}

// UsageWindow counts a step of the usage report of a window.
func (g *Gateway) UsageWindow(outcome string, window int64) {
	g.windows.WithLabelValues(outcome).Inc()
	g.window.WithLabelValues(outcome).Set(float64(window))
}

// ZoneShare sets the share of the requests of a zone that goes to another one.
func (g *Gateway) ZoneShare(service waxwingpick.ServiceName, from, to waxwingpick.AvailabilityZone, share float64) {
	g.zoneShares.WithLabelValues(g.services.label(string(service)), g.zones.label(string(from)), g.zones.label(string(to))).Set(share)
}

// ZoneRequest counts a request that is sent to another zone as part of its share. The sum over all gateways by the other zone is what
// that zone takes in.
func (g *Gateway) ZoneRequest(service waxwingpick.ServiceName, from, to waxwingpick.AvailabilityZone) {
	g.zoneSent.WithLabelValues(g.services.label(string(service)), g.zones.label(string(from)), g.zones.label(string(to))).Inc()
}

// KeyRefused counts a request that was refused for its key.
func (g *Gateway) KeyRefused(verdict string, reason waxwingpick.Reason) {
	g.keys.WithLabelValues(verdict, string(reason)).Inc()
}

// Lingered counts a lingering close of a caller's connection by how it ended.
func (g *Gateway) Lingered(end string) {
	g.lingers.WithLabelValues(end).Inc()
}

// Began counts a running request. Ended must follow.
func (g *Gateway) Began() {
	g.running.Inc()
}

// Ended counts a finished request. The duration is observed for complete responses only.
func (g *Gateway) Ended(service waxwingpick.ServiceName, kind waxwingpick.RequestKind, result Result, duration time.Duration) {
	g.running.Dec()
	g.requests.WithLabelValues(g.services.label(string(service)), kind.String(), labelOf(results, result)).Inc()
	if result == ResultResponded {
		g.responses.WithLabelValues(kind.String()).Observe(duration.Seconds())
	}
}

// FirstEvent observes the time to the first event of a stream.
func (g *Gateway) FirstEvent(service waxwingpick.ServiceName, duration time.Duration) {
	g.firstEvent.WithLabelValues(g.services.label(string(service))).Observe(duration.Seconds())
}

// Refused counts a refusal.
func (g *Gateway) Refused(refusal *waxwingpick.Refusal) {
	g.refused.WithLabelValues(labelOf(outcomes, refusal.Outcome), labelOf(reasons, refusal.Reason)).Inc()
}

// Retry counts an attempt after the first one, by the reason for which the previous attempt failed.
func (g *Gateway) Retry(reason waxwingpick.Reason) {
	g.retries.WithLabelValues(labelOf(reasons, reason)).Inc()
}

// Attempt counts an attempt at a target. The refusal is the reason for which it gave no usable response, or nil.
func (g *Gateway) Attempt(service waxwingpick.ServiceName, refusal *waxwingpick.Refusal) {
	result := string(ResultResponded)
	if refusal != nil {
		result = labelOf(reasons, refusal.Reason)
	}
	g.attempts.WithLabelValues(g.services.label(string(service)), result).Inc()
}

// StreamEnd counts the end of a target's stream.
func (g *Gateway) StreamEnd(framing waxwingpick.Framing, end StreamEnd) {
	g.streamEnds.WithLabelValues(framing.String(), string(end)).Inc()
}

// EndCheck counts the verdict on a response that ended with its connection.
func (g *Gateway) EndCheck(verdict string) {
	g.endChecks.WithLabelValues(verdict).Inc()
}

// Version sets the version of the active configuration.
func (g *Gateway) Version(version int64) {
	g.version.Set(float64(version))
}

// Peers sets the number of other gateways to which load is reported.
func (g *Gateway) Peers(n int) {
	g.peers.Set(float64(n))
}

// Sharing sets the number of gateways that share the retry budget.
func (g *Gateway) Sharing(n int) {
	g.sharing.Set(float64(n))
}

// Feed sets whether changes are read from the key-value service, and the time since it was last confirmed that no change
// is missing.
func (g *Gateway) Feed(reads bool, age time.Duration) {
	g.feedReads.Set(0)
	if reads {
		g.feedReads.Set(1)
	}
	g.feedAge.Set(age.Seconds())
}

// Probe counts a probe of the key-value service.
func (g *Gateway) Probe(answered bool) {
	result := "failed"
	if answered {
		result = "answered"
	}
	g.probes.WithLabelValues(result).Inc()
}

// Era sets the era of the key-value service that is followed.
func (g *Gateway) Era(era int64) {
	g.era.Set(float64(era))
}

// ReportAges observes the ages of the load reports of other gateways about an engine when it is chosen.
func (g *Gateway) ReportAges(ages []time.Duration) {
	for _, age := range ages {
		g.reportAge.Observe(age.Seconds())
	}
}

// Targets sets the numbers of ready and of leaving targets of a service.
func (g *Gateway) Targets(service waxwingpick.ServiceName, ready, leaving int) {
	label := g.services.label(string(service))
	g.targets.WithLabelValues(label, "ready").Set(float64(ready))
	g.targets.WithLabelValues(label, "leaving").Set(float64(leaving))
}

// TargetEvent counts a change of what is known of a target of the platform's list.
func (g *Gateway) TargetEvent(change string) {
	g.listEvents.WithLabelValues(change).Inc()
}

// Statement counts a response in which a target states something about itself, by kind.
func (g *Gateway) Statement(service waxwingpick.ServiceName, s waxwingpick.Statement) {
	_, limited := s.RequestLimit.Get()
	_, delayed := s.RetryAfter.Get()
	for kind, stated := range map[string]bool{
		"requestLimit": limited,
		"leaving":      s.Leaving,
		"retryAfter":   delayed,
		"malformed":    len(s.Malformed) > 0,
	} {
		if stated {
			g.statements.WithLabelValues(g.services.label(string(service)), kind).Inc()
		}
	}
}

// Stated sets the number of targets to which a kind of statement applies: requestLimit, leaving or retryAfter.
func (g *Gateway) Stated(kind string, n int) {
	g.stated.WithLabelValues(kind).Set(float64(n))
}

// TargetCrash counts requests in flight at the crash of a target. first means that the crash was not counted before.
func (g *Gateway) TargetCrash(first bool, inFlight int) {
	if first {
		g.crashes.Inc()
	}
	g.inFlight.Add(float64(inFlight))
}

// CrashVerdict counts a request or prompt part that was convicted of crashes, or cleared.
func (g *Gateway) CrashVerdict(convicted bool) {
	verdict := "cleared"
	if convicted {
		verdict = "convicted"
	}
	g.verdicts.WithLabelValues(verdict).Inc()
}

// CrashSuspects sets the numbers of requests and prompt parts that are suspected and convicted of crashes.
func (g *Gateway) CrashSuspects(suspected, convicted int) {
	g.suspects.WithLabelValues("suspected").Set(float64(suspected))
	g.suspects.WithLabelValues("convicted").Set(float64(convicted))
}
