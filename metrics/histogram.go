// Package metrics publishes histograms of durations as expvar variables.
//
//	var commitTime = metrics.NewHistogram("commit_time")
//	commitTime.Record(time.Since(began))
package metrics

import (
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// shortest and longest bound the recorded durations; those outside count as the bound.
	shortest = time.Microsecond
	longest  = 24 * time.Hour
	// significantFigures is the precision of a recorded duration, in decimal digits.
	significantFigures = 2
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns a histogram published under name. It panics if an expvar variable of that
// name exists.
func NewHistogram(name string) *Histogram {
	h := &Histogram{counts: hdrhistogram.New(int64(shortest/time.Microsecond), int64(longest/time.Microsecond), significantFigures)}
	expvar.Publish(name, h)
	return h
}

// Record counts one duration; one below 1 µs counts as 1 µs, one above 24 h as 24 h.
func (h *Histogram) Record(d time.Duration) {
	us := int64(min(max(d, shortest), longest) / time.Microsecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(us)
}

// Quantile returns the duration that q percent of the recorded durations, q from 0 to 100, do not
// exceed. It is precise to two significant digits.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(q)) * time.Microsecond
}

// String implements expvar.Var. It returns a JSON object with the count, and with the mean, the
// 50th, 90th and 99th percentile and the maximum in milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return fmt.Sprintf(`{"count":%d,"mean_ms":%.3f,"p50_ms":%.3f,"p90_ms":%.3f,"p99_ms":%.3f,"max_ms":%.3f}`,
		h.counts.TotalCount(), h.counts.Mean()/1000, ms(h.counts.ValueAtQuantile(50)),
		ms(h.counts.ValueAtQuantile(90)), ms(h.counts.ValueAtQuantile(99)), ms(h.counts.Max()))
}
