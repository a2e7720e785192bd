package placement

import (
	"cmp"
	"slices"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxUpstreamsPerQuestion is the number of upstreams that the platform accepts in one
	// question.
	maxUpstreamsPerQuestion = 100
	// maxExploredUpstreams bounds the upstreams of a question that determines which of them may run
	// a gang, and maxGangQuestions the number of such questions at the same time. For the users'
	// cells of 48 upstreams a single one of 0.9 s suffices.
	maxExploredUpstreams = 70
	maxGangQuestions     = 4
	// exploreSurplus is the capacity of the upstreams that may run a gang, when they are idle, as a
	// multiple of what the gang needs. Most of it is in use when the gang wants to start.
	exploreSurplus = 4.0
	// planShare is the time between two plans for one gang as a share of the time of a question
	// about maxExploredUpstreams, and minPlanInterval its least.
	planShare       = 0.2
	minPlanInterval = 20 * time.Millisecond
	// exploreGain is how far ahead a planned start must be for questions about upstreams that were
	// not asked about yet, as a multiple of the time of such a question.
	exploreGain = 1.5
	// ticketLead is how long before the planned start of a gang its tickets are requested, as a share
	// of the time that they take. Ends of runs are known with little precision, and tickets expire.
	ticketLead = 0.5
)

// gangQuestions returns the upstreams that a gang has to ask about, one list a question. All members
// need valid tickets at the same time, and a large gang needs more upstreams than one question finds.
// As the permit service's answers never change, the gang first determines which upstreams may run it.
// Its start is then planned on these: until then the upstreams are reserved, and tickets are requested
// in time for it. Where no permits are needed, upstreams are only reserved.
func (r *round) gangQuestions(d demand) [][]*Upstream {
	w := d.work
	if r.Now < w.nextPlan {
		return nil
	}
	exploreTime := r.ticketTime(d, maxExploredUpstreams)
	w.nextPlan = r.Now + max(minPlanInterval, time.Duration(planShare*float64(exploreTime)))
	w.holdRefused = false
	allowed, unknown := r.gangUpstreams(d)
	plan, ok := r.planGang(d, allowed)
	w.plannedStart = plan.start
	ticketTime := r.ticketTime(d, min(len(plan.upstreams), maxUpstreamsPerQuestion))
	switch {
	case !ok || plan.start-r.Now > reserveAhead:
	case plan.start <= r.Now+time.Duration(ticketLead*float64(ticketTime)):
		waits := plan.start <= r.Now || len(unknown) == 0 || r.awaitsStart(d, plan, unknown, exploreTime)
		if waits && r.holdUpstreams(d, plan, ticketTime) {
			return split(plan.upstreams, maxUpstreamsPerQuestion)
		}
	default:
		r.reserve(d, plan)
		if r.awaitsStart(d, plan, unknown, exploreTime) {
			return nil
		}
	}
	w.awaited = 0
	return r.explore(d, allowed, unknown)
}

// split divides upstreams evenly into as few lists of at most `most` as possible.
func split(list []*Upstream, most int) (out [][]*Upstream) {
	n := (len(list) + most - 1) / most
	for i := range n {
		out = append(out, list[i*len(list)/n:(i+1)*len(list)/n])
	}
	return out
}

// awaitsStart reports whether a gang waits for its planned start rather than asking about further upstreams: if the
// start is near, was not missed before, and can't be expected sooner on these upstreams. Runs that end later
// than expected delay a planned start again and again.
func (r *round) awaitsStart(d demand, plan gangPlan, unknown []*Upstream, exploreTime time.Duration) bool {
	w := d.work
	if float64(plan.start-r.Now) >= exploreGain*float64(exploreTime) {
		return false
	}
	if w.awaited == 0 {
		w.awaited = plan.start
	}
	return r.Now < w.awaited && !r.startsSooner(d, plan, unknown)
}

// startsSooner reports whether all members of a gang can be expected to fit now on upstreams that it has not
// asked about, and the answers to arrive before its planned start.
func (r *round) startsSooner(d demand, plan gangPlan, unknown []*Upstream) bool {
	if d.queue.GetPermits() == nil {
		return false
	}
	r.sortByCapacity(d, unknown)
	share := r.Learner.allowedShare(d.work.Step, d.queue.GetPermits())
	missing, n := gangSurplus*float64(len(d.tasks)), 0
	for n < len(unknown) && n < maxGangQuestions*maxExploredUpstreams && unknown[n].fitting > 0 && missing > 0 {
		missing -= share * float64(unknown[n].fitting)
		n++
	}
	return missing <= 0 && r.Now+r.ticketTime(d, max(n, minQuestionUpstreams)) < plan.start
}

