package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// TestValidateReportsEveryFault validates a record that violates all rules at once.
func TestValidateReportsEveryFault(t *testing.T) {
	require.NoError(t, config.Validate(sample()))
	r := sample()
	r.InForce = "holiday"
	r.Presets[0].Reserve = 2
	r.Presets[0].Classes[0].FirstToken = config.Duration(time.Hour)
	r.Presets[0].Classes[1].Class = waxwingpick.ClassQuick
	r.Presets[0].Classes[2].Deadline = 0
	r.Presets[1].Name = "ordinary"
	r.Presets[1].Roles[0].Min = 9
	r.Presets[1].Roles = append(r.Presets[1].Roles, config.RoleBounds{
		Service: "studio-app",
	})
	r.Services[0].Models = nil
	r.Services[1].Kind = "printer"
	r.Services = append(r.Services, r.Services[0])
	r.Services[2].Kind = config.KindPlain
	r.Services[2].ChecksFencing = true
	r.Services[2].RepeatableMethods = []string{"get"}
	r.Limits.RetryBudget = -1
	r.Limits.OrderRetention = -1
	r.Limits.WorkspaceRates = []config.WorkspaceRate{{
		Workspace:         "studio-1",
		RequestsPerSecond: -1,
	}, {
		Workspace: "studio-1",
	}, {}}
	r.Leaving = make([]config.Leaving, 2)
	var faults *config.ValidationError
	require.ErrorAs(t, config.Validate(r), &faults)
	goldie.New(t).Assert(t, "faults", []byte(faults.Error()))
}

func TestDiffMatchesElementsByName(t *testing.T) {
	from, to := sample(), sample()
	to.Revision = 7
	to.InForce = "peak"
	to.Presets[0], to.Presets[1] = to.Presets[1], to.Presets[0]
	to.Presets[0].Classes[0].Deadline = config.Duration(800 * time.Millisecond)
	to.Presets[0].RoleChangePrice = 2.5
	to.Presets[0].Roles = nil
	to.Services[0].Models[0].Version = "2"
	to.Services[1].RepeatableMethods = []string{"GET", "PUT"}
	from.Limits.WorkspaceRates = []config.WorkspaceRate{{
		Workspace:         "studio-1",
		RequestsPerSecond: 5,
	}}
	to.Limits.WorkspaceRates = []config.WorkspaceRate{{
		Workspace:         "studio-2",
		RequestsPerSecond: 5,
	}, {
		Workspace:         "studio-1",
		RequestsPerSecond: 7,
	}}
	to.Leaving = []config.Leaving{
		{
			Instance: "instance-1",
			Since:    time.Unix(0, 0).UTC(),
		},
	}
	text, err := json.MarshalIndent(config.Diff(from, to), "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "diff", text)
	require.Empty(t, config.Diff(from, from))
}

func TestHistoryIsBounded(t *testing.T) {
	store := config.NewStore(memkv.New(timer.NewManual(time.Unix(0, 0))).Client())
	base, err := store.Load(t.Context())
	require.NoError(t, err)
	edits := []config.Edit{
		config.ApplyRecord(sample()),
	}
	for i := range config.MaxHistory + 5 {
		edits = append(edits, config.SwitchPreset([]string{"peak", "ordinary"}[i%2]))
	}
	for i, e := range edits {
		base, err = store.Commit(t.Context(), base, config.Request{
			Edit:     e,
			ChangeID: fmt.Sprint(i),
		})
		require.NoError(t, err)
	}
	r := base.Record()
	require.Len(t, r.History, config.MaxHistory)
	require.Equal(t, r.Revision, r.History[config.MaxHistory-1].Revision)
	_, err = store.Commit(t.Context(), base, config.Request{
		Edit:     config.SwitchPreset("ordinary"),
		ChangeID: r.ChangeID,
	})
	require.ErrorIs(t, err, config.ErrChangeIDReused)
	again, err := store.Commit(t.Context(), base, config.Request{
		Edit:     config.SwitchPreset("peak"),
		ChangeID: r.ChangeID,
	})
	require.NoError(t, err)
	require.Equal(t, r.Revision, again.Record().Revision)
}

func TestLoserSeesWhoChangedWhat(t *testing.T) {
	store := config.NewStore(memkv.New(timer.NewManual(time.Unix(0, 0))).Client())
	base, err := store.Commit(t.Context(), config.Snapshot{}, config.Request{
		Edit:     config.ApplyRecord(sample()),
		ChangeID: "first",
		By:       "anna",
	})
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), base, config.Request{
		Edit:     config.SwitchPreset("peak"),
		ChangeID: "second",
		By:       "berta",
	})
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), base, config.Request{
		Edit:     config.AnnounceLeave("instance-1", time.Time{}, time.Unix(0, 0)),
		ChangeID: "third",
		By:       "clara",
	})
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "berta", conflict.Changes()[0].By)
	require.Equal(t, []config.Difference{
		{
			Path: "inForce",
			From: `"ordinary"`,
			To:   `"peak"`,
		},
	}, conflict.Diff())
}

func TestNewerRecordIsReadButNotRewritten(t *testing.T) {
	kv := memkv.New(timer.NewManual(time.Unix(0, 0))).Client()
	r := sample()
	r.Revision = 3
	data, err := config.Encode(r)
	require.NoError(t, err)
	data = []byte(strings.Replace(string(data), "{", `{"fromTheFuture":1,`, 1))
	_, err = kv.CompareAndSwap(t.Context(), config.Key, 0, data, 0)
	require.NoError(t, err)
	store := config.NewStore(kv)
	base, err := store.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(3), base.Record().Revision)
	_, err = store.Commit(t.Context(), base, config.Request{
		Edit: config.SwitchPreset("peak"),
	})
	require.True(t, errors.Is(err, config.ErrNewerRecord))
}

func FuzzDecode(f *testing.F) {
	r := sample()
	r.Revision = 1
	data, err := config.Encode(r)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"presets":[{"classes":[{"class":"slow"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := config.Decode(data)
		if err != nil {
			return
		}
		again, err := config.Encode(r)
		require.NoError(t, err)
		decoded, err := config.Decode(again)
		require.NoError(t, err)
		require.Empty(t, config.Diff(r, decoded))
	})
}
