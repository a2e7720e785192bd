package entry

import (
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/view"
	"golang.org/x/time/rate"
)

// admission decides which calls an entry accepts before it forwards them. The leader
// checks each of them again.
type admission struct {
	limits         Limits
	view           *view.Store
	openCalls      callLimiter
	teams          teamLimiter
	unknownLimiter *rate.Limiter
}

func newAdmission(limits Limits, store *view.Store) *admission {
	return &admission{limits: limits, view: store,
		openCalls:      callLimiter{maxCalls: int64(limits.MaxCalls), maxHeld: int64(limits.MaxHeld)},
		teams:          teamLimiter{limits: limits, teams: make(map[string]*teamUsage)},
		unknownLimiter: rate.NewLimiter(rate.Limit(limits.UnknownRate), max(1, int(limits.UnknownRate)))}
}

// refusal is the reason why an entry refuses a call. Nothing was proposed for the call.
type refusal struct {
	reason apiv1.Reason
	detail string
}

func newRefusal(reason apiv1.Reason, format string, args ...any) *refusal {
	return &refusal{reason, fmt.Sprintf(format, args...)}
}

// outcome returns the refusal as a value of the public API: NOT_RUN for a submit that was
// certainly never sent before, else UNDETERMINED, because an earlier send may have had an effect.
func (r *refusal) outcome(firstSend bool) *apiv1.Outcome {
	kind := apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	if firstSend {
		kind = apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	}
	return &apiv1.Outcome{Kind: kind, Reason: r.reason, Detail: r.detail}
}

// checkViewFresh refuses every call while the view is stale, that is, while no leader with a
// quorum has confirmed it recently.
func (a *admission) checkViewFresh() *refusal {
	if a.view == nil || a.view.Fresh() {
		return nil
	}
	age, ok := a.view.Age()
	if !ok {
		return newRefusal(apiv1.Reason_REASON_NO_LEADER, "this entry has not heard of a leader yet; try another entry")
	}
	return newRefusal(apiv1.Reason_REASON_NO_LEADER, "this entry last heard of a leader %s ago; try another entry", age.Round(100_000_000))
}

// revision returns the revision of the view, or 0 without a view.
func (a *admission) revision() uint64 {
	if a.view == nil {
		return 0
	}
	return a.view.Revision()
}

// refusalFor converts the view's decision into a refusal, or nil. A call with a key or queue that
// the view does not know is forwarded to the leader, at a limited rate.
func (a *admission) refusalFor(d view.Decision) *refusal {
	switch {
	case d.Verdict == view.Refused:
		return &refusal{d.Reason, d.Detail}
	case d.Verdict == view.Unknown && !a.unknownLimiter.Allow():
		return newRefusal(apiv1.Reason_REASON_OVERLOADED, "too many calls with an unknown key or queue; retry later")
	}
	return nil
}

// checkQueue checks a caller's key for a queue and returns the team that the call counts for.
func (a *admission) checkQueue(hash []byte, queue string) (team string, r *refusal) {
	if a.view == nil {
		return "", nil
	}
	d := a.view.ForQueue(hash, queue)
	return d.Team, a.refusalFor(d)
}

// checkRole checks that a key has a role.
func (a *admission) checkRole(hash []byte, role apiv1.KeyRole) *refusal {
	if a.view == nil {
		return nil
	}
	return a.refusalFor(a.view.ForRole(hash, role))
}

// acquire counts an open call of a class, or refuses it if the entry has too many; release
// must be called at the end of the call.
func (a *admission) acquire(c class) (release func(), r *refusal) {
	if !a.openCalls.acquire(c) {
		shedCalls.Add(className[c], 1)
		return nil, newRefusal(apiv1.Reason_REASON_OVERLOADED, "this entry is overloaded with %s; retry later", className[c])
	}
	return func() { a.openCalls.release(c) }, nil
}

// acquireTeam counts an open submit of a team, or refuses it if the team exceeds its limits;
// release must be called at the end of the call.
func (a *admission) acquireTeam(team string, bytes int64) (release func(), r *refusal) {
	if full := a.teams.acquire(team, bytes); full != "" {
		shedCalls.Add("team", 1)
		return nil, newRefusal(apiv1.Reason_REASON_OVERLOADED, "team %q is over its bound on %s at this entry; retry later", team, full)
	}
	return func() { a.teams.release(team, bytes) }, nil
}

var className = map[class]string{
	classBatch: "batch submits", classUrgent: "urgent submits", classCaller: "callers' reads",
	classOperator: "operators' calls", classWait: "waits", classPoll: "polls",
}
