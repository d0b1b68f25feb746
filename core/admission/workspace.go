package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingpick"
)

// workspace is what is remembered of one workspace's use.
type workspace struct {
	// outstanding is the predicted service, in weighted seconds, of its waiting and running requests of each kind.
	outstanding [kinds]float64
	// running is the part of it that runs.
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

// set takes the shares and the rate of the settings; a changed share holds for workspaces that are seen anew.
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

// allow takes one request from the workspace's rate, or returns how long it has to wait.
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
