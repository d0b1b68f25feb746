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

// service holds the targets of one service and chooses among them, under its own lock.
type service struct {
	name waxwingpick.ServiceName
	log  logrus.FieldLogger

	mu      sync.Mutex
	engines bool
	fleet   *placement.Fleet
	pool    *balance.Pool
	retries *retry.Policy
}

func newService(name waxwingpick.ServiceName, o Options) *service {
	retries, err := retry.New(retry.Rand(newRandom()), retry.Within(o.Retries))
	if err != nil {
		// The bounds were checked with the options, so that only a nil source could fail.
		panic(err)
	}
	return &service{
		name:    name,
		log:     o.Log,
		fleet:   placement.New(o.Zone),
		pool:    balance.New(o.Zone),
		retries: retries,
	}
}

func (s *service) update(targets []waxwingpick.Target, known routetable.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	traits, engines := known.Engines.Get()
	s.engines = engines
	if engines {
		s.fleet.SetTargets(targets, traits)
		return
	}
	s.pool.SetTargets(targets)
}

// handleLife returns how long engines keep KV cache for others.
func (s *service) handleLife() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.HandleLife()
}

// servesModels reports whether the service's targets are model engines.
func (s *service) servesModels() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines
}

// setGateways tells how many gateways have the retry budget together.
func (s *service) setGateways(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.SetProcesses(now, n)
}

func (s *service) arrived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Request(now)
}

func (s *service) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries.Answered()
}

func (s *service) decide(now time.Time, a retry.Attempt) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Decide(now, a)
}

// chooseEngines picks the engines of a model request and notes that it is sent to them.
func (s *service) chooseEngines(now time.Time, d placement.Demand) (pick, waxwingpick.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, verdict := s.fleet.Choose(now, d)
	chosen := pick{
		run:       choice.Run,
		prefill:   choice.Prefill,
		ahead:     choice.Ahead,
		predicted: choice.Predicted,
		held:      choice.HeldTokens,
		ages:      choice.Ages,
	}
	if verdict != waxwingpick.VerdictPlaced {
		return chosen, verdict
	}
	if reader, split := choice.Prefill.Get(); split {
		chosen.prefillLeg = s.fleet.Begin(now, reader.ID, d, false)
		return chosen, verdict
	}
	chosen.runLeg = s.fleet.Begin(now, choice.Run.ID, d, false)
	return chosen, verdict
}

// chooseRun picks the engine that fetches the KV cache which was read for a request, as the choice made before the reading
// may be out of date, and notes that the request is sent to it.
func (s *service) chooseRun(now time.Time, d placement.Demand, c pick) (pick, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reader, _ := c.prefill.Get()
	run, ok := s.fleet.ChooseRun(now, d, reader)
	if !ok {
		return c, false
	}
	c.run = run
	c.runLeg = s.fleet.Begin(now, run.ID, d, true)
	return c, true
}

// summary returns what other processes are to know of this one's requests; a plain service has nothing to tell.
func (s *service) summary(now time.Time) (summary placement.Summary, engines bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return summary, false
	}
	return s.fleet.Summary(now), true
}

// digest returns what other availability zones are to know of this one's requests.
func (s *service) digest(now time.Time) (summary placement.Summary, engines bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engines {
		return summary, false
	}
	return s.fleet.Digest(now), true
}

// observeZone takes a digest of another availability zone.
func (s *service) observeZone(now time.Time, zone waxwingpick.AvailabilityZone, age time.Duration, told placement.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.ObserveZone(now, zone, age, told)
}

// observe takes what another process told of its requests.
func (s *service) observe(now time.Time, peer waxwingpick.InstanceID, told placement.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleet.Observe(now, peer, told)
}

// chooseTarget picks a target of a plain service and notes that a call is sent to it.
func (s *service) chooseTarget(now time.Time, d balance.Demand) (pick, waxwingpick.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, verdict := s.pool.Choose(now, d)
	chosen := pick{
		run:       choice.Target,
		predicted: choice.Predicted,
	}
	if verdict == waxwingpick.VerdictPlaced {
		chosen.call = s.pool.Begin(now, choice.Target.ID)
	}
	return chosen, verdict
}

// pick is what was chosen for one attempt.
type pick struct {
	run       waxwingpick.Target
	prefill   waxwingpick.Option[waxwingpick.Target]
	ahead     time.Duration
	predicted time.Duration
	held      int
	// ages are how old what other gateways told of the engine's load was.
	ages []time.Duration

	// call is that of a plain service, the legs those of engines.
	call       *balance.Call
	prefillLeg *placement.Leg
	runLeg     *placement.Leg
}

// toRead reports whether the prompt is to be read at an engine of its own first.
func (p pick) toRead() bool {
	_, split := p.prefill.Get()
	return split && p.runLeg == nil
}

// readLeg returns the leg that reads the prompt; nil at a plain service.
func (p pick) readLeg() *placement.Leg {
	if p.prefillLeg != nil {
		return p.prefillLeg
	}
	return p.runLeg
}

// last returns the target to which an attempt was last sent, and its leg there; a plain service has no legs.
func (p pick) last() (waxwingpick.Target, *placement.Leg) {
	if p.runLeg == nil && p.prefillLeg != nil {
		return p.prefill.OrElse(p.run), p.prefillLeg
	}
	return p.run, p.runLeg
}

// prefilled notes that the reading engine is done with the prompt.
func (s *service) prefilled(now time.Time, c pick) {
	s.tell(c.prefill.OrElse(c.run), s.locked(func() ejection.Change {
		if c.prefillLeg == nil {
			return ejection.ChangeNone
		}
		defer c.prefillLeg.End(now)
		return c.prefillLeg.Read(now)
	}))
}

// begun notes that the first event has come.
func (s *service) begun(now time.Time, c pick) {
	s.tell(c.run, s.locked(func() ejection.Change {
		if c.runLeg == nil {
			return ejection.ChangeNone
		}
		return c.runLeg.Read(now)
	}))
}

// failed notes that the target to which an attempt was last sent is not there, or gave no answer.
func (s *service) failed(now time.Time, c pick, absent bool) {
	target, leg := c.last()
	s.tell(target, s.locked(func() ejection.Change {
		switch {
		case c.call != nil:
			return c.call.Failed(now, absent)
		case leg == nil:
			return ejection.ChangeNone
		case absent:
			return leg.Unreachable(now)
		}
		return leg.Lost(now)
	}))
}

// ended notes that an attempt is over.
func (s *service) ended(now time.Time, c pick, failed bool, told waxwingpick.Option[int]) {
	s.tell(c.run, s.locked(func() ejection.Change {
		change := ejection.ChangeNone
		if c.call != nil {
			change = c.call.End(now, failed, told)
		}
		for _, leg := range []*placement.Leg{c.prefillLeg, c.runLeg} {
			if leg != nil {
				leg.End(now)
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

// tell logs what is newly believed of a target.
func (s *service) tell(t waxwingpick.Target, change ejection.Change) {
	if change == ejection.ChangeNone {
		return
	}
	log := s.log.WithFields(logrus.Fields{
		"service": s.name,
		"target":  t.ID,
		"address": t.Address,
	})
	if change == ejection.ChangeOut {
		log.Warn("target gives no answers: left out")
		return
	}
	log.Info("target answers again")
}
