package gateway

import (
	"sync"
	"time"

	"waxwingpick"
	"waxwingpick/core/balance"
	"waxwingpick/core/placement"
	"waxwingpick/core/retry"
	"waxwingpick/core/routetable"
)

// service holds the targets of one service and chooses among them, under its own lock.
type service struct {
	name waxwingpick.ServiceName

	mu      sync.Mutex
	engines bool
	fleet   *placement.Fleet
	pool    *balance.Pool
	retries *retry.Policy
}

func newService(name waxwingpick.ServiceName, o Options) *service {
	retries, err := retry.New(retry.Rand(newRandom()), retry.Fraction(o.RetryFraction))
	if err != nil {
		// The fraction was checked with the settings, so that only a nil source could fail.
		panic(err)
	}
	return &service{
		name:    name,
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
	s.fleet.SetTargets(targets, traits)
	s.pool.SetTargets(targets)
}

// servesModels reports whether the service's targets are model engines.
func (s *service) servesModels() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines
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
func (s *service) chooseEngines(now time.Time, d placement.Demand) (pick, placement.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, verdict := s.fleet.Choose(now, d)
	chosen := pick{
		run:       choice.Run,
		prefill:   choice.Prefill,
		predicted: choice.Predicted,
		held:      choice.HeldTokens,
	}
	if verdict != placement.VerdictPlaced {
		return chosen, verdict
	}
	reader, split := choice.Prefill.Get()
	if split {
		chosen.prefillLeg = s.fleet.Begin(now, reader.ID, d.Prompt, false)
	}
	chosen.runLeg = s.fleet.Begin(now, choice.Run.ID, d.Prompt, split)
	return chosen, verdict
}

// chooseTarget picks a target of a plain service and notes that a call is sent to it.
func (s *service) chooseTarget(now time.Time, exclude []waxwingpick.TargetID) (pick, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.pool.Choose(now, exclude)
	if ok {
		s.pool.Begin(t.ID)
	}
	return pick{
		run: t,
	}, ok
}

// pick is what was chosen for one attempt.
type pick struct {
	run       waxwingpick.Target
	prefill   waxwingpick.Option[waxwingpick.Target]
	predicted time.Duration
	held      int

	prefillLeg *placement.Leg
	runLeg     *placement.Leg
}

// prefilled notes that the reading engine is done with the prompt.
func (s *service) prefilled(now time.Time, c pick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.prefillLeg != nil {
		c.prefillLeg.Read(now)
		c.prefillLeg.End(now)
	}
}

// begun notes that the first event has come.
func (s *service) begun(now time.Time, c pick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.runLeg != nil {
		c.runLeg.Read(now)
	}
}

// ended notes that an attempt is over.
func (s *service) ended(now time.Time, c pick, failed bool, told waxwingpick.Option[int]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.runLeg == nil {
		s.pool.End(now, c.run.ID, failed, told)
		return
	}
	c.runLeg.End(now)
	if c.prefillLeg != nil {
		c.prefillLeg.End(now)
	}
}
