package prometheus

import (
	client "github.com/prometheus/client_golang/prometheus"

	"waxwingpick/io/mtls"
)

// credentialsCollector collects the counters of credentials at each scrape.
type credentialsCollector struct {
	credentials *mtls.Credentials
	notAfter    *client.Desc
	refused     *client.Desc
	failed      *client.Desc
}

// Credentials exports the expiry time of a certificate and the refusals of peers. The label side is "processes" or
// "callers". Nil credentials export nothing.
func (m *Metrics) Credentials(side string, c *mtls.Credentials) {
	if c == nil {
		return
	}
	labels := client.Labels{
		"side": side,
	}
	// Register fails only for a second set of credentials with the same side. The first one stays registered.
	_ = client.WrapRegistererWith(labels, m.registry).Register(&credentialsCollector{
		credentials: c,
		notAfter:    description("certificate_not_after_seconds", "When the process's certificate ends, as Unix time."),
		refused:     description("certificate_refused_total", "Peers and calls that were refused by their certificate.", "reason"),
		failed:      description("certificate_failed_reloads_total", "Reloads of the certificate that left the former one in force."),
	})
}

// Describe implements prometheus.Collector.
func (c *credentialsCollector) Describe(ch chan<- *client.Desc) {
	ch <- c.notAfter
	ch <- c.refused
	ch <- c.failed
}

// Collect implements prometheus.Collector.
func (c *credentialsCollector) Collect(ch chan<- client.Metric) {
	ch <- client.MustNewConstMetric(c.notAfter, client.GaugeValue, float64(c.credentials.NotAfter().Unix()))
	ch <- client.MustNewConstMetric(c.failed, client.CounterValue, float64(c.credentials.FailedReloads()))
	for _, reason := range mtls.Reasons() {
		n := c.credentials.Refused(reason)
		ch <- client.MustNewConstMetric(c.refused, client.CounterValue, float64(n), string(reason))
	}
}
