package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
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
	// gangSurplus is the capacity for which the start of a gang is planned, as a multiple of what it
	// needs: some upstreams become unavailable, or free later than expected.
	gangSurplus = 1.1
	// maxPlannedUpstreams bounds the upstreams on which a gang's start is planned.
	maxPlannedUpstreams = 120
	// planShare is the time between two plans for one gang as a share of the time of a question
	// about maxExploredUpstreams, and minPlanInterval its least.
	planShare       = 0.2
	minPlanInterval = 20 * time.Millisecond
	// reserveAfter is how long a gang waits before upstreams are reserved for it, and reserveAhead
	// how long before its planned start at most. Large tasks run for about five seconds.
	reserveAfter = 500 * time.Millisecond
	reserveAhead = 6 * time.Second
	// maxReserved is the largest share of a service's cores that reservations may take together.
	maxReserved = 0.4
	// holdMargin is added to the time of a question when upstreams are held. It covers the
	// transfer to the caller and back, and a question that the caller is still working on.
	holdMargin = 300 * time.Millisecond
	// exploreGain is how far ahead a planned start must be for questions about upstreams that were
	// not asked about yet, as a multiple of the time of such a question.
	exploreGain = 1.5
	// ticketLead is how long before the planned start of a gang its tickets are requested, as a share
	// of the time that they take. Ends of runs are known with little precision, and tickets expire.
	ticketLead = 0.5
	// overdueShare is the remaining time of a run that has exceeded its expected run time, as a
	// share of that time.
	overdueShare = 0.25
)

// ReservedGang is a gang for which upstreams were reserved.
type ReservedGang struct {
	Work *Work
	// Members is the number of tasks; Upstreams and MilliCores are the number and the size of the
	// reserved upstreams.
	Members, Upstreams int
	MilliCores         int64
	// Start is the planned start.
	Start time.Duration
}

// gangPlan is the earliest time at which some upstreams have capacity for all members of a gang.
type gangPlan struct {
	start     time.Duration
	upstreams []*Upstream
	// preempts is set if work of less urgent queues has to be stopped for it.
	preempts bool
}

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

// planGang plans the start of a gang on upstreams that may run it. Work of less urgent queues is
// stopped for it if that alone lets it start at once.
func (r *round) planGang(d demand, allowed []*Upstream) (gangPlan, bool) {
	if most := max(maxPlannedUpstreams, withSurplus(d)); len(allowed) > most {
		slices.SortFunc(allowed, func(a, b *Upstream) int {
			return cmp.Or(cmp.Compare(b.free.MilliCores, a.free.MilliCores), cmp.Compare(a.GetId(), b.GetId()))
		})
		allowed = allowed[:most]
	}
	plan, members, ok := r.planWithoutStops(d, allowed)
	if ok && plan.start <= r.Now || !r.mayPreempt(d) {
		return plan, ok
	}
	if atOnce, possible := r.earliestStart(d, r.gainsOn(d, allowed, true), members); possible && atOnce.start <= r.Now {
		atOnce.preempts = true
		return atOnce, true
	}
	return plan, ok
}

// withSurplus returns the number of members for which the start of a gang is planned if there is the capacity.
func withSurplus(d demand) int { return int(math.Ceil(gangSurplus * float64(len(d.tasks)))) }

// planWithoutStops plans the start of a gang as runs end, and returns the number of members that fit then. It does
// without the surplus if that lets the gang start at once, or its upstreams be reserved.
func (r *round) planWithoutStops(d demand, allowed []*Upstream) (gangPlan, int, bool) {
	gains := r.gainsOn(d, allowed, false)
	surplus, members := withSurplus(d), len(d.tasks)
	plan, ok := r.earliestStart(d, gains, surplus)
	if ok && plan.start <= r.Now && r.mayReserve(d, plan) {
		return plan, surplus, true
	}
	exact, fits := r.earliestStart(d, gains, members)
	switch {
	case !ok:
		return exact, members, fits
	case plan.start > r.Now && exact.start <= r.Now:
		return exact, members, true
	case r.mayReserve(d, plan) || plan.start <= r.Now && !r.mayReserve(d, exact):
		return plan, surplus, true
	}
	return exact, members, true
}

// gain is the number of members that fit on an upstream from some time on, beyond those that fit
// before.
type gain struct {
	at time.Duration
	u  *Upstream
	n  int
}

// gainsOn returns the gains on some upstreams in the order of their times, the largest first.
func (r *round) gainsOn(d demand, allowed []*Upstream, preempts bool) (gains []gain) {
	for _, u := range allowed {
		gains = r.appendGains(gains, d, u, preempts)
	}
	slices.SortFunc(gains, func(a, b gain) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.n, a.n), cmp.Compare(a.u.GetId(), b.u.GetId()))
	})
	return gains
}

