package stream_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"waxwingpick"
	"waxwingpick/core/stream"
	"waxwingpick/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, 3000)
}

// assembler is the part of an assembly that a naive variant may replace.
type assembler interface {
	Accept(attempt string, offset int64, data []byte, last bool) stream.Verdict
	HandleBreak(attempt string, err error) stream.Step
	// Accepted returns the events that a new attempt continues.
	Accepted(taken []string) []string
}

// plain is the unchanged assembly. A continuation follows what the caller took and what is still buffered.
type plain struct {
	*stream.Assembly
}

func newPlain(a *stream.Assembly) plain {
	return plain{
		Assembly: a,
	}
}

func (p plain) Accepted(taken []string) []string {
	accepted := slices.Clone(taken)
	for _, data := range p.Buffered() {
		accepted = append(accepted, string(data))
	}
	return accepted
}

// forgetsWaiting continues after what the caller took and ignores what is buffered.
type forgetsWaiting struct {
	plain
}

func (f forgetsWaiting) Accepted(taken []string) []string {
	return taken
}

// inArrivalOrder accepts any event of any attempt in the order of arrival.
type inArrivalOrder struct {
	plain
	next int64
}

func (e *inArrivalOrder) Accept(_ string, _ int64, data []byte, last bool) stream.Verdict {
	e.next++
	return e.Assembly.Accept(e.Attempt(), e.next-1, data, last)
}

// endsOnBreak treats a closed connection as the end of the answer.
type endsOnBreak struct {
	plain
	next int64
}

func (e *endsOnBreak) Accept(attempt string, offset int64, data []byte, last bool) stream.Verdict {
	verdict := e.Assembly.Accept(attempt, offset, data, last)
	if verdict == stream.VerdictDeliver {
		e.next++
	}
	return verdict
}

func (e *endsOnBreak) HandleBreak(attempt string, _ error) stream.Step {
	e.Assembly.Accept(attempt, e.next, nil, true)
	return stream.Step{}
}

// alwaysReruns starts a new attempt after each break, even if the request may not be repeated.
type alwaysReruns struct {
	plain
}

func (a alwaysReruns) HandleBreak(attempt string, err error) stream.Step {
	step := a.Assembly.HandleBreak(attempt, err)
	if step.Kind == stream.StepFail {
		return stream.Step{
			Kind: stream.StepRerun,
		}
	}
	return step
}

type event struct {
	attempt string
	offset  int64
	data    []byte
	last    bool
}

// simulation is the connection between engines and one caller's assembly. Its events may be reordered, duplicated or lost.
type simulation struct {
	length     int64
	repeatable bool
	assembly   *stream.Assembly
	variant    assembler
	wire       []event
	bases      map[string]int64
	attempts   int
	ran        int
	broken     bool
	cutNext    bool
	taken      []string
	overflow   bool
}

func newSimulation(wrap func(*stream.Assembly) assembler, repeatable bool) *simulation {
	a, err := stream.New("a0", append(options(repeatable), stream.WithBuffer(4))...)
	if err != nil {
		panic(err)
	}
	sim := &simulation{
		length:     6,
		repeatable: repeatable,
		assembly:   a,
		variant:    wrap(a),
		bases:      make(map[string]int64),
	}
	sim.generate("a0", 0)
	return sim
}

// generate makes an engine run an attempt that continues the answer at base. The data of an event is its offset in the
// answer.
func (sim *simulation) generate(attempt string, base int64) {
	sim.ran++
	sim.bases[attempt] = base
	sim.send(attempt, 0)
	sim.wire = append(sim.wire, event{
		attempt: "foreign",
		data:    []byte("foreign"),
	})
}

func (sim *simulation) send(attempt string, from int64) {
	base := sim.bases[attempt]
	for at := base + from; at <= sim.length; at++ {
		e := event{
			attempt: attempt,
			offset:  at - base,
			last:    at == sim.length,
		}
		if !e.last {
			e.data = fmt.Appendf(nil, "%d", at)
		}
		sim.wire = append(sim.wire, e)
	}
}

