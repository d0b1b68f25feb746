package entry

import (
	"fmt"
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/plan"
	"waxwingpick/core/policy"
	"waxwingpick/core/routing"
	"waxwingpick/io/sidecar"
)

// reportMaxAge is the age up to which a report, and not the plan, determines what a target serves. A target outside the
// sample is not probed again, so its last report would otherwise override the plan forever.
const reportMaxAge = 10 * time.Second

// fleet holds the targets of each service, each service under its own lock.
type fleet struct {
	entry waxwingpick.InstanceID
	zone  waxwingpick.AvailabilityZone

	mu       sync.Mutex
	services map[waxwingpick.ServiceName]*serviceTargets
}

// serviceTargets holds the targets of one service and chooses among them.
type serviceTargets struct {
	service      waxwingpick.ServiceName
	mu           sync.Mutex
	router       *routing.Router
	order        []waxwingpick.TargetID
	targets      map[waxwingpick.TargetID]*targetState
	incarnations map[waxwingpick.TargetID]string
	// work is the work in targets' reports since the role policy last read it.
	work policy.Work
	// rounds schedules polls of all targets for the role policy while this entry holds the service's authority lease.
	rounds           policy.ProbeSchedule
	lastRoundAt      time.Time
	holdsAuthority   bool
	roleObservations []policy.Contact
}

// targetState is a target of the platform's list with the latest report of its sidecar.
type targetState struct {
	instance waxwingpick.Instance
	active   waxwingpick.EngineConfig
	desired  waxwingpick.EngineConfig
	// reported is set once the sidecar has sent a report. active comes from the report while reportedAt is recent, and from
	// the plan otherwise.
	reported   bool
	reportedAt time.Time
	report     sidecar.Report
	// needsFullReport makes the next probe request a full report because the last probe failed.
	needsFullReport bool
	// requestedAt is when rounds last requested a report. orderedAt is when the planned configuration last changed.
	requestedAt time.Time
	orderedAt   time.Time
}

// chosenTarget is a routing choice with the addresses of the target's sidecar.
type chosenTarget struct {
	choice      routing.Choice
	instance    waxwingpick.Instance
	incarnation string
	// reportAge is the age of the target's report at the choice. The router adds the requests sent since that report.
	reportAge time.Duration
	// prefill is the target of the prefill stage of a split request; nil if one engine serves both stages.
	prefill *chosenTarget
}

// planLookup returns the latest known plan of a service.
type planLookup func(waxwingpick.ServiceName) plan.Record

func newFleet(entry waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) *fleet {
	return &fleet{
		entry:    entry,
		zone:     zone,
		services: make(map[waxwingpick.ServiceName]*serviceTargets),
	}
}

// service returns the targets of a service, or nil if the platform lists none.
func (f *fleet) service(name waxwingpick.ServiceName) *serviceTargets {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

// all returns the targets of every service.
func (f *fleet) all() []*serviceTargets {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*serviceTargets, 0, len(f.services))
	for _, s := range f.services {
		all = append(all, s)
	}
	return all
}

// update applies the platform's list. leaving holds the instances that operators marked as leaving.
func (f *fleet) update(now time.Time, list []waxwingpick.Instance, leaving waxwingpick.Set[waxwingpick.InstanceID], planned planLookup) error {
	byService := make(map[waxwingpick.ServiceName][]waxwingpick.Instance)
	for _, i := range list {
		if i.Kind == waxwingpick.KindTarget {
			byService[i.Service] = append(byService[i.Service], i)
		}
	}
	for name, instances := range byService {
		s, err := f.ensure(name)
		if err != nil {
			return err
		}
		s.update(now, instances, leaving, planned(name))
	}
	return nil
}

func (f *fleet) ensure(name waxwingpick.ServiceName) (*serviceTargets, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.services[name]; ok {
		return s, nil
	}
	router, err := routing.New(routing.Entry(f.entry, f.zone))
	if err != nil {
		return nil, fmt.Errorf("create router of %s: %w", name, err)
	}
	s := &serviceTargets{
		service:      name,
		router:       router,
		targets:      make(map[waxwingpick.TargetID]*targetState),
		incarnations: make(map[waxwingpick.TargetID]string),
	}
	f.services[name] = s
	return s, nil
}

