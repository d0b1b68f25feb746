package callbudget_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/callbudget"
	"waxwingpick/core/timer"
	"waxwingpick/internal/rapidtest"
	"waxwingpick/internal/standin/memkv"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 200)
}

const (
	clients  = 200
	tick     = 10 * time.Millisecond
	outage   = 30 * time.Second
	recovery = 20 * time.Second
	// The service's budget, in calls per second.
	readsPerSecond  = 2000
	writesPerSecond = 300
	// requiredReads and requiredWrites are the calls that each process has to make after an outage.
	requiredReads  = 3
	requiredWrites = 2
	fixedBackoff   = 100 * time.Millisecond
)

// process makes its calls one after the other and repeats each until it succeeds.
type process struct {
	kv     waxwingpick.KeyValue
	wait   func() time.Duration
	next   time.Time
	reads  int
	writes int
}

func (p *process) run(now time.Time) {
	for (p.reads > 0 || p.writes > 0) && !now.Before(p.next) {
		if !p.call() {
			p.next = now.Add(p.wait())
		}
	}
}

func (p *process) call() bool {
	if p.reads > 0 {
		if _, err := p.kv.Get(context.Background(), "record"); err != nil {
			return false
		}
		p.reads--
		return true
	}
	if _, err := p.kv.CompareAndSwap(context.Background(), "record", -1, nil, 0); callbudget.Failed(err) {
		return false
	}
	p.writes--
	return true
}

// load is the peak load of any second of a run, in calls received by the service.
type load struct {
	reads     int64
	writes    int64
	remaining int
}

// simulate starts an outage for all processes at the same time and returns the peak load.
func simulate(t *testing.T, naive bool) load {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	processes := make([]*process, clients)
	for i := range processes {
		processes[i] = newProcess(t, store, clock, naive, uint64(i))
	}
	store.SetDown(true)
	var peak load
	reads, writes := []int64{0}, []int64{0}
	for elapsed := time.Duration(0); elapsed < outage+recovery; elapsed += tick {
		if elapsed == outage {
			store.SetDown(false)
		}
		for _, p := range processes {
			p.run(clock.Now())
		}
		reads = append(reads, store.Calls(waxwingpick.CallGet))
		writes = append(writes, store.Calls(waxwingpick.CallSwap))
		from := max(0, len(reads)-1-int(time.Second/tick))
		peak.reads = max(peak.reads, reads[len(reads)-1]-reads[from])
		peak.writes = max(peak.writes, writes[len(writes)-1]-writes[from])
		clock.Advance(tick)
	}
	for _, p := range processes {
		peak.remaining += p.reads + p.writes
	}
	return peak
}

func newProcess(t *testing.T, store *memkv.Store, clock *timer.Manual, naive bool, seed uint64) *process {
	p := &process{
		kv:     store.Client(),
		reads:  requiredReads,
		writes: requiredWrites,
		wait: func() time.Duration {
			return fixedBackoff
		},
	}
	if naive {
		return p
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	client, err := callbudget.New(p.kv, clock, rng)
	require.NoError(t, err)
	p.kv = client
	p.wait = func() time.Duration {
		return max(client.RetryAfter(), tick)
	}
	return p
}

// TestProcessesDoNotComeBackInStep compares the peak load around an outage with the service's budget.
func TestProcessesDoNotComeBackInStep(t *testing.T) {
	budgeted := simulate(t, false)
	t.Logf("with budget and jitter: %+v", budgeted)
	require.LessOrEqual(t, budgeted.reads, int64(readsPerSecond))
	require.LessOrEqual(t, budgeted.writes, int64(writesPerSecond))
	require.Zero(t, budgeted.remaining)
	naive := simulate(t, true)
	t.Logf("with a fixed backoff: %+v", naive)
	require.Greater(t, naive.reads, int64(readsPerSecond))
	require.Greater(t, naive.writes, int64(writesPerSecond))
}

// TestBudgetHolds draws calls, pauses and outages and counts the calls sent to the service in any second.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := timer.NewManual(time.Unix(0, 0))
		store := memkv.New(clock)
		client, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)))
		require.NoError(rt, err)
		limit := callbudget.DefaultRate(waxwingpick.CallGet)
		var sent []time.Time
		failures := 0
		for range 100 {
			store.SetDown(rapid.IntRange(0, 3).Draw(rt, "down") == 0)
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			before := store.Calls(waxwingpick.CallGet)
			state := client.State()
			_, err := client.Get(context.Background(), "k")
			reached := store.Calls(waxwingpick.CallGet) > before
			if reached {
				sent = append(sent, clock.Now())
			} else {
				require.ErrorIs(rt, err, waxwingpick.ErrUnavailable)
			}
			if reached && err == nil {
				failures = 0
				require.Equal(rt, callbudget.StateClosed, client.State())
			}
			if reached && err != nil {
				failures++
				require.Equal(rt, failures >= 3 || state != callbudget.StateClosed, client.State() == callbudget.StateOpen)
			}
			inSecond := 0
			for _, at := range sent {
				if clock.Now().Sub(at) < time.Second {
					inSecond++
				}
			}
			require.LessOrEqual(rt, inSecond, limit.Burst+int(limit.PerSecond))
		}
		n := client.Counts(waxwingpick.CallGet)
		require.Equal(rt, int64(len(sent)), n.Sent)
		require.Equal(rt, int64(100), n.Sent+n.OverBudget+n.CircuitOpen)
	})
}

