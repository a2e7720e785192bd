package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// maxCordonedShare is the largest share of a service's upstreams that answer to be cordoned at the same time, as long as
// a wave is in time. The others run what is moved, and new work.
const maxCordonedShare = 1.0 / 3

// cordon keeps new work off an upstream that is being drained for the maintenance of its VM.
type cordon struct {
	vm string
	// places is the number of Place commands that were proposed before.
	places int64
}

// cordoned reports whether the upstream gets no new work because of maintenance.
func (s *session) cordoned() bool {
	_, cordoned := s.e.maintenance.cordoned[s.u.GetId()]
	return cordoned
}

// renewCordons removes all cordons but those that are needed whatever the waves decide: of upstreams that don't answer,
// as their VM may be down, and of VMs whose order was not answered, which may be carried out late. It returns the
// cordons of before.
func (e *Engine) renewCordons(list []VM) map[string]cordon {
	before := e.maintenance.cordoned
	up := make(map[string]bool, len(list))
	for _, m := range list {
		up[m.Name] = m.Up
	}
	e.maintenance.cordoned = make(map[string]cordon)
	for id, c := range before {
		s := e.sessions[id]
		if s != nil && (s.phase != lifecycle.SessionOpen || !up[c.vm] || e.maintenance.unanswered[c.vm]) {
			e.maintenance.cordoned[id] = c
		}
	}
	return before
}

// cordon cordons the upstream of a VM, unless too many of its service are. The limit does not hold for a wave that
// would be late.
func (e *Engine) cordon(m VM, before map[string]cordon, late bool) bool {
	if _, cordoned := e.maintenance.cordoned[m.Upstream]; cordoned {
		return true
	}
	c, cordoned := before[m.Upstream]
	if !cordoned {
		if s := e.sessions[m.Upstream]; s != nil && !late && !e.mayCordon(s.u.GetService()) {
			return false
		}
		c = cordon{m.Name, e.places}
	}
	e.maintenance.cordoned[m.Upstream] = c
	return true
}

// mayCordon reports whether one more upstream of a service may be cordoned.
func (e *Engine) mayCordon(service string) bool {
	answer, cordoned := 0, 0
	for _, s := range e.sessions {
		if s.u.GetService() != service || s.phase != lifecycle.SessionOpen {
			continue
		}
		answer++
		if s.cordoned() {
			cordoned++
		}
	}
	return cordoned < max(1, int(maxCordonedShare*float64(answer)))
}

// placedBeforeCordon reports whether a Place command that was proposed before an upstream was cordoned may still be
// committed.
func (e *Engine) placedBeforeCordon(upstream string) bool {
	return e.placing && e.places == e.maintenance.cordoned[upstream].places
}

// isProtected reports whether a run belongs to a lasting step that limits how many of its tasks may be missing.
func isProtected(r *pipeline.Run) bool {
	spec := r.Task.Step.Spec
	return spec.GetLasting() && spec.GetMissAllowed() > 0
}

// hasPlaceElsewhere reports whether a run's task could be placed on another upstream than the one that it is on.
func (e *Engine) hasPlaceElsewhere(r *pipeline.Run, now time.Duration) bool {
	w := e.cell.Steps[r.Task.Step]
	for id, s := range e.sessions {
		denied := w != nil && w.Denied[id]
		if s.u != r.Upstream && !denied && s.usable(now) && e.state.CheckUpstream(r.Task.Step, s.u) == "" {
			return true
		}
	}
	return false
}

// mayMissAllOn reports whether the protected steps may miss all their tasks on an upstream at once.
func (e *Engine) mayMissAllOn(s *session, now time.Duration) bool {
	missing := make(map[*pipeline.Step]int)
	for _, r := range s.u.Runs {
		if isProtected(r) {
			missing[r.Task.Step]++
		}
	}
	for st, n := range missing {
		for _, t := range st.Tasks {
			if !t.RunsOn(s.u) && !e.anyWorking(t, now) {
				n++
			}
		}
		if n > int(st.Spec.GetMissAllowed()) {
			return false
		}
	}
	return true
}
