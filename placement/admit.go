package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Admission of new jobs. It answers three patterns of load: one team that sends many times its usual,
// which must not use up the places of the others; all callers that come back at once after a loss of
// power, whose returns have to be spread; and jobs that can't be done, which would wait until their
// callers give up.
const (
	// crowdedPart is the part of the places below which every job is taken. Above it, a team that holds
	// more than its share of the places is refused.
	crowdedPart = 0.5
	// maxTeamPart is the part of the places that one team gets at most, even if no other team has jobs.
	maxTeamPart = 0.75
	// minReturn and maxReturn bound the time after which a refused caller should return.
	minReturn = time.Second
	maxReturn = time.Minute
	// endsMemory is the time constant of the measured rates at which jobs end.
	endsMemory = 10 * time.Second
	// firstEndRate is the assumed rate, in jobs a second, where no end was seen lately.
	firstEndRate = 5.0
)

// RefusalReason says why a job is not taken.
type RefusalReason string

// Reasons to refuse a job. ReasonUnservable does not change by waiting.
const (
	ReasonUnservable RefusalReason = "unservable"
	ReasonTeamShare  RefusalReason = "the team holds its share of the places for jobs"
	ReasonFull       RefusalReason = "all places for jobs are taken"
	ReasonTooLate    RefusalReason = "the result would come too late to be of use"
	ReasonTeamExcess RefusalReason = "the team is over its share, and the result would come too late to be of use"
)

// Refusal is a decision not to take a job; its zero value takes the job.
type Refusal struct {
	Reason RefusalReason
	Detail string

	// Cost is what the decision is based on, for refusals by cost.
	Cost Cost

	// ahead is the number of jobs of holder that have to end first.
	ahead  int
	holder *holding
}

// Admission decides which new jobs are taken. A job holds a place until it ends.
type Admission struct {
	places int
	// cell holds the jobs of all teams.
	cell  holding
	teams map[string]*holding
	// refusing are the queues' thresholds that were exceeded last; see above.
	refusing map[refusalKey]bool
}

// holding is what the jobs of a team, or all jobs, hold.
type holding struct {
	weight int64
	// live is the number of places.
	live int
	// admitted is the decaying number of jobs that were taken lately.
	admitted jobRate
	// ends is the decaying number of ends at endsAt; divided by endsMemory it is their rate.
	ends   float64
	endsAt time.Duration
	// lastReturn is the latest time at which a refused caller was asked to return.
	lastReturn time.Duration
	// lastCostReturn is the same for callers that were refused by cost.
	lastCostReturn time.Duration
}

// NewAdmission returns an Admission with a number of places and no jobs.
func NewAdmission(places int) *Admission {
	return &Admission{places: places, teams: make(map[string]*holding), refusing: make(map[refusalKey]bool)}
}

// JobAdded records that a job of a team holds a place.
func (a *Admission) JobAdded(team string) {
	a.cell.live++
	a.team(team).live++
}

// JobGiven records that a job that holds a place belongs to another team than before.
func (a *Admission) JobGiven(from, to string) {
	a.team(from).live--
	a.team(to).live++
}

// Places returns the number of places that the jobs of a team hold.
func (a *Admission) Places(team string) int {
	if h := a.teams[team]; h != nil {
		return h.live
	}
	return 0
}

// JobEnded records that a job of a team gives up its place.
func (a *Admission) JobEnded(team string, now time.Duration) {
	a.cell.end(now)
	a.team(team).end(now)
}