func TestAbandonedProbeReopensCircuit(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	client, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)), callbudget.WithThreshold(1))
	require.NoError(t, err)
	store.SetDown(true)
	_, err = client.Get(t.Context(), "k")
	require.ErrorIs(t, err, waxwingpick.ErrUnavailable)
	require.ErrorIs(t, client.Watch(t.Context(), "k", nil), callbudget.ErrCircuitOpen)
	store.SetDown(false)
	clock.Advance(client.RetryAfter())
	require.ErrorIs(t, client.Watch(t.Context(), "k", nil), callbudget.ErrCircuitOpen)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Get(ctx, "k")
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, callbudget.StateOpen, client.State())
	clock.Advance(client.RetryAfter())
	_, err = client.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, callbudget.StateClosed, client.State())
}

// TestSharesStayUnderTheServicesBudget sums the rates of all entries for fleets up to the expected maximum size.
func TestSharesStayUnderTheServicesBudget(t *testing.T) {
	for n := 1; n <= 400; n++ {
		var reads, writes float64
		for _, kind := range waxwingpick.KeyValueCalls() {
			if kind == waxwingpick.CallKeepAlive {
				// One lease holder for each of at most 64 services.
				writes += callbudget.DefaultRate(kind).PerSecond * 64
				continue
			}
			sum := callbudget.Share(callbudget.ServiceRate(kind), n).PerSecond * float64(n)
			if kind.Writes() {
				writes += sum
			} else {
				reads += sum
			}
		}
		require.LessOrEqual(t, reads, float64(readsPerSecond))
		require.Less(t, writes, 500.0, "%d entries", n)
	}
}

// TestFixedRateOverridesShare sets both rates repeatedly, as an entry does with each list of processes, and then sends a
// burst.
func TestFixedRateOverridesShare(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	client, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	fixed := callbudget.Rate{
		PerSecond: 10,
		Burst:     20,
	}
	for range 10 {
		client.SetProcesses(400)
		client.SetRate(waxwingpick.CallGet, fixed)
		clock.Advance(time.Second)
	}
	for range 2 * fixed.Burst {
		_, err = client.Get(t.Context(), "k")
	}
	require.ErrorIs(t, err, callbudget.ErrOverBudget)
	require.Equal(t, int64(fixed.Burst), client.Counts(waxwingpick.CallGet).Sent)
}

func TestSetProcessesAppliesShare(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	store := memkv.New(clock)
	client, err := callbudget.New(store.Client(), clock, rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	client.SetProcesses(100)
	clock.Advance(time.Minute)
	for range 50 {
		_, err = client.Get(t.Context(), "k")
	}
	require.ErrorIs(t, err, callbudget.ErrOverBudget)
	require.Equal(t, int64(callbudget.Share(callbudget.ServiceRate(waxwingpick.CallGet), 100).Burst), client.Counts(waxwingpick.CallGet).Sent)
}
