package dispatch

import (
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// learnRunTime records how long a run took, if this leader knows when it started. A run that was stopped because
// its task was done would have taken longer.
func (s *session) learnRunTime(r *pipeline.Run, kind pipelinev1.EndKind) {
	at, answered := s.answeredAt[r.Key()]
	if !answered || s.adopted[r.Key()] {
		return
	}
	switch {
	case kind == pipelinev1.EndKind_END_KIND_DONE:
		s.e.cell.Learner.RecordRun(r, s.e.now()-at, s.e.work(r.Task.Step))
	case kind == pipelinev1.EndKind_END_KIND_STOPPED && r.Task.Done:
		s.e.cell.Learner.RecordCut(r, s.e.now()-at)
	}
}
