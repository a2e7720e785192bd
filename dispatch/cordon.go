package dispatch

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

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

// cordon cordons the upstream of a VM.
func (e *Engine) cordon(m VM, before map[string]cordon) {
	if _, cordoned := e.maintenance.cordoned[m.Upstream]; cordoned {
		return
	}
	c, cordoned := before[m.Upstream]
	if !cordoned {
		c = cordon{m.Name, e.places}
	}
	e.maintenance.cordoned[m.Upstream] = c
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