// earliestStart returns the earliest time at which so many members of a gang fit on some upstreams at once, as
// runs there end, and the upstreams with the most capacity at that time.
func (r *round) earliestStart(d demand, gains []gain, members int) (gangPlan, bool) {
	room := 0
	fits := make(map[*Upstream]int)
	for _, g := range gains {
		fits[g.u] += g.n
		if room += g.n; room >= members {
			return gangPlan{start: g.at, upstreams: r.sufficient(d, fits, members)}, true
		}
	}
	return gangPlan{}, false
}

// appendGains appends the times at which more members of a gang fit on an upstream.
func (r *round) appendGains(gains []gain, d demand, u *Upstream, preempts bool) []gain {
	st, room, ends := d.work.Step, u.free, r.endsOn(u)
	atOnce := func(e runEnd) bool { return e.stopping || preempts && r.preemptible(e.run, d.queue.GetPriority()) }
	for _, e := range ends {
		if atOnce(e) {
			room = room.Plus(e.need)
		}
	}
	fitting := r.countFitting(st, u, room, len(d.tasks))
	if fitting > 0 {
		gains = append(gains, gain{r.Now, u, fitting})
	}
	for _, e := range ends {
		if atOnce(e) || e.run.Task.Step.Spec.GetLasting() {
			continue
		}
		room = room.Plus(e.need)
		if n := r.countFitting(st, u, room, len(d.tasks)); n > fitting {
			gains = append(gains, gain{e.at, u, n - fitting})
			fitting = n
		}
	}
	return gains
}

// runEnd is the expected end of a run.
type runEnd struct {
	run      *pipeline.Run
	at       time.Duration
	need     pipeline.Resources
	stopping bool
}

// endsOn returns the expected ends of the runs on an upstream, in order. They are collected once in a round,
// for the plans of all gangs, and again after a stop there.
func (r *round) endsOn(u *Upstream) []runEnd {
	if u.knowsEnds {
		return u.ends
	}
	u.knowsEnds, u.ends = true, u.ends[:0]
	r.out.Inspected += len(u.Runs)
	for _, run := range u.Runs {
		u.ends = append(u.ends, runEnd{run, r.expectedEnd(run, u), run.Task.Step.Need, r.stopping(u, run)})
	}
	slices.SortFunc(u.ends, func(a, b runEnd) int { return cmp.Or(cmp.Compare(a.at, b.at), compareVictims(a.run, b.run)) })
	return u.ends
}

// expectedEnd returns when a run is expected to end.
func (r *round) expectedEnd(run *pipeline.Run, u *Upstream) time.Duration {
	whole := time.Duration(float64(r.expectedRun(run.Task.Step)) * u.slowness)
	left := whole - time.Duration(r.WallNS-run.PlacedNS)
	return r.Now + max(left, time.Duration(overdueShare*float64(whole)))
}

// expectedRun returns the expected run time of a task of a step on an upstream of average speed. Tasks
// of the step that are done predict it better than what the job declares.
func (r *round) expectedRun(st *pipeline.Step) time.Duration {
	if w := r.Steps[st]; w != nil && w.meanRunTime.count >= minSiblings {
		return time.Duration(w.meanRunTime.value)
	}
	return r.Learner.Expected(st)
}

// sufficient returns the upstreams with the most capacity that together fit all members of a gang;
// those that are reserved for it already come first.
func (r *round) sufficient(d demand, fits map[*Upstream]int, members int) []*Upstream {
	list := make([]*Upstream, 0, len(fits))
	for u := range fits {
		list = append(list, u)
	}
	own := func(u *Upstream) bool { return u.Reserved.For == d.work.Step && r.Now < u.Reserved.Until }
	slices.SortFunc(list, func(a, b *Upstream) int {
		return cmp.Or(compareBools(own(b), own(a)), cmp.Compare(fits[b], fits[a]), cmp.Compare(a.GetId(), b.GetId()))
	})
	n, room := 0, 0
	for n < len(list) && room < members {
		room += fits[list[n]]
		n++
	}
	return list[:n]
}

// capacityWhenIdle returns the number of members that fit on an upstream once all its runs except
// lasting ones have ended.
func capacityWhenIdle(st *pipeline.Step, u *Upstream) int {
	if !u.knowsWhenIdle {
		u.whenIdle, u.knowsWhenIdle = u.Capacity, true
		for _, run := range u.Runs {
			if run.Task.Step.Spec.GetLasting() {
				u.whenIdle = u.whenIdle.Minus(run.Task.Step.Need)
			}
		}
	}
	n := u.whenIdle.FitCount(st.Need, len(st.Tasks))
	if st.Spec.GetMaxPerUpstream() > 0 {
		n = min(n, int(st.Spec.GetMaxPerUpstream()))
	}
	return n
}