// Decide decides on a new job of a team, which is nil for a job without a key. Nothing is refused by its cost to
// others while the backlog is not known.
func (a *Admission) Decide(team *pipelinev1.Team, spec *pipelinev1.JobSpec, queue *pipelinev1.Queue, b *Backlog, now time.Duration) Refusal {
	if detail := unservable(team, spec); detail != "" {
		return Refusal{Reason: ReasonUnservable, Detail: detail}
	}
	t := a.team(team.GetName())
	t.weight = max(1, team.GetWeight())
	bound := max(1, int(float64(a.places)*min(maxTeamPart, a.share(t))))
	switch crowded := float64(a.cell.live) >= crowdedPart*float64(a.places); {
	case crowded && t.live >= bound:
		return a.refusal(ReasonTeamShare, t, t.live-bound+1)
	case a.cell.live >= a.places:
		return a.refusal(ReasonFull, &a.cell, a.cell.live-a.places+1)
	}
	return a.decideCost(t, team.GetName(), spec, queue, b, now)
}

// unservable returns why a job can never run under the team's limit, or an empty string.
func unservable(team *pipelinev1.Team, spec *pipelinev1.JobSpec) string {
	limit := pipeline.ResourcesFromProto(team.GetLimit())
	for i, s := range spec.GetSteps() {
		atOnce, what := int64(1), "a task"
		if s.GetGang() {
			atOnce, what = int64(s.GetCount()), "the gang"
		}
		if need := pipeline.ResourcesFromProto(s.GetNeed()).Times(atOnce); !need.WithinLimit(limit) {
			return fmt.Sprintf("step %d: %s needs %v at once, which is above the team's limit of %v", i, what, need, limit)
		}
	}
	return ""
}

// share returns a team's share of the places by weight, among the teams that hold any.
func (a *Admission) share(t *holding) float64 {
	sum := int64(0)
	for _, other := range a.teams {
		if other.live > 0 || other == t {
			sum += max(1, other.weight)
		}
	}
	return float64(t.weight) / float64(sum)
}

func (a *Admission) refusal(reason RefusalReason, holder *holding, ahead int) Refusal {
	return Refusal{Reason: reason, Detail: fmt.Sprintf("%s: %d of %d are taken", reason, a.cell.live, a.places), ahead: ahead, holder: holder}
}

// ReturnAfter returns when the caller of a refused job should return; zero if only another configuration
// helps. Each call counts as one caller that was told so.
func (a *Admission) ReturnAfter(r Refusal, now time.Duration) time.Duration {
	if r.holder == nil {
		return 0
	}
	if r.Cost.wait > 0 {
		return r.holder.costReturn(r.Cost.wait, r.Cost.interval, now) - now
	}
	return r.holder.nextReturn(r.ahead, now) - now
}

// team returns what a team holds.
func (a *Admission) team(name string) *holding {
	h := a.teams[name]
	if h == nil {
		h = &holding{weight: 1}
		a.teams[name] = h
	}
	return h
}

// end records the end of a job.
func (h *holding) end(now time.Duration) {
	h.live--
	h.ends, h.endsAt = h.endsNow(now)+1, now
}

// endsNow returns the decayed number of ends.
func (h *holding) endsNow(now time.Duration) float64 {
	return h.ends * decay(now-h.endsAt, endsMemory)
}

// decay returns what is left of a decaying sum after some time.
func decay(after, constant time.Duration) float64 {
	return math.Exp(-after.Seconds() / constant.Seconds())
}

// nextReturn returns when the next refused caller should return, if that many jobs have to end first:
// callers return one after the other, in the order of their refusals and at the rate at which places
// become free. Those whose turn is later than maxReturn are spread over the second half of that time.
func (h *holding) nextReturn(ahead int, now time.Duration) time.Duration {
	rate := h.endsNow(now) / endsMemory.Seconds()
	if rate < 10/maxReturn.Seconds() {
		rate = firstEndRate
	}
	interval := time.Duration(float64(time.Second) / rate)
	wait := min(maxReturn/2, max(minReturn, time.Duration(ahead)*interval))
	h.lastReturn = max(now+wait, h.lastReturn+interval)
	if h.lastReturn > now+maxReturn {
		h.lastReturn = now + maxReturn/2
	}
	return h.lastReturn
}
