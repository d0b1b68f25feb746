package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/ejection"
	"waxwingpick/core/placement"
	"waxwingpick/core/retry"
	"waxwingpick/core/routetable"
)

// service holds the targets of one service and selects among them. Its methods are safe for concurrent use.
type service struct {
	name       waxwingpick.ServiceName
	log        logrus.FieldLogger
	statements *statements

	mu      sync.Mutex
	engines bool
	fleet   *placement.Fleet
	pool    *balance.Pool
	retries *retry.Policy
	targets []waxwingpick.TargetID
	// healthPath is the path of the health check of the targets.
	healthPath string
}

func newService(name waxwingpick.ServiceName, o Options, st *statements) *service {
	retries, err := retry.New(retry.Rand(newRandom()), retry.WithSharedBudget(o.Retries))
	if err != nil {
		// The bounds were checked with the options, so only a nil random source could fail.
		panic(err)
	}
	return &service{
		name:       name,
		log:        o.Log,
		statements: st,
		fleet:      placement.New(o.Zone),
		pool:       balance.New(o.Zone),
		retries:    retries,
	}
}

func (s *service) update(targets []waxwingpick.Target, config routetable.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = s.targets[:0]
	for _, t := range targets {
		s.targets = append(s.targets, t.ID)
	}
	s.healthPath = config.HealthPath
	engineTraits, engines := config.Engines.Get()
	s.engines = engines
	if engines {
		s.fleet.SetTargets(targets, engineTraits)
		return
	}
	s.pool.SetTargets(targets)
}

// kvHandleTTL returns how long engines keep KV cache for other engines.
func (s *service) kvHandleTTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HandleLifetime()
}

// healthCheckPath returns the path of the health check of the service's targets; empty if it is not configured.
func (s *service) healthCheckPath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthPath
}

// servesModels reports whether the service's targets are model engines.
func (s *service) servesModels() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines
}

// setGateways sets how many gateways share the retry budget.
func (s *service) setGateways(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.SetProcesses(now, n)
}

func (s *service) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Request(now)
}

func (s *service) countResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Responded()
}

func (s *service) decide(now time.Time, a retry.Attempt) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Decide(now, a)
}

// chooseEngines selects the engines of a model request and counts the request at them.
func (s *service) chooseEngines(now time.Time, d placement.Demand, mayRequest bool) placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, p := place(now, s.statements, mayRequest, func(blocked waxwingpick.Set[waxwingpick.TargetID]) (placement.Choice, waxwingpick.TargetID, waxwingpick.Verdict) {
		d.Blocked = blocked
		choice, verdict := s.fleet.Choose(now, d)
		return choice, choice.Prefill.OrElse(choice.Run).ID, verdict
	})
	p.selection = selection{
		target:     choice.Run,
		prefill:    choice.Prefill,
		ahead:      choice.QueuedWork,
		predicted:  choice.Predicted,
		heldTokens: choice.HeldTokens,
		loadAges:   choice.Ages,
	}
	if p.verdict != waxwingpick.VerdictPlaced {
		return p
	}
	if engine, split := choice.Prefill.Get(); split {
		p.prefillStage = s.fleet.Begin(now, engine.ID, d, false)
		return p
	}
	p.runStage = s.fleet.Begin(now, choice.Run.ID, d, false)
	return p
}

// chooseDecode selects the engine that fetches the request's prefilled KV cache, and counts the request at it. The
// choice made before the prefill stage may be out of date.
func (s *service) chooseDecode(now time.Time, d placement.Demand, c selection, mayRequest bool) placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, _ := c.prefill.Get()
	target, p := place(now, s.statements, mayRequest, func(blocked waxwingpick.Set[waxwingpick.TargetID]) (waxwingpick.Target, waxwingpick.TargetID, waxwingpick.Verdict) {
		d.Blocked = blocked
		target, ok := s.fleet.ChooseRun(now, d, engine)
		if !ok {
			return target, "", waxwingpick.VerdictNone
		}
		return target, target.ID, waxwingpick.VerdictPlaced
	})
	p.selection = c
	if p.verdict == waxwingpick.VerdictPlaced {
		p.target = target
		p.runStage = s.fleet.Begin(now, target.ID, d, true)
	}
	return p
}

// summary returns this process's load for other gateways of its zone; engines is false for a plain service.
func (s *service) summary(now time.Time) (summary placement.Summary, engines bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return summary, false
	}
	return s.fleet.Summary(now), true
}

// digest returns the load of this availability zone for the others; engines is false for a plain service.
func (s *service) digest(now time.Time) (summary placement.Summary, engines bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return summary, false
	}
	return s.fleet.Digest(now), true
}

// zoneLoad returns the load of this availability zone for the shares of other zones; engines is false for a plain service.
func (s *service) zoneLoad(now time.Time) (load placement.ZoneLoad, engines bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return load, false
	}
	return s.fleet.ZoneLoad(now), true
}

// observeZone applies a digest of another availability zone.
func (s *service) observeZone(now time.Time, zone waxwingpick.AvailabilityZone, age time.Duration, summary placement.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ObserveZone(now, zone, age, summary)
}

// observeStated records a figure about its speed that a target stated in a response.
func (s *service) observeStated(now time.Time, id waxwingpick.TargetID, stated waxwingpick.Option[int]) {
	percent, ok := stated.Get()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines {
		s.fleet.ObserveStated(now, id, percent)
		return
	}
	s.pool.ObserveStated(now, id, percent)
}

