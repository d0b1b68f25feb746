package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	"waxwingpick/internal/rapidtest"
	"waxwingpick/internal/standin/memkv"
)

const (
	stepsPerRun = 300
	naiveRuns   = 300
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 340)
}

// committer commits an edit for an operator's client.
type committer func(kv waxwingpick.KeyValue, base config.Snapshot, req config.Request) (config.Snapshot, error)

func storeCommit(kv waxwingpick.KeyValue, base config.Snapshot, req config.Request) (config.Snapshot, error) {
	return config.NewStore(kv).Commit(context.Background(), base, req)
}

// naiveCommitters are faulty committers that lose, repeat or misreport changes.
var naiveCommitters = []struct {
	name   string
	commit committer
}{
	{
		name: "retry on the newest record without resolving the first write",
		commit: func(kv waxwingpick.KeyValue, base config.Snapshot, req config.Request) (config.Snapshot, error) {
			for {
				next, err := write(kv, base, base.KeyRevision(), req)
				if !errors.Is(err, waxwingpick.ErrUnknownOutcome) {
					return next, err
				}
				if base, err = config.NewStore(kv).Load(context.Background()); err != nil {
					return base, err
				}
			}
		},
	},
	{
		name: "last write wins",
		commit: func(kv waxwingpick.KeyValue, base config.Snapshot, req config.Request) (config.Snapshot, error) {
			newest, err := kv.Get(context.Background(), config.Key)
			if err != nil {
				return base, err
			}
			return write(kv, base, newest.Revision, req)
		},
	},
	{
		name: "one read decides the outcome",
		commit: func(kv waxwingpick.KeyValue, base config.Snapshot, req config.Request) (config.Snapshot, error) {
			next, err := write(kv, base, base.KeyRevision(), req)
			if !errors.Is(err, waxwingpick.ErrUnknownOutcome) {
				return next, err
			}
			seen, err := config.NewStore(kv).Load(context.Background())
			if err != nil || seen.Record().ChangeID == req.ChangeID {
				return seen, err
			}
			return seen, waxwingpick.ErrUnavailable
		},
	},
}

// write is common to the naive committers: it applies the edit to the base and writes it with an expected revision.
func write(kv waxwingpick.KeyValue, base config.Snapshot, at int64, req config.Request) (config.Snapshot, error) {
	next, diff, err := config.Preview(base.Record(), req.Edit)
	if err != nil || len(diff) == 0 {
		return base, err
	}
	next.Revision++
	next.ChangeID = req.ChangeID
	next.History = append(next.History, config.Change{
		Revision: next.Revision,
		ChangeID: req.ChangeID,
	})
	value, err := config.Encode(next)
	if err != nil {
		return base, err
	}
	_, err = kv.CompareAndSwap(context.Background(), config.Key, at, value, 0)
	return base, err
}

// chooser returns the random choices of a run.
type chooser func(n int, label string) int

// machine runs concurrent operators with injected faults, and checks every accepted record and every verdict.
type machine struct {
	choose    chooser
	commit    committer
	store     *memkv.Store
	operators []*operator
	busy      int
	changes   int
	edits     map[string]config.Edit
	accepted  []config.Record
	verdicts  []verdict
	violation error
}

type operator struct {
	kv   *memkv.Client
	base config.Snapshot
}

type verdict struct {
	changeID string
	accepted bool
}

const operators = 3

func newMachine(choose chooser, commit committer) *machine {
	m := &machine{
		choose: choose,
		commit: commit,
		store:  memkv.New(timer.NewManual(time.Unix(0, 0))),
		edits:  make(map[string]config.Edit),
	}
	m.store.Subscribe(config.Key, m.observe)
	for range operators {
		o := &operator{
			kv: m.store.Client(),
		}
		o.kv.SetFault(m.fate)
		m.operators = append(m.operators, o)
	}
	return m
}

// fate returns the fate of a call. Another operator may act before it.
func (m *machine) fate(waxwingpick.KeyValueCall) memkv.Fault {
	if m.busy < operators && m.choose(4, "race") == 0 {
		m.act()
	}
	if m.choose(3, "faulty") != 0 {
		return memkv.FaultNone
	}
	fates := memkv.Faults()
	return fates[m.choose(len(fates), "fate")]
}

// act makes one idle operator read or edit.
func (m *machine) act() {
	o := m.operators[m.busy]
	m.busy++
	defer func() { m.busy-- }()
	if m.choose(3, "read") == 0 {
		if base, err := config.NewStore(o.kv).Load(context.Background()); err == nil {
			o.base = base
		}
		return
	}
	m.changes++
	req := config.Request{
		Edit:     m.edit(),
		ChangeID: fmt.Sprintf("change-%d", m.changes),
		By:       "operator",
	}
	m.edits[req.ChangeID] = req.Edit
	base := o.base
	next, err := m.commit(o.kv, base, req)
	if err == nil {
		o.base = next
		_, diff, _ := config.Preview(base.Record(), req.Edit)
		if len(diff) == 0 {
			return
		}
	}
	var unknown *config.UnknownError
	var invalid *config.ValidationError
	if !errors.As(err, &unknown) && !errors.As(err, &invalid) {
		m.verdicts = append(m.verdicts, verdict{
			changeID: req.ChangeID,
			accepted: err == nil,
		})
	}
}

