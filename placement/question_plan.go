package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// minTriageUpstreams is the least number of upstreams of a costly question under overload; the most is what the
	// platform accepts. Callers are then busy: twenty more upstreams add a quarter to a question's time, and a
	// second question costs all of it again.
	minTriageUpstreams = 30
	// triageSurplus is the capacity to ask for under overload, as a multiple of what is needed: other steps with
	// tickets for the same upstreams take some of it.
	triageSurplus = 3.0
	// triageSample is the number of upstreams that are ranked for such a question.
	triageSample = 120
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

// questionSize returns the least and the largest number of upstreams of a question, and the capacity to ask for as a
// multiple of what is needed.
func questionSize(d demand) (least, most int, surplus float64) {
	if asksAhead(d) {
		return minTriageUpstreams, maxUpstreamsPerQuestion, triageSurplus
	}
	return minQuestionUpstreams, maxQuestionUpstreams, capacitySurplus
}

// sampleSize returns the number of upstreams that are ranked for a question.
func sampleSize(d demand) int {
	if asksAhead(d) {
		return triageSample
	}
	return rankedSample
}

// worthAskingAhead reports whether an upstream is expected to have capacity for a task of a demand while its
// tickets are valid, and needs one.
func (r *round) worthAskingAhead(d demand, u *Upstream) bool {
	return u.Usable && !d.work.Denied[u.GetId()] && !d.work.hasPermit(u, r.Now) && d.work.Step.Need.Fits(r.freeSoon(d, u)) && r.fitsAfter(d.work, u)
}

// freeSoon returns what is expected to be free on an upstream when the answer to a question about it is there, or
// soon after.
func (r *round) freeSoon(d demand, u *Upstream) pipeline.Resources {
	until := r.Now + r.ticketTime(d, maxUpstreamsPerQuestion) + time.Duration(awaitedLife*float64(ticketLife(d.queue)))
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
