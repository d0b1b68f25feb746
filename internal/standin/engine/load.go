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

// sampleLoad records the current load, so that Load can return it after the lag.
func (e *Engine) sampleLoad(now time.Time) {
	load := waxwingpick.EngineLoad{
		Running:                len(e.running),
		Waiting:                len(e.waiting),
		KVBlocksUsed:           e.usedBlocks,
		KVBlocksTotal:          e.cfg.kvBlocks,
		PrefillTokensPerSecond: rate(e.cfg.prefillToken),
		DecodeTokensPerSecond:  rate(e.cfg.decodeToken),
	}
	e.loadSamples = append(e.loadSamples, loadSample{
		at:   now,
		load: load,
	})
	cutoff := now.Add(-e.faults.LoadLag.Std())
	first := 0
	for first+1 < len(e.loadSamples) && (!e.loadSamples[first+1].at.After(cutoff) || len(e.loadSamples)-first > maxLoadSamples) {
		first++
	}
	e.loadSamples = e.loadSamples[first:]
}

// Load returns the load report, which is as old as the lag.
func (e *Engine) Load() waxwingpick.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	cutoff := now.Add(-e.faults.LoadLag.Std())
	at := e.loadSamples[0]
	for _, s := range e.loadSamples {
		if s.at.After(cutoff) {
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