func (m *machine) edit() config.Edit {
	instance := waxwingpick.InstanceID(fmt.Sprintf("instance-%d", m.choose(3, "instance")))
	switch m.choose(5, "edit") {
	case 0:
		return config.ApplyRecord(sample())
	case 1:
		return config.AnnounceLeave(instance, time.Time{}, time.Unix(0, 0))
	case 2:
		return config.WithdrawLeave(instance)
	}
	return config.SwitchPreset([]string{"ordinary", "peak", "missing"}[m.choose(3, "preset")])
}

// step runs one action: an operator's, the start or end of an outage, or the delivery of delayed writes.
func (m *machine) step() error {
	switch m.choose(8, "step") {
	case 0:
		m.store.ReleaseDeferred()
	case 1:
		m.store.SetDown(m.choose(3, "down") == 0)
	default:
		n := m.choose(operators, "operator")
		m.operators[0], m.operators[n] = m.operators[n], m.operators[0]
		m.act()
	}
	return m.violation
}

// observe checks a newly accepted record against its predecessor and its edit.
func (m *machine) observe(string) {
	e, _ := m.store.Peek(config.Key)
	r, err := config.Decode(e.Value)
	if err != nil {
		m.fail(fmt.Errorf("accepted record: %w", err))
		return
	}
	var before config.Record
	if len(m.accepted) > 0 {
		before = m.accepted[len(m.accepted)-1]
	}
	m.accepted = append(m.accepted, r)
	if r.Revision != before.Revision+1 {
		m.fail(fmt.Errorf("revision went from %d to %d", before.Revision, r.Revision))
	}
	want, _, err := config.Preview(before, m.edits[r.ChangeID])
	if diff := config.Diff(want, r); err != nil || len(diff) != 0 {
		m.fail(fmt.Errorf("%s on revision %d gave %v, %w", r.ChangeID, before.Revision, diff, err))
	}
	inForce := 0
	for _, p := range r.Presets {
		if p.Name == r.InForce {
			inForce++
		}
	}
	if inForce != 1 {
		m.fail(fmt.Errorf("%d presets in force", inForce))
	}
}

func (m *machine) fail(err error) {
	if m.violation == nil {
		m.violation = err
	}
}

// finish delivers delayed writes and compares every verdict with the accepted records.
func (m *machine) finish() error {
	m.store.SetDown(false)
	m.store.ReleaseDeferred()
	for _, v := range m.verdicts {
		times := 0
		for _, r := range m.accepted {
			if r.ChangeID == v.changeID {
				times++
			}
		}
		if times != count(v.accepted) {
			m.fail(fmt.Errorf("%s: verdict accepted=%t, accepted %d times", v.changeID, v.accepted, times))
		}
	}
	return m.violation
}

func count(accepted bool) int {
	if accepted {
		return 1
	}
	return 0
}

func TestOperatorsRaceOverFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(func(n int, label string) int {
			return rapid.IntRange(0, n-1).Draw(rt, label)
		}, storeCommit)
		for range stepsPerRun {
			require.NoError(rt, m.step())
		}
		require.NoError(rt, m.finish())
	})
}

func TestOracleCatchesNaiveCommits(t *testing.T) {
	for _, tc := range naiveCommitters {
		caught := 0
		var example error
		for seed := range uint64(naiveRuns) {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := newMachine(func(n int, _ string) int {
				return rng.IntN(n)
			}, tc.commit)
			err := error(nil)
			for range stepsPerRun / 10 {
				err = errors.Join(err, m.step())
			}
			if err = errors.Join(err, m.finish()); err != nil {
				caught++
				example = err
			}
		}
		require.NotZero(t, caught, tc.name)
		t.Logf("%s: caught in %d of %d runs, such as %.200v", tc.name, caught, naiveRuns, example)
	}
}

// sample is a small valid record.
func sample() config.Record {
	classes := []config.ClassPolicy{
		{
			Class:      waxwingpick.ClassQuick,
			Deadline:   config.Duration(time.Second),
			FirstToken: config.Duration(time.Second / 2),
			Objective:  0.95,
		},
		{
			Class:    waxwingpick.ClassLong,
			Deadline: config.Duration(time.Minute),
		},
		{
			Class:    waxwingpick.ClassOrder,
			Deadline: config.Duration(time.Second),
		},
	}
	r := config.Record{
		InForce: "ordinary",
		Services: []config.Service{
			{
				Name: "stundenplan-llm",
				Kind: config.KindEngine,
				Models: []config.Model{
					{
						Name:    "llm",
						Version: "1",
					},
				},
			},
			{
				Name:              "studio-app",
				Kind:              config.KindPlain,
				RepeatableMethods: []string{"GET"},
			},
		},
	}
	for _, name := range []string{"ordinary", "peak"} {
		r.Presets = append(r.Presets, config.Preset{
			Name:    name,
			Classes: slices.Clone(classes),
			Roles: []config.RoleBounds{
				{
					Service: "stundenplan-llm",
					Role:    waxwingpick.RolePrefill,
					Min:     1,
					Max:     4,
				},
			},
		})
	}
	return r
}
