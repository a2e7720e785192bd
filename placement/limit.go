package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// promiseAhead is how far ahead a gang's start within its team's limit may be at most for the team's
// other work to make room for it, and minPromiseAhead what it may be for a gang that runs for less.
const (
	promiseAhead    = 3 * time.Second
	minPromiseAhead = 300 * time.Millisecond
	// promiseTurn is how long a team that uses little of its limit keeps its other steps waiting for a gang, and
	// how long these then have their turn.
	promiseTurn = 2 * time.Second
)

// teamLimit returns the limit of a demand's team; zero in a dimension means no limit.
func (r *round) teamLimit(d demand) pipeline.Resources {
	return pipeline.ResourcesFromProto(r.State.Config().Team(d.work.Step.Job().Team).GetLimit())
}

// teamUse returns what a demand's team would use with some more tasks of the demand.
func (r *round) teamUse(d demand, tasks int) pipeline.Resources {
	team := d.work.Step.Job().Team
	return r.State.Used(team).Plus(r.used[team]).Plus(d.work.Step.Need.Times(int64(tasks)))
}

// usesLittle reports whether a demand's team uses so little of its limit that no work is held back within it.
func (r *round) usesLittle(d demand) bool {
	return r.teamUse(d, 0).WithinLimit(r.teamLimit(d).Share(heldBackFrom))
}

// withinLimit reports whether one more task of the step, or all members of a gang, stay within the
// team's limit.
func (r *round) withinLimit(d demand) bool {
	return r.teamUse(d, d.atOnce()).Plus(r.promisedToOthers(d)).WithinLimit(r.teamLimit(d))
}

// mayAsk reports whether tickets are of use to a demand although its team's limit may be reached. Urgent steps
// need them as soon as runs of the team end; without them the team's other steps, which have some, would take
// what these leave. For a gang, less urgent work of the team is stopped only once it has tickets. In either case
// they are of use only to those demands that then are within the limit together: a team that sends many times
// its usual has hundreds waiting, and questions for all of them would keep the callers from asking for others.
func (r *round) mayAsk(d demand) bool {
	if r.withinLimit(d) || !r.mayPreempt(d) {
		return r.withinLimit(d)
	}
	team := d.work.Step.Job().Team
	r.nextAtLimit[team] = r.nextAtLimit[team].Plus(d.work.Step.Need.Times(int64(len(d.tasks))))
	var given pipeline.Resources
	switch {
	case d.work.Step.Spec.GetGang():
		y := r.yieldOf(team, d.queue.GetPriority())
		given = y.stopping.Plus(y.given)
	case d.work.hasTicket(r.Now):
		return false
	default:
		given = r.releasedBefore(team, r.Now+ticketLife(d.queue))
	}
	return r.teamUse(d, 0).Plus(r.nextAtLimit[team]).Minus(given).WithinLimit(r.teamLimit(d))
}

// releasedBefore returns what a team's runs hold that are expected to end before some time.
func (r *round) releasedBefore(team string, at time.Duration) (sum pipeline.Resources) {
	for _, l := range r.releasesOf(team) {
		if l.at > at {
			break
		}
		sum = sum.Plus(l.need)
	}
	return sum
}

// promise is what a round keeps within a team's limit for a gang, so that the team's demands that come after
// it don't take it.
type promise struct {
	step *pipeline.Step
	need pipeline.Resources
}

// promiseNextEnds keeps what a gang needs within its team's limit, if enough runs of the team end soon.
// Otherwise the team's small steps would take each part of the limit that becomes free, and the gang would
// never start.
func (r *round) promiseNextEnds(d demand) {
	if r.Now-d.work.ReadyAt < reserveAfter || d.urgency.prospect == tooLate {
		return
	}
	ahead := min(promiseAhead, max(minPromiseAhead, r.Learner.Expected(d.work.Step)/2))
	at, ok := r.startWithinLimit(d)
	if !ok || at-r.Now > ahead || r.usesLittle(d) && !d.work.awaitsLimit(at, r.Now) {
		return
	}
	r.promise(d)
}

// awaitsLimit reports whether a gang waits, by turns with its team's other steps, for a start within the team's limit
// that is expected at some time. Runs that take longer than expected delay it again and again.
func (w *Work) awaitsLimit(at, now time.Duration) bool {
	if w.limitAwaited == 0 || now >= w.limitAwaited+promiseTurn {
		w.limitAwaited = min(at, now+promiseTurn)
	}
	return now < w.limitAwaited
}

// promiseStart keeps what a gang needs within its team's limit while its tickets are there or on the way.
// Otherwise less urgent work of the team would take what the runs that were stopped for the gang have left, and
// would be stopped in turn, until the gang starts by chance. One gang of a team at a time is waited for so.
func (r *round) promiseStart(d demand) {
	if !r.lessUrgentExists(d) || len(r.promised[d.work.Step.Job().Team]) > 0 || len(d.work.Pending) == 0 && !d.work.hasTicket(r.Now) {
		return
	}
	if !r.usesLittle(d) || d.work.awaitsLimit(r.Now+promiseTurn, r.Now) {
		r.promise(d)
	}
}

// promise keeps what a gang needs within its team's limit.
func (r *round) promise(d demand) {
	team := d.work.Step.Job().Team
	r.promised[team] = append(r.promised[team], promise{d.work.Step, d.work.Step.Need.Times(int64(len(d.tasks)))})
}

// promisedToOthers returns what is kept within the limit of a demand's team for other steps.
func (r *round) promisedToOthers(d demand) (sum pipeline.Resources) {
	for _, p := range r.promised[d.work.Step.Job().Team] {
		if p.step != d.work.Step {
			sum = sum.Plus(p.need)
		}
	}
	return sum
}

// startWithinLimit returns when enough runs of a gang's team are expected to have ended for the
// whole gang to stay within the team's limit.
func (r *round) startWithinLimit(d demand) (time.Duration, bool) {
	use, limit := r.teamUse(d, len(d.tasks)), r.teamLimit(d)
	for _, l := range r.releasesOf(d.work.Step.Job().Team) {
		if use = use.Minus(l.need); use.WithinLimit(limit) {
			return l.at, true
		}
	}
	return 0, false
}

// release is what becomes free when a run ends, as expected.
type release struct {
	at   time.Duration
	need pipeline.Resources
}

// releasesOf returns the expected ends of a team's runs, in order. They are collected once in a round, for all
// gangs of the team.
func (r *round) releasesOf(team string) []release {
	list, known := r.teamReleases[team]
	if known {
		return list
	}
	for _, run := range r.liveRunsOf(team) {
		if u := r.byID[run.Upstream.GetId()]; u != nil && !run.Task.Step.Spec.GetLasting() {
			at := r.expectedEnd(run, u)
			if r.stopping(u, run) {
				at = r.Now
			}
			list = append(list, release{at, run.Task.Step.Need})
		}
	}
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	r.teamReleases[team] = list
	return list
}

// liveRunsOf returns the runs of a team in the order of compareVictims. They are collected when they
// are first needed in a round.
func (r *round) liveRunsOf(team string) []*pipeline.Run {
	list, known := r.teamRuns[team]
	if !known {
		for run := range r.State.RunsOf(team) {
			list = append(list, run)
		}
		slices.SortFunc(list, compareVictims)
		r.teamRuns[team] = list
	}
	return list
}