func (sim *simulation) act(d rapidtest.Draw) {
	switch d(9) {
	case 0, 1, 2:
		sim.arrive(0, true)
	case 3:
		sim.arrive(d(len(sim.wire)+1), false)
	case 4:
		if i := d(len(sim.wire) + 1); i < len(sim.wire) {
			sim.wire = append(sim.wire[:i:i], sim.wire[i+1:]...)
		}
	case 5:
		sim.breaks(sim.drawBreak(d))
	case 6:
		sim.take()
	case 7:
		sim.cutNext = d(2) == 0
	case 8:
		sim.follow(sim.assembly.HandleMove(sim.assembly.Attempt()))
	}
}

// drawBreak draws an error. An engine that received the attempt is unreachable only to a later resume.
func (sim *simulation) drawBreak(d rapidtest.Draw) error {
	errs := []error{waxwingpick.ErrEngineLost, waxwingpick.ErrStreamNotFound, waxwingpick.ErrEngineUnreachable}
	if !sim.broken {
		errs = errs[:2]
	}
	sim.broken = true
	return errs[d(len(errs))]
}

// arrive delivers an event, and keeps it if it is to be delivered again.
func (sim *simulation) arrive(i int, remove bool) {
	if i >= len(sim.wire) {
		return
	}
	e := sim.wire[i]
	if remove {
		sim.wire = append(sim.wire[:i:i], sim.wire[i+1:]...)
	}
	switch sim.variant.Accept(e.attempt, e.offset, e.data, e.last) {
	case stream.VerdictGap:
		sim.breaks(stream.ErrGap)
	case stream.VerdictOverflow:
		sim.overflow = true
	case stream.VerdictDeliver, stream.VerdictDuplicate, stream.VerdictForeign, stream.VerdictEnd:
	}
}

func (sim *simulation) breaks(err error) {
	sim.follow(sim.variant.HandleBreak(sim.assembly.Attempt(), err))
}

// follow performs what a step requests.
func (sim *simulation) follow(step stream.Step) {
	attempt := sim.assembly.Attempt()
	switch step.Kind {
	case stream.StepResume:
		sim.broken = true
		sim.send(attempt, step.Offset)
	case stream.StepContinue, stream.StepRerun:
		sim.attempts++
		next := fmt.Sprintf("a%d", sim.attempts)
		sim.assembly.Restart(next)
		sim.broken = false
		if sim.cutNext {
			sim.cutNext = false
			sim.breaks(waxwingpick.ErrEngineUnreachable)
			return
		}
		sim.generate(next, int64(len(sim.variant.Accepted(sim.taken))))
	case stream.StepIgnore, stream.StepFail:
	}
}

func (sim *simulation) take() {
	if data, ok := sim.assembly.Take(); ok {
		sim.taken = append(sim.taken, string(data))
	}
}

// check is the oracle. What the caller got and will get is a prefix of its answer, and a regular end comes only after the
// complete answer.
func (sim *simulation) check() error {
	for i, data := range sim.variant.Accepted(sim.taken) {
		if data != fmt.Sprint(i) {
			return fmt.Errorf("event %d of the answer is %q", i, data)
		}
	}
	ended, refusal := sim.assembly.Finished()
	if ended && refusal == nil && int64(len(sim.taken)) != sim.length {
		return fmt.Errorf("ended as complete after %d of %d events", len(sim.taken), sim.length)
	}
	if !sim.repeatable && sim.ran > 1 {
		return fmt.Errorf("a request that may not be repeated was started %d times", sim.ran)
	}
	if refusal != nil && refusal.Outcome == waxwingpick.OutcomeNotRun {
		return fmt.Errorf("refused as not run though it was sent: %w", refusal)
	}
	return nil
}

