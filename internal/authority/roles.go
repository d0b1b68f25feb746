package authority

import (
	"sync"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/policy"
)

// Observed is what the process learned of a service's engines since it was last asked.
type Observed struct {
	Reports map[waxwingpick.TargetID]policy.Report
	// Work is what was reported since the last time.
	Work  policy.Work
	Rates policy.Rates
}

// Observer tells what is known of a service's engines.
type Observer func(service waxwingpick.ServiceName) Observed

// Roles returns the policy that decides on roles and models by core/policy, with one planner for each service.
func Roles(timers waxwingpick.Timers, observe Observer, opts ...policy.Option) (Policy, error) {
	if _, err := policy.NewPlanner(nil, opts...); err != nil {
		return nil, err
	}
	r := &roles{
		timers:   timers,
		observe:  observe,
		opts:     opts,
		planners: make(map[waxwingpick.ServiceName]*policy.Planner),
	}
	return r.plan, nil
}

type roles struct {
	timers  waxwingpick.Timers
	observe Observer
	opts    []policy.Option

	mu       sync.Mutex
	planners map[waxwingpick.ServiceName]*policy.Planner
}

func (r *roles) plan(in Input) []plan.Wanted {
	seen := r.observe(in.Service.Name)
	return r.planner(in.Service.Name).Plan(r.timers.Now(), policy.Input{
		Service:   in.Service,
		Config:    in.Config,
		Plan:      in.Plan,
		Instances: in.Instances,
		Reports:   seen.Reports,
		Work:      seen.Work,
		Rates:     seen.Rates,
	})
}

func (r *roles) planner(service waxwingpick.ServiceName) *policy.Planner {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.planners[service]
	if !ok {
		var err error
		if p, err = policy.NewPlanner(nil, r.opts...); err != nil {
			panic(err) // Roles has checked the options.
		}
		r.planners[service] = p
	}
	return p
}
