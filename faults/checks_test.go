package faults

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// effectBound is the longest time in which a change has to take effect, where the invariant
// says "a few seconds".
const effectBound = 5 * time.Second

// check finds breaches of one invariant of the system in a history. find returns a
// description of each breach.
type check struct {
	name string
	find func(h *history) []string
}

// checks holds one check per invariant. The names appear in the fault matrix.
var checks = []check{
	{"no VM is overcommitted", overcommitted},
	{"no task runs in two places", inTwoPlaces},
	{"work is taken only for the team of the key, and a withdrawn key stops working", wrongKey},
	{"no team is above its upper limit", overLimit},
	{"no task starts in a failure domain that is out", startedInOutage},
	{"every caller gets the whole answer to its own request", wrongAnswer},
	{"a refusal that says not run is true", falseNotRun},
	{"work that may not be repeated runs at most once", ranTwice},
	{"a leaving upstream gets no new work", startedOnLeaving},
	{"a graceful shutdown cuts no request", abortedRequests},
	{"accepted configuration is in force within seconds and never reverts", revertedConfig},
	{"operations on the configuration are linearizable", notLinearizable},
	{"all accepted work ends", notEnded},
}

// usageChange is a change of the resources in use at one place.
type usageChange struct {
	at     time.Time
	amount resource.Vector // negative at the end of a run
	label  string          // the attempt that causes it
}

// boundsExceeded returns a breach for each place whose use exceeds its bound at some
// instant. place maps a run to the key of bounds that it counts towards; what names the kind of
// place in the breach.
func boundsExceeded(h *history, what string, bounds map[string]resource.Vector, place func(run) string) []string {
	changes := make(map[string][]usageChange)
	for _, r := range h.runs {
		for _, s := range r.spans {
			p, label := place(r), fmt.Sprintf("%s task %d attempt %d", r.work.request, r.index, r.attempt)
			changes[p] = append(changes[p], usageChange{s.from, r.reserved, label}, usageChange{s.to, resource.Vector{}.Sub(r.reserved), label})
		}
	}
	var out []string
	for p, list := range changes {
		bound, ok := bounds[p]
		if !ok {
			continue
		}
		// At equal times, ends come before starts.
		slices.SortStableFunc(list, func(a, b usageChange) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.amount[resource.Slots], b.amount[resource.Slots]))
		})
		var used resource.Vector
		for _, s := range list {
			used = used.Add(s.amount)
			if d, fits := used.FirstOver(bound); !fits {
				out = append(out, fmt.Sprintf("%s %s: %d of %d %s at %s, with %s", what, p, used[d], bound[d], d, h.at(s.at), s.label))
				break
			}
		}
	}
	return out
}

// overcommitted finds VMs on which more is in use than their capacity.
func overcommitted(h *history) []string {
	return boundsExceeded(h, "VM", h.vms, func(r run) string { return r.vm })
}

// overLimit finds teams that use more than their limit.
func overLimit(h *history) []string {
	return boundsExceeded(h, "team", h.limits, func(r run) string { return r.work.team })
}

// overlap reports whether two spans have time in common.
func overlap(a, b span) bool { return a.from.Before(b.to) && b.from.Before(a.to) }

// inTwoPlaces finds tasks with two attempts at work at the same time.
func inTwoPlaces(h *history) []string {
	var out []string
	for i, a := range h.runs {
		for _, b := range h.runs[i+1:] {
			if a.job != b.job || a.index != b.index {
				continue
			}
			for _, sa := range a.spans {
				for _, sb := range b.spans {
					if overlap(sa, sb) {
						out = append(out, fmt.Sprintf("%s task %d: attempt %d on %s until %s, attempt %d on %s from %s", a.work.request,
							a.index, a.attempt, a.upstream, h.at(sa.to), b.attempt, b.upstream, h.at(sb.from)))
					}
				}
			}
		}
	}
	return out
}