// endFaults delivers the remaining events, each stream in order, and requires a complete answer or an explicit failure.
func (sim *simulation) endFaults() error {
	for range 500 {
		if len(sim.wire) == 0 {
			sim.breaks(waxwingpick.ErrEngineLost)
		}
		sim.arrive(0, true)
		sim.take()
		if err := sim.check(); err != nil {
			return err
		}
	}
	ended, refusal := sim.assembly.Finished()
	if !ended {
		return fmt.Errorf("the answer neither ends nor fails")
	}
	if sim.overflow && refusal == nil {
		return fmt.Errorf("an overflow ended as complete")
	}
	return nil
}

func episode(wrap func(*stream.Assembly) assembler) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		sim := newSimulation(wrap, d(2) == 1)
		for range 60 {
			sim.act(d)
			if err := sim.check(); err != nil {
				return err
			}
		}
		return sim.endFaults()
	}
}

func TestCallerGetsTheWholeAnswerOrAnExplicitFailure(t *testing.T) {
	rapidtest.Check(t, episode(func(a *stream.Assembly) assembler { return newPlain(a) }))
}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]func(*stream.Assembly) assembler{
		"any event in order of arrival":  func(a *stream.Assembly) assembler { return &inArrivalOrder{plain: newPlain(a)} },
		"a break ends the answer":        func(a *stream.Assembly) assembler { return &endsOnBreak{plain: newPlain(a)} },
		"rerun after any break":          func(a *stream.Assembly) assembler { return alwaysReruns{plain: newPlain(a)} },
		"continues after what was taken": func(a *stream.Assembly) assembler { return forgetsWaiting{plain: newPlain(a)} },
	}
	for name, wrap := range variants {
		t.Run(name, func(t *testing.T) {
			require.Error(t, rapidtest.FirstViolation(episode(wrap)))
		})
	}
}

// TestBreaks records how the answer continues after each sequence of breaks. An input line holds whether the request may
// be repeated, the number of events accepted before, and the breaks.
func TestBreaks(t *testing.T) {
	breaks := map[string]error{
		"lost":        waxwingpick.ErrEngineLost,
		"gap":         stream.ErrGap,
		"notFound":    waxwingpick.ErrStreamNotFound,
		"unreachable": waxwingpick.ErrEngineUnreachable,
		"refused":     waxwingpick.NotRun(waxwingpick.ReasonOverload, 0, ""),
	}
	var out strings.Builder
	for line := range strings.Lines(breakInputs) {
		fields := strings.Fields(line)
		a, err := stream.New("a", options(fields[0] == "repeatable")...)
		require.NoError(t, err)
		for i := range fields[1][0] - '0' {
			require.Equal(t, stream.VerdictDeliver, a.Accept("a", int64(i), []byte("x"), false))
		}
		var step stream.Step
		for _, name := range fields[2:] {
			step = a.HandleBreak("a", breaks[name])
		}
		fmt.Fprintf(&out, "%-50s %s", strings.TrimSpace(line), step.Kind)
		if step.Refusal != nil {
			fmt.Fprintf(&out, " %s", step.Refusal.Outcome)
		}
		out.WriteByte('\n')
	}
	goldie.New(t).Assert(t, "breaks", []byte(out.String()))
}

const breakInputs = `once 0 lost
once 2 gap
once 2 lost lost lost lost
once 0 notFound
once 2 notFound
once 0 unreachable
once 0 refused
once 0 lost unreachable
once 0 lost refused
repeatable 0 notFound
repeatable 2 lost
repeatable 2 notFound
repeatable 2 lost unreachable notFound
repeatable 2 lost refused
`

func options(repeatable bool) []stream.Option {
	if repeatable {
		return []stream.Option{stream.WithRepeatable()}
	}
	return nil
}

func BenchmarkAccept(b *testing.B) {
	data := []byte(`{"choices":[{"delta":{"content":"Tuesday"}}]}`)
	a, err := stream.New("a", stream.WithRepeatable())
	require.NoError(b, err)
	b.ReportAllocs()
	for i := int64(0); b.Loop(); i++ {
		a.Accept("a", i, data, false)
		a.Take()
	}
}
