package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxQuestionUpstreams bounds the upstreams of one permit question. The platform allows a
	// hundred, but a job's objective includes the time of one question about thirty upstreams
	// only.
	maxQuestionUpstreams = 30
	// minQuestionUpstreams is the least number of upstreams of one question if so many are
	// available: one more upstream adds a sixtieth of the question's cost, a second question
	// costs all of it again.
	minQuestionUpstreams = 10
	// rankedSample is the number of upstreams that are ranked for a question: enough to choose
	// maxQuestionUpstreams well among them.
	rankedSample = 200
	// inspectedSample is the number of upstreams that are inspected for one question at most. In a full
	// cell most have no capacity, and the next question begins elsewhere.
	inspectedSample = 512
	// slowRankFactor is applied to the rank of slow upstreams in an urgent step's question.
	slowRankFactor = 0.3
	// allowedRankBonus ranks upstreams first that are known to be allowed, and farRankPenalty
	// ranks upstreams last that are on another rack than the step's. Both are per waiting task
	// and exceed the possible difference in capacity (1.5 per task).
	allowedRankBonus = 2.0
	farRankPenalty   = 4.0
	// capacitySurplus is the capacity to ask for, as a multiple of what is needed.
	capacitySurplus = 1.3
	// waitingShare is the number of questions of each kind, costly or not, that may wait for a
	// caller, as a share of the callers; less urgent questions do not count. The callers then have
	// work between two scheduling rounds. More questions would be out of date when they are put, both
	// in their order and in the upstreams that they name.
	waitingShare = 0.5
	// costlyMS is the cost in milliseconds above which a question is costly; costly questions may
	// occupy only a share of the callers. The users' small steps cost about 34 ms, the large ones
	// 600 ms.
	costlyMS = 150
	// costlyShare is the share of the callers that costly questions may occupy.
	costlyShare = 0.75
)

// Question asks the permit service which of some upstreams may run a step.
type Question struct {
	// ID identifies the question once it is queued.
	ID   uint64
	Work *Work
	// Upstreams are the identities to ask about, Born their incarnations when the question was
	// composed.
	Upstreams []string
	Born      map[string]int64
	// CostMS is the expected time of the answer in milliseconds.
	CostMS float64
	// Costly is set if only a share of the callers may put such questions at a time.
	Costly   bool
	Priority int32
	// PastUse is set for work whose result comes too late; such questions are put after all others.
	PastUse bool
	// EnqueuedAt is when the question was queued, GivenAt when it was given to a caller.
	EnqueuedAt, GivenAt time.Duration
	// Expires is when a question that was given to a caller counts as unanswered.
	Expires time.Duration
	// Caller is the process that puts the question.
	Caller string
}

// Askers are the processes that put questions to the permit service, one at a time each.
type Askers struct {
	// Callers is their number, Idle those without a question, and Costly those with a costly one.
	Callers, Idle, Costly int
	// Waiting are the questions that wait for a caller.
	Waiting []*Question
}

// MayPutCostly reports whether one more caller may put a costly question.
func (a *Askers) MayPutCostly() bool { return float64(a.Costly) < costlyShare*float64(a.Callers) }

// accepts reports whether another question of a priority, costly or not, may be queued. Idle
// callers take questions at once; those do not count as waiting, nor do less urgent ones.
func (a *Askers) accepts(costly bool, priority int32) bool {
	waiting := 0
	for _, q := range a.Waiting {
		if q.Costly == costly && q.Priority <= priority {
			waiting++
		}
	}
	return waiting < int(math.Ceil(waitingShare*float64(a.Callers)))
}

// add counts a question that is about to be queued.
func (a *Askers) add(q *Question) {
	if a.Idle == 0 || q.Costly && !a.MayPutCostly() {
		a.Waiting = append(a.Waiting, q)
		return
	}
	a.Idle--
	if q.Costly {
		a.Costly++
	}
}

// askAll composes permit questions, in scheduling order, for the demands that found no place and
// for steps that become ready or due soon.
func (r *round) askAll() {
	r.Askers.Waiting = slices.Clone(r.Askers.Waiting)
	list := append(slices.Clip(r.unplaced), r.prefetchDemands()...)
	slices.SortStableFunc(list, compareDemands)
	for _, d := range list {
		r.ask(d)
	}
}

// ask composes permit questions for a step, unless some are pending, the step could not be placed
// anyway, or enough questions wait. For a gang it also reserves upstreams, whether the gang needs
// permits or not.
func (r *round) ask(d demand) {
	terms := d.queue.GetPermits()
	d.work.awaitsCaller = false
	if !r.mayAsk(d) || len(d.work.Pending) > 0 || !asksAhead(d) && r.mustLeaveHeadroom(d) {
		return
	}
	if d.pastUse && terms != nil && len(r.Askers.Waiting) > 0 {
		d.work.awaitsCaller = true
		return
	}
	if terms != nil && !r.Askers.accepts(isCostly(terms), d.queue.GetPriority()) {
		d.work.awaitsCaller = true
		return
	}
	r.beginStep()
	switch {
	case d.work.Step.Spec.GetGang():
		for _, list := range r.gangQuestions(d) {
			r.compose(d, list)
		}
	case terms != nil:
		r.compose(d, r.questionUpstreams(d))
	}
}

