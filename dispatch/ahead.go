package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// aheadTime is how long before a step's expected end the permits of the next step are asked
// for. Tickets live for 2 to 2.5 s, a question for a small step takes about 60 ms.
const aheadTime = time.Second

// askAhead asks for the permits of steps whose turn or due time comes soon, so that they start without
// waiting for the answer. Costly questions are left until the step's turn: declared run times
// of large jobs are too far off to hit the life of a ticket.
func (r *round) askAhead() {
	for _, w := range r.e.steps {
		q := r.e.state.Terms(w.step.Job())
		if q.GetPermits() != nil && r.dueSoon(w.step.Occurrence, aheadTime) && !w.hasTicket(r.now) {
			r.askFor(demand{work: w, tasks: w.waiting(), queue: q, urgency: r.urgency(w.step)})
		}
		if q.GetPermits() == nil || costMS(q.GetPermits(), minAsked) > costlyMS || !r.endsSoon(w.step) {
			continue
		}
		for _, next := range w.step.Occurrence.Steps {
			// A gang would hold room long before it can use it.
			if r.isNext(next, w.step) && !next.Spec.GetGang() {
				r.askForNext(next, q)
			}
		}
	}
}

// endsSoon reports whether all tasks of a step are placed or done and its end is near.
func (r *round) endsSoon(st *pipeline.Step) bool {
	if st.Spec.GetLasting() {
		return false
	}
	last := int64(0)
	for _, t := range st.Tasks {
		if t.Waiting() {
			return false
		}
		for _, run := range t.Live {
			last = max(last, run.PlacedNS)
		}
	}
	return time.Duration(r.wall-last) >= r.e.learner.expected(st)-aheadTime
}

// isNext reports whether a step waits for nothing but another one.
func (r *round) isNext(next, before *pipeline.Step) bool {
	waits := false
	for _, i := range next.Spec.GetDependsOn() {
		d := next.Occurrence.Steps[i]
		waits = waits || d == before
		if d != before && d.Undone > 0 {
			return false
		}
	}
	return waits
}

func (r *round) askForNext(next *pipeline.Step, q *pipelinev1.Queue) {
	w := r.e.ahead[next]
	if w == nil {
		w = newStepWork(next, r.now)
		r.e.ahead[next] = w
	}
	if w.hasTicket(r.now) {
		return
	}
	r.askFor(demand{work: w, tasks: w.waiting(), queue: q, urgency: r.urgency(next)})
}

// hasTicket reports whether any ticket of the step is still valid.
func (w *stepWork) hasTicket(now time.Duration) bool {
	for _, p := range w.permits {
		if now < p.expires {
			return true
		}
	}
	return false
}