// wrongKey finds requests that were accepted or ran with the key of another team, or with a key
// that was withdrawn more than effectBound before.
func wrongKey(h *history) []string {
	var out []string
	for _, s := range h.submissions {
		accepted := s.outcome.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED || h.ran(s.request)
		if accepted && s.queueTeam != "" && s.keyTeam != s.queueTeam {
			out = append(out, fmt.Sprintf("%s of team %q was accepted on a queue of team %q", s.request, s.keyTeam, s.queueTeam))
		}
		if accepted && !s.withdrawn.IsZero() && s.sent.After(s.withdrawn.Add(effectBound)) {
			out = append(out, fmt.Sprintf("%s was sent at %s and accepted; its key was withdrawn at %s", s.request, h.at(s.sent), h.at(s.withdrawn)))
		}
	}
	for _, r := range h.runs {
		for _, s := range h.submissions {
			if s.request == r.work.request && s.keyTeam != r.work.team {
				out = append(out, fmt.Sprintf("%s of team %q ran for team %q", s.request, s.keyTeam, r.work.team))
			}
		}
	}
	return out
}

// ran reports whether any task of a request ran.
func (h *history) ran(request string) bool {
	return slices.ContainsFunc(h.runs, func(r run) bool { return r.work.request == request })
}

// startedInOutage finds tasks that started in a failure domain more than effectBound after it
// was set out.
func startedInOutage(h *history) []string {
	var out []string
	for _, o := range h.outages {
		for _, r := range h.runs {
			from := r.spans[0].from
			if r.domain == o.domain && from.After(o.from.Add(effectBound)) && from.Before(o.to) {
				out = append(out, fmt.Sprintf("%s started on %s at %s; %s was out from %s", r.work.request, r.upstream, h.at(from), o.domain, h.at(o.from)))
			}
		}
	}
	return out
}

// startedOnLeaving finds tasks that started on an upstream more than effectBound after it asked
// to leave.
func startedOnLeaving(h *history) []string {
	var out []string
	for _, l := range h.departures {
		for _, r := range h.runs {
			from := r.spans[0].from
			if r.upstream == l.upstream && from.After(l.from.Add(effectBound)) && from.Before(l.to) {
				out = append(out, fmt.Sprintf("%s started on %s at %s; it was leaving from %s", r.work.request, r.upstream, h.at(from), h.at(l.from)))
			}
		}
	}
	return out
}

// wrongAnswer finds answered jobs whose answers are not those of their own tasks.
func wrongAnswer(h *history) []string {
	var out []string
	for _, s := range h.submissions {
		if s.end.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
			continue
		}
		if len(s.end.GetTasks()) != len(s.payloads) {
			out = append(out, fmt.Sprintf("%s: %d answers to %d tasks", s.request, len(s.end.GetTasks()), len(s.payloads)))
			continue
		}
		for i, t := range s.end.GetTasks() {
			if mismatch := answerMismatch(t.GetAnswer(), answerOf(s.payloads[i], int32(i))); mismatch != "" {
				out = append(out, fmt.Sprintf("%s task %d: %s", s.request, i, mismatch))
			}
		}
	}
	return out
}

// answerMismatch returns how an answer differs from the body wanted, or "".
func answerMismatch(a *apiv1.Answer, want []byte) string {
	sum := sha256.Sum256(want)
	switch {
	case !bytes.Equal(a.GetBody(), want):
		return fmt.Sprintf("answer %q instead of %q", a.GetBody(), want)
	case a.GetLength() != uint64(len(want)):
		return "wrong length"
	case !bytes.Equal(a.GetSha256(), sum[:]):
		return "wrong digest"
	}
	return ""
}

// falseNotRun finds work that ran although its caller was told that it was not run.
func falseNotRun(h *history) []string {
	var out []string
	for _, s := range h.submissions {
		told := s.outcome.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN ||
			s.end.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		if told && h.ran(s.request) {
			out = append(out, fmt.Sprintf("%s ran, but its caller was told that it was not run", s.request))
		}
		for i, t := range s.end.GetTasks() {
			ran := func(r run) bool { return r.work.request == s.request && r.index == int32(i) }
			if t.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN && slices.ContainsFunc(h.runs, ran) {
				out = append(out, fmt.Sprintf("%s task %d ran, but its caller was told that it was not run", s.request, i))
			}
		}
	}
	return out
}