// compose composes a question about some upstreams, unless there are none, no permits are needed, or
// enough questions wait.
func (r *round) compose(d demand, list []*Upstream) {
	terms := d.queue.GetPermits()
	if terms == nil || len(list) == 0 || !r.Askers.accepts(isCostly(terms), d.queue.GetPriority()) {
		return
	}
	q := &Question{Work: d.work, Priority: d.queue.GetPriority(), Born: make(map[string]int64, len(list)), CostMS: costMS(terms, len(list)), Costly: isCostly(terms), PastUse: d.pastUse}
	for _, u := range list {
		q.Upstreams = append(q.Upstreams, u.GetId())
		q.Born[u.GetId()] = u.GetBorn()
	}
	d.work.Pending, d.work.ticketless = append(d.work.Pending, q), false
	r.Askers.add(q)
	r.out.Questions = append(r.out.Questions, q)
}

// questionUpstreams returns the upstreams to ask about: as many as are expected to have capacity
// for the step's tasks, given the share of upstreams that questions usually allow.
func (r *round) questionUpstreams(d demand) (out []*Upstream) {
	least, most, surplus := questionSize(d)
	guess := r.Learner.allowedShare(d.work.Step, d.queue.GetPermits())
	room, wanted := 0.0, surplus*float64(len(d.tasks))
	for _, u := range r.rankedUpstreams(d) {
		if room >= wanted && len(out) >= least || len(out) >= most {
			break
		}
		out = append(out, u)
		share := guess
		if _, known := d.work.Permits[u.GetId()]; known {
			share = 1
		}
		room += share * float64(r.capacityFor(d, u))
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

// capacityFor is like capacity, but also counts what preemption would free, for demands that may
// preempt.
func (r *round) capacityFor(d demand, u *Upstream) int {
	if asksAhead(d) {
		return r.countFitting(d.work.Step, u, r.freeSoon(d, u), len(d.tasks))
	}
	n := r.capacity(d.work.Step, u, len(d.tasks))
	if n > 0 || !r.mayPreempt(d) {
		return n
	}
	return r.countFitting(d.work.Step, u, r.freeAfterPreemption(u, d.queue.GetPriority()), len(d.tasks))
}

// rankedUpstreams returns the upstreams that are worth a question: those with capacity, on the
// step's rack first, then those known to be allowed, then those with the most capacity. A random
// factor varies the order of upstreams with similar capacity.
func (r *round) rankedUpstreams(d demand) []*Upstream {
	type ranked struct {
		u    *Upstream
		rank float64
	}
	var list []ranked
	urgent, rack, tasks := Urgent(r.State, d.work.Step), r.preferredRack(d.work), float64(len(d.tasks))
	for _, u := range r.sampleUpstreams(d, rack) {
		rank := float64(r.capacity(d.work.Step, u, min(len(d.tasks), packedTasks)))*(0.5+r.Rand.Float64()) - largestFreeShare(u.free, u.Capacity)
		if urgent && u.slowness > slowBound {
			rank *= slowRankFactor
		}
		if _, known := d.work.Permits[u.GetId()]; known {
			rank += allowedRankBonus * tasks
		}
		if rack != "" && u.GetRack() != rack {
			rank -= farRankPenalty * tasks
		}
		list = append(list, ranked{u, rank})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]*Upstream, len(list))
	for i, l := range list {
		out[i] = l.u
	}
	return out
}

// sampleUpstreams returns upstreams that are worth a question about a demand. They are looked for from a
// random one on until there are enough to choose from, so that the cost of a waiting step does not grow
// with the cell. A step that prefers a rack needs all of them.
func (r *round) sampleUpstreams(d demand, rack string) (out []*Upstream) {
	list := r.usableFor(d)
	if len(list) == 0 {
		return nil
	}
	enough, inspected := sampleSize(d), min(inspectedSample, len(list))
	if rack != "" {
		enough, inspected = len(list), len(list)
	}
	preempts := r.mayPreempt(d)
	for id := range d.work.Permits {
		if u := r.byID[id]; u != nil && u.GetService() == d.queue.GetService() && r.worthAsking(d, u, preempts) {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) })
	from := r.Rand.IntN(len(list))
	for i := 0; i < inspected && len(out) < enough; i++ {
		u := list[(from+i)%len(list)]
		if _, known := d.work.Permits[u.GetId()]; !known && r.worthAsking(d, u, preempts) {
			out = append(out, u)
		}
	}
	return out
}

// worthAsking reports whether an upstream could take a task of a demand and needs a ticket for it.
func (r *round) worthAsking(d demand, u *Upstream, preempts bool) bool {
	r.out.Inspected++
	need := d.work.Step.Need
	if asksAhead(d) {
		return r.worthAskingAhead(d, u)
	}
	if !u.Usable || !need.Fits(u.free) && !(preempts && need.Fits(r.freeAfterPreemption(u, d.queue.GetPriority()))) {
		return false
	}
	return !d.work.Denied[u.GetId()] && !d.work.hasPermit(u, r.Now) && r.couldTake(d, u)
}

// couldTake reports whether an upstream has capacity for the step, or would have after a
// preemption.
func (r *round) couldTake(d demand, u *Upstream) bool {
	if r.fits(d.work, u) {
		return true
	}
	return r.mayPreempt(d) && r.fitsAfter(d.work, u) && r.capacityFor(d, u) > 0
}
