package dispatch

import (
	"math/rand/v2"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxQuestionUpstreams bounds the upstreams of one permit question. The platform allows a
	// hundred, but a job's objective includes the time of one question about thirty upstreams
	// only.
	maxQuestionUpstreams = 30
	// allowedShareCheap and allowedShareCostly are the shares of upstreams that a cheap and a
	// costly question are expected to allow: the users' small steps get 0.7, the large ones 0.35.
	allowedShareCheap  = 0.7
	allowedShareCostly = 0.35
	// minQuestionUpstreams is the least number of upstreams of one question if so many are
	// available: one more upstream adds a sixtieth of the question's cost, a second question
	// costs all of it again.
	minQuestionUpstreams = 10
	// slowRankFactor is applied to the rank of slow upstreams in an urgent step's question.
	slowRankFactor = 0.3
	// allowedRankBonus ranks upstreams first that are known to be allowed, and farRankPenalty
	// ranks upstreams last that are on another rack than the step's. Both are per waiting task
	// and exceed the possible difference in capacity (1.5 per task).
	allowedRankBonus = 2.0
	farRankPenalty   = 4.0
	// capacitySurplus is the capacity to ask for, as a multiple of what is needed.
	capacitySurplus = 1.3
)

// requestAllPermits queues permit questions, in scheduling order, for the demands that found no
// place and for steps that become ready or due soon.
func (r *round) requestAllPermits() {
	list := append(slices.Clip(r.unplaced), r.prefetchDemands()...)
	slices.SortStableFunc(list, compareDemands)
	for _, d := range list {
		r.requestPermits(d)
	}
}

// requestPermits queues a permit question for a step, unless one is pending, the step could not
// be placed anyway, or enough questions wait. For a gang it also reserves upstreams, whether the
// gang needs permits or not.
func (r *round) requestPermits(d demand) {
	terms := d.queue.GetPermits()
	d.work.awaitsCaller = false
	if d.work.question != nil || !r.withinLimit(d.work.step) || r.mustLeaveHeadroom(d) {
		return
	}
	if terms != nil && !r.e.permits.accepts(isCostly(terms), d.queue.GetPriority()) {
		d.work.awaitsCaller = true
		return
	}
	r.onUpstream = make(map[string]int)
	var list []*session
	switch {
	case d.work.step.Spec.GetGang():
		list = r.gangQuestion(d)
	case terms != nil:
		list = r.questionUpstreams(d)
	}
	if terms == nil || len(list) == 0 {
		return
	}
	q := &question{work: d.work, priority: d.queue.GetPriority(), born: make(map[string]int64), costMS: costMS(terms, len(list)), costly: isCostly(terms)}
	for _, s := range list {
		q.upstreams = append(q.upstreams, s.u.GetId())
		q.born[s.u.GetId()] = s.u.GetBorn()
	}
	d.work.question = q
	r.e.permits.enqueue(q, r.now)
}

// questionUpstreams returns the upstreams to ask about: as many as are expected to have capacity
// for the step's tasks, given the share of upstreams that questions usually allow.
func (r *round) questionUpstreams(d demand) (out []*session) {
	guess := allowedShareCheap
	if isCostly(d.queue.GetPermits()) {
		guess = allowedShareCostly
	}
	room, wanted := 0.0, capacitySurplus*float64(len(d.tasks))
	for _, s := range r.rankedUpstreams(d) {
		if room >= wanted && len(out) >= minQuestionUpstreams || len(out) >= maxQuestionUpstreams {
			break
		}
		out = append(out, s)
		share := guess
		if _, known := d.work.permits[s.u.GetId()]; known {
			share = 1
		}
		room += share * float64(r.capacityFor(d, s))
	}
	return out
}

// costMS returns the time that a question about some upstreams takes, in milliseconds.
func costMS(terms *pipelinev1.PermitTerms, upstreams int) float64 {
	return terms.GetDecisionMs() + terms.GetPerUpstreamMs()*float64(upstreams)
}

// isCostly reports whether only a share of the callers may put a queue's questions at a time.
func isCostly(terms *pipelinev1.PermitTerms) bool {
	return costMS(terms, minQuestionUpstreams) > costlyMS
}

// capacity returns how many more tasks of a step the upstream can take now, at most `most`.
func (r *round) capacity(st *pipeline.Step, s *session, most int) int {
	n := r.free(s).FitCount(st.Need, most)
	if bound := int(st.Spec.GetMaxPerUpstream()); bound > 0 {
		n = min(n, bound-s.u.CountRunsOf(st))
	}
	return max(n, 0)
}

// capacityFor is like capacity, but also counts what preemption would free, for demands that may
// preempt.
func (r *round) capacityFor(d demand, s *session) int {
	n := r.capacity(d.work.step, s, len(d.tasks))
	if n > 0 || !r.mayPreempt(d) {
		return n
	}
	n = r.freeAfterPreemption(s).FitCount(d.work.step.Need, len(d.tasks))
	if bound := int(d.work.step.Spec.GetMaxPerUpstream()); bound > 0 {
		n = min(n, bound-s.u.CountRunsOf(d.work.step))
	}
	return max(n, 0)
}

// rankedUpstreams returns the upstreams that are worth a question: those with capacity, on the
// step's rack first, then those known to be allowed, then those with the most capacity. A random
// factor varies the order of upstreams with similar capacity.
func (r *round) rankedUpstreams(d demand) []*session {
	type ranked struct {
		s    *session
		rank float64
	}
	var list []ranked
	urgent, preempts := r.e.isUrgent(d.work.step), r.mayPreempt(d)
	for _, s := range r.usable {
		// Most upstreams of a full cell drop out here, at a fraction of the cost of couldTake.
		if !d.work.step.Need.Fits(r.free(s)) && !(preempts && d.work.step.Need.Fits(r.freeAfterPreemption(s))) {
			continue
		}
		id := s.u.GetId()
		_, known := d.work.permits[id]
		if d.work.denied[id] || d.work.hasPermit(s, r.now) || !r.couldTake(d, s) {
			continue
		}
		rank := float64(r.capacity(d.work.step, s, len(d.tasks))) * (0.5 + rand.Float64())
		if urgent && r.e.learner.slow(id) {
			rank *= slowRankFactor
		}
		if known {
			rank += allowedRankBonus * float64(len(d.tasks))
		}
		if r.offPreferredRack(d.work, s) {
			rank -= farRankPenalty * float64(len(d.tasks))
		}
		list = append(list, ranked{s, rank})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return 0
	})
	out := make([]*session, len(list))
	for i, l := range list {
		out[i] = l.s
	}
	return out
}

// couldTake reports whether an upstream has capacity for the step, or would have after a
// preemption.
func (r *round) couldTake(d demand, s *session) bool {
	if r.fits(d.work.step, s) {
		return true
	}
	if !r.mayPreempt(d) || !r.eligible(d.work.step, s) {
		return false
	}
	switch r.e.state.CheckUpstream(d.work.step, s.u) {
	case "", pipeline.PlaceNoCapacity:
		return r.capacityFor(d, s) > 0
	}
	return false
}
