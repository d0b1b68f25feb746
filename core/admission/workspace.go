package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

// workspace is the tracked usage of one workspace.
type workspace struct {
	// outstanding is the predicted service of queued and running requests by kind, in weighted seconds.
	outstanding [kinds]float64
	// running is the part of outstanding that is running.
	running [kinds]float64
	weight  float64
	// rateAt is the theoretical arrival time of the generic cell rate algorithm.
	rateAt time.Time
}

type workspaces struct {
	lru    *simplelru.LRU[waxwingpick.WorkspaceID, *workspace]
	weight func(workspace string) float64
	period time.Duration
	burst  time.Duration
}

func newWorkspaces(s settings) (*workspaces, error) {
	l, err := simplelru.NewLRU[waxwingpick.WorkspaceID, *workspace](s.workspaces, nil)
	if err != nil {
		return nil, err
	}
	w := &workspaces{
		lru: l,
	}
	w.set(s)
	return w, nil
}

// set applies the weights and the rate of the settings. A changed weight only applies to workspaces not tracked yet.
func (w *workspaces) set(s settings) {
	w.weight = s.weight
	w.period, w.burst = 0, 0
	if s.ratePerSecond > 0 {
		w.period = time.Duration(float64(time.Second) / s.ratePerSecond)
		w.burst = time.Duration(s.rateBurst-1) * w.period
	}
}

func (w *workspaces) get(id waxwingpick.WorkspaceID) *workspace {
	if ws, ok := w.lru.Get(id); ok {
		return ws
	}
	ws := &workspace{
		weight: w.weightOf(id),
	}
	w.lru.Add(id, ws)
	return ws
}

func (w *workspaces) weightOf(id waxwingpick.WorkspaceID) float64 {
	if w.weight == nil {
		return defaultFairnessWeight
	}
	if weight := w.weight(string(id)); weight > 0 {
		return weight
	}
	return defaultFairnessWeight
}

// allow counts one request against the workspace's rate, or returns the time to wait if the rate is exceeded.
func (w *workspaces) allow(now time.Time, ws *workspace) (time.Duration, bool) {
	if w.period == 0 {
		return 0, true
	}
	earliest := ws.rateAt.Add(-w.burst)
	if now.Before(earliest) {
		return earliest.Sub(now), false
	}
	if ws.rateAt.Before(now) {
		ws.rateAt = now
	}
	ws.rateAt = ws.rateAt.Add(w.period)
	return 0, true
}
