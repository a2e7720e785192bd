package daemon

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/rs/zerolog"
)

// healthInterval is the time between checks of the view's age.
const healthInterval = 200 * time.Millisecond

// Metrics of the daemon that was created last in this operating-system process.
var (
	readyGauge  = expvar.NewInt("ready")
	currentView atomic.Pointer[view.Store]
	// currentReplica is the replica that was started last, nil after its end.
	currentReplica atomic.Pointer[replicaRole]
)

func init() {
	expvar.Publish("revision_in_force", expvar.Func(func() any {
		if v := currentView.Load(); v != nil {
			return v.Revision()
		}
		return 0
	}))
	expvar.Publish("view_age_ms", expvar.Func(func() any {
		if v := currentView.Load(); v != nil {
			if age, ok := v.Age(); ok {
				return age.Milliseconds()
			}
		}
		return -1
	}))
	expvar.Publish("group_members", expvar.Func(func() any {
		if r := currentReplica.Load(); r != nil {
			return memberRoles(r.node.Members())
		}
		return map[string]string{}
	}))
}

// memberRoles returns "voter" or "learner" by peer address.
func memberRoles(members []raft.Member) map[string]string {
	roles := make(map[string]string, len(members))
	for _, m := range members {
		roles[m.Address] = "learner"
		if m.Voter {
			roles[m.Address] = "voter"
		}
	}
	return roles
}

// health tracks the daemon's lifecycle state and serves it to the load balancer.
type health struct {
	log    zerolog.Logger
	events *timeline.Recorder
	view   *view.Store

	mu    sync.Mutex
	state lifecycle.DaemonState
}

func newHealth(log zerolog.Logger, events *timeline.Recorder, store *view.Store) *health {
	currentView.Store(store)
	return &health{log: log, events: events, view: store, state: lifecycle.DaemonStarting}
}

// fire applies a trigger to the lifecycle state. A change of state is logged, recorded as an
// event and shown in the metric.
func (h *health) fire(t lifecycle.DaemonTrigger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.state
	_ = lifecycle.Daemon.Fire(&h.state, t)
	if h.state == before {
		return
	}
	ready := int64(0)
	if h.state == lifecycle.DaemonReady {
		ready = 1
	}
	readyGauge.Set(ready)
	h.log.Info().Str("from", string(before)).Str("to", string(h.state)).Msg("process state changed")
	h.events.Add(&apiv1.Event{Kind: "process-" + string(h.state), Detail: "was " + string(before)})
}

// checkView makes the daemon ready or unready according to the age of its view.
func (h *health) checkView() {
	if h.view.Fresh() {
		h.fire(lifecycle.DaemonViewFresh)
		return
	}
	h.fire(lifecycle.DaemonViewStale)
}

// watch checks the view every healthInterval until ctx ends.
func (h *health) watch(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.fire(lifecycle.DaemonStop)
			return nil
		case <-ticker.C:
			h.checkView()
		}
	}
}

func (h *health) drain() { h.fire(lifecycle.DaemonDrain) }

func (h *health) current() lifecycle.DaemonState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// ready reports whether the daemon is ready. It checks the age of the view as well, because the
// process may have been paused since the last periodic check.
func (h *health) ready() bool { return h.current() == lifecycle.DaemonReady && h.view.Fresh() }

// handler serves /healthz, /readyz and /debug/vars.
func (h *health) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(h.current() + "\n"))
	})
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}
