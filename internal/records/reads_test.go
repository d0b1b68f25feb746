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

// readTest is a key-value service with changing records, and one process that reads them.
type readTest struct {
	random  *rand.Rand
	service *memkv.Store
	runner  *Runner
	// useStoreRevisions makes reads start after the newest record in the store, whatever its source. This is the mutation
	// that the test must detect.
	useStoreRevisions bool
}

func newReadTest(t require.TestingT, seed uint64, useStoreRevisions bool) *readTest {
	clock := timer.NewManual(time.Unix(1000, 0))
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &readTest{
		random:            rand.New(rand.NewPCG(seed, 1)),
		service:           memkv.New(clock),
		useStoreRevisions: useStoreRevisions,
	}
	none := func() []waxwingpick.Instance { return nil }
	var err error
	w.runner, err = New(waxwingpick.Instance{}, w.service.Client(), clock, nil, none, WithLog(log))
	require.NoError(t, err)
	return w
}

var readKeys = []string{config.Key, plan.Key("a"), plan.Key("b"), plan.Key("c")}

// write writes a random record, as another process does.
func (w *readTest) write() error {
	key := readKeys[w.random.IntN(len(readKeys))]
	now, _ := w.service.Peek(key)
	body := `{"revision":1,"inForce":"p","presets":[{"name":"p"}]}`
	if service, ok := strings.CutPrefix(key, plan.KeyPrefix); ok {
		body = fmt.Sprintf(`{"service":%q,"revision":1,"epoch":1,"nextOrder":1}`, service)
	}
	_, err := w.service.Client().CompareAndSwap(context.Background(), key, now.Revision, []byte(body), 0)
	return err
}

// acceptRandom accepts a random record, as from a peer or after a watch event.
func (w *readTest) acceptRandom() {
	e, _ := w.service.Peek(readKeys[w.random.IntN(len(readKeys))])
	w.runner.Accept(e)
}

// read reads the records and compares the store with the service.
func (w *readTest) read() error {
	if w.useStoreRevisions {
		for _, held := range w.runner.store.Digest() {
			if held.Key == config.Key {
				w.runner.readRevisions.config = held.Revision
				continue
			}
			w.runner.readRevisions.plans = max(w.runner.readRevisions.plans, held.Revision)
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

// TestReadsFindWhatWasWritten writes and accepts records in any order. A read must then find every record, even if newer
// ones were received from peers or watches before.
func TestReadsFindWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newReadTest(rt, rapid.Uint64().Draw(rt, "seed"), false)
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(rt *rapid.T) { require.NoError(rt, w.write()) },
			"hear":  func(*rapid.T) { w.acceptRandom() },
			"read":  func(rt *rapid.T) { require.NoError(rt, w.read()) },
		})
	})
}

func TestReadsSinceStoreRevisionMissRecords(t *testing.T) {
	for _, useStoreRevisions := range []bool{false, true} {
		w := newReadTest(t, 1, useStoreRevisions)
		var err error
		for i := 0; i < 100 && err == nil; i++ {
			require.NoError(t, w.write())
			require.NoError(t, w.write())
			w.acceptRandom()
			err = w.read()
		}
		require.Equal(t, useStoreRevisions, err != nil, "%v", err)
	}
}
