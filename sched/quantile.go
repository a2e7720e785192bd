package sched

import "math"

const (
	// histogramBuckets is the number of logarithmic buckets of a histogram.
	histogramBuckets = 48
	// histogramDecay is the number of samples at which all counts are halved, so that old
	// samples lose weight.
	histogramDecay = 2048
)

// histogram counts samples in logarithmic buckets. The zero value is empty.
type histogram struct {
	counts [histogramBuckets]uint16
	total  uint32
}

// scale maps values to buckets: the upper bound of bucket i is first * step^i.
type scale struct {
	first, step float64
	ends        [histogramBuckets]float64
}

// newScale returns a scale with the given first upper bound and step factor.
func newScale(first, step float64) *scale {
	s := &scale{first: first, step: step}
	for i := range s.ends {
		s.ends[i] = first * math.Pow(step, float64(i))
	}
	return s
}

var (
	// ratioScale is for use divided by the declared amount, from 1/10 to about 9.
	ratioScale = newScale(0.1, 1.1)
	// runScale is for run times divided by the declared run time, from 1/50 to about 100.
	runScale = newScale(0.02, 1.2)
	// secondsScale is for run times in seconds, from 50 ms to about 4 days.
	secondsScale = newScale(0.05, 1.4)
)

// bucket returns the bucket of a value. Values above the scale go to the last bucket.
func (s *scale) bucket(value float64) uint8 {
	if value <= s.first {
		return 0
	}
	return uint8(min(histogramBuckets-1, math.Ceil(math.Log(value/s.first)/math.Log(s.step))))
}

// upper returns the largest value of a bucket.
func (s *scale) upper(bucket int) float64 { return s.ends[bucket] }

// add counts a sample and halves the histogram when it has histogramDecay samples.
func (h *histogram) add(bucket uint8) {
	h.counts[bucket]++
	h.total++
	if h.total >= histogramDecay {
		h.halve()
	}
}

// move changes the bucket of an earlier sample. It does nothing if halving has removed
// the sample.
func (h *histogram) move(from, to uint8) {
	if h.counts[from] > 0 {
		h.counts[from]--
		h.counts[to]++
	}
}

// halve halves all counts, rounding down.
func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint32(h.counts[i])
	}
}

// quantile returns the bucket that contains the q-quantile of the samples in bucket from
// and later; ok is false if there are no such samples.
func (h *histogram) quantile(q float64, from uint8) (bucket int, ok bool) {
	total := uint32(0)
	for _, n := range h.counts[from:] {
		total += uint32(n)
	}
	if total == 0 {
		return 0, false
	}
	rank := uint32(math.Ceil(q * float64(total)))
	for i := int(from); i < histogramBuckets; i++ {
		n := uint32(h.counts[i])
		if n >= rank {
			return i, true
		}
		rank -= n
	}
	return histogramBuckets - 1, true
}
