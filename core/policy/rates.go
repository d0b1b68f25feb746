package policy

import (
	"maps"
	"slices"

	"waxwingpick"
)

// ReportedRates returns the mean rates measured by sidecars. The decode rate is that of a full batch at the reported
// token interval. A rate without a report is zero.
func ReportedRates(reports map[waxwingpick.TargetID]Report) Rates {
	var prefill, decode mean
	for _, id := range slices.Sorted(maps.Keys(reports)) {
		l := reports[id].Load
		prefill.add(l.PrefillTokensPerSecond)
		if interval := l.TokenInterval().Seconds(); interval > 0 {
			decode.add(float64(l.Slots) / interval)
		}
	}
	return Rates{
		PrefillTokensPerSecond: prefill.value(),
		DecodeTokensPerSecond:  decode.value(),
	}
}

// mean averages positive values and ignores others.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	if v > 0 {
		m.sum += v
		m.n++
	}
}

func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}
