package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
	"waxwingpick/core/burn"
	"waxwingpick/core/drain"
	"waxwingpick/core/ledger"

	"waxwingpick/core/suspect"
	"waxwingpick/io/openai"
)

const (
	orderAnswerBytes    = 512
	textBytes           = 5
	chunksPerTranscript = 100
)

// store is a store to measure; fill returns one with n members.
type store struct {
	name  string
	sizes []int
	fill  func(n int) (any, error)
}

func main() {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "what\tmembers\tbytes\tbytes/member")
	for _, s := range stores() {
		for _, size := range s.sizes {
			if err := measure(w, s, size); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
		}
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func stores() []store {
	return []store{
		newStore("guard: remembered orders with answers", fillGuard, 1_000, 4_000, 16_000),
		newStore("guard: remembered orders without answers", fillBareGuard, 1_000, 4_000, 16_000),
		newStore("suspect set: records", fillSuspects, 1_000, 4_000, 16_000),
		newStore("burn recorder: series", fillBurn, 64, 128, 256),
		newStore("transcript: answers with 100 chunks of 5 bytes of text", fillTranscripts, 100, 400, 1_600),
		newStore("gate: pieces of running work", fillGate, 1_000, 4_000, 16_000),
	}
}

func newStore(name string, fill func(n int) (any, error), sizes ...int) store {
	return store{
		name:  name,
		sizes: sizes,
		fill:  fill,
	}
}

func measure(w *tabwriter.Writer, s store, size int) error {
	before := heap()
	filled, err := s.fill(size)
	if err != nil {
		return fmt.Errorf("fill %s: %w", s.name, err)
	}
	bytes := heap() - before
	runtime.KeepAlive(filled)
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", s.name, size, bytes, bytes/int64(size))
	return nil
}

// heap returns the size of the live heap in bytes, after garbage collection.
func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func fillGuard(n int) (any, error) {
	return guardWith(n, 16*n*orderAnswerBytes)
}

func fillBareGuard(n int) (any, error) {
	return guardWith(n, 0)
}

func guardWith(n, answerBytes int) (any, error) {
	now := time.Now()
	g, err := ledger.NewGuard(uuid.NewString(), now, ledger.WithGuardMemory(8*n, answerBytes))
	if err != nil {
		return nil, fmt.Errorf("create guard: %w", err)
	}
	for range n {
		id := uuid.NewString()
		if err := g.Admit(now, id, g.Incarnation(now)); err != nil {
			return nil, fmt.Errorf("admit: %w", err)
		}
		g.Start(id)
		g.Finish(id, ledger.Response{
			Status: 201,
			Body:   make([]byte, orderAnswerBytes),
		})
	}
	return g, nil
}

func fillSuspects(n int) (any, error) {
	s, err := suspect.NewSet(suspect.WithSize(4 * n))
	if err != nil {
		return nil, fmt.Errorf("create set: %w", err)
	}
	now := time.Now()
	for i := range n {
		crash := suspect.Crash{
			ID: "maestro-" + strconv.Itoa(i/256),
			At: now,
		}
		s.Crashed(now, crash, []suspect.Fingerprint{suspect.Fingerprint(i)})
	}
	return s, nil
}

func fillBurn(n int) (any, error) {
	r, err := burn.New(burn.WithBound(burn.DimensionWorkspace, 4*n))
	if err != nil {
		return nil, fmt.Errorf("create recorder: %w", err)
	}
	for i := range n {
		r.Record(time.Now(), burn.Event{
			Workspace: waxwingpick.WorkspaceID(strconv.Itoa(i)),
		})
	}
	return r, nil
}

func fillTranscripts(n int) (any, error) {
	all := make([]openai.Transcript, n)
	text := string(make([]byte, textBytes))
	for i := range all {
		for range chunksPerTranscript {
			all[i].Add(openai.Chunk{
				Choices: []openai.Choice{{
					Text: &text,
				}},
			})
		}
	}
	return all, nil
}

func fillGate(n int) (any, error) {
	g, err := drain.New()
	if err != nil {
		return nil, fmt.Errorf("create gate: %w", err)
	}
	for range n {
		if err := g.Enter(time.Now(), uuid.NewString(), true); err != nil {
			return nil, fmt.Errorf("enter: %w", err)
		}
	}
	return g, nil
}
