package placement

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// curve is the survival curve of a distribution: the share of runs that take longer than some ratio. Runs that were
// cut short count until then (the estimator of Kaplan and Meier).
type curve struct {
	runs, mean float64
	points     []curvePoint
}

// curvePoint is a ratio at which runs end.
type curvePoint struct {
	// at is the ratio, above the share of runs that take longer.
	at, above float64
	// rest is the integral of the curve from the ratio on.
	rest float64
}

// newCurve computes the curve of a distribution.
func newCurve(d *distribution) *curve {
	ended := d.ended.Merge().Distribution()
	var cut []hdrhistogram.Bar
	if d.cut != nil {
		cut = d.cut.Merge().Distribution()
	}
	left, last := int64(0), 0.0
	for _, b := range append(slices.Clone(ended), cut...) {
		if left += b.Count; b.Count > 0 {
			last = max(last, middle(b))
		}
	}
	c := &curve{runs: float64(left)}
	above := 1.0
	for _, b := range ended {
		for len(cut) > 0 && cut[0].From < b.From {
			left, cut = left-cut[0].Count, cut[1:]
		}
		if b.Count == 0 {
			continue
		}
		above *= 1 - float64(b.Count)/float64(left)
		left -= b.Count
		c.points = append(c.points, curvePoint{at: middle(b), above: above})
	}
	if above > 0 {
		// Runs that were cut short after the longest one that ended are taken to end at twice the longest.
		c.points = append(c.points, curvePoint{at: 2 * last})
	}
	c.integrate()
	return c
}

// middle returns the ratio in the middle of a bucket.
func middle(b hdrhistogram.Bar) float64 { return float64(b.From+b.To) / 2 / ratioUnit }

// integrate computes the integrals of all points, and the mean.
func (c *curve) integrate() {
	for i := len(c.points) - 2; i >= 0; i-- {
		next := c.points[i+1]
		c.points[i].rest = next.rest + (next.at-c.points[i].at)*c.points[i].above
	}
	c.mean = c.points[0].at + c.points[0].rest
}

// remaining returns the expected further ratio of a run that has taken a ratio already.
func (c *curve) remaining(ran float64) float64 {
	i, _ := slices.BinarySearchFunc(c.points, ran, func(p curvePoint, ran float64) int {
		if p.at <= ran {
			return -1
		}
		return 1
	})
	above, rest := 1.0, 0.0
	if i > 0 {
		above = c.points[i-1].above
	}
	if i < len(c.points) {
		rest = c.points[i].rest + (c.points[i].at-ran)*above
	}
	return (c.runs*rest + tailRuns*ran) / (c.runs*above + tailRuns)
}