// ranTwice finds tasks that ran more than once although their job may not be repeated.
func ranTwice(h *history) []string {
	var out []string
	for _, s := range h.submissions {
		if s.repeatable {
			continue
		}
		runs := make(map[int32]int)
		for _, r := range h.runs {
			if r.work.request == s.request {
				runs[r.index]++
			}
		}
		for index, n := range runs {
			if n > 1 {
				out = append(out, fmt.Sprintf("%s task %d may not be repeated and ran %d times", s.request, index, n))
			}
		}
	}
	return out
}

// abortedRequests finds calls that a draining entry ended without an answer.
func abortedRequests(h *history) []string {
	var out []string
	for _, c := range h.abortedCalls {
		out = append(out, fmt.Sprintf("%s was open on %s when it began to drain: %s", c.method, c.entry, c.reason))
	}
	return out
}

// revertedConfig compares every read with the changes that were acknowledged more than
// effectBound before it and with the reads that ended before it began.
func revertedConfig(h *history) []string {
	var out []string
	for i, r := range h.reads {
		for _, c := range h.changes {
			if c.applied && r.sent.After(c.done.Add(effectBound)) && r.revision < c.revision {
				out = append(out, fmt.Sprintf("%s was accepted as revision %d at %s; revision %d was in force at %s",
					c.operation, c.revision, h.at(c.done), r.revision, h.at(r.sent)))
			}
		}
		for _, earlier := range h.reads[:i] {
			if earlier.done.Before(r.sent) && earlier.revision > r.revision {
				out = append(out, fmt.Sprintf("revision %d at %s came after revision %d", r.revision, h.at(r.sent), earlier.revision))
			}
		}
		out = append(out, wrongShares(h, r)...)
	}
	return append(out, staleViews(h)...)
}

// staleViews finds processes that are ready with a configuration that was replaced more than
// effectBound before, or whose revision went back.
func staleViews(h *history) []string {
	var out []string
	newest := make(map[string]uint64)
	for _, v := range h.views {
		if v.revision < newest[v.process] {
			out = append(out, fmt.Sprintf("%s went back from revision %d to %d at %s", v.process, newest[v.process], v.revision, h.at(v.at)))
		}
		newest[v.process] = v.revision
		for _, c := range h.changes {
			if c.applied && v.revision < c.revision && v.at.After(c.done.Add(effectBound)) {
				out = append(out, fmt.Sprintf("%s was ready under revision %d at %s; %s was accepted as revision %d at %s",
					v.process, v.revision, h.at(v.at), c.operation, c.revision, h.at(c.done)))
			}
		}
	}
	return out
}

// wrongShares compares each team's share in a read with the team's last change up to the revision
// of the read.
func wrongShares(h *history, r configRead) []string {
	newest := make(map[string]change)
	for _, c := range h.changes {
		if c.applied && c.team != "" && c.revision <= r.revision && c.revision > newest[c.team].revision {
			newest[c.team] = c
		}
	}
	var out []string
	for team, c := range newest {
		if r.shares[team] != c.share {
			out = append(out, fmt.Sprintf("team %s has share %d in revision %d; %s set %d", team, r.shares[team], r.revision, c.operation, c.share))
		}
	}
	return out
}

// notEnded finds calls without an answer, accepted jobs that have not ended, and repeatable jobs
// that ended without answers although nobody cancelled them and no worker fails its tasks.
func notEnded(h *history) []string {
	out := slices.Clone(h.unfinished)
	for _, s := range h.submissions {
		if s.outcome.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
			continue
		}
		kind := s.end.GetOutcome().GetKind()
		switch {
		case s.end.GetState() != apiv1.JobState_JOB_STATE_ENDED:
			out = append(out, fmt.Sprintf("%s was accepted and has not ended", s.request))
		case s.repeatable && !s.cancelled && !h.failuresExpected && kind != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED:
			out = append(out, fmt.Sprintf("%s may be repeated and ended %s: %s", s.request, kind, s.end.GetOutcome().GetDetail()))
		}
	}
	return out
}
