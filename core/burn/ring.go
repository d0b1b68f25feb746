package burn

import "time"

const (
	fineWidth   = time.Minute
	fineSlots   = 60
	coarseWidth = 5 * time.Minute
	coarseSlots = 72
)

// Counts holds the numbers of responses in a period.
type Counts struct {
	Good int64 `json:"good"`
	// Bad counts responses that were late, incomplete or refused.
	Bad int64 `json:"bad"`
}

// Total returns the number of all responses.
func (c Counts) Total() int64 {
	return c.Good + c.Bad
}

// BadFraction returns the fraction of bad responses, 0 if there are no responses.
func (c Counts) BadFraction() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

func (c Counts) plus(other Counts) Counts {
	return Counts{
		Good: c.Good + other.Good,
		Bad:  c.Bad + other.Bad,
	}
}

// slot is one bucket. Its index is its start time divided by the ring's width.
type slot struct {
	index     int64
	good, bad uint32
}

func (s slot) counts() Counts {
	return Counts{
		Good: int64(s.good),
		Bad:  int64(s.bad),
	}
}

// ring is a ring buffer of the newest buckets of one width.
type ring struct {
	width time.Duration
	slots []slot
}

func newRing(width time.Duration, slots int) ring {
	return ring{
		width: width,
		slots: make([]slot, slots),
	}
}

func (r ring) index(at time.Time) int64 {
	return at.UnixNano() / int64(r.width)
}

func (r ring) add(at time.Time, good bool) {
	index := r.index(at)
	s := &r.slots[index%int64(len(r.slots))]
	if s.index > index {
		// The clock was set back by more than the ring's period.
		return
	}
	if s.index < index {
		*s = slot{
			index: index,
		}
	}
	if good {
		s.good++
		return
	}
	s.bad++
}

// sum returns the counts of the window that ends now. Buckets that lie only partly in the window, at its start, are
// left out.
func (r ring) sum(now time.Time, window time.Duration) Counts {
	newest := r.index(now)
	oldest := newest - int64(window/r.width) + 1
	var total Counts
	for _, s := range r.slots {
		if s.index >= oldest && s.index <= newest {
			total = total.plus(s.counts())
		}
	}
	return total
}

// points returns the non-empty buckets, oldest first.
func (r ring) points(now time.Time) []Point {
	newest := r.index(now)
	var points []Point
	for index := newest - int64(len(r.slots)) + 1; index <= newest; index++ {
		s := r.slots[index%int64(len(r.slots))]
		if s.index != index || s.counts().Total() == 0 {
			continue
		}
		points = append(points, Point{
			Start:  time.Unix(0, index*int64(r.width)).UTC(),
			Counts: s.counts(),
		})
	}
	return points
}
