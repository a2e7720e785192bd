package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// gangSurplus is the capacity for which the start of a gang is planned, as a multiple of what it
	// needs: some upstreams become unavailable, or free later than expected.
	gangSurplus = 1.1
	// maxPlannedUpstreams bounds the upstreams on which a gang's start is planned.
	maxPlannedUpstreams = 120
	// overdueShare is the remaining time of a run that has exceeded its expected run time, as a
	// share of that time.
	overdueShare = 0.25
)

// gangPlan is the earliest time at which some upstreams have capacity for all members of a gang.
type gangPlan struct {
	start     time.Duration
	upstreams []*Upstream
	// preempts is set if work of less urgent queues has to be stopped for it.
	preempts bool
}

// cores returns the size of a plan's upstreams in thousandths of a core.
func (p gangPlan) cores() (cores int64) {
	for _, u := range p.upstreams {
		cores += u.Capacity.MilliCores
	}
	return cores
}

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
