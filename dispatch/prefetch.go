package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// prefetchTime is how long before the expected end of a step, or the due time of an occurrence,
// the permits for what follows are requested. Tickets are valid for 2 to 2.5 s; a question for a
// small step takes about 60 ms.
const prefetchTime = time.Second

// prefetchDemands returns the steps that become ready or due soon, so that they start without
// waiting for the answer of the permit service. Costly questions are asked only when the step is
// ready: the declared run times of large jobs are too inaccurate to predict the start within the
// validity of a ticket.
func (r *round) prefetchDemands() (out []demand) {
	for _, w := range r.e.steps {
		q := r.e.state.JobQueue(w.step.Job())
		if q.GetPermits() != nil && r.dueSoon(w.step.Occurrence, prefetchTime) && !w.hasTicket(r.now) {
			out = append(out, r.prefetchDemand(w, q))
		}
		if q.GetPermits() == nil || isCostly(q.GetPermits()) || !r.endsSoon(w.step) {
			continue
		}
		for _, next := range w.step.Occurrence.Steps {
			// Prefetching for a gang would reserve capacity long before the gang can use it.
			if !r.waitsOnlyFor(next, w.step) || next.Spec.GetGang() {
				continue
			}
			if w := r.prefetchedWork(next); !w.hasTicket(r.now) {
				out = append(out, r.prefetchDemand(w, q))
			}
		}
	}
	return out
}

// prefetchDemand returns the demand of a step that is not ready yet.
func (r *round) prefetchDemand(w *stepWork, q *pipelinev1.Queue) demand {
	return demand{work: w, tasks: w.waiting(), queue: q, urgency: r.urgency(w.step)}
}

// endsSoon reports whether all tasks of a step are placed or done and the expected end of the
// step is near.
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
	return time.Duration(r.wall-last) >= r.e.learner.expected(st)-prefetchTime
}

// waitsOnlyFor reports whether a step depends on an unfinished step `before` and on no other
// unfinished step.
func (r *round) waitsOnlyFor(next, before *pipeline.Step) bool {
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

// prefetchedWork returns the state kept for a step whose predecessor still runs, adding it if there
// is none.
func (r *round) prefetchedWork(next *pipeline.Step) *stepWork {
	w := r.e.prefetched[next]
	if w == nil {
		w = newStepWork(next, r.now)
		r.e.prefetched[next] = w
	}
	return w
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
