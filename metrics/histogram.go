// Package metrics publishes histograms of durations by expvar.
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
	// shortest and longest bound what is told apart; longer durations count as longest.
	shortest = time.Microsecond
	longest  = 24 * time.Hour
	// significantFigures is the precision of a recorded duration.
	significantFigures = 2
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns a histogram published under name, which must be unique.
func NewHistogram(name string) *Histogram {
	h := &Histogram{counts: hdrhistogram.New(int64(shortest/time.Microsecond), int64(longest/time.Microsecond), significantFigures)}
	expvar.Publish(name, h)
	return h
}

// Record counts one duration.
func (h *Histogram) Record(d time.Duration) {
	us := int64(min(max(d, shortest), longest) / time.Microsecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(us)
}

// Quantile returns the duration that a share of the records, 0 to 100, does not exceed.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(q)) * time.Microsecond
}

// String implements expvar.Var: a JSON object with the count and quantiles in milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return fmt.Sprintf(`{"count":%d,"mean_ms":%.3f,"p50_ms":%.3f,"p90_ms":%.3f,"p99_ms":%.3f,"max_ms":%.3f}`,
		h.counts.TotalCount(), h.counts.Mean()/1000, ms(h.counts.ValueAtQuantile(50)),
		ms(h.counts.ValueAtQuantile(90)), ms(h.counts.ValueAtQuantile(99)), ms(h.counts.Max()))
}