// explore returns questions about upstreams of which it is not known whether they may run a gang: as
// many as are expected to have capacity for exploreSurplus times the members when they are idle,
// together with the known ones. Those with the most capacity now come first. The questions are put at
// the same time, so that their tickets are valid together.
func (r *round) explore(d demand, allowed, unknown []*Upstream) [][]*Upstream {
	if d.queue.GetPermits() == nil {
		return nil
	}
	r.sortByCapacity(d, unknown)
	missing := exploreSurplus * float64(len(d.tasks))
	for _, u := range allowed {
		missing -= float64(capacityWhenIdle(d.work.Step, u))
	}
	share, n := r.Learner.allowedShare(d.work.Step, d.queue.GetPermits()), 0
	for n < len(unknown) && n < maxGangQuestions*maxExploredUpstreams && (missing > 0 || n < minQuestionUpstreams) {
		missing -= share * float64(capacityWhenIdle(d.work.Step, unknown[n]))
		n++
	}
	return split(unknown[:n], maxExploredUpstreams)
}

// sortByCapacity sorts upstreams by their capacity for members of a gang: now, then when they are idle. Upstreams
// that are reserved for others have none now.
func (r *round) sortByCapacity(d demand, list []*Upstream) {
	for _, u := range list {
		u.fitting, u.fittingWhenIdle = 0, capacityWhenIdle(d.work.Step, u)
		if r.eligible(d.work, u) {
			u.fitting = r.capacity(d.work.Step, u, len(d.tasks))
		}
	}
	slices.SortFunc(list, func(a, b *Upstream) int {
		return cmp.Or(b.fitting-a.fitting, b.fittingWhenIdle-a.fittingWhenIdle, cmp.Compare(a.GetId(), b.GetId()))
	})
}

// gangUpstreams returns the upstreams that are known to be allowed for a gang, and those that were
// not asked about and could take a member when they are idle. They are those on the gang's rack if these
// have capacity for all members: when they are idle at first, and now once the gang has waited for a while.
func (r *round) gangUpstreams(d demand) (allowed, unknown []*Upstream) {
	w, rack := d.work, r.preferredRack(d.work)
	waited := r.Now-w.ReadyAt > preferredRackWait
	roomAllowed, roomUnknown := 0, 0
	r.out.Inspected += len(r.usableFor(d))
	for _, u := range r.usableFor(d) {
		if w.Denied[u.GetId()] {
			continue
		}
		p, known := w.Permits[u.GetId()]
		known = known && p.Born == u.GetBorn() || d.queue.GetPermits() == nil
		n := capacityWhenIdle(w.Step, u)
		if n == 0 || !r.suits(w, u) || known && !r.eligible(w, u) {
			continue
		}
		if waited {
			n = r.capacity(w.Step, u, len(d.tasks))
		}
		if known {
			allowed = append(allowed, u)
			if u.GetRack() == rack {
				roomAllowed += n
			}
			continue
		}
		unknown = append(unknown, u)
		if u.GetRack() == rack {
			roomUnknown += n
		}
	}
	return onRack(allowed, rack, roomAllowed >= len(d.tasks)), onRack(unknown, rack, roomUnknown >= len(d.tasks))
}

// onRack returns the upstreams on one rack if they have capacity for a whole gang, and the whole
// list otherwise.
func onRack(list []*Upstream, rack string, suffices bool) []*Upstream {
	if rack == "" || !suffices {
		return list
	}
	return slices.DeleteFunc(list, func(u *Upstream) bool { return u.GetRack() != rack })
}

// ticketTime returns how long tickets for a gang on some upstreams take to arrive; zero where no
// permits are needed.
func (r *round) ticketTime(d demand, upstreams int) time.Duration {
	if d.queue.GetPermits() == nil {
		return 0
	}
	return millis(costMS(d.queue.GetPermits(), upstreams))
}

// millis converts a number of milliseconds.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ticketLife returns how long a queue's tickets are valid.
func ticketLife(q *pipelinev1.Queue) time.Duration {
	return time.Duration(q.GetPermits().GetValidMs()) * time.Millisecond
}
