package virtual

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"waxwingpick"
	"waxwingpick/core/timer"
)

// Size is a log-normal distribution of token counts.
type Size struct {
	Median float64
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	Max   int
}

// Mean returns the mean of the distribution without its maximum.
func (s Size) Mean() float64 {
	return s.Median * math.Exp(s.Sigma*s.Sigma/2)
}

func (s Size) draw(r *rand.Rand, factor float64) int {
	n := int(s.Median * factor * math.Exp(s.Sigma*r.NormFloat64()))
	return min(max(1, n), s.Max)
}

// Stream is one kind of request in a mix.
type Stream struct {
	Name  string
	Class waxwingpick.Class
	// Prompt is the size of the prompt after the shared prefix.
	Prompt Size
	Output Size
	// PrefixBlocks is the length of the prefix that all requests of a workspace share, in blocks of BlockTokens.
	PrefixBlocks int
	Deadline     time.Duration
	// Workspaces is the number of workspaces. Their rates follow a Zipf distribution.
	Workspaces int
	// WorkspaceSigma is the standard deviation, between workspaces, of the logarithm of their median output.
	WorkspaceSigma float64
	TwoStages      bool
}

// EngineSeconds returns the mean time that a request occupies an engine with a full batch, in seconds, with
// nothing cached.
func (s Stream) EngineSeconds(spec EngineSpec) float64 {
	prompt := s.Prompt.Mean() + float64(s.PrefixBlocks*BlockTokens)
	output := s.Output.Mean() * math.Exp(s.WorkspaceSigma*s.WorkspaceSigma/2)
	perToken := spec.StepBase.Seconds()/float64(spec.Slots) + spec.StepPerSequence.Seconds()
	return prompt/spec.PrefillTokensPerSecond + output*perToken
}

// Phase is a period with constant rates, one for each stream of the mix, in requests per second.
type Phase struct {
	Length time.Duration
	Rates  []float64
}

// Mix is a load whose phases repeat in a cycle.
type Mix struct {
	Streams []Stream
	Phases  []Phase
}

// EngineLoad returns the mean number of engines that the mix keeps busy.
func (m Mix) EngineLoad(spec EngineSpec) float64 {
	busy, total := 0.0, 0.0
	for _, p := range m.Phases {
		for i, rate := range p.Rates {
			busy += p.Length.Seconds() * rate * m.Streams[i].EngineSeconds(spec)
		}
		total += p.Length.Seconds()
	}
	return busy / total
}

// Scaled returns the mix with its rates scaled to keep the given number of engines busy.
func (m Mix) Scaled(engines float64, spec EngineSpec) Mix {
	factor := engines / m.EngineLoad(spec)
	phases := make([]Phase, len(m.Phases))
	for i, p := range m.Phases {
		phases[i].Length = p.Length
		for _, rate := range p.Rates {
			phases[i].Rates = append(phases[i].Rates, rate*factor)
		}
	}
	m.Phases = phases
	return m
}

// Load generates the arrivals of a mix.
type Load struct {
	timers         *timer.Manual
	rand           *rand.Rand
	mix            Mix
	arrive         func(r *Request)
	workspaceRanks []*rand.Zipf
	start          time.Time
	end            time.Time
	serial         int
}

// StartLoad calls arrive for each request of the mix, from now on for the given duration.
func StartLoad(timers *timer.Manual, r *rand.Rand, mix Mix, length time.Duration, arrive func(r *Request)) *Load {
	now := timers.Now()
	l := &Load{
		timers: timers,
		rand:   r,
		mix:    mix,
		arrive: arrive,
		start:  now,
		end:    now.Add(length),
	}
	for i, s := range mix.Streams {
		l.workspaceRanks = append(l.workspaceRanks, rand.NewZipf(r, 1.1, 4, uint64(max(1, s.Workspaces)-1)))
		l.scheduleNext(now, i)
	}
	return l
}

// scheduleNext schedules the next arrival of a stream, or another call at the end of the phase, when the rate
// changes.
func (l *Load) scheduleNext(now time.Time, stream int) {
	rate, phaseEnd := l.rate(now, stream)
	at := phaseEnd
	if rate > 0 {
		gap := l.rand.ExpFloat64() / rate
		at = now.Add(time.Duration(gap * float64(time.Second)))
	}
	arrives := at.Before(phaseEnd)
	if !arrives {
		at = phaseEnd
	}
	if !at.Before(l.end) {
		return
	}
	l.timers.After(at.Sub(now), func(now time.Time) {
		if arrives {
			l.serial++
			l.arrive(l.request(now, stream))
		}
		l.scheduleNext(now, stream)
	})
}

func (l *Load) rate(now time.Time, stream int) (perSecond float64, phaseEnd time.Time) {
	var cycle time.Duration
	for _, p := range l.mix.Phases {
		cycle += p.Length
	}
	at := now.Sub(l.start) % cycle
	for _, p := range l.mix.Phases {
		if at < p.Length {
			return p.Rates[stream], now.Add(p.Length - at)
		}
		at -= p.Length
	}
	panic("no phase covers the current time in the cycle")
}

func (l *Load) request(now time.Time, stream int) *Request {
	s := l.mix.Streams[stream]
	rank := l.workspaceRanks[stream].Uint64()
	workspaceRand := rand.New(rand.NewPCG(uint64(stream), rank))
	factor := math.Exp(s.WorkspaceSigma * workspaceRand.NormFloat64())
	r := &Request{
		Serial:       l.serial,
		Workspace:    waxwingpick.WorkspaceID(fmt.Sprintf("%s-%d", s.Name, rank)),
		Class:        s.Class,
		PromptTokens: s.Prompt.draw(l.rand, 1) + s.PrefixBlocks*BlockTokens,
		OutputTokens: s.Output.draw(l.rand, factor),
		Arrival:      now,
		Deadline:     now.Add(s.Deadline),
		TwoStages:    s.TwoStages,
	}
	for range s.PrefixBlocks {
		r.Prefix = append(r.Prefix, workspaceRand.Uint64())
	}
	return r
}
