package records_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/timer"
	"waxwingpick/internal/instancelist"
	"waxwingpick/internal/records"
	"waxwingpick/internal/standin/memkv"
)

// staticPlatform is a platform with a fixed list. It is unavailable without a list.
type staticPlatform struct {
	list atomic.Pointer[[]waxwingpick.Instance]
}

func (p *staticPlatform) Instances(context.Context) ([]waxwingpick.Instance, error) {
	if list := p.list.Load(); list != nil {
		return *list, nil
	}
	return nil, waxwingpick.ErrUnavailable
}

// localPeers calls the handlers of processes directly, by control address.
type localPeers map[string]waxwingpick.PeerHandler

func (d localPeers) Exchange(ctx context.Context, to waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	return d[to.Control].HandleExchange(ctx, msg)
}

// TestListReachesAProcessThatCannotReadIt starts two processes of which only one can read the platform's list. The other
// one must receive the list and its changes from the first.
func TestListReachesAProcessThatCannotReadIt(t *testing.T) {
	timers := timer.NewSystem()
	t.Cleanup(timers.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	rows := []waxwingpick.Instance{
		{ID: "entry", Kind: waxwingpick.KindEntry, Control: "1"},
		{ID: "sidecar", Kind: waxwingpick.KindTarget, Control: "2"},
	}
	available, unavailable := &staticPlatform{}, &staticPlatform{}
	available.list.Store(&rows)
	peers := localPeers{}
	var lists []*instancelist.Runner
	var runs []func(context.Context)
	for i, platform := range []*staticPlatform{available, unavailable} {
		list := instancelist.New(rows[i], platform, timers, instancelist.WithLog(log))
		recs, err := records.New(rows[i], memkv.New(timers).Client(), timers, peers, list.Instances, records.WithLog(log), records.WithList(list))
		require.NoError(t, err)
		peers[rows[i].Control] = recs
		lists = append(lists, list)
		runs = append(runs, list.Run, recs.Run)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, run := range runs {
		go run(ctx)
	}
	holds := func(want []waxwingpick.Instance) func() bool {
		return func() bool {
			return len(lists[1].Instances()) == 2 && lists[1].Instances()[1] == want[1]
		}
	}
	require.Eventually(t, holds(rows), time.Minute, 10*time.Millisecond)
	leaving := []waxwingpick.Instance{rows[0], rows[1]}
	leaving[1].Leaving = true
	available.list.Store(&leaving)
	require.Eventually(t, holds(leaving), time.Minute, 10*time.Millisecond)
}
