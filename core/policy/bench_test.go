package policy

import (
	"testing"
	"time"

	"waxwingpick"
	"waxwingpick/core/config"
)

// BenchmarkPlanRoles measures one planning step for 600 engines whose roles may change. The holder of the authority
// runs one each second.
func BenchmarkPlanRoles(b *testing.B) {
	const engines = 600
	p := newPlanRunner(b, engines)
	preset := &p.in.Config.Presets[0]
	preset.RoleChangePrice = 1e9
	for _, role := range waxwingpick.Roles() {
		preset.Roles = append(preset.Roles, config.RoleBounds{
			Service: "maestro",
			Role:    role,
			Max:     engines,
		})
	}
	p.load.PrefillTokensPerSecond = 8000
	p.load.TokenIntervalMicros = 31_000
	p.in.Work = Work{
		Requests:      2700,
		PrefillTokens: 1_000_000,
		DecodeTokens:  860_000,
	}
	p.pass(60)
	b.ReportAllocs()
	for b.Loop() {
		p.now = p.now.Add(time.Second)
		p.planner.Plan(p.now, p.in)
	}
}
