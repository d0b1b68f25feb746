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
	Broken(attempt string, err error) stream.Step
	// Accepted returns the events that a new attempt continues.
	Accepted(taken []string) []string
}

// plain is the assembly itself; a continuation follows what the caller took and what still waits for it.
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
	for _, data := range p.Waiting() {
		accepted = append(accepted, string(data))
	}
	return accepted
}

// forgetsWaiting continues after what the caller took.
type forgetsWaiting struct {
	plain
}

func (f forgetsWaiting) Accepted(taken []string) []string {
	return taken
}

// eager accepts any event of any attempt in the order of arrival.
type eager struct {
	plain
	next int64
}

func (e *eager) Accept(_ string, _ int64, data []byte, last bool) stream.Verdict {
	e.next++
	return e.Assembly.Accept(e.Attempt(), e.next-1, data, last)
}

// endsOnBreak takes a closed connection for the end of the answer.
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

func (e *endsOnBreak) Broken(attempt string, _ error) stream.Step {
	e.Assembly.Accept(attempt, e.next, nil, true)
	return stream.Step{}
}

// alwaysReruns starts anew after each break, whether or not the request may be repeated.
type alwaysReruns struct {
	plain
}

func (a alwaysReruns) Broken(attempt string, err error) stream.Step {
	step := a.Assembly.Broken(attempt, err)
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

// world is the wire between engines and one caller's assembly, with events in any order, twice, or not at all.
type world struct {
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

func newWorld(wrap func(*stream.Assembly) assembler, repeatable bool) *world {
	a, err := stream.New("a0", append(options(repeatable), stream.WithBuffer(4))...)
	if err != nil {
		panic(err)
	}
	w := &world{
		length:     6,
		repeatable: repeatable,
		assembly:   a,
		variant:    wrap(a),
		bases:      make(map[string]int64),
	}
	w.generate("a0", 0)
	return w
}

// generate lets an engine run an attempt that continues the answer at base; data names the answer's offset.
func (w *world) generate(attempt string, base int64) {
	w.ran++
	w.bases[attempt] = base
	w.send(attempt, 0)
	w.wire = append(w.wire, event{
		attempt: "foreign",
		data:    []byte("foreign"),
	})
}

func (w *world) send(attempt string, from int64) {
	base := w.bases[attempt]
	for at := base + from; at <= w.length; at++ {
		e := event{
			attempt: attempt,
			offset:  at - base,
			last:    at == w.length,
		}
		if !e.last {
			e.data = fmt.Appendf(nil, "%d", at)
		}
		w.wire = append(w.wire, e)
	}
}

func (w *world) act(d rapidtest.Draw) {
	switch d(9) {
	case 0, 1, 2:
		w.arrive(0, true)
	case 3:
		w.arrive(d(len(w.wire)+1), false)
	case 4:
		if i := d(len(w.wire) + 1); i < len(w.wire) {
			w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
		}
	case 5:
		w.breaks(w.drawBreak(d))
	case 6:
		w.take()
	case 7:
		w.cutNext = d(2) == 0
	case 8:
		w.follow(w.assembly.Moved(w.assembly.Attempt()))
	}
}

// drawBreak picks an error; an engine that was sent the attempt is unreachable only to a later resume.
func (w *world) drawBreak(d rapidtest.Draw) error {
	errs := []error{waxwingpick.ErrEngineLost, waxwingpick.ErrStreamNotFound, waxwingpick.ErrEngineUnreachable}
	if !w.broken {
		errs = errs[:2]
	}
	w.broken = true
	return errs[d(len(errs))]
}

// arrive takes an event off the wire, or leaves it there to arrive once more.
func (w *world) arrive(i int, remove bool) {
	if i >= len(w.wire) {
		return
	}
	e := w.wire[i]
	if remove {
		w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
	}
	switch w.variant.Accept(e.attempt, e.offset, e.data, e.last) {
	case stream.VerdictGap:
		w.breaks(stream.ErrGap)
	case stream.VerdictOverflow:
		w.overflow = true
	case stream.VerdictDeliver, stream.VerdictRepeated, stream.VerdictForeign, stream.VerdictEnd:
	}
}

func (w *world) breaks(err error) {
	w.follow(w.variant.Broken(w.assembly.Attempt(), err))
}

// follow does what a step asks for.
func (w *world) follow(step stream.Step) {
	attempt := w.assembly.Attempt()
	switch step.Kind {
	case stream.StepResume:
		w.broken = true
		w.send(attempt, step.Offset)
	case stream.StepContinue, stream.StepRerun:
		w.attempts++
		next := fmt.Sprintf("a%d", w.attempts)
		w.assembly.Restart(next)
		w.broken = false
		if w.cutNext {
			w.cutNext = false
			w.breaks(waxwingpick.ErrEngineUnreachable)
			return
		}
		w.generate(next, int64(len(w.variant.Accepted(w.taken))))
	case stream.StepIgnore, stream.StepFail:
	}
}

func (w *world) take() {
	if data, ok := w.assembly.Take(); ok {
		w.taken = append(w.taken, string(data))
	}
}

// check is the oracle: what the caller got and will get is a prefix of its answer, and a regular end comes after the
// whole.
func (w *world) check() error {
	for i, data := range w.variant.Accepted(w.taken) {
		if data != fmt.Sprint(i) {
			return fmt.Errorf("event %d of the answer is %q", i, data)
		}
	}
	over, refusal := w.assembly.Finished()
	if over && refusal == nil && int64(len(w.taken)) != w.length {
		return fmt.Errorf("ended as whole after %d of %d events", len(w.taken), w.length)
	}
	if !w.repeatable && w.ran > 1 {
		return fmt.Errorf("a request that may not be repeated was started %d times", w.ran)
	}
	if refusal != nil && refusal.Outcome == waxwingpick.OutcomeNotRun {
		return fmt.Errorf("refused as not run though it was sent: %w", refusal)
	}
	return nil
}

// heal delivers what is left, each stream in order, and wants a whole answer or an explicit failure.
func (w *world) heal() error {
	for range 500 {
		if len(w.wire) == 0 {
			w.breaks(waxwingpick.ErrEngineLost)
		}
		w.arrive(0, true)
		w.take()
		if err := w.check(); err != nil {
			return err
		}
	}
	over, refusal := w.assembly.Finished()
	if !over {
		return fmt.Errorf("the answer neither ends nor fails")
	}
	if w.overflow && refusal == nil {
		return fmt.Errorf("an overflow ended as whole")
	}
	return nil
}

func episode(wrap func(*stream.Assembly) assembler) rapidtest.Episode {
	return func(d rapidtest.Draw) error {
		w := newWorld(wrap, d(2) == 1)
		for range 60 {
			w.act(d)
			if err := w.check(); err != nil {
				return err
			}
		}
		return w.heal()
	}
}

func TestCallerGetsTheWholeAnswerOrAnExplicitFailure(t *testing.T) {
	rapidtest.Check(t, episode(func(a *stream.Assembly) assembler { return newPlain(a) }))
}

func TestNaiveVariantsAreCaught(t *testing.T) {
	variants := map[string]func(*stream.Assembly) assembler{
		"any event in order of arrival":  func(a *stream.Assembly) assembler { return &eager{plain: newPlain(a)} },
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

// TestBreaks lists how each sequence of breaks goes on; an input names whether the
// request may be repeated, the events accepted before, and the breaks.
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
			step = a.Broken("a", breaks[name])
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
