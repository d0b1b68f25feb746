package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// service is a sidecar with a target that counts its runs by path.
type service struct {
	guard *ledger.Guard
	mu    sync.Mutex
	runs  map[string]int
	calls int
}

func newService(t require.TestingT, now time.Time) *service {
	guard, err := ledger.NewGuard("process", now)
	require.NoError(t, err)
	return &service{
		guard: guard,
		runs:  make(map[string]int),
	}
}

// Run drops every third response on its way back.
func (s *service) Run(_ context.Context, a ledger.Attempt, call waxwingpick.CallRequest) (ledger.Response, error) {
	if err := s.guard.Admit(time.Now(), a.ID, a.Incarnation); err != nil {
		return ledger.Response{}, err
	}
	if !s.guard.Start(a.ID) {
		return ledger.Response{}, waxwingpick.NotRun(waxwingpick.ReasonFenced, 0, "")
	}
	s.mu.Lock()
	s.runs[call.Path]++
	s.calls++
	lose := s.calls%3 == 0
	s.mu.Unlock()
	answer := ledger.Response{
		Status: 201,
		Body:   []byte(call.Path),
	}
	s.guard.Finish(a.ID, answer)
	if lose {
		return ledger.Response{}, errCut
	}
	return answer, nil
}

func (s *service) Fence(_ context.Context, a ledger.Attempt) (ledger.AttemptState, *ledger.Response, error) {
	standing, answer := s.guard.Fence(time.Now(), a.ID, a.Incarnation)
	return standing, answer, nil
}

func (s *service) choose(_ context.Context, tried waxwingpick.Set[waxwingpick.TargetID]) (ledger.Attempt, error) {
	if tried.Has("target") {
		return ledger.Attempt{}, waxwingpick.NotRun(waxwingpick.ReasonNoTarget, 0, "")
	}
	return ledger.Attempt{
		Target:      "target",
		Incarnation: s.guard.Incarnation(time.Now()),
	}, nil
}

// orderKey returns the idempotency key of an order: even orders have an opaque key, odd ones a UUID with an issue time.
func orderKey(i int) string {
	if i%2 == 0 {
		return fmt.Sprint("booking", i)
	}
	return uuids[i]
}

var uuids = func() []string {
	var all []string
	for range 40 {
		all = append(all, uuid.Must(uuid.NewV7()).String())
	}
	return all
}()

func TestConcurrentResendsThroughTwoEntriesRunOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	const orders, submissions = 40, 4
	timers := timer.NewSystem()
	defer timers.Close()
	store := memkv.New(timers)
	target := newService(t, time.Now())
	var entries []*ledger.Ledger
	for range 2 {
		l, err := ledger.New(store.Client(), target, timers)
		require.NoError(t, err)
		defer l.Close()
		entries = append(entries, l)
	}
	var wg conc.WaitGroup
	for i := range orders * submissions {
		wg.Go(func() {
			key := orderKey(i % orders)
			answer, err := place(entries[i/orders%2], target, key)
			if err != nil {
				t.Error(err)
			}
			if string(answer.Body) != key {
				t.Errorf("got the answer of another order: %s", answer.Body)
			}
		})
	}
	wg.Wait()
	for i := range orders {
		require.Equal(t, 1, target.runs[orderKey(i)])
	}
}

func place(l *ledger.Ledger, target *service, key string) (ledger.Response, error) {
	call := waxwingpick.CallRequest{
		Method: "POST",
		Path:   key,
	}
	order := ledger.Order{
		Key:      waxwingpick.Some(ledger.NewKey("tanzplan", key)),
		BodyHash: ledger.HashCall(call),
		Deadline: time.Now().Add(time.Minute),
	}
	ctx, cancel := context.WithDeadline(context.Background(), order.Deadline)
	defer cancel()
	return l.Place(ctx, order, call, target.choose)
}

func TestOutageRefusesKeyedOrdersOnly(t *testing.T) {
	timers := timer.NewSystem()
	defer timers.Close()
	store := memkv.New(timers)
	store.SetDown(true)
	target := newService(t, time.Now())
	l, err := ledger.New(store.Client(), target, timers)
	require.NoError(t, err)
	defer l.Close()
	_, err = place(l, target, "keyed")
	var refusal *waxwingpick.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, waxwingpick.ReasonKeyValue, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.Zero(t, target.runs["keyed"])
	keyless := ledger.Order{
		Deadline: time.Now().Add(time.Minute),
	}
	_, err = l.Place(context.Background(), keyless, waxwingpick.CallRequest{}, target.choose)
	require.NoError(t, err)
}

func TestOrdersAfterCloseAreSafe(t *testing.T) {
	timers := timer.NewSystem()
	defer timers.Close()
	target := newService(t, time.Now())
	l, err := ledger.New(memkv.New(timers).Client(), target, timers)
	require.NoError(t, err)
	l.Close()
	_, err = place(l, target, "opaque")
	require.NoError(t, err)
	_, err = place(l, target, uuids[0])
	require.ErrorContains(t, err, string(waxwingpick.ReasonKeyValue))
	require.Zero(t, target.runs[uuids[0]])
}

func TestOrderRefusedForWantOfMemoryIsNeverAdmitted(t *testing.T) {
	now := start
	guard, err := ledger.NewGuard("process", now, ledger.WithWindow(time.Minute, 4), ledger.WithGuardMemory(16, 0))
	require.NoError(t, err)
	for i := range 1000 {
		id := fmt.Sprint(i)
		if guard.Admit(now, id, guard.Incarnation(now)) == nil {
			guard.Refuse(id)
		}
	}
	now = now.Add(time.Minute)
	incarnation := guard.Incarnation(now)
	require.Error(t, guard.Admit(now, "late", incarnation))
	now = now.Add(time.Minute)
	require.Error(t, guard.Admit(now, "late", incarnation), "a late copy of the refused attempt was admitted")
	require.NoError(t, guard.Admit(now, "next", guard.Incarnation(now)))
}
