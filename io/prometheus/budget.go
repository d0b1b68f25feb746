package prometheus

import (
	client "github.com/prometheus/client_golang/prometheus"

	"waxwingpick"
	"waxwingpick/core/callbudget"
)

// Budget is a key-value client with a call budget and a circuit breaker.
type Budget interface {
	Counts(kind waxwingpick.KeyValueCall) callbudget.Counts
	State() callbudget.State
	Opened() int64
}

// budgetCollector collects the counters of a Budget at each scrape.
type budgetCollector struct {
	budget  Budget
	circuit *client.Desc
	opened  *client.Desc
	sent    *client.Desc
	refused *client.Desc
}

func newBudgetCollector(b Budget) *budgetCollector {
	return &budgetCollector{
		budget:  b,
		circuit: description("keyvalue_circuit", "1 for the state of the circuit to the key-value service.", "state"),
		opened:  description("keyvalue_circuit_opened_total", "How often the circuit opened."),
		sent:    description("keyvalue_sent_total", "Calls that went to the key-value service.", "call"),
		refused: description("keyvalue_refused_total", "Calls that the process's own budget or circuit refused.", "call", "reason"),
	}
}

func description(name, help string, labels ...string) *client.Desc {
	return client.NewDesc(client.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *budgetCollector) Describe(ch chan<- *client.Desc) {
	ch <- c.circuit
	ch <- c.opened
	ch <- c.sent
	ch <- c.refused
}

// Collect implements prometheus.Collector.
func (c *budgetCollector) Collect(ch chan<- client.Metric) {
	current := c.budget.State()
	for _, state := range callbudget.States() {
		value := 0.0
		if state == current {
			value = 1
		}
		ch <- client.MustNewConstMetric(c.circuit, client.GaugeValue, value, state.String())
	}
	ch <- client.MustNewConstMetric(c.opened, client.CounterValue, float64(c.budget.Opened()))
	for _, kind := range waxwingpick.KeyValueCalls() {
		n := c.budget.Counts(kind)
		ch <- client.MustNewConstMetric(c.sent, client.CounterValue, float64(n.Sent), kind.String())
		ch <- client.MustNewConstMetric(c.refused, client.CounterValue, float64(n.OverBudget), kind.String(), "overBudget")
		ch <- client.MustNewConstMetric(c.refused, client.CounterValue, float64(n.CircuitOpen), kind.String(), "circuitOpen")
	}
}