func (s *serviceTargets) update(now time.Time, instances []waxwingpick.Instance, leaving waxwingpick.Set[waxwingpick.InstanceID], planned plan.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make(map[waxwingpick.TargetID]*targetState, len(instances))
	for _, i := range instances {
		t := &targetState{}
		if before, ok := s.targets[i.Target]; ok {
			*t = *before
		}
		t.instance = i
		t.instance.Leaving = i.Leaving || leaving.Has(i.ID)
		targets[i.Target] = t
	}
	for _, desired := range planned.Targets {
		t, ok := targets[desired.ID]
		if !ok {
			continue
		}
		if t.desired != desired.Order.Config {
			t.orderedAt = now
		}
		t.desired = desired.Order.Config
		ordered := desired.Order.Config != waxwingpick.EngineConfig{}
		if !t.reported || ordered && now.Sub(t.reportedAt) > reportMaxAge {
			t.active = desired.Order.Config
		}
	}
	s.targets = targets
	s.order = s.order[:0]
	for _, i := range instances {
		s.order = append(s.order, i.Target)
	}
	s.setTargets(now)
}

// setTargets updates the router's targets. The caller must hold s.mu.
func (s *serviceTargets) setTargets(now time.Time) {
	infos := make([]routing.TargetInfo, 0, len(s.order))
	for _, id := range s.order {
		t := s.targets[id]
		infos = append(infos, routing.TargetInfo{
			ID:      id,
			Zone:    t.instance.Zone,
			Model:   t.active.Model,
			Adapter: t.active.Adapter,
			Role:    t.active.Role,
			Leaving: t.instance.Leaving,
		})
	}
	s.router.SetTargets(now, infos)
}

// latestReport returns the latest report of a target's sidecar. ok is false if there is none, or if the last probe failed
// and the report must not be used as the base of a delta.
func (s *serviceTargets) latestReport(id waxwingpick.TargetID) (r sidecar.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	if !ok || !t.reported || t.needsFullReport {
		return sidecar.Report{}, false
	}
	return t.report, true
}

// probeFailed makes the next probe of a target request a full report. A sidecar of another version may send a response
// that can't be decoded.
func (s *serviceTargets) probeFailed(id waxwingpick.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.targets[id]; ok {
		t.needsFullReport = true
	}
}

// observe applies a report of a target's sidecar.
func (s *serviceTargets) observe(now time.Time, r sidecar.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[r.Target]
	if !ok {
		return
	}
	s.countWork(t, r.Totals)
	t.reported = true
	t.reportedAt = now
	t.report = r
	t.needsFullReport = false
	if t.active != r.Active {
		t.active = r.Active
		s.setTargets(now)
	}
	s.incarnations[r.Target] = r.Incarnation
	if s.holdsAuthority && !s.router.Sampled(r.Target) {
		// A report that was requested for the role policy does not add its target to the routing sample.
		return
	}
	s.router.Observe(now, routing.Report{
		Target: r.Target,
		Load:   r.Load,
	})
}

// choose selects a target and counts the request as sent to it. The caller must call done afterwards.
func (s *serviceTargets) choose(now time.Time, req routing.Request) (chosenTarget, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, err := s.router.Choose(now, req)
	return s.recordSent(now, choice, err)
}

// done records how an attempt ended.
func (s *serviceTargets) done(now time.Time, c chosenTarget, result routing.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(now, c.choice, result)
}

// probes returns the instances whose sidecars are due for a probe.
func (s *serviceTargets) probes(now time.Time) []waxwingpick.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.roleProbes(now, s.router.Probes(now, nil))
	instances := make([]waxwingpick.Instance, 0, len(ids))
	for _, id := range ids {
		if t, ok := s.targets[id]; ok {
			instances = append(instances, t.instance)
		}
	}
	return instances
}

// targetInstance returns the instance that runs a target and the latest known incarnation of its sidecar.
func (s *serviceTargets) targetInstance(id waxwingpick.TargetID) (waxwingpick.Instance, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	if !ok {
		return waxwingpick.Instance{}, "", false
	}
	return t.instance, s.incarnations[id], true
}

// servingTargets returns the targets that serve a model and are not leaving.
func (s *serviceTargets) servingTargets(model string) []waxwingpick.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []waxwingpick.TargetID
	for id, t := range s.targets {
		if !t.instance.Leaving && t.active.Model == model {
			ids = append(ids, id)
		}
	}
	return ids
}

// addModels adds the models that the service's targets report as served.
func (s *serviceTargets) addModels(into *waxwingpick.Set[string]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.reported && t.active.Model != "" {
			into.Add(t.active.Model)
		}
	}
}
