package main

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/routing"
	"waxwingpick/internal/virtual"
)

// balancerInput is what a policy builds its balancer from.
type balancerInput struct {
	entry    waxwingpick.InstanceID
	zone     waxwingpick.AvailabilityZone
	rand     *rand.Rand
	sidecars []*virtual.Sidecar
	now      time.Time
	// every calls a function each period of the run.
	every func(period time.Duration, fn func(now time.Time))
}

// policy is a way to choose targets and to admit.
type policy struct {
	name       string
	balancer   func(in balancerInput) (virtual.Balancer, error)
	gate       func(spec virtual.EngineSpec) (virtual.Gate, error)
	priorities bool
	allKnowing bool
	// hedgeAfter is the time without a first token after which a quick request is sent a second time; zero for never.
	hedgeAfter time.Duration
	// hints is the number of cached blocks that each report of a target names; zero for none.
	hints int
	// baseline marks the policies that the goal compares with.
	baseline bool
}

func newRouter(in balancerInput, opts ...routing.Option) (*routing.Router, error) {
	opts = append([]routing.Option{
		routing.Entry(in.entry, in.zone),
		routing.Rand(in.rand),
	}, opts...)
	r, err := routing.New(opts...)
	if err != nil {
		return nil, err
	}
	r.SetTargets(in.now, virtual.Targets(in.sidecars))
	return r, nil
}

func routed(in balancerInput, opts ...routing.Option) (*virtual.Routed, error) {
	r, err := newRouter(in, opts...)
	if err != nil {
		return nil, err
	}
	return virtual.NewRouted(r), nil
}

func ownBalancer(opts ...routing.Option) func(in balancerInput) (virtual.Balancer, error) {
	return func(in balancerInput) (virtual.Balancer, error) {
		return routed(in, opts...)
	}
}

func ownGate(opts ...admission.Option) func(spec virtual.EngineSpec) (virtual.Gate, error) {
	return func(spec virtual.EngineSpec) (virtual.Gate, error) {
		opts := append([]admission.Option{
			admission.Slots(spec.Slots),
			admission.Memory(spec.Pieces, virtual.BlockTokens),
		}, opts...)
		return admission.New(opts...)
	}
}

func firstComeGate(spec virtual.EngineSpec) (virtual.Gate, error) {
	return newFirstCome(spec), nil
}

func roundRobinBalancer(in balancerInput) (virtual.Balancer, error) {
	return &roundRobin{
		reported: newReported(virtual.Targets(in.sidecars)),
	}, nil
}

func leastReportedBalancer(in balancerInput) (virtual.Balancer, error) {
	return &leastReported{
		reported: newReported(virtual.Targets(in.sidecars)),
		rand:     in.rand,
	}, nil
}

func powerOfTwoBalancer(in balancerInput) (virtual.Balancer, error) {
	return &powerOfTwo{
		reported: newReported(virtual.Targets(in.sidecars)),
		rand:     in.rand,
	}, nil
}

func allKnowingBalancer(in balancerInput) (virtual.Balancer, error) {
	r, err := routed(in, routing.Subset(len(in.sidecars), len(in.sidecars)), routing.ZoneTolerance(0))
	if err != nil {
		return nil, err
	}
	return &allKnowing{
		Routed:   r,
		sidecars: in.sidecars,
	}, nil
}

// plainGate limits concurrency by the latency that it sees.
func plainGate(virtual.EngineSpec) (virtual.Gate, error) {
	l, err := admission.NewLimiter(2, plainMost)
	if err != nil {
		return nil, err
	}
	return admission.New(admission.Adaptive(l), admission.Rates(plainRate, plainSlice))
}

const (
	plainMost  = 1000
	plainRate  = 1000.0
	plainSlice = 2 * time.Millisecond
)

// baselines returns the policies that the goal compares with.
func baselines() []policy {
	return []policy{
		{
			name:     "round robin, first come",
			balancer: roundRobinBalancer,
			gate:     firstComeGate,
			baseline: true,
		},
		{
			name:     "least reported load, first come",
			balancer: leastReportedBalancer,
			gate:     firstComeGate,
			baseline: true,
		},
		{
			name:     "power of two, first come",
			balancer: powerOfTwoBalancer,
			gate:     firstComeGate,
			baseline: true,
		},
	}
}

func plainPolicies() []policy {
	return append(baselines(), policy{
		name:     ownName,
		balancer: ownBalancer(),
		gate:     plainGate,
	})
}

// ownName is the name of the project's own policy in the tables.
const ownName = "waxwingpick"

// withoutAffinityName is the name of the project's own policy without prefix affinity.
const withoutAffinityName = "waxwingpick without affinity"

func policies() []policy {
	return append(baselines(), []policy{
		{
			name:       "power of two, first come, engine priorities",
			balancer:   powerOfTwoBalancer,
			gate:       firstComeGate,
			priorities: true,
			baseline:   true,
		},
		{
			name:       "power of two, own admission",
			balancer:   powerOfTwoBalancer,
			gate:       ownGate(),
			priorities: true,
		},
		{
			name:       "own routing, first come, engine priorities",
			balancer:   ownBalancer(),
			gate:       firstComeGate,
			priorities: true,
		},
		{
			name:       "waxwingpick without own sends",
			balancer:   ownBalancer(routing.CountOwnSends(false)),
			gate:       ownGate(),
			priorities: true,
		},
		{
			name:       withoutAffinityName,
			balancer:   ownBalancer(routing.Affinity(false)),
			gate:       ownGate(),
			priorities: true,
		},
		{
			name:       ownName,
			balancer:   ownBalancer(),
			gate:       ownGate(),
			priorities: true,
		},
		{
			name:       "waxwingpick, hedged after 0.5 s",
			balancer:   ownBalancer(),
			gate:       ownGate(),
			priorities: true,
			hedgeAfter: 500 * time.Millisecond,
		},
		{
			name:       "waxwingpick, hedged after 1 s",
			balancer:   ownBalancer(),
			gate:       ownGate(),
			priorities: true,
			hedgeAfter: time.Second,
		},
		{
			name:       "all-knowing greedy",
			balancer:   allKnowingBalancer,
			gate:       ownGate(),
			priorities: true,
			allKnowing: true,
		},
	}...)
}
