package plan_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/plan"
)

func fleet(replicas, generation int) plan.Desired {
	d := plan.Desired{
		ConfigRevision: 1,
	}
	for i := range replicas {
		d.Targets = append(d.Targets, plan.DesiredTarget{
			ID:       waxwingpick.TargetID(fmt.Sprintf("maestro-replica-%04d", i)),
			Instance: waxwingpick.InstanceID(fmt.Sprintf("instance-sierra-a-%04d", i)),
			Zone:     "sierra-a",
			Config: waxwingpick.EngineConfig{
				Role:    waxwingpick.RolePrefill,
				Model:   fmt.Sprintf("cacaotera-dossier-review-%d", generation),
				Adapter: "conching-tempering-refining",
				Version: "2026.12.03-rc1",
			},
		})
	}
	return d
}

func TestPlanOfTheLargestFleetStaysSmall(t *testing.T) {
	rec, changed := plan.Reconcile(plan.Record{
		Service:   "maestro",
		Revision:  1,
		Epoch:     1,
		NextOrder: 1_000_000,
	}, fleet(600, 1))
	require.True(t, changed)
	data, err := plan.Encode(rec)
	require.NoError(t, err)
	require.Less(t, len(data), plan.MaxRecordSize)
	t.Logf("%d bytes at 600 replicas", len(data))
	_, err = plan.Encode(plan.Record{
		Service: waxwingpick.ServiceName(make([]byte, plan.MaxRecordSize)),
	})
	require.Error(t, err)
}

func TestReconcileNumbersOnlyChangedTargets(t *testing.T) {
	base, _ := plan.Reconcile(plan.Record{
		Service:   "maestro",
		Revision:  1,
		Epoch:     1,
		NextOrder: 1,
	}, fleet(3, 1))
	_, changed := plan.Reconcile(base, base.Desired())
	require.False(t, changed)

	desired := fleet(4, 1)
	desired.Targets[1].Config.Role = waxwingpick.RoleDecode
	desired.Targets = desired.Targets[1:]
	next, changed := plan.Reconcile(base, desired)
	require.True(t, changed)
	numbers := make(map[waxwingpick.TargetID]int64)
	for _, target := range next.Targets {
		numbers[target.ID] = target.Order.Number
	}
	require.Equal(t, map[waxwingpick.TargetID]int64{
		"maestro-replica-0001": 4,
		"maestro-replica-0002": 3,
		"maestro-replica-0003": 5,
	}, numbers)

	// A target that is added again gets a higher number than any it had before.
	back, _ := plan.Reconcile(next, fleet(1, 1))
	require.Equal(t, int64(6), back.Targets[0].Order.Number)
	require.NoError(t, plan.Verify(base, withRevision(back, 2)))
}

func withRevision(rec plan.Record, revision int64) plan.Record {
	rec.Revision = revision
	return rec
}

func TestVerifyRefusesWhatMayNotFollow(t *testing.T) {
	known := plan.Record{
		Service:   "maestro",
		Revision:  5,
		ChangeID:  "a",
		Epoch:     2,
		Holder:    "entry-1",
		NextOrder: 1,
	}
	known, _ = plan.Reconcile(known, fleet(2, 1))
	cases := []struct {
		name   string
		change func(rec *plan.Record)
		rule   string
	}{
		{name: "nothing", change: func(*plan.Record) {}},
		{name: "a later revision", change: func(r *plan.Record) { r.Revision, r.ChangeID = 9, "b" }},
		{name: "a new epoch", change: func(r *plan.Record) { r.Revision, r.ChangeID, r.Epoch, r.Holder = 6, "b", 3, "entry-2" }},
		{name: "another service", change: func(r *plan.Record) { r.Service = "planta" }, rule: "another service"},
		{name: "an older revision", change: func(r *plan.Record) { r.Revision = 4 }, rule: "revision fell"},
		{name: "an older epoch", change: func(r *plan.Record) { r.Revision, r.Epoch = 6, 1 }, rule: "epoch fell"},
		{name: "another holder", change: func(r *plan.Record) { r.Revision, r.Holder = 6, "entry-2" }, rule: "holder changed"},
		{name: "another change", change: func(r *plan.Record) { r.ChangeID = "b" }, rule: "another change"},
		{name: "a used number", change: func(r *plan.Record) { r.NextOrder = 2 }, rule: "outside the numbers"},
		{name: "a lower next number", change: func(r *plan.Record) { r.Targets, r.NextOrder = r.Targets[:1], 2 }, rule: "next order number fell"},
		{name: "a lower order", change: func(r *plan.Record) { r.Targets, r.Targets[1].Order.Number = r.Targets[1:], 1 }, rule: "order number fell"},
		{name: "another configuration", change: func(r *plan.Record) { r.Targets[0].Order.Config.Model = "x" }, rule: "another configuration"},
		{name: "a number twice", change: func(r *plan.Record) { r.Targets[1].Order.Number = 1 }, rule: "belongs to another target"},
		{name: "a target twice", change: func(r *plan.Record) { r.Targets[1].ID = r.Targets[0].ID }, rule: "listed twice"},
		{name: "an old number for a new target", change: func(r *plan.Record) { r.Targets[0].ID = "new" }, rule: "old order number"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			read := known
			read.Targets = append([]plan.Target(nil), known.Targets...)
			c.change(&read)
			err := plan.Verify(known, read)
			if c.rule == "" {
				require.NoError(t, err)
				return
			}
			var violation *plan.Violation
			require.ErrorAs(t, err, &violation)
			require.Contains(t, violation.Error(), c.rule)
		})
	}
}

func TestRankSpreadsServicesOverEntries(t *testing.T) {
	entries := []waxwingpick.InstanceID{"entry-1", "entry-2", "entry-3", "entry-4"}
	const services = 400
	firsts := make(map[waxwingpick.InstanceID]int)
	for i := range services {
		key := plan.AuthorityKey(waxwingpick.ServiceName(fmt.Sprintf("service-%d", i)))
		ranked := plan.Rank(key, entries)
		firsts[ranked[0]]++
		// Without the first entry the order of the others stays the same.
		var rest []waxwingpick.InstanceID
		for _, e := range entries {
			if e != ranked[0] {
				rest = append(rest, e)
			}
		}
		require.Equal(t, ranked[1:], plan.Rank(key, rest))
	}
	for _, e := range entries {
		require.Greater(t, firsts[e], services/len(entries)/2, "entry %s", e)
	}
}

func BenchmarkPlanOf600Replicas(b *testing.B) {
	base, _ := plan.Reconcile(plan.Record{
		Service:   "maestro",
		Revision:  1,
		Epoch:     1,
		NextOrder: 1,
	}, fleet(600, 1))
	b.Run("reconcile", func(b *testing.B) {
		desired := base.Desired()
		desired.Targets[300].Config.Role = waxwingpick.RoleDecode
		for b.Loop() {
			plan.Reconcile(base, desired)
		}
	})
	b.Run("decodeAndVerify", func(b *testing.B) {
		data, err := plan.Encode(base)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "recordBytes")
		for b.Loop() {
			rec, err := plan.Decode("maestro", data)
			if err != nil {
				b.Fatal(err)
			}
			if err := plan.Verify(base, rec); err != nil {
				b.Fatal(err)
			}
		}
	})
}