// reserve keeps work off the upstreams of a plan that would delay the planned start of a gang, if all of them may be
// reserved. Without a reservation small steps would take each core as soon as it is free.
func (r *round) reserve(d demand, plan gangPlan) {
	if r.Now-d.work.ReadyAt < reserveAfter {
		return
	}
	if before := r.release(d); r.mayReserve(d, plan) {
		r.keep(d, plan, before, Reservation{For: d.work.Step, From: plan.start, Until: plan.start + r.ticketTime(d, len(plan.upstreams)) + holdMargin})
	}
}

// keep reserves the upstreams of a plan. It reports a reservation if there was none before.
func (r *round) keep(d demand, plan gangPlan, before int, as Reservation) {
	for _, u := range plan.upstreams {
		u.Reserved = as
	}
	if before == 0 && len(plan.upstreams) > 0 {
		r.out.Reserved = append(r.out.Reserved, ReservedGang{d.work, len(d.tasks), len(plan.upstreams), plan.cores(), plan.start})
	}
}

// mayReserve reports whether the upstreams of a plan may be reserved besides those of other gangs.
func (r *round) mayReserve(d demand, plan gangPlan) bool { return plan.cores() <= r.reservable(d) }

// reservable returns the cores that may be reserved besides those of other gangs, in thousandths.
func (r *round) reservable(d demand) int64 {
	return int64(maxReserved*float64(r.poolFor(d).totalCores)) - r.reservedCores(d)
}

// reservablePart returns the part of a plan that may be reserved.
func (r *round) reservablePart(d demand, plan gangPlan) gangPlan {
	left, n := r.reservable(d), 0
	for n < len(plan.upstreams) && plan.upstreams[n].Capacity.MilliCores <= left {
		left -= plan.upstreams[n].Capacity.MilliCores
		n++
	}
	plan.upstreams = plan.upstreams[:n]
	return plan
}

// cores returns the size of a plan's upstreams in thousandths of a core.
func (p gangPlan) cores() (cores int64) {
	for _, u := range p.upstreams {
		cores += u.Capacity.MilliCores
	}
	return cores
}

// reservedCores returns the cores of the upstreams that are reserved for other gangs, in thousandths.
func (r *round) reservedCores(d demand) (cores int64) {
	for _, u := range r.usableFor(d) {
		if u.Reserved.For != nil && u.Reserved.For != d.work.Step && r.Now < u.Reserved.Until {
			cores += u.Capacity.MilliCores
		}
	}
	return cores
}

// holdUpstreams keeps other work off the upstreams of a gang that starts as soon as its tickets arrive, as far as they
// may be reserved, and stops the work that gives way to it. It reports whether the gang should ask: it doesn't if
// upstreams on which work has to be stopped can't be held, as other work would take their capacity.
func (r *round) holdUpstreams(d demand, plan gangPlan, ticketTime time.Duration) bool {
	before := r.release(d)
	if plan.preempts && !r.mayReserve(d, plan) {
		d.work.holdRefused = true
		return false
	}
	r.keep(d, r.reservablePart(d, plan), before, Reservation{For: d.work.Step, From: r.Now, Until: r.Now + ticketTime + holdMargin + ticketLife(d.queue)})
	if plan.preempts && r.Now >= d.work.nextPreempt {
		r.stopForGang(d, plan)
	}
	return true
}

// stopForGang stops work of less urgent queues on the upstreams of a plan.
func (r *round) stopForGang(d demand, plan gangPlan) {
	missing := len(d.tasks)
	for _, u := range plan.upstreams {
		if missing <= 0 {
			break
		}
		victims, fit := r.victims(d, u, missing)
		for _, v := range victims {
			r.stop(v, d.work)
		}
		missing -= fit
	}
	d.work.nextPreempt = r.Now + preemptPause
}

// ticketLife returns how long a queue's tickets are valid.
func ticketLife(q *pipelinev1.Queue) time.Duration {
	return time.Duration(q.GetPermits().GetValidMs()) * time.Millisecond
}

// release ends the reservations for a step and returns the number of upstreams that were reserved.
func (r *round) release(d demand) (n int) {
	for _, u := range r.usableFor(d) {
		if u.Reserved.For != d.work.Step {
			continue
		}
		if r.Now < u.Reserved.Until {
			n++
		}
		u.Reserved = Reservation{}
	}
	return n
}
