package operator_test

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/etcd"
	adapter "waxwingpick/io/etcd"
	"waxwingpick/io/yaml"
)

// announce commits a leave with the given change ID. It repeats the change while its outcome is unknown.
func announce(t *testing.T, store *config.Store, id string) error {
	for {
		base, err := store.Load(t.Context())
		require.NoError(t, err)
		_, err = store.Commit(t.Context(), base, config.Request{
			Edit:     config.AnnounceLeave(waxwingpick.InstanceID(id), time.Time{}, time.Unix(0, 0)),
			ChangeID: id,
		})
		var unknown *config.UnknownError
		if !errors.As(err, &unknown) {
			return err
		}
	}
}

// TestOperatorsRaceOverTheNetwork announces leaves by several operators concurrently while responses are lost. Each
// accepted change must be made exactly once, and a change with a conflict must not be made.
func TestOperatorsRaceOverTheNetwork(t *testing.T) {
	const operators, attempts = 6, 15
	server, err := etcd.New(etcd.WithTimers(timer.NewManual(time.Unix(0, 0))))
	require.NoError(t, err)
	addr, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	client, err := adapter.New(addr)
	require.NoError(t, err)
	defer client.Close()
	store := config.NewStore(client)
	r, err := yaml.LoadConfig("../../config/tanzplan.yaml")
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), config.Snapshot{}, config.Request{
		Edit:     config.ApplyRecord(r),
		ChangeID: "first",
	})
	require.NoError(t, err)
	var accepted, conflicts atomic.Int64
	var wg conc.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			for attempt := range attempts {
				server.Store().LoseResponses(1)
				id := fmt.Sprintf("%d-%d", operator, attempt)
				err := announce(t, store, id)
				var conflict *config.ConflictError
				switch {
				case err == nil:
					accepted.Add(1)
				case errors.As(err, &conflict):
					conflicts.Add(1)
				default:
					t.Errorf("change %s: %v", id, err)
				}
			}
		})
	}
	wg.Wait()
	base, err := store.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, int64(operators*attempts), accepted.Load()+conflicts.Load())
	require.Len(t, base.Record().Leaving, int(accepted.Load()))
	require.Equal(t, accepted.Load()+1, base.Record().Revision)
}
