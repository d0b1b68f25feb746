package burn

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what one entry counted, or several together.
type Snapshot struct {
	At     time.Time `json:"at"`
	Series []Series  `json:"series"`
}

// Series holds the counts of one class, or of one preset, target or workspace in it.
type Series struct {
	Key     SeriesKey    `json:"key"`
	Windows WindowCounts `json:"windows"`
	// Points holds the last six hours of a class as a whole.
	Points []Point `json:"points,omitempty"`
}

// WindowCounts holds the counts of the windows that end with the snapshot.
type WindowCounts struct {
	FiveMinutes   Counts `json:"fiveMinutes,omitzero"`
	ThirtyMinutes Counts `json:"thirtyMinutes,omitzero"`
	OneHour       Counts `json:"oneHour,omitzero"`
	SixHours      Counts `json:"sixHours,omitzero"`
}

// Point holds the counts of five minutes.
type Point struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// Merge returns the sum of the snapshots of different entries.
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

// Worst returns the snapshot with the classes whole and of each other dimension only the names with the most bad
// answers in the last hour, at most count of them and only that hour. Where more names have bad answers than count, the
// sum over several entries falls short of those that an entry left out.
func (s Snapshot) Worst(count int) Snapshot {
	kept := Snapshot{
		At: s.At,
	}
	var named []Series
	for _, series := range s.Series {
		switch {
		case series.Key.Dimension == DimensionClass:
			kept.Series = append(kept.Series, series)
		case series.Windows.OneHour.Bad > 0:
			named = append(named, series.lastHour())
		}
	}
	slices.SortFunc(named, func(a, b Series) int {
		return cmp.Or(cmp.Compare(b.Windows.OneHour.Bad, a.Windows.OneHour.Bad), a.Key.compare(b.Key))
	})
	taken := make(map[Dimension]int)
	for _, series := range named {
		if taken[series.Key.Dimension] < count {
			taken[series.Key.Dimension]++
			kept.Series = append(kept.Series, series)
		}
	}
	kept.sort()
	return kept
}

// WithoutPoints returns the snapshot without the course of the last six hours.
func (s Snapshot) WithoutPoints() Snapshot {
	kept := Snapshot{
		At:     s.At,
		Series: slices.Clone(s.Series),
	}
	for i := range kept.Series {
		kept.Series[i].Points = nil
	}
	return kept
}

// lastHour returns the series with the counts of the last hour alone.
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

// mergePoints adds points of the same five minutes; clocks of entries share the same alignment.
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
