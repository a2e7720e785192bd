package placement

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
	for _, w := range r.Steps {
		q := r.State.JobQueue(w.Step.Job())
		if q.GetPermits() != nil && r.dueSoon(w.Step.Occurrence, prefetchTime) && !w.hasTicket(r.Now) {
			out = append(out, r.prefetchDemand(w, q))
		}
		if q.GetPermits() == nil || isCostly(q.GetPermits()) || !r.endsSoon(w.Step) {
			continue
		}
		for _, next := range w.Step.Occurrence.Steps {
			// Prefetching for a gang would reserve capacity long before the gang can use it.
			if !r.waitsOnlyFor(next, w.Step) || next.Spec.GetGang() {
				continue
			}
			if w := r.prefetchedWork(next); !w.hasTicket(r.Now) {
				out = append(out, r.prefetchDemand(w, q))
			}
		}
	}
	return out
}

// prefetchDemand returns the demand of a step that is not ready yet.
func (r *round) prefetchDemand(w *Work, q *pipelinev1.Queue) demand {
	d := demand{work: w, tasks: w.Waiting(), queue: q, urgency: r.urgencyOf(w.Step)}
	r.assessOne(&d)
	return d
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
	return time.Duration(r.WallNS-last) >= r.Learner.Expected(st)-prefetchTime
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

// prefetchedWork returns what is known of a step whose predecessor still runs, adding it if there
// is nothing yet.
func (r *round) prefetchedWork(next *pipeline.Step) *Work {
	w := r.Prefetched[next]
	if w == nil {
		w = NewWork(next, r.Now)
		r.Prefetched[next] = w
	}
	return w
}
