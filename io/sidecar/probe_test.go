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

// pendingProbe is a probe without a processed response. base is the report that its sender held, and current is the
// sidecar's report at the time of the response.
type pendingProbe struct {
	req      sidecar.ProbeRequest
	base     sidecar.Report
	current  sidecar.Report
	response []byte
}

// probeModel simulates a sidecar and a prober with concurrent probes.
type probeModel struct {
	random *rand.Rand
	report sidecar.Report
	held   sidecar.Report
	calls  []pendingProbe
	// useLatest decodes readings with the latest report instead of the report that the request was sent with.
	useLatest bool
}

func newProbeModel(seed uint64, useLatest bool) *probeModel {
	return &probeModel{
		random:    rand.New(rand.NewPCG(seed, 1)),
		useLatest: useLatest,
	}
}

// fields returns all fields of a struct, including those of nested structs.
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

// change sets a random field of the sidecar's report to a random value.
func (m *probeModel) change() {
	all := fields(reflect.ValueOf(&m.report).Elem())
	v, n := all[m.random.IntN(len(all))], m.random.IntN(3)
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

// send sends a probe, to which the sidecar responds at once. Some probes request a complete report.
func (m *probeModel) send() {
	c := pendingProbe{
		base:    m.held,
		current: m.report,
	}
	if m.random.IntN(8) > 0 {
		c.req.BaseSum = c.base.Sum()
	}
	c.response, _ = json.Marshal(c.req.Response(m.report, 1, 2))
	m.calls = append(m.calls, c)
}

// receive delivers or drops a random pending response.
func (m *probeModel) receive() error {
	if len(m.calls) == 0 {
		return nil
	}
	i := m.random.IntN(len(m.calls))
	c := m.calls[i]
	m.calls = append(m.calls[:i], m.calls[i+1:]...)
	if m.random.IntN(4) == 0 {
		return nil
	}
	var resp sidecar.ProbeResponse
	if err := json.Unmarshal(c.response, &resp); err != nil {
		return err
	}
	if m.useLatest {
		c.base = m.held
		c.req.BaseSum = c.base.Sum()
	}
	got, err := resp.Decode(c.req, c.base)
	if err != nil {
		return err
	}
	if got != c.current || resp.Suspects(c.req) != 1 || resp.Records(c.req) != 2 {
		return fmt.Errorf("decoded %+v instead of %+v", got, c.current)
	}
	m.held = got
	return nil
}

// TestProbesDecodeToWhatWasReported runs concurrent probes whose responses are reordered or lost, and sometimes drops
// the prober's report. Every response must decode to the report that the sidecar had at that time.
func TestProbesDecodeToWhatWasReported(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newProbeModel(rapid.Uint64().Draw(rt, "seed"), false)
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(*rapid.T) { m.change() },
			"ask":    func(*rapid.T) { m.send() },
			"take":   func(rt *rapid.T) { require.NoError(rt, m.receive()) },
			"forget": func(*rapid.T) { m.held = sidecar.Report{} },
		})
	})
}

func TestPropertyDetectsWrongBaseReport(t *testing.T) {
	for _, useLatest := range []bool{false, true} {
		m := newProbeModel(1, useLatest)
		var err error
		for i := 0; i < 2000 && err == nil; i++ {
			m.change()
			m.send()
			if len(m.calls) > 3 {
				err = m.receive()
			}
		}
		require.Equal(t, useLatest, err != nil, "%v", err)
	}
}

// TestAnswersToNobodyAreRefused decodes readings without their base report, and a list of too few readings.
func TestAnswersToNobodyAreRefused(t *testing.T) {
	report := sidecar.Report{
		Target: "t",
	}
	req := sidecar.ProbeRequest{
		BaseSum: report.Sum(),
	}
	_, err := req.Response(report, 0, 0).Decode(req, sidecar.Report{})
	require.ErrorIs(t, err, sidecar.ErrNoBase)
	var fewer sidecar.ProbeResponse
	require.Error(t, json.Unmarshal([]byte(`{"readings":[1,2,3]}`), &fewer))
}
