package sidecar_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick/io/sidecar"
)

// probing is a probe under way: the report that its sender held, and the one that the sidecar answered from.
type probing struct {
	req    sidecar.ProbeRequest
	base   sidecar.Report
	sent   sidecar.Report
	answer []byte
}

// probeWorld is one sidecar and one prober whose calls overlap.
type probeWorld struct {
	random *rand.Rand
	report sidecar.Report
	held   sidecar.Report
	calls  []probing
	// naive puts readings into the newest report in place of the one that the request was sent with.
	naive bool
}

func newProbeWorld(seed uint64, naive bool) *probeWorld {
	return &probeWorld{
		random: rand.New(rand.NewPCG(seed, 1)),
		naive:  naive,
	}
}

// fields returns all fields of a report.
func fields(v reflect.Value) []reflect.Value {
	if v.Kind() != reflect.Struct {
		return []reflect.Value{v}
	}
	var all []reflect.Value
	for i := range v.NumField() {
		all = append(all, fields(v.Field(i))...)
	}
	return all
}

// change gives one field another value, as work, orders and restarts do.
func (w *probeWorld) change() {
	all := fields(reflect.ValueOf(&w.report).Elem())
	v, n := all[w.random.IntN(len(all))], w.random.IntN(3)
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprint(n))
	case reflect.Bool:
		v.SetBool(n == 0)
	case reflect.Float64:
		v.SetFloat(float64(n))
	case reflect.Uint8:
		v.SetUint(uint64(n))
	default:
		v.SetInt(int64(n))
	}
}

// ask opens a probe, which the sidecar answers at once; one without a report to build on asks for a whole one.
func (w *probeWorld) ask() {
	c := probing{
		base: w.held,
		sent: w.report,
	}
	if w.random.IntN(8) > 0 {
		c.req.Known = c.base.Sum()
	}
	c.answer, _ = json.Marshal(c.req.Answer(w.report, 1, 2))
	w.calls = append(w.calls, c)
}

// take hands over one of the answers under way, in any order; some are lost.
func (w *probeWorld) take() error {
	if len(w.calls) == 0 {
		return nil
	}
	i := w.random.IntN(len(w.calls))
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	if w.random.IntN(4) == 0 {
		return nil
	}
	var resp sidecar.ProbeResponse
	if err := json.Unmarshal(c.answer, &resp); err != nil {
		return err
	}
	if w.naive {
		c.base = w.held
		c.req.Known = c.base.Sum()
	}
	got, err := resp.Decode(c.req, c.base)
	if err != nil {
		return err
	}
	if got != c.sent || resp.Suspects(c.req) != 1 || resp.Records(c.req) != 2 {
		return fmt.Errorf("decoded %+v in place of %+v", got, c.sent)
	}
	w.held = got
	return nil
}

// TestProbesDecodeToWhatWasReported lets probes overlap, arrive in any order or never, and the prober forget.
func TestProbesDecodeToWhatWasReported(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newProbeWorld(rapid.Uint64().Draw(rt, "seed"), false)
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { w.change() },
			"ask":    func(*rapid.T) { w.ask() },
			"take":   func(rt *rapid.T) { require.NoError(rt, w.take()) },
			"forget": func(*rapid.T) { w.held = sidecar.Report{} },
		})
	})
}

func TestReadingsInTheWrongReportAreCaught(t *testing.T) {
	for _, naive := range []bool{false, true} {
		w := newProbeWorld(1, naive)
		var err error
		for i := 0; i < 2000 && err == nil; i++ {
			w.change()
			w.ask()
			if len(w.calls) > 3 {
				err = w.take()
			}
		}
		require.Equal(t, naive, err != nil, "%v", err)
	}
}

// TestAnswersToNobodyAreRefused decodes figures without the report that they belong to, and too few of them.
func TestAnswersToNobodyAreRefused(t *testing.T) {
	report := sidecar.Report{
		Target: "t",
	}
	req := sidecar.ProbeRequest{
		Known: report.Sum(),
	}
	_, err := req.Answer(report, 0, 0).Decode(req, sidecar.Report{})
	require.ErrorIs(t, err, sidecar.ErrNoBase)
	var fewer sidecar.ProbeResponse
	require.Error(t, json.Unmarshal([]byte(`{"readings":[1,2,3]}`), &fewer))
}
