package entry

import (
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/view"
	"golang.org/x/time/rate"
)

// admission decides which calls an entry takes before it forwards them. The leader
// checks each again.
type admission struct {
	limits  Limits
	view    *view.Store
	gate    gate
	teams   teamGate
	unknown *rate.Limiter
}

func newAdmission(limits Limits, store *view.Store) *admission {
	return &admission{limits: limits, view: store,
		gate:    gate{maxCalls: int64(limits.MaxCalls), maxHeld: int64(limits.MaxHeld)},
		teams:   teamGate{limits: limits, teams: make(map[string]*teamUse)},
		unknown: rate.NewLimiter(rate.Limit(limits.UnknownRate), max(1, int(limits.UnknownRate)))}
}

// refusal is the reason why a call is not taken. Nothing was proposed for it.
type refusal struct {
	reason apiv1.Reason
	detail string
}

func refused(reason apiv1.Reason, format string, args ...any) *refusal {
	return &refusal{reason, fmt.Sprintf(format, args...)}
}

// outcome is the refusal as a value of the public schema: a submit that was surely
// never sent before did not run; of any other this entry can't tell.
func (r *refusal) outcome(firstSend bool) *apiv1.Outcome {
	kind := apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	if firstSend {
		kind = apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	}
	return &apiv1.Outcome{Kind: kind, Reason: r.reason, Detail: r.detail}
}

// fresh refuses everything while no quorum-backed leader was heard of for a while.
func (a *admission) fresh() *refusal {
	if a.view == nil || a.view.Fresh() {
		return nil
	}
	age, ok := a.view.Age()
	if !ok {
		return refused(apiv1.Reason_REASON_NO_LEADER, "this entry has not heard of a leader yet; try another entry")
	}
	return refused(apiv1.Reason_REASON_NO_LEADER, "this entry last heard of a leader %s ago; try another entry", age.Round(100_000_000))
}

// judge turns the view's decision into a refusal. A key or queue that the view does not
// know goes to the leader, at a bounded rate.
func (a *admission) judge(d view.Decision) *refusal {
	switch {
	case d.Verdict == view.Refused:
		return &refusal{d.Reason, d.Detail}
	case d.Verdict == view.Unsure && !a.unknown.Allow():
		return refused(apiv1.Reason_REASON_OVERLOADED, "too many calls with an unknown key or queue; retry later")
	}
	return nil
}

// forQueue admits a caller's key on a queue.
func (a *admission) forQueue(hash []byte, queue string) (team string, r *refusal) {
	if a.view == nil {
		return "", nil
	}
	d := a.view.ForQueue(hash, queue)
	return d.Team, a.judge(d)
}

// forRole admits a key with a role.
func (a *admission) forRole(hash []byte, role apiv1.KeyRole) *refusal {
	if a.view == nil {
		return nil
	}
	return a.judge(a.view.ForRole(hash, role))
}

// enter takes a place for a call of a class; the release must be called at its end.
func (a *admission) enter(c class) (release func(), r *refusal) {
	if !a.gate.enter(c) {
		shedCalls.Add(className[c], 1)
		return nil, refused(apiv1.Reason_REASON_OVERLOADED, "this entry is overloaded with %s; retry later", className[c])
	}
	return func() { a.gate.leave(c) }, nil
}

// enterTeam takes a place within a team's bounds.
func (a *admission) enterTeam(team string, bytes int64) (release func(), r *refusal) {
	if full := a.teams.enter(team, bytes); full != "" {
		shedCalls.Add("team", 1)
		return nil, refused(apiv1.Reason_REASON_OVERLOADED, "team %q is over its bound on %s at this entry; retry later", team, full)
	}
	return func() { a.teams.leave(team, bytes) }, nil
}

var className = map[class]string{
	classBatch: "batch submits", classUrgent: "urgent submits", classCaller: "callers' reads",
	classOperator: "operators' calls", classWait: "waits", classPoll: "polls",
}
