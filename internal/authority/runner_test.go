package authority_test

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/authority"
	"waxwingpick/internal/orderrunner"
	"waxwingpick/internal/records"
	"waxwingpick/internal/standin/memkv"
)

// localPeers delivers messages to runners of the same process.
type localPeers struct {
	mu       sync.Mutex
	handlers map[waxwingpick.InstanceID]waxwingpick.PeerHandler
}

func (p *localPeers) Exchange(ctx context.Context, peer waxwingpick.Instance, msg waxwingpick.PeerMessage) (waxwingpick.PeerMessage, error) {
	p.mu.Lock()
	h, ok := p.handlers[peer.ID]
	p.mu.Unlock()
	if !ok {
		return waxwingpick.PeerMessage{}, waxwingpick.ErrPeerUnreachable
	}
	return h.HandleExchange(ctx, msg)
}

// localEngine completes each order immediately and sends it to the test.
type localEngine struct {
	waxwingpick.Engine

	mu    sync.Mutex
	state waxwingpick.EngineState
	done  chan<- waxwingpick.EngineOrder
}

func (g *localEngine) State(context.Context) (waxwingpick.EngineState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, nil
}

func (g *localEngine) Submit(_ context.Context, order waxwingpick.EngineOrder) error {
	g.mu.Lock()
	g.state.Order = order
	g.state.Phase = waxwingpick.OrderDone
	g.state.Active = order.Config
	g.mu.Unlock()
	g.done <- order
	return nil
}

type idleDrainer struct{}

func (idleDrainer) Drain() bool { return true }

func (idleDrainer) Undrain() {}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// TestRunnersCarryAnAcceptedPlanToTheEngines runs entries and sidecars on the system clock until every engine has
// completed its first order, and again after an outage of the service.
func TestRunnersCarryAnAcceptedPlanToTheEngines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	timers := timer.NewSystem()
	defer timers.Close()
	kv := memkv.New(timers)
	list := fleetInstances()
	instances := func() []waxwingpick.Instance {
		return list
	}
	peers := &localPeers{
		handlers: make(map[waxwingpick.InstanceID]waxwingpick.PeerHandler),
	}
	done := make(chan waxwingpick.EngineOrder, 64)
	role := make(chan waxwingpick.Role, 1)
	role <- waxwingpick.RoleMixed
	policy := func(in authority.Input) []plan.DesiredTarget {
		targets := authority.KeepCurrent(in)
		r := <-role
		role <- r
		for i := range targets {
			targets[i].Config.Role = r
		}
		return targets
	}
	storeConfig(t, kv)

	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	var holders []*authority.Runner
	for _, self := range list {
		recs, err := records.New(self, kv.Client(), timers, peers, instances, records.WithLog(discardLog()))
		require.NoError(t, err)
		peers.mu.Lock()
		peers.handlers[self.ID] = recs
		peers.mu.Unlock()
		wg.Go(func() {
			recs.Run(ctx)
		})
		if self.Kind == waxwingpick.KindEntry {
			r, err := authority.New(self.ID, kv.Client(), timers, recs, instances, authority.WithPolicy(policy), authority.WithLog(discardLog()))
			require.NoError(t, err)
			holders = append(holders, r)
			wg.Go(func() {
				r.Run(ctx)
			})
			continue
		}
		r, err := orderrunner.New(service, self.Target, kv.Client(), timers, &localEngine{
			state: waxwingpick.EngineState{
				Phase: waxwingpick.OrderIdle,
			},
			done: done,
		}, idleDrainer{}, recs, orderrunner.WithLog(discardLog()), orderrunner.WithChecksFencing(func() bool {
			return true
		}))
		require.NoError(t, err)
		wg.Go(func() {
			r.Run(ctx)
		})
	}
	waitForOrders(done, waxwingpick.RoleMixed)
	kv.SetDown(true)
	<-role
	role <- waxwingpick.RoleDecode
	kv.SetDown(false)
	waitForOrders(done, waxwingpick.RoleDecode)
	held := 0
	for _, r := range holders {
		for _, h := range r.Holdings() {
			if h.Held {
				held++
			}
		}
	}
	require.Equal(t, 1, held)
	cancel()
	wg.Wait()
	e, err := kv.Client().Get(context.Background(), plan.AuthorityKey(service))
	require.NoError(t, err)
	require.False(t, e.Exists(), "the lease is released at the end")
}

func fleetInstances() []waxwingpick.Instance {
	var list []waxwingpick.Instance
	for slot := range entries + sidecars {
		i := instance(slot)
		i.Service = service
		list = append(list, i)
	}
	return list
}

func storeConfig(t *testing.T, kv *memkv.Store) {
	rec := configRecord(1, 0)
	rec.Services = []config.Service{{
		Name: service,
		Kind: config.KindEngine,
		Models: []config.Model{{
			Name:    "cacao",
			Version: "1",
		}},
	}}
	_, err := kv.Client().CompareAndSwap(context.Background(), config.Key, 0, mustJSON(rec), 0)
	require.NoError(t, err)
}

// waitForOrders waits until each sidecar's engine has completed an order for the role.
func waitForOrders(done <-chan waxwingpick.EngineOrder, role waxwingpick.Role) {
	completed := waxwingpick.NewSet[int64]()
	for completed.Len() < sidecars {
		order := <-done
		if order.Config.Role == role {
			completed.Add(order.Number)
		}
	}
}
