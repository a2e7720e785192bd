package entry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics of all entries in the process.
var (
	// calls counts calls by method and outcome, e.g. "submit.accepted".
	calls = expvar.NewMap("entry_calls")
	// shedCalls counts calls refused for overload by class; those over a team's limits count
	// as "team".
	shedCalls = expvar.NewMap("entry_shed")
	// latencies holds the durations of calls by method.
	latencies = newLatencyMap("entry_latency_us")
)

const (
	histogramMaxUS  = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 2
)

// latencyMap holds one histogram per method.
type latencyMap struct {
	mu      sync.Mutex
	methods map[string]*hdrhistogram.Histogram
}

func newLatencyMap(name string) *latencyMap {
	m := &latencyMap{methods: make(map[string]*hdrhistogram.Histogram)}
	expvar.Publish(name, expvar.Func(func() any { return m.summary() }))
	return m
}

// record adds the duration of one call; durations above one minute count as one minute.
func (m *latencyMap) record(method string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.methods[method]
	if h == nil {
		h = hdrhistogram.New(1, histogramMaxUS, histogramDigits)
		m.methods[method] = h
	}
	_ = h.RecordValue(min(d.Microseconds(), histogramMaxUS))
}

// Summary describes a histogram of durations.
type Summary struct {
	// Count is the number of recorded durations.
	Count int64 `json:"count"`
	// P50, P90 and P99 are the 50th, 90th and 99th percentile in microseconds.
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	// Max is the longest duration in microseconds.
	Max int64 `json:"max"`
}

func (m *latencyMap) summary() map[string]Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Summary, len(m.methods))
	for method, h := range m.methods {
		out[method] = Summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
			P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return out
}
