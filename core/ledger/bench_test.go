package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/ledger"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// BenchmarkOrders reports the key-value calls of an order that meets no fault, including its sweep.
func BenchmarkOrders(b *testing.B) {
	keys := map[string]func(i int) waxwingpick.Option[ledger.Key]{
		"issued": func(int) waxwingpick.Option[ledger.Key] {
			return waxwingpick.Some(ledger.NewKey("tanzplan", uuid.Must(uuid.NewV7()).String()))
		},
		"opaque": func(i int) waxwingpick.Option[ledger.Key] {
			return waxwingpick.Some(ledger.NewKey("tanzplan", fmt.Sprint("booking", i)))
		},
		"keyless": func(int) waxwingpick.Option[ledger.Key] {
			return waxwingpick.None[ledger.Key]()
		},
	}
	for name, key := range keys {
		for _, kept := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/answerKept=%t", name, kept), func(b *testing.B) {
				benchmarkOrders(b, key, kept)
			})
		}
	}
}

func benchmarkOrders(b *testing.B, key func(i int) waxwingpick.Option[ledger.Key], kept bool) {
	timers := timer.NewManual(time.Now())
	store := memkv.New(timers)
	target := instantTarget{}
	l, err := ledger.New(store.Client(), target, timers, ledger.WithOutcomeWrites(func() bool { return kept }))
	require.NoError(b, err)
	call := waxwingpick.CallRequest{
		Method: "POST",
		Path:   "/bookings",
		Body:   make([]byte, 256),
	}
	hash := ledger.HashCall(call)
	b.ReportAllocs()
	placed := 0
	for b.Loop() {
		placed++
		order := ledger.Order{
			Key:      key(placed),
			BodyHash: hash,
			Deadline: timers.Now().Add(time.Minute),
		}
		if _, err := l.Place(context.Background(), order, call, target.choose); err != nil {
			b.Fatal(err)
		}
	}
	l.Close()
	writes := store.Calls(waxwingpick.CallSwap)
	b.ReportMetric(float64(writes)/float64(placed), "writes/order")
	b.ReportMetric(float64(store.Calls(waxwingpick.CallGet))/float64(placed), "reads/order")
	if writes > 0 {
		b.ReportMetric(float64(placed)/float64(writes), "orders/write")
	}
}

// instantTarget responds to each order at once and keeps no record of any.
type instantTarget struct{}

func (instantTarget) Run(context.Context, ledger.Attempt, waxwingpick.CallRequest) (ledger.Response, error) {
	return ledger.Response{
		Status: 201,
		Body:   []byte(`{"booking":"confirmed"}`),
	}, nil
}

func (instantTarget) Fence(context.Context, ledger.Attempt) (ledger.AttemptState, *ledger.Response, error) {
	return ledger.StandingForgotten, nil, nil
}

func (instantTarget) choose(context.Context, waxwingpick.Set[waxwingpick.TargetID]) (ledger.Attempt, error) {
	return ledger.Attempt{
		Target:      "studio-app-1",
		Incarnation: "process.0",
	}, nil
}

func BenchmarkGuardAdmission(b *testing.B) {
	now := time.Now()
	guard, err := ledger.NewGuard("process", now)
	require.NoError(b, err)
	incarnation := guard.Incarnation(now)
	ids := make([]string, 1<<14)
	for i := range ids {
		ids[i] = uuid.NewString()
	}
	answer := ledger.Response{
		Status: 201,
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(ids) == 0 {
			guard, err = ledger.NewGuard("process", now)
			require.NoError(b, err)
		}
		id := ids[i%len(ids)]
		if err := guard.Admit(now, id, incarnation); err != nil {
			b.Fatal(err)
		}
		guard.Start(id)
		guard.Finish(id, answer)
	}
}
