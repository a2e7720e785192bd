package dispatch

import (
	"math/rand/v2"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxAsked bounds the upstreams of one question; the platform allows a hundred, and the
	// credit of a job counts one question about thirty.
	maxAsked = 30
	// allowedGuess is the share of upstreams that a question is expected to allow: the users'
	// small steps see 0.7, the large ones 0.35.
	allowedGuessCheap  = 0.7
	allowedGuessCostly = 0.35
	// minAsked is the least number of upstreams of one question: naming one more costs a sixtieth
	// of the question, and asking again costs all of it.
	minAsked = 10
	// slowRank is what slow upstreams count for in an urgent step's question.
	slowRank = 0.3
	// knownRank and farRank move upstreams ahead that are known to be allowed, and back that are on
	// another rack than the step's, by more than their room for tasks can differ (1.5 for each).
	knownRank = 2.0
	farRank   = 4.0
	// askSurplus is how much more room than needed a question asks for.
	askSurplus = 1.3
)

// askFor asks for permits where a step has none left that would help. Gangs get room reserved
// with it, whether they need permits or not.
func (r *round) askFor(d demand) {
	terms := d.queue.GetPermits()
	if d.work.question != nil || !r.withinLimit(d.work.step) || r.leavesHeadroom(d) {
		return
	}
	r.onUpstream = make(map[string]int)
	var list []*session
	switch {
	case d.work.step.Spec.GetGang():
		list = r.gangQuestion(d)
	case terms != nil:
		list = r.worthAsking(d)
	}
	if terms == nil || len(list) == 0 {
		return
	}
	q := &question{work: d.work, priority: d.queue.GetPriority(), born: make(map[string]int64), costMS: costMS(terms, len(list))}
	for _, s := range list {
		q.upstreams = append(q.upstreams, s.u.GetId())
		q.born[s.u.GetId()] = s.u.GetBorn()
	}
	d.work.question = q
	r.e.permits.ask(q, r.now)
}

// worthAsking returns the upstreams that the step should ask about: enough room for its tasks by the
// share that questions are expected to allow.
func (r *round) worthAsking(d demand) (out []*session) {
	guess := allowedGuessCheap
	if d.queue.GetPermits().GetDecisionMs() > costlyMS {
		guess = allowedGuessCostly
	}
	room, wanted := 0.0, askSurplus*float64(len(d.tasks))
	for _, s := range r.askable(d) {
		if room >= wanted && len(out) >= minAsked || len(out) >= maxAsked {
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

// costMS is the time that a question about some upstreams takes, in milliseconds.
func costMS(terms *pipelinev1.PermitTerms, upstreams int) float64 {
	return terms.GetDecisionMs() + terms.GetPerUpstreamMs()*float64(upstreams)
}

// capacity returns how many tasks of a step the upstream can take now.
func (r *round) capacity(st *pipeline.Step, s *session, most int) int {
	n := r.free(s).Count(st.Need, most)
	if bound := int(st.Spec.GetMaxPerUpstream()); bound > 0 {
		n = min(n, bound-s.u.RunsOf(st))
	}
	return max(n, 0)
}

// capacityFor counts preemptible room for demands that may preempt.
func (r *round) capacityFor(d demand, s *session) int {
	n := r.capacity(d.work.step, s, len(d.tasks))
	if n > 0 || !r.mayPreempt(d) {
		return n
	}
	n = r.roomAfterPreemption(s).Count(d.work.step.Need, len(d.tasks))
	if bound := int(d.work.step.Spec.GetMaxPerUpstream()); bound > 0 {
		n = min(n, bound-s.u.RunsOf(d.work.step))
	}
	return max(n, 0)
}

// askable returns the upstreams that are worth a question: those with room, on the step's rack
// first, then those known to be allowed, then those with most room in a random order of about equal ones.
func (r *round) askable(d demand) []*session {
	type ranked struct {
		s    *session
		rank float64
	}
	var list []ranked
	urgent := r.e.isUrgent(d.work.step)
	for id, s := range r.e.sessions {
		_, known := d.work.permits[id]
		if d.work.denied[id] || d.work.hasPermit(s, r.now) || !r.couldTake(d, s) {
			continue
		}
		rank := float64(r.capacity(d.work.step, s, len(d.tasks))) * (0.5 + rand.Float64())
		if urgent && r.e.learner.slow(id) {
			rank *= slowRank
		}
		if known {
			rank += knownRank * float64(len(d.tasks))
		}
		if r.far(d.work, s) {
			rank -= farRank * float64(len(d.tasks))
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

// couldTake reports whether an upstream has room for the step, or would have after a preemption.
func (r *round) couldTake(d demand, s *session) bool {
	if r.fits(d.work.step, s) {
		return true
	}
	if !r.mayPreempt(d) || !r.suits(d.work.step, s) {
		return false
	}
	switch r.e.state.CheckUpstream(d.work.step, s.u) {
	case "", pipeline.PlaceNoRoom:
		return r.capacityFor(d, s) > 0
	}
	return false
}
