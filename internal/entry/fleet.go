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

// reportKept is how long a report says what a target serves; a target that left the sample is not asked again.
const reportKept = 10 * time.Second

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
	targets      map[waxwingpick.TargetID]*knownTarget
	incarnations map[waxwingpick.TargetID]string
	// work is what the targets' reports added since the role policy last looked.
	work policy.Work
	// rounds asks all targets for the role policy while this entry holds the authority over the service.
	rounds  policy.Rounds
	roundAt time.Time
	held    bool
	heard   []policy.Heard
}

// knownTarget is a target of the platform's list with what its sidecar reported.
type knownTarget struct {
	instance waxwingpick.Instance
	active   waxwingpick.EngineConfig
	wanted   waxwingpick.EngineConfig
	// reported says that the sidecar was heard of; active comes from it while reportedAt is recent, else from the plan.
	reported   bool
	reportedAt time.Time
	report     sidecar.Report
	// whole says that the next probe is to ask for a whole report, as the last one failed.
	whole bool
	// askedAt is when the report was last asked for by rounds, orderedAt when the plan last changed.
	askedAt   time.Time
	orderedAt time.Time
}

// chosen is a choice with the addresses of the chosen target's sidecar.
type chosen struct {
	choice      routing.Choice
	instance    waxwingpick.Instance
	incarnation string
	// reportAge is how old the report of the target is that the choice rests on; the router counts what was sent since.
	reportAge time.Duration
	// prefill is the target of the first leg of a request on two engines; nil where one serves both.
	prefill *chosen
}

// planOf returns the newest known plan of a service.
type planOf func(waxwingpick.ServiceName) plan.Record

func newFleet(entry waxwingpick.InstanceID, zone waxwingpick.AvailabilityZone) *fleet {
	return &fleet{
		entry:    entry,
		zone:     zone,
		services: make(map[waxwingpick.ServiceName]*serviceTargets),
	}
}

// service returns the targets of a service; nil where the platform lists none.
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

// update takes the platform's list; leaving holds the instances that operators announced.
func (f *fleet) update(now time.Time, list []waxwingpick.Instance, leaving waxwingpick.Set[waxwingpick.InstanceID], planned planOf) error {
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
		targets:      make(map[waxwingpick.TargetID]*knownTarget),
		incarnations: make(map[waxwingpick.TargetID]string),
	}
	f.services[name] = s
	return s, nil
}

func (s *serviceTargets) update(now time.Time, instances []waxwingpick.Instance, leaving waxwingpick.Set[waxwingpick.InstanceID], planned plan.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := make(map[waxwingpick.TargetID]*knownTarget, len(instances))
	for _, i := range instances {
		t := &knownTarget{}
		if before, ok := s.targets[i.Target]; ok {
			*t = *before
		}
		t.instance = i
		t.instance.Leaving = i.Leaving || leaving.Has(i.ID)
		targets[i.Target] = t
	}
	for _, wanted := range planned.Targets {
		t, ok := targets[wanted.ID]
		if !ok {
			continue
		}
		if t.wanted != wanted.Order.Config {
			t.orderedAt = now
		}
		t.wanted = wanted.Order.Config
		ordered := wanted.Order.Config != waxwingpick.EngineConfig{}
		if !t.reported || ordered && now.Sub(t.reportedAt) > reportKept {
			t.active = wanted.Order.Config
		}
	}
	s.targets = targets
	s.order = s.order[:0]
	for _, i := range instances {
		s.order = append(s.order, i.Target)
	}
	s.setTargets(now)
}

// setTargets passes the targets on to the router; the lock is held.
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

// newest returns the newest report of a target's sidecar; ok is false where there was none, or where it may not be built
// on as the last probe failed.
func (s *serviceTargets) newest(id waxwingpick.TargetID) (r sidecar.Report, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	if !ok || !t.reported || t.whole {
		return sidecar.Report{}, false
	}
	return t.report, true
}

// probeFailed has the next probe of a target ask for a whole report: a sidecar of another version may answer in a way
// that can't be decoded.
func (s *serviceTargets) probeFailed(id waxwingpick.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.targets[id]; ok {
		t.whole = true
	}
}

// observe takes a sidecar's report.
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
	t.whole = false
	if t.active != r.Active {
		t.active = r.Active
		s.setTargets(now)
	}
	s.incarnations[r.Target] = r.Incarnation
	if s.held && !s.router.Sampled(r.Target) {
		// A report for the role policy takes no place in the sample.
		return
	}
	s.router.Observe(now, routing.Report{
		Target: r.Target,
		Load:   r.Load,
	})
}

// choose picks a target and counts the request as sent there; done has to follow.
func (s *serviceTargets) choose(now time.Time, req routing.Request) (chosen, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, err := s.router.Choose(now, req)
	return s.sent(now, choice, err)
}

// done records how an attempt ended.
func (s *serviceTargets) done(now time.Time, c chosen, result routing.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Done(now, c.choice, result)
}

// probes returns the instances whose sidecars are to be asked for a report now.
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

// instance returns the instance that runs a target and its sidecar's newest known incarnation.
func (s *serviceTargets) instance(id waxwingpick.TargetID) (waxwingpick.Instance, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[id]
	if !ok {
		return waxwingpick.Instance{}, "", false
	}
	return t.instance, s.incarnations[id], true
}

// ids returns the targets that serve a model and don't leave.
func (s *serviceTargets) ids(model string) []waxwingpick.TargetID {
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

// addModels adds the models that the service's targets reported to serve.
func (s *serviceTargets) addModels(into *waxwingpick.Set[string]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.reported && t.active.Model != "" {
			into.Add(t.active.Model)
		}
	}
}
