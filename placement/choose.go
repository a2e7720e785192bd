package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// slowPenalty is the weight of an upstream's slowness against its free share when an upstream is
// chosen.
const slowPenalty = 0.5

// shareAfter is the time for which a step that interferes with tasks on other upstreams looks for a place of its own. Users
// expect work to start within three seconds where there is capacity.
const shareAfter = time.Second

// packedTasks is the number of tasks of a step that an upstream should have capacity for. More
// capacity makes it no better: it would be taken from gangs and large tasks, which need it in one piece.
const packedTasks = 4

// candidates returns the upstreams that may run the step now: those with a valid ticket, or all
// where no permit is needed.
func (r *round) candidates(d demand) []*Upstream {
	var out []*Upstream
	if d.queue.GetPermits() == nil {
		for _, u := range r.usableFor(d) {
			if r.fits(d.work, u) {
				out = append(out, u)
			}
		}
		return out
	}
	if d.work.ticketless {
		return nil
	}
	r.out.Inspected += len(d.work.Permits)
	valid := false
	for id, p := range d.work.Permits {
		valid = valid || r.Now < p.Expires
		if u := r.byID[id]; u != nil && d.work.hasPermit(u, r.Now) && r.fits(d.work, u) {
			out = append(out, u)
		}
	}
	d.work.ticketless = !valid && len(d.work.Pending) == 0
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// fits reports whether one more task of the step may run on the upstream now.
func (r *round) fits(w *Work, u *Upstream) bool {
	if !w.Step.Need.Fits(u.free) || !r.eligible(w, u) {
		return false
	}
	reason := r.State.CheckUpstream(w.Step, u.Upstream)
	return reason == "" || reason == pipeline.PlaceInterference && r.mayShare(w, u)
}

// mayShare reports whether a task of the step may run beside tasks that it interferes with. It looks for a place of its own
// for shareAfter, and fills no upstream where such tasks were stopped lately.
func (r *round) mayShare(w *Work, u *Upstream) bool {
	return r.Now-w.ReadyAt >= shareAfter && !(w.Step.Spec.GetFills() && r.Now < u.NoFillersUntil) && w.Step.MayShare(u.Upstream)
}

// shares reports whether a task of the step would run beside tasks that it interferes with.
func (r *round) shares(st *pipeline.Step, u *Upstream) bool {
	return (st.Spec.GetFills() || st.Spec.GetTargetMs() > 0) && r.State.CheckUpstream(st, u.Upstream) == pipeline.PlaceInterference
}

// eligible reports whether an upstream may take tasks of the step, provided that it has the
// capacity.
func (r *round) eligible(w *Work, u *Upstream) bool {
	if !u.Usable || r.Now < w.Avoided[u.GetId()] || r.reservedForOther(w, u) {
		return false
	}
	return w.Step.Spec.GetMaxPerUpstream() == 0 || r.spreadRoom(w.Step, u) > 0
}

// spreadRoom returns how many more tasks of a step with a bound per upstream an upstream may take.
func (r *round) spreadRoom(st *pipeline.Step, u *Upstream) int {
	return int(st.Spec.GetMaxPerUpstream()) - u.CountRunsOf(st) - u.placed
}

// choice is the rank of a candidate for one task.
type choice struct {
	// shares is set when the task would run beside tasks that it interferes with.
	shares bool
	// far is set when the task prefers another rack.
	far bool
	// exposed is set when upstreams crashed under the task and under one of another job on the upstream.
	exposed bool
	// slow is set for urgent tasks on an upstream that is slower than others.
	slow bool
	// fitting is how many of the step's waiting tasks fit on the upstream. For lasting steps it
	// is instead the negated number of the step's tasks there, to spread them.
	fitting int
	// freeShare is the share of the upstream that stays free, plus a penalty for slow upstreams.
	freeShare float64
}

// betterThan reports whether a ranks before b: by interference, then rack, then exposure to crashes, then speed, then the
// number of fitting tasks, then the smaller free share.
func (a choice) betterThan(b choice) bool {
	switch {
	case a.shares != b.shares:
		return b.shares
	case a.far != b.far:
		return b.far
	case a.exposed != b.exposed:
		return b.exposed
	case a.slow != b.slow:
		return b.slow
	case a.fitting != b.fitting:
		return a.fitting > b.fitting
	}
	return a.freeShare < b.freeShare
}

// best returns the best candidate for a task: one on the preferred rack first, then a fast one if
// the task is urgent, then one that fits most of the waiting tasks, then the one with the least
// resources left. Using few upstreams for a step means that the loss of an upstream affects few
// steps. The tasks of lasting steps are spread instead.
func (r *round) best(d demand, t *pipeline.Task, waiting int, candidates []*Upstream) *Upstream {
	st, urgent, lasting := t.Step, Urgent(r.State, t.Step), t.Step.Spec.GetLasting()
	rack := r.preferredRack(d.work)
	most := packedTasks
	if st.Spec.GetGang() {
		most = waiting
	}
	var best *Upstream
	var rank choice
	for _, u := range candidates {
		if !st.Need.Fits(u.free) || t.RunsOn(u.Upstream) || st.Spec.GetMaxPerUpstream() > 0 && r.spreadRoom(st, u) <= 0 {
			continue
		}
		c := choice{shares: r.shares(st, u), far: rack != "" && u.GetRack() != rack, exposed: t.Suspect() && r.hasOtherSuspect(st.Job(), u),
			slow: urgent && u.slowness > slowBound, fitting: r.capacity(st, u, min(waiting, most)),
			freeShare: largestFreeShare(u.free.Minus(st.Need), u.Capacity) + slowPenalty*u.slowness}
		if lasting {
			c.fitting = -u.placed
		}
		if best == nil || c.betterThan(rank) {
			best, rank = u, c
		}
	}
	return best
}

// hasOtherSuspect reports whether the upstream has a task of another job under which an upstream crashed.
// Such tasks are kept apart: those that one crash has ended together would all be ended again by the one of
// them that caused it.
func (r *round) hasOtherSuspect(j *pipeline.Job, u *Upstream) bool {
	if u.suspect != nil && u.suspect != j {
		return true
	}
	for _, run := range u.Runs {
		if run.Task.Suspect() && run.Task.Step.Job() != j {
			return true
		}
	}
	return false
}

// largestFreeShare returns the free share of an upstream's cores or memory, whichever is larger.
func largestFreeShare(free, capacity pipeline.Resources) float64 {
	share := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(share(free.MilliCores, capacity.MilliCores), share(free.MemoryMiB, capacity.MemoryMiB))
}

// capacity returns how many more tasks of a step the upstream can take now, at most `most`.
func (r *round) capacity(st *pipeline.Step, u *Upstream, most int) int {
	return r.countFitting(st, u, u.free, most)
}

// countFitting returns how many tasks of a step fit into some resources of an upstream, at most
// `most`, within the step's bound for one upstream.
func (r *round) countFitting(st *pipeline.Step, u *Upstream, room pipeline.Resources, most int) int {
	n := room.FitCount(st.Need, most)
	if st.Spec.GetMaxPerUpstream() > 0 {
		n = min(n, r.spreadRoom(st, u))
	}
	return max(n, 0)
}

// fitsAfter reports whether the step may run on the upstream once enough capacity is free.
func (r *round) fitsAfter(w *Work, u *Upstream) bool { return r.eligible(w, u) && r.suits(w, u) }

// suits reports whether the step may run on the upstream apart from its capacity.
func (r *round) suits(w *Work, u *Upstream) bool {
	switch r.State.CheckUpstream(w.Step, u.Upstream) {
	case "", pipeline.PlaceNoCapacity:
		return true
	}
	return false
}
