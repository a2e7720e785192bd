package dispatch

import (
	"cmp"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// candidates returns the upstreams that may run the step now: those with a valid ticket, or all
// where no permit is needed.
func (r *round) candidates(d demand) []*session {
	var out []*session
	if d.queue.GetPermits() == nil {
		for _, s := range r.e.sessions {
			if r.fits(d.work.step, s) {
				out = append(out, s)
			}
		}
	} else {
		for id := range d.work.permits {
			s := r.e.sessions[id]
			if s != nil && d.work.hasPermit(s, r.now) && r.fits(d.work.step, s) {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *session) int { return cmp.Compare(a.u.GetId(), b.u.GetId()) })
	return out
}

// free returns the upstream's free resources less what this round has already assigned.
func (r *round) free(s *session) pipeline.Resources {
	return s.u.Free().Minus(r.assigned[s])
}

// fits reports whether one more task of the step may run on the upstream now.
func (r *round) fits(st *pipeline.Step, s *session) bool {
	return st.Need.Fits(r.free(s)) && r.eligible(st, s) && r.e.state.CheckUpstream(st, s.u) == ""
}

// eligible reports whether an upstream may take tasks of the step, provided that it has the
// capacity.
func (r *round) eligible(st *pipeline.Step, s *session) bool {
	if !s.usable(r.now) || s.heldForOther(st, r.now) || r.now < r.e.work(st).avoided[s.u.GetId()] {
		return false
	}
	bound := int(st.Spec.GetMaxPerUpstream())
	return bound == 0 || s.u.CountRunsOf(st)+r.onUpstream[s.u.GetId()] < bound
}

// choice is the rank of a candidate for one task.
type choice struct {
	// far is set when the task prefers another rack.
	far bool
	// slow is set for urgent tasks on an upstream that is slower than others.
	slow bool
	// fitting is how many of the step's waiting tasks fit on the upstream. For lasting steps it
	// is instead the negated number of the step's tasks there, to spread them.
	fitting int
	// freeShare is the share of the upstream that stays free, plus a penalty for slow upstreams.
	freeShare float64
}

// betterThan reports whether a ranks before b: by rack, then speed, then the number of fitting
// tasks, then the smaller free share.
func (a choice) betterThan(b choice) bool {
	switch {
	case a.far != b.far:
		return b.far
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
func (r *round) best(t *pipeline.Task, waiting int, candidates []*session) *session {
	st := t.Step
	urgent := r.e.isUrgent(st)
	var best *session
	var rank choice
	for _, s := range candidates {
		if !r.fits(st, s) || t.RunsOn(s.u) {
			continue
		}
		c := choice{far: r.offPreferredRack(r.e.work(st), s), slow: urgent && r.e.learner.slow(s.u.GetId()), fitting: r.capacity(st, s, waiting),
			freeShare: largestFreeShare(r.free(s).Minus(st.Need), s.u.Capacity) + slowPenalty*r.e.learner.slowness(s.u.GetId())}
		if st.Spec.GetLasting() {
			c.fitting = -r.onUpstream[s.u.GetId()]
		}
		if best == nil || c.betterThan(rank) {
			best, rank = s, c
		}
	}
	return best
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

// withinLimit reports whether one more task of the step stays within the team's limit.
func (r *round) withinLimit(st *pipeline.Step) bool {
	team := r.e.state.Config().Team(st.Job().Team)
	if team == nil {
		return true
	}
	used := r.e.state.Used(team.GetName()).Plus(r.used[team.GetName()]).Plus(st.Need)
	return used.WithinLimit(pipeline.ResourcesFromProto(team.GetLimit()))
}

// findUsable lists the usable upstreams and sums the free and the total cores of each service.
func (r *round) findUsable() {
	r.freeCores, r.totalCores = make(map[string]int64), make(map[string]int64)
	for _, s := range r.e.sessions {
		if s.usable(r.now) && !r.e.state.DomainOut(s.u.GetFailureDomain()) {
			r.usable = append(r.usable, s)
			r.freeCores[s.u.GetService()] += s.u.Free().MilliCores
			r.totalCores[s.u.GetService()] += s.u.Capacity.MilliCores
		}
	}
}

// mustLeaveHeadroom reports whether a demand that has time to spare must wait, so that capacity
// stays free for urgent work.
func (r *round) mustLeaveHeadroom(d demand) bool {
	if d.queue.GetPriority() == urgentPriority || d.work.step.Spec.GetLasting() {
		return false
	}
	if d.urgency.prospect == inTime && float64(d.urgency.slack) < spareSlack*float64(d.urgency.remaining) {
		return false
	}
	if limit := r.e.state.Config().Team(d.work.step.Job().Team).GetLimit().GetMilliCores(); limit > 0 {
		team := d.work.step.Job().Team
		used := r.e.state.Used(team).MilliCores + r.used[team].MilliCores + d.work.step.Need.MilliCores
		if float64(used) > (1-teamHeadroom)*float64(limit) {
			return true
		}
	}
	service := d.queue.GetService()
	return float64(r.freeCores[service]-d.work.step.Need.MilliCores) < headroom*float64(r.totalCores[service])
}
