package engine

import (
	"time"

	"waxwingpick"
)

const maxLoadSamples = 4096

type loadSample struct {
	at   time.Time
	load waxwingpick.EngineLoad
}

// sampleLoad keeps the present load, so that a lagging report can be given.
func (e *Engine) sampleLoad(now time.Time) {
	load := waxwingpick.EngineLoad{
		Running:                len(e.running),
		Waiting:                len(e.waiting),
		PiecesUsed:             e.used,
		PiecesTotal:            e.cfg.pieces,
		PrefillTokensPerSecond: rate(e.cfg.prefillToken),
		DecodeTokensPerSecond:  rate(e.cfg.decodeToken),
	}
	e.loads = append(e.loads, loadSample{
		at:   now,
		load: load,
	})
	cut := now.Add(-e.faults.LoadLag.Std())
	first := 0
	for first+1 < len(e.loads) && (!e.loads[first+1].at.After(cut) || len(e.loads)-first > maxLoadSamples) {
		first++
	}
	e.loads = e.loads[first:]
}

// Load returns the load as it was one lag ago.
func (e *Engine) Load() waxwingpick.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	cut := now.Add(-e.faults.LoadLag.Std())
	at := e.loads[0]
	for _, s := range e.loads {
		if s.at.After(cut) {
			break
		}
		at = s
	}
	load := at.load
	load.AgeMillis = e.faults.LoadLag.Std().Milliseconds()
	return load
}

func rate(perToken time.Duration) float64 {
	if perToken <= 0 {
		return 0
	}
	return float64(time.Second) / float64(perToken)
}
