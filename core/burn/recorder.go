package burn

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	recorderShards = 16

	defaultPresets    = 16
	defaultTargets    = 256
	defaultWorkspaces = 128
)

// Dimension tells what a series counts apart.
type Dimension string

// The dimensions of series.
const (
	// DimensionClass is a class as a whole.
	DimensionClass     Dimension = "class"
	DimensionPreset    Dimension = "preset"
	DimensionTarget    Dimension = "target"
	DimensionWorkspace Dimension = "workspace"
)

// SeriesKey names a series.
type SeriesKey struct {
	Class     waxwingpick.Class `json:"class"`
	Dimension Dimension         `json:"dimension"`
	// Name is the preset, target or workspace; empty for a class as a whole.
	Name string `json:"name,omitempty"`
}

// Event is one answer, or the lack of one.
type Event struct {
	Class     waxwingpick.Class
	Preset    string
	Target    waxwingpick.TargetID
	Workspace waxwingpick.WorkspaceID
	// Good says that the whole answer came in time.
	Good bool
}

// Recorder counts the answers of one entry; it is safe for concurrent use.
type Recorder struct {
	bounds map[Dimension]int
	shards [recorderShards]recorderShard
}

// recorderShard holds the series of one part of the names of each dimension.
type recorderShard struct {
	mu     sync.Mutex
	series map[SeriesKey]*series
	held   map[Dimension]int
}

type series struct {
	fine   ring
	coarse ring
}

// Option changes a recorder.
type Option func(*Recorder) error

// WithBound bounds the series of a dimension; those with the fewest bad answers make room.
func WithBound(dimension Dimension, count int) Option {
	return func(r *Recorder) error {
		if _, ok := r.bounds[dimension]; !ok || count < recorderShards {
			return eris.Errorf("bound of %d on dimension %q: want preset, target or workspace and at least %d", count, dimension, recorderShards)
		}
		r.bounds[dimension] = count
		return nil
	}
}

// New returns a recorder without counts.
func New(opts ...Option) (*Recorder, error) {
	r := &Recorder{
		bounds: map[Dimension]int{
			DimensionPreset:    defaultPresets,
			DimensionTarget:    defaultTargets,
			DimensionWorkspace: defaultWorkspaces,
		},
	}
	for _, opt := range opts {
		if err := opt(r); err != nil {
			return nil, fmt.Errorf("recorder option: %w", err)
		}
	}
	for i := range r.shards {
		r.shards[i].series = make(map[SeriesKey]*series)
		r.shards[i].held = make(map[Dimension]int)
	}
	return r, nil
}

// Record counts an event. Targets and workspaces are counted from their first bad answer on, so that good ones cost nothing.
func (r *Recorder) Record(now time.Time, e Event) {
	r.add(now, e, DimensionClass, "")
	r.add(now, e, DimensionPreset, e.Preset)
	r.add(now, e, DimensionTarget, string(e.Target))
	r.add(now, e, DimensionWorkspace, string(e.Workspace))
}

func (r *Recorder) add(now time.Time, e Event, dimension Dimension, name string) {
	if name == "" && dimension != DimensionClass {
		return
	}
	key := SeriesKey{
		Class:     e.Class,
		Dimension: dimension,
		Name:      name,
	}
	shard := &r.shards[xxhash.Sum64String(name)%recorderShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s, ok := shard.series[key]
	if !ok {
		if e.Good && (dimension == DimensionTarget || dimension == DimensionWorkspace) {
			return
		}
		s = shard.open(now, key, r.bounds[dimension]/recorderShards)
	}
	s.fine.add(now, e.Good)
	s.coarse.add(now, e.Good)
}

// open adds a series and drops the one with the fewest bad answers where the dimension is full.
func (s *recorderShard) open(now time.Time, key SeriesKey, bound int) *series {
	if key.Dimension != DimensionClass && s.held[key.Dimension] >= bound*len(waxwingpick.Classes()) {
		s.drop(now, key.Dimension)
	}
	opened := &series{
		fine:   newRing(fineWidth, fineSlots),
		coarse: newRing(coarseWidth, coarseSlots),
	}
	s.series[key] = opened
	s.held[key.Dimension]++
	return opened
}

func (s *recorderShard) drop(now time.Time, dimension Dimension) {
	var least SeriesKey
	fewest := int64(-1)
	for key, candidate := range s.series {
		if key.Dimension != dimension {
			continue
		}
		bad := candidate.coarse.sum(now, coarseSlots*coarseWidth).Bad
		if fewest < 0 || bad < fewest || bad == fewest && key.before(least) {
			fewest = bad
			least = key
		}
	}
	if fewest >= 0 {
		delete(s.series, least)
		s.held[dimension]--
	}
}

// Snapshot returns the counts of every window.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		At: now,
	}
	for i := range r.shards {
		snapshot.Series = append(snapshot.Series, r.shards[i].snapshot(now)...)
	}
	snapshot.sort()
	return snapshot
}

func (s *recorderShard) snapshot(now time.Time) []Series {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Series
	for key, counted := range s.series {
		one := Series{
			Key:     key,
			Windows: counted.windows(now),
		}
		if key.Dimension == DimensionClass {
			one.Points = counted.coarse.points(now)
		}
		all = append(all, one)
	}
	return all
}

func (s *series) windows(now time.Time) WindowCounts {
	return WindowCounts{
		FiveMinutes:   s.fine.sum(now, 5*time.Minute),
		ThirtyMinutes: s.fine.sum(now, 30*time.Minute),
		OneHour:       s.fine.sum(now, time.Hour),
		SixHours:      s.coarse.sum(now, 6*time.Hour),
	}
}
