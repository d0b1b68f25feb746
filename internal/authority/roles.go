package authority

import (
	"sync"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/policy"
)

// Observation holds the observations of a service's engines for one run of the policy.
type Observation struct {
	Reports map[waxwingpick.TargetID]policy.Report
	// Work is the work reported since the previous observation.
	Work  policy.Work
	Rates policy.Rates
}

// Observer returns the current observations of a service's engines.
type Observer func(service waxwingpick.ServiceName) Observation

// NewRolePolicy returns the policy that decides roles and models with one core/policy planner for each service.
func NewRolePolicy(timers waxwingpick.Timers, observe Observer, opts ...policy.Option) (Policy, error) {
	if _, err := policy.NewPlanner(nil, opts...); err != nil {
		return nil, err
	}
	r := &rolePolicy{
		timers:   timers,
		observe:  observe,
		opts:     opts,
		planners: make(map[waxwingpick.ServiceName]*policy.Planner),
	}
	return r.plan, nil
}

type rolePolicy struct {
	timers  waxwingpick.Timers
	observe Observer
	opts    []policy.Option

	mu       sync.Mutex
	planners map[waxwingpick.ServiceName]*policy.Planner
}

func (r *rolePolicy) plan(in Input) []plan.DesiredTarget {
	observed := r.observe(in.Service.Name)
	return r.planner(in.Service.Name).Plan(r.timers.Now(), policy.Input{
		Service:   in.Service,
		Config:    in.Config,
		Plan:      in.Plan,
		Instances: in.Instances,
		Reports:   observed.Reports,
		Work:      observed.Work,
		Rates:     observed.Rates,
	})
}

func (r *rolePolicy) planner(service waxwingpick.ServiceName) *policy.Planner {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.planners[service]
	if !ok {
		var err error
		if p, err = policy.NewPlanner(nil, r.opts...); err != nil {
			panic(err) // NewRolePolicy has validated the options.
		}
		r.planners[service] = p
	}
	return p
}
