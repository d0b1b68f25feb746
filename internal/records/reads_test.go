package records

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
	"waxwingpick/core/timer"
	"waxwingpick/internal/standin/memkv"
)

// readWorld is a key-value service that others write, and one process that reads it.
type readWorld struct {
	random  *rand.Rand
	service *memkv.Store
	runner  *Runner
	// naive asks for what was written after the newest record held, however it was heard of.
	naive bool
}

func newReadWorld(t require.TestingT, seed uint64, naive bool) *readWorld {
	clock := timer.NewManual(time.Unix(1000, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &readWorld{
		random:  rand.New(rand.NewPCG(seed, 1)),
		service: memkv.New(clock),
		naive:   naive,
	}
	none := func() []waxwingpick.Instance { return nil }
	var err error
	w.runner, err = New(waxwingpick.Instance{}, w.service.Client(), clock, nil, none, WithLog(log))
	require.NoError(t, err)
	return w
}

var readKeys = []string{config.Key, plan.Key("a"), plan.Key("b"), plan.Key("c")}

// write is a change by another process.
func (w *readWorld) write() error {
	key := readKeys[w.random.IntN(len(readKeys))]
	now, _ := w.service.Peek(key)
	body := `{"revision":1,"inForce":"p","presets":[{"name":"p"}]}`
	if service, ok := strings.CutPrefix(key, plan.KeyPrefix); ok {
		body = fmt.Sprintf(`{"service":%q,"revision":1,"epoch":1,"nextOrder":1}`, service)
	}
	_, err := w.service.Client().CompareAndSwap(context.Background(), key, now.Revision, []byte(body), 0)
	return err
}

// hear takes a record from a peer or a watch.
func (w *readWorld) hear() {
	e, _ := w.service.Peek(readKeys[w.random.IntN(len(readKeys))])
	w.runner.Accept(e)
}

// read reads and compares what is held with the service.
func (w *readWorld) read() error {
	if w.naive {
		for _, held := range w.runner.store.Digest() {
			if held.Key == config.Key {
				w.runner.since.config = held.Revision
				continue
			}
			w.runner.since.plans = max(w.runner.since.plans, held.Revision)
		}
	}
	w.runner.read(context.Background())
	for _, key := range readKeys {
		e, _ := w.service.Peek(key)
		if _, held := w.runner.store.Get(key); held != e.Revision {
			return fmt.Errorf("revision %d of %s in place of %d", held, key, e.Revision)
		}
	}
	return nil
}

// TestReadsFindWhatWasWritten lets records be written and heard of in any order, with the service down now and then.
func TestReadsFindWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newReadWorld(rt, rapid.Uint64().Draw(rt, "seed"), false)
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(rt *rapid.T) { require.NoError(rt, w.write()) },
			"hear":  func(*rapid.T) { w.hear() },
			"read":  func(rt *rapid.T) { require.NoError(rt, w.read()) },
		})
	})
}

func TestReadsBehindWhatIsHeldAreCaught(t *testing.T) {
	for _, naive := range []bool{false, true} {
		w := newReadWorld(t, 1, naive)
		var err error
		for i := 0; i < 100 && err == nil; i++ {
			require.NoError(t, w.write())
			require.NoError(t, w.write())
			w.hear()
			err = w.read()
		}
		require.Equal(t, naive, err != nil, "%v", err)
	}
}
