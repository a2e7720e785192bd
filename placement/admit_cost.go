package placement

import (
	"fmt"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// threshold is a bound above which refusal begins, and the lower one below which it ends: callers that were refused
// return, and must not meet a second wave.
type threshold struct{ begin, end float64 }

var (
	// hopeless is the expected wait of a job as a multiple of the time in which its result is still of use. Estimates
	// of single jobs are off by up to nine tenths, so that only a clear factor tells.
	hopeless = threshold{begin: 2, end: 1.5}
	// excess is the expected end of a job as a multiple of its late bound, for jobs of a team that is over its share:
	// what it sends beyond that is what makes the jobs of others late.
	excess = threshold{begin: 1.75, end: 1.3}
)

// callerPatience is how long callers try to hand a job in. One that is told to return later does not, and takes no
// turn among those that do.
const callerPatience = 3 * time.Second

// refusalKey is a reason to refuse jobs of a queue.
type refusalKey struct {
	queue  pipeline.Route
	reason RefusalReason
}

// Cost is what a refusal by cost is based on.
type Cost struct {
	// BacklogCoreMS is the work before the job, RateCoreMS how much of it is done a second.
	BacklogCoreMS, RateCoreMS float64
	// Start is the expected time until the job's work begins, End until its result, LateBound the time from which on
	// the result is of no use.
	Start, End, LateBound time.Duration

	wait, interval time.Duration
}

// decideCost decides whether a job can be of use with the capacity that there is. Jobs of a team that is over its share
// are refused first. Lasting, repeating and scheduled jobs have no objective that begins now.
func (a *Admission) decideCost(t *holding, team string, spec *pipelinev1.JobSpec, queue *pipelinev1.Queue, b *Backlog, now time.Duration) Refusal {
	if b == nil || !b.known || queue == nil || spec.GetRepeatCount() > 0 || spec.GetStartAtMs() > 0 || hasLastingStep(spec) {
		return Refusal{}
	}
	f := b.forecast(team, spec, queue)
	usable := max(f.lateBound()-f.chain, time.Millisecond)
	late := a.exceeds(refusalKey{pipeline.RouteOf(queue), ReasonTooLate}, hopeless, f.start.Seconds()/usable.Seconds())
	tooMuch := a.exceeds(refusalKey{pipeline.RouteOf(queue), ReasonTeamExcess}, excess, f.end().Seconds()/max(f.lateBound(), time.Millisecond).Seconds())
	switch {
	case tooMuch && b.overShare(queue, team) && a.sendsExcess(t, now):
		return costRefusal(ReasonTeamExcess, t, f, time.Duration(excess.end*float64(f.lateBound()))-f.chain)
	case late:
		return costRefusal(ReasonTooLate, t, f, time.Duration(hopeless.end*float64(usable)))
	}
	return Refusal{}
}

// exceeds reports whether a value is above a threshold, which has two bounds.
func (a *Admission) exceeds(key refusalKey, t threshold, value float64) bool {
	bound := t.begin
	if a.refusing[key] {
		bound = t.end
	}
	a.refusing[key] = value > bound
	return value > bound
}

// costRefusal returns the refusal of a job that would be taken if its work began within some time.
func costRefusal(reason RefusalReason, t *holding, f forecast, within time.Duration) Refusal {
	c := Cost{BacklogCoreMS: f.backlog, RateCoreMS: f.rate, Start: f.start, End: f.end(), LateBound: f.lateBound()}
	c.wait = max(f.start-max(within, 0), time.Millisecond)
	c.interval = time.Duration(f.work / f.rate * float64(time.Second))
	return Refusal{Reason: reason, holder: t, Cost: c, Detail: fmt.Sprintf("%s: its result is expected after %v and of use for %v",
		reason, c.End.Round(100*time.Millisecond), c.LateBound.Round(100*time.Millisecond))}
}

// costReturn returns when the next caller of a team that is refused by cost should return, if there is room for the
// first one after some time and for each further one after an interval.
func (h *holding) costReturn(wait, interval, now time.Duration) time.Duration {
	at := max(now+max(minReturn, wait), h.lastCostReturn+interval)
	if at <= now+callerPatience {
		h.lastCostReturn = at
	}
	return min(at, now+maxReturn)
}

// overShare reports whether a team is over its share in what a queue's priority and more urgent ones used lately and
// have left to do.
func (b *Backlog) overShare(q *pipelinev1.Queue, team string) bool {
	s := b.services[q.GetService()]
	if s == nil || s.classes[q.GetPriority()] == nil {
		return false
	}
	return s.classes[q.GetPriority()].overShare[team]
}

// hasLastingStep reports whether a job runs until it is cancelled.
func hasLastingStep(spec *pipelinev1.JobSpec) bool {
	for _, st := range spec.GetSteps() {
		if st.GetLasting() {
			return true
		}
	}
	return false
}
