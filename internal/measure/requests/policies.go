package main

import (
	"math/rand/v2"
	"time"

	"waxwingpick"
	"waxwingpick/core/admission"
	"waxwingpick/core/routing"
	"waxwingpick/internal/virtual"
)

// balancerInput holds the arguments of a balancer's constructor.
type balancerInput struct {
	entry    waxwingpick.InstanceID
	zone     waxwingpick.AvailabilityZone
	rand     *rand.Rand
	sidecars []*virtual.Sidecar
	now      time.Time
	// every schedules a periodic call during the run.
	every func(period time.Duration, fn func(now time.Time))
}

// policy is a combination of routing and admission.
type policy struct {
	name       string
	balancer   func(in balancerInput) (virtual.Balancer, error)
	gate       func(spec virtual.EngineSpec) (virtual.Gate, error)
	priorities bool
	oracle     bool
	// hedgeAfter is the time without a first token after which a quick request is sent again; zero disables hedging.
	hedgeAfter time.Duration
	// hints is the number of cached blocks that each report of a target lists; zero disables hints.
	hints int
	// baseline marks the policies that this project's policy is compared with.
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

func routed(in balancerInput, opts ...routing.Option) (*virtual.RouterBalancer, error) {
	r, err := newRouter(in, opts...)
	if err != nil {
		return nil, err
	}
	return virtual.NewRouterBalancer(r), nil
}

func projectBalancer(opts ...routing.Option) func(in balancerInput) (virtual.Balancer, error) {
	return func(in balancerInput) (virtual.Balancer, error) {
		return routed(in, opts...)
	}
}

func projectGate(opts ...admission.Option) func(spec virtual.EngineSpec) (virtual.Gate, error) {
	return func(spec virtual.EngineSpec) (virtual.Gate, error) {
		opts := append([]admission.Option{
			admission.Slots(spec.Slots),
			admission.Memory(spec.KVBlocks, virtual.BlockTokens),
		}, opts...)
		return admission.New(opts...)
	}
}

func newFIFOBaseline(spec virtual.EngineSpec) (virtual.Gate, error) {
	return newFIFOGate(spec), nil
}

func roundRobinBalancer(in balancerInput) (virtual.Balancer, error) {
	return &roundRobin{
		loadReports: newLoadReports(virtual.Targets(in.sidecars)),
	}, nil
}

func leastLoadedBalancer(in balancerInput) (virtual.Balancer, error) {
	return &leastLoaded{
		loadReports: newLoadReports(virtual.Targets(in.sidecars)),
		rand:        in.rand,
	}, nil
}

func powerOfTwoBalancer(in balancerInput) (virtual.Balancer, error) {
	return &powerOfTwo{
		loadReports: newLoadReports(virtual.Targets(in.sidecars)),
		rand:        in.rand,
	}, nil
}

func oracleBalancer(in balancerInput) (virtual.Balancer, error) {
	r, err := routed(in, routing.Subset(len(in.sidecars), len(in.sidecars)), routing.ZoneTolerance(0))
	if err != nil {
		return nil, err
	}
	return &oracle{
		RouterBalancer: r,
		sidecars:       in.sidecars,
	}, nil
}

// plainGate limits concurrency by the observed latency.
func plainGate(virtual.EngineSpec) (virtual.Gate, error) {
	l, err := admission.NewLimiter(2, plainMaxConcurrency)
	if err != nil {
		return nil, err
	}
	return admission.New(admission.Adaptive(l), admission.Rates(plainRate, plainSlice))
}

const (
	plainMaxConcurrency = 1000
	plainRate           = 1000.0
	plainSlice          = 2 * time.Millisecond
)

// baselines returns the policies for model engines and plain services that this project's policy is compared with.
func baselines() []policy {
	return []policy{
		{
			name:     "round robin, first come",
			balancer: roundRobinBalancer,
			gate:     newFIFOBaseline,
			baseline: true,
		},
		{
			name:     "least reported load, first come",
			balancer: leastLoadedBalancer,
			gate:     newFIFOBaseline,
			baseline: true,
		},
		{
			name:     "power of two, first come",
			balancer: powerOfTwoBalancer,
			gate:     newFIFOBaseline,
			baseline: true,
		},
	}
}

func plainPolicies() []policy {
	return append(baselines(), policy{
		name:     projectName,
		balancer: projectBalancer(),
		gate:     plainGate,
	})
}

// projectName is the name of this project's policy in the tables.
const projectName = "waxwingpick"

// withoutAffinityName is the name of this project's policy without prefix affinity.
const withoutAffinityName = "waxwingpick without affinity"

func policies() []policy {
	return append(baselines(), []policy{
		{
			name:       "power of two, first come, engine priorities",
			balancer:   powerOfTwoBalancer,
			gate:       newFIFOBaseline,
			priorities: true,
			baseline:   true,
		},
		{
			name:       "power of two, own admission",
			balancer:   powerOfTwoBalancer,
			gate:       projectGate(),
			priorities: true,
		},
		{
			name:       "own routing, first come, engine priorities",
			balancer:   projectBalancer(),
			gate:       newFIFOBaseline,
			priorities: true,
		},
		{
			name:       "waxwingpick without own sends",
			balancer:   projectBalancer(routing.CountUnreportedSends(false)),
			gate:       projectGate(),
			priorities: true,
		},
		{
			name:       withoutAffinityName,
			balancer:   projectBalancer(routing.Affinity(false)),
			gate:       projectGate(),
			priorities: true,
		},
		{
			name:       projectName,
			balancer:   projectBalancer(),
			gate:       projectGate(),
			priorities: true,
		},
		{
			name:       "waxwingpick, hedged after 0.5 s",
			balancer:   projectBalancer(),
			gate:       projectGate(),
			priorities: true,
			hedgeAfter: 500 * time.Millisecond,
		},
		{
			name:       "waxwingpick, hedged after 1 s",
			balancer:   projectBalancer(),
			gate:       projectGate(),
			priorities: true,
			hedgeAfter: time.Second,
		},
		{
			name:       "all-knowing greedy",
			balancer:   oracleBalancer,
			gate:       projectGate(),
			priorities: true,
			oracle:     true,
		},
	}...)
}