// statedSince returns what engines stated about their speed, as learned after a time from other origins than the excluded one.
func (s *service) statedSince(now, since time.Time, excluded placement.Origin) []placement.StatedSpeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return nil
	}
	return s.fleet.StatedSince(now, since, excluded)
}

// applyStated applies what engines stated to other gateways.
func (s *service) applyStated(now time.Time, from placement.Origin, reported []placement.StatedSpeed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ApplyStated(now, from, reported)
}

// observe applies the load summary of another process.
func (s *service) observe(now time.Time, peer waxwingpick.InstanceID, summary placement.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Observe(now, peer, summary)
}

// chooseTarget selects a target of a plain service and counts the call at it.
func (s *service) chooseTarget(now time.Time, d balance.Demand, mayRequest bool) placed {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, p := place(now, s.statements, mayRequest, func(blocked waxwingpick.Set[waxwingpick.TargetID]) (balance.Choice, waxwingpick.TargetID, waxwingpick.Verdict) {
		d.Blocked = blocked
		choice, verdict := s.pool.Choose(now, d)
		return choice, choice.Target.ID, verdict
	})
	p.selection = selection{
		target:    choice.Target,
		predicted: choice.Predicted,
	}
	if p.verdict == waxwingpick.VerdictPlaced {
		p.call = s.pool.Begin(now, choice.Target.ID)
	}
	return p
}

// blockedRetryAfter returns when a request is useful again that no target accepts because of what the targets state.
func (s *service) blockedRetryAfter(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.retryAfter(now, s.targets)
}

// blockedBy counts the targets that accept no request now, by the kind of statement.
func (s *service) blockedBy(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.blockedBy(now, s.targets)
}

// selection is the choice of targets for one attempt.
type selection struct {
	target     waxwingpick.Target
	prefill    waxwingpick.Option[waxwingpick.Target]
	ahead      time.Duration
	predicted  time.Duration
	heldTokens int
	// loadAges are the ages of the other gateways' reports on the engine's load.
	loadAges []time.Duration

	// call is set for a plain service, the stages for engines.
	call         *balance.Call
	prefillStage *placement.Stage
	runStage     *placement.Stage
}

// needsPrefill reports whether the prefill stage has to run at a separate engine first.
func (s selection) needsPrefill() bool {
	_, split := s.prefill.Get()
	return split && s.runStage == nil
}

// promptStage returns the stage that prefills the prompt; nil for a plain service.
func (s selection) promptStage() *placement.Stage {
	if s.prefillStage != nil {
		return s.prefillStage
	}
	return s.runStage
}

// last returns the target to which the attempt was last sent, and its stage; a plain service has no stages.
func (s selection) last() (waxwingpick.Target, *placement.Stage) {
	if s.runStage == nil && s.prefillStage != nil {
		return s.prefill.OrElse(s.target), s.prefillStage
	}
	return s.target, s.runStage
}

// prefilled records the end of the prefill stage.
func (s *service) prefilled(now time.Time, c selection) {
	s.logEjection(c.prefill.OrElse(c.target), s.locked(func() ejection.Change {
		if c.prefillStage == nil {
			return ejection.ChangeNone
		}
		defer c.prefillStage.End(now)
		c.prefillStage.Responded(now, ejection.ResponseServed)
		return c.prefillStage.PrefillDone(now)
	}))
}

// streamStarted records the arrival of the first event.
func (s *service) streamStarted(now time.Time, c selection) {
	s.logEjection(c.target, s.locked(func() ejection.Change {
		if c.runStage == nil {
			return ejection.ChangeNone
		}
		c.runStage.EventReceived(now, now)
		return c.runStage.PrefillDone(now)
	}))
}

// eventReceived records an event of a stream after the first one, for which this process waited since asked.
func (s *service) eventReceived(asked, now time.Time, c selection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.runStage != nil {
		c.runStage.EventReceived(asked, now)
	}
}

// failed records that the target to which an attempt was last sent is missing or did not respond.
func (s *service) failed(now time.Time, c selection, missing bool) {
	target, stage := c.last()
	s.logEjection(target, s.locked(func() ejection.Change {
		switch {
		case c.call != nil:
			return c.call.Failed(now, missing)
		case stage == nil:
			return ejection.ChangeNone
		case missing:
			return stage.Unreachable(now)
		}
		return stage.Lost(now)
	}))
}

// ended records the end of an attempt. calls is the number of running and queued requests that the target
// reported.
func (s *service) ended(now time.Time, c selection, r ejection.Response, calls waxwingpick.Option[int]) {
	s.logEjection(c.target, s.locked(func() ejection.Change {
		change := ejection.ChangeNone
		if c.call != nil {
			change = c.call.End(now, r, calls)
		}
		if _, stage := c.last(); stage != nil && r != ejection.ResponseNone {
			stage.Responded(now, r)
		}
		for _, stage := range []*placement.Stage{c.prefillStage, c.runStage} {
			if stage != nil {
				stage.End(now)
			}
		}
		return change
	}))
}

func (s *service) locked(do func() ejection.Change) ejection.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return do()
}

// logEjection logs the ejection of a target or its return.
func (s *service) logEjection(t waxwingpick.Target, change ejection.Change) {
	if change == ejection.ChangeNone {
		return
	}
	log := s.log.WithFields(logrus.Fields{
		"service": s.name,
		"target":  t.ID,
		"address": t.Address,
	})
	if change == ejection.ChangeEjected {
		log.Warn("target ejected: no responses")
		return
	}
	log.Info("target returned to service")
}
