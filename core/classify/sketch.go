package classify

import "math"

// sketchBuckets is the number of buckets of a sketch. With two buckets per octave the last one starts above
// 46,000 tokens.
const sketchBuckets = 32

// sketchWindow is the number of observations at which all counts are halved.
const sketchWindow = 512

// sketch is a decaying histogram of token counts with two buckets per octave.
type sketch struct {
	counts [sketchBuckets]uint16
	total  uint16
}

// add records one observation. When the window is full it halves all counts first.
func (s *sketch) add(tokens int) {
	if s.total >= sketchWindow {
		s.decay()
	}
	s.counts[bucketOf(tokens)]++
	s.total++
}

func (s *sketch) decay() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (s *sketch) quantile(q float64) int {
	rank := uint16(math.Ceil(q * float64(s.total)))
	var cumulative uint16
	for i, n := range s.counts {
		cumulative += n
		if cumulative >= rank && n > 0 {
			return bucketLimit(i)
		}
	}
	return bucketLimit(sketchBuckets - 1)
}

func bucketOf(tokens int) int {
	if tokens < 1 {
		return 0
	}
	b := int(2 * math.Log2(float64(tokens)))
	return min(b, sketchBuckets-1)
}

func bucketLimit(bucket int) int {
	return int(math.Exp2(float64(bucket+1) / 2))
}
