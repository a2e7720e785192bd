package ingress

import (
	"expvar"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Metrics: requests refused by listener and reason, the budget and what is used of it, in bytes.
var (
	refusedCount = expvar.NewMap("ingress_refused")
	budgetGauge  = expvar.NewInt("ingress_budget_bytes")
	usedGauge    = expvar.NewInt("ingress_used_bytes")
)

// reportInterval is the least time between two log lines of the same listener and reason.
const reportInterval = 10 * time.Second

// reporter counts refusals and logs one line per listener, reason and interval.
type reporter struct {
	log zerolog.Logger

	mu      sync.Mutex
	last    map[string]time.Time
	skipped map[string]int
}

func newReporter(log zerolog.Logger) *reporter {
	return &reporter{log: log, last: make(map[string]time.Time), skipped: make(map[string]int)}
}

// refused records the refusal of a request or connection.
func (r *reporter) refused(listener, reason, client string, now time.Time) {
	key := listener + "/" + reason
	refusedCount.Add(key, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.last[key]; ok && now.Sub(last) < reportInterval {
		r.skipped[key]++
		return
	}
	r.log.Warn().Str("listener", listener).Str("reason", reason).Str("client", client).Int("more_since_last", r.skipped[key]).Msg("request outside the limits refused")
	r.last[key], r.skipped[key] = now, 0
}
