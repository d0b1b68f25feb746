package burn

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot holds the counts of one entry, or the merged counts of several.
type Snapshot struct {
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

// Series holds the counts of a class, or of one preset, target or workspace within it.
type Series struct {
	Key     SeriesKey    `json:"key"`
	Windows WindowCounts `json:"windows"`
	// Points holds the last six hours for DimensionClass.
	Points []Point `json:"points,omitempty"`
}

// WindowCounts holds the counts of the windows that end at the time of the snapshot.
type WindowCounts struct {
	FiveMinutes   Counts `json:"fiveMinutes,omitzero"`
	ThirtyMinutes Counts `json:"thirtyMinutes,omitzero"`
	OneHour       Counts `json:"oneHour,omitzero"`
	SixHours      Counts `json:"sixHours,omitzero"`
}

// Point holds the counts of one five-minute bucket.
type Point struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// Merge adds the snapshots of different entries.
func Merge(snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	sums := make(map[SeriesKey]Series)
	for _, snapshot := range snapshots {
		if snapshot.At.After(merged.At) {
			merged.At = snapshot.At
		}
		for _, s := range snapshot.Series {
			sums[s.Key] = s.plus(sums[s.Key])
		}
	}
	for _, s := range sums {
		merged.Series = append(merged.Series, s)
	}
	merged.sort()
	return merged
}

// Worst returns a reduced snapshot. It has all counts of the classes. Of each other dimension it has the names with the
// most bad responses in the last hour, at most count of them, and only the counts of that hour. If more names have bad
// responses, the merged counts of several entries are too low for names that an entry left out.
func (s Snapshot) Worst(count int) Snapshot {
	reduced := Snapshot{
		At: s.At,
	}
	var named []Series
	for _, series := range s.Series {
		switch {
		case series.Key.Dimension == DimensionClass:
			reduced.Series = append(reduced.Series, series)
		case series.Windows.OneHour.Bad > 0:
			named = append(named, series.lastHour())
		}
	}
	slices.SortFunc(named, func(a, b Series) int {
		return cmp.Or(cmp.Compare(b.Windows.OneHour.Bad, a.Windows.OneHour.Bad), a.Key.compare(b.Key))
	})
	numNames := make(map[Dimension]int)
	for _, series := range named {
		if numNames[series.Key.Dimension] < count {
			numNames[series.Key.Dimension]++
			reduced.Series = append(reduced.Series, series)
		}
	}
	reduced.sort()
	return reduced
}

// WithoutPoints returns the snapshot without the points of the last six hours.
func (s Snapshot) WithoutPoints() Snapshot {
	reduced := Snapshot{
		At:     s.At,
		Series: slices.Clone(s.Series),
	}
	for i := range reduced.Series {
		reduced.Series[i].Points = nil
	}
	return reduced
}

// lastHour returns the series with the counts of the last hour only.
func (s Series) lastHour() Series {
	return Series{
		Key: s.Key,
		Windows: WindowCounts{
			OneHour: s.Windows.OneHour,
		},
	}
}

func (s Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int {
		return a.Key.compare(b.Key)
	})
}

func (s Series) plus(other Series) Series {
	return Series{
		Key: s.Key,
		Windows: WindowCounts{
			FiveMinutes:   s.Windows.FiveMinutes.plus(other.Windows.FiveMinutes),
			ThirtyMinutes: s.Windows.ThirtyMinutes.plus(other.Windows.ThirtyMinutes),
			OneHour:       s.Windows.OneHour.plus(other.Windows.OneHour),
			SixHours:      s.Windows.SixHours.plus(other.Windows.SixHours),
		},
		Points: mergePoints(s.Points, other.Points),
	}
}

// mergePoints adds points with the same start. The buckets of all entries have the same alignment.
func mergePoints(a, b []Point) []Point {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(a, b Point) int {
		return a.Start.Compare(b.Start)
	})
	var merged []Point
	for _, p := range all {
		last := len(merged) - 1
		if last >= 0 && merged[last].Start.Equal(p.Start) {
			merged[last].Counts = merged[last].Counts.plus(p.Counts)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

func (k SeriesKey) compare(other SeriesKey) int {
	return cmp.Or(
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Dimension, other.Dimension),
		cmp.Compare(k.Name, other.Name),
	)
}

func (k SeriesKey) before(other SeriesKey) bool {
	return k.compare(other) < 0
}
