package daemon

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
)

// staleView is how long an entry works without hearing of a quorum-backed leader.
const staleView = 3 * time.Second

var (
	revisionInForce = expvar.NewInt("revision_in_force")
	readyGauge      = expvar.NewInt("ready")
)

// health follows the daemon's lifecycle and serves it to the balancer.
type health struct {
	mu       sync.Mutex
	name     string
	state    lifecycle.DaemonState
	viewSeen time.Time
	revision uint64
}

func newHealth(name string) *health {
	return &health{name: name, state: lifecycle.DaemonStarting}
}

func (h *health) fire(t lifecycle.DaemonTrigger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = lifecycle.Daemon.Fire(&h.state, t)
	readyGauge.Set(0)
	if h.state == lifecycle.DaemonReady {
		readyGauge.Set(1)
	}
}

// viewFresh records that a quorum-backed leader confirmed a revision.
func (h *health) viewFresh(revision uint64, at time.Time) {
	h.mu.Lock()
	h.viewSeen, h.revision = at, revision
	h.mu.Unlock()
	revisionInForce.Set(int64(revision))
	h.fire(lifecycle.DaemonViewFresh)
}

// checkView turns the daemon unready when its view has grown stale.
func (h *health) checkView(now time.Time) {
	h.mu.Lock()
	stale := now.Sub(h.viewSeen) > staleView
	h.mu.Unlock()
	if stale {
		h.fire(lifecycle.DaemonViewStale)
	}
}

func (h *health) drain() { h.fire(lifecycle.DaemonDrain) }

func (h *health) ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == lifecycle.DaemonReady
}

// handler serves /healthz, /readyz and /debug/vars.
func (h *health) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		state := h.state
		h.mu.Unlock()
		if state != lifecycle.DaemonReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(state + "\n"))
	})
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}
