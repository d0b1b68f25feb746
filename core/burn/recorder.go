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

// Dimension is the attribute by which a series groups responses.
type Dimension string

// The dimensions of series.
const (
	// DimensionClass groups by class only.
	DimensionClass     Dimension = "class"
	DimensionPreset    Dimension = "preset"
	DimensionTarget    Dimension = "target"
	DimensionWorkspace Dimension = "workspace"
)

// SeriesKey identifies a series.
type SeriesKey struct {
	Class     waxwingpick.Class `json:"class"`
	Dimension Dimension         `json:"dimension"`
	// Name is the preset, target or workspace. It is empty for DimensionClass.
	Name string `json:"name,omitempty"`
}

// Event is the outcome of one request, with or without a response.
type Event struct {
	Class     waxwingpick.Class
	Preset    string
	Target    waxwingpick.TargetID
	Workspace waxwingpick.WorkspaceID
	// Good is set if the response was complete and in time.
	Good bool
}

// Recorder counts the responses of one entry. It is safe for concurrent use.
type Recorder struct {
	bounds map[Dimension]int
	shards [recorderShards]recorderShard
}

// recorderShard holds the series of the names that hash to it.
type recorderShard struct {
	mu        sync.Mutex
	series    map[SeriesKey]*series
	numSeries map[Dimension]int
}

type series struct {
	fine   ring
	coarse ring
}

// Option configures a Recorder.
type Option func(*Recorder) error

// WithBound bounds the number of names of a dimension. The series with the fewest bad responses are evicted first.
func WithBound(dimension Dimension, count int) Option {
	return func(r *Recorder) error {
		if _, ok := r.bounds[dimension]; !ok || count < recorderShards {
			return eris.Errorf("bound of %d on dimension %q: want preset, target or workspace and at least %d", count, dimension, recorderShards)
		}
		r.bounds[dimension] = count
		return nil
	}
}

// New returns a Recorder without counts. It fails if an option is out of bounds.
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
		r.shards[i].numSeries = make(map[Dimension]int)
	}
	return r, nil
}

// Record counts an event. Targets and workspaces are counted from their first bad response on, so that those without
// bad responses use no memory.
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

// open adds a series. If the dimension is full it first evicts the series with the fewest bad responses.
func (s *recorderShard) open(now time.Time, key SeriesKey, bound int) *series {
	if key.Dimension != DimensionClass && s.numSeries[key.Dimension] >= bound*len(waxwingpick.Classes()) {
		s.evict(now, key.Dimension)
	}
	opened := &series{
		fine:   newRing(fineWidth, fineSlots),
		coarse: newRing(coarseWidth, coarseSlots),
	}
	s.series[key] = opened
	s.numSeries[key.Dimension]++
	return opened
}

func (s *recorderShard) evict(now time.Time, dimension Dimension) {
	var evicted SeriesKey
	fewest := int64(-1)
	for key, candidate := range s.series {
		if key.Dimension != dimension {
			continue
		}
		bad := candidate.coarse.sum(now, coarseSlots*coarseWidth).Bad
		if fewest < 0 || bad < fewest || bad == fewest && key.before(evicted) {
			fewest = bad
			evicted = key
		}
	}
	if fewest >= 0 {
		delete(s.series, evicted)
		s.numSeries[dimension]--
	}
}

// Snapshot returns the counts of all windows that end now.
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
