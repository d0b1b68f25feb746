package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/routetable"
)

// routesSink activates configurations.
type routesSink struct {
	process *Process
	origin  origin
}

func (s *routesSink) batchBegins(o origin) { s.origin = o }

func (s *routesSink) prefix() string {
	return s.process.options.Catalog.RoutesPrefix
}

func (s *routesSink) replace(entries []waxwingpick.Entry) {
	for _, e := range entries {
		s.put(e)
	}
}

func (s *routesSink) put(e waxwingpick.Entry) {
	p := s.process
	t, ok, err := p.options.Catalog.Routes(e)
	if err != nil {
		p.log.WithFields(logrus.Fields{
			"revision": e.Revision,
			"error":    err.Error(),
		}).Warn("configuration rejected; keeping the current one")
		return
	}
	if ok {
		p.apply(t, e.Revision, s.origin)
	}
}

// apply activates a configuration, unless a newer one is active.
func (p *Process) apply(t *routetable.Table, revision int64, o origin) {
	if current := p.table.Load(); current != nil && current.Version() >= t.Version() {
		return
	}
	p.table.Store(t)
	p.options.Metrics.Version(t.Version())
	p.log.WithFields(o.fields()).WithFields(logrus.Fields{
		"version":  t.Version(),
		"revision": revision,
	}).Info("configuration in force")
	p.updateServices()
}

// remove changes nothing: a configuration stays active until another one is accepted.
func (s *routesSink) remove(string)       {}
func (s *routesSink) serviceDown()        {}
func (s *routesSink) serviceUp(time.Time) {}
func (s *routesSink) batchApplied()       {}

// targetsSink maintains the list of targets.
type targetsSink struct {
	process *Process
	origin  origin
}

func (s *targetsSink) batchBegins(o origin) { s.origin = o }

func (s *targetsSink) prefix() string {
	return s.process.options.Catalog.TargetsPrefix
}

func (s *targetsSink) replace(entries []waxwingpick.Entry) {
	p := s.process
	now := p.timers.Now()
	targets := make([]waxwingpick.Target, 0, len(entries))
	for _, e := range entries {
		if t, ok := s.decode(e); ok {
			targets = append(targets, t)
		}
	}
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.list.Replace(now, targets)
	p.targetsListed = true
}

func (s *targetsSink) put(e waxwingpick.Entry) {
	p := s.process
	t, ok := s.decode(e)
	if !ok {
		s.remove(e.Key)
		return
	}
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.list.Put(p.timers.Now(), t)
}

func (s *targetsSink) remove(key string) {
	p := s.process
	p.listMu.Lock()
	defer p.listMu.Unlock()
	p.list.Remove(p.timers.Now(), p.options.Catalog.TargetID(key))
}

// decode decodes an entry; one without a usable target is logged and skipped.
func (s *targetsSink) decode(e waxwingpick.Entry) (waxwingpick.Target, bool) {
	t, err := s.process.options.Catalog.Target(e)
	if err != nil {
		s.process.log.WithFields(logrus.Fields{
			"key":      e.Key,
			"revision": e.Revision,
			"error":    err.Error(),
		}).Warn("invalid target entry skipped")
	}
	return t, err == nil
}

func (s *targetsSink) serviceDown() {
	s.process.listMu.Lock()
	defer s.process.listMu.Unlock()
	s.process.list.MarkUnavailable()
}

func (s *targetsSink) serviceUp(at time.Time) {
	s.process.listMu.Lock()
	defer s.process.listMu.Unlock()
	s.process.list.MarkAvailable(at)
}

func (s *targetsSink) batchApplied() {
	s.process.logTargets(s.origin)
	s.process.updateServices()
}

// logTargets logs and counts what the list has learned of targets.
func (p *Process) logTargets(o origin) {
	p.listMu.Lock()
	events := p.list.TakeEvents()
	p.listMu.Unlock()
	for _, e := range events {
		p.options.Metrics.TargetEvent(e.Kind.String())
		fields := o.fields()
		fields["target"] = e.Target.ID
		fields["service"] = e.Target.Service
		fields["change"] = e.Kind.String()
		fields["missingMillis"] = e.Missing.Milliseconds()
		p.log.WithFields(fields).Info("target of the list changed")
	}
}

// expireTargets drops the targets whose entries were not written again after an outage.
func (p *Process) expireTargets(now time.Time) {
	p.listMu.Lock()
	dropped := p.list.Expire(now)
	p.listMu.Unlock()
	if dropped {
		p.logTargets(origin{
			source: sourceGraceEnd,
		})
		p.updateServices()
	}
}

// updateServices distributes the targets to their services.
func (p *Process) updateServices() {
	table := p.table.Load()
	if table == nil {
		return
	}
	p.listMu.Lock()
	defer p.listMu.Unlock()
	byService := make(map[waxwingpick.ServiceName][]waxwingpick.Target)
	targets := p.list.Targets()
	p.statements.setTargets(p.timers.Now(), targets)
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	p.servicesMu.Lock()
	defer p.servicesMu.Unlock()
	for _, name := range table.Services() {
		s, ok := p.services[name]
		if !ok {
			s = newService(name, p.options, p.statements)
			if n := int(p.gatewayCount.Load()); n > 0 {
				s.setGateways(p.timers.Now(), n)
			}
			p.services[name] = s
		}
		config, _ := table.Service(name)
		s.update(byService[name], config)
		leaving := 0
		for _, t := range byService[name] {
			if t.Leaving {
				leaving++
			}
		}
		p.options.Metrics.Targets(name, len(byService[name])-leaving, leaving)
	}
	if p.targetsListed {
		p.targetsApplied.Store(true)
	}
}
