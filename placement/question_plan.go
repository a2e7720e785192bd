package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// minTriageUpstreams and maxTriageUpstreams bound the upstreams of a costly question under overload. Callers are
	// then busy: thirty more upstreams add a third to a question's time and twice the tickets, and a second
	// question costs all of it again.
	minTriageUpstreams, maxTriageUpstreams = 30, 60
	// awaitedLife is the share of its tickets' life in which a step counts on work to end on the upstreams that
	// it asks about.
	awaitedLife = 0.3
)

// asksAhead reports whether a demand asks about upstreams on which capacity is expected while its tickets are
// valid: with costly questions under overload, where hardly any upstream has capacity when the question is put.
func asksAhead(d demand) bool {
	terms := d.queue.GetPermits()
	return d.triaged && terms != nil && isCostly(terms) && !d.work.Step.Spec.GetGang()
}

// questionSize returns the least and the largest number of upstreams of a question.
func questionSize(d demand) (least, most int) {
	if asksAhead(d) {
		return minTriageUpstreams, maxTriageUpstreams
	}
	return minQuestionUpstreams, maxQuestionUpstreams
}

// worthAskingAhead reports whether an upstream is expected to have capacity for a task of a demand while its
// tickets are valid, and needs one.
func (r *round) worthAskingAhead(d demand, u *Upstream) bool {
	return u.Usable && !d.work.Denied[u.GetId()] && !d.work.hasPermit(u, r.Now) && d.work.Step.Need.Fits(r.freeSoon(d, u)) && r.fitsAfter(d.work, u)
}

// freeSoon returns what is expected to be free on an upstream when the answer to a question about it is there, or
// soon after.
func (r *round) freeSoon(d demand, u *Upstream) pipeline.Resources {
	until := r.Now + r.ticketTime(d, maxTriageUpstreams) + time.Duration(awaitedLife*float64(ticketLife(d.queue)))
	free := u.free
	for _, e := range r.endsOn(u) {
		if e.at > until {
			break
		}
		if !e.run.Task.Step.Spec.GetLasting() {
			free = free.Plus(e.need)
		}
	}
	return free
}
