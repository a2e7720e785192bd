package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// reconcile reconciles the session with the upstream: it sends a status request without a wait,
// whose answer says which runs the upstream has. As the request carries a higher token than all
// unanswered orders, starts that are not in the answer can never take effect. It acknowledges no ends, as another
// incarnation may receive it, which numbers its own anew.
func (s *session) reconcile(now time.Duration) {
	if s.reconciling || s.ordersInFlight > 0 {
		return
	}
	s.reconciling = true
	s.epoch++
	s.requestStatus(now, StatusRequest{Token: s.token()}, orderTimeout, func(reply StatusReply, err error, at time.Duration) {
		s.reconciling = false
		s.e.recordRoundTrip(at-now, err)
		if err != nil && s.triesOtherWay(err, at-now) {
			s.reconcile(at)
			return
		}
		s.waysTried = 0
		if err != nil {
			s.probeFailed(at, err)
			return
		}
		s.reconcileAnswered(reply, now, at)
	})
}

// probeFailed handles a status request that was not answered or was refused. It withdraws the
// queued starts and schedules the next request, or removes an upstream that announced its
// shutdown and whose process has ended. Silence alone proves nothing: the notice may be a delayed one of
// an older incarnation, and the newer one cut off with its runs at work.
func (s *session) probeFailed(at time.Duration, err error) {
	if s.leaveAnnounced && errors.Is(err, ErrNothingListens) {
		s.logger(zerolog.InfoLevel).Err(err).Int("runs", len(s.u.Runs)).Msg("upstream that announced its shutdown has ended; removing it")
		s.nextProbe = at + probeMax
		s.e.proposeUpstreamGone(s.u)
		return
	}
	if s.replacement != nil && certainlyEnded(err) {
		s.logger(zerolog.InfoLevel).Err(err).Str("other_upstream", s.replacement.GetUpstream().GetId()).Int("runs", len(s.u.Runs)).Msg("upstream has ended; another one has its address or VM")
		s.nextProbe = at + probeMax
		s.e.proposeUpstreamGone(s.u)
		return
	}
	if s.phase != lifecycle.SessionSilent {
		s.unresponsiveSince = at
		upstreamsUnresponsive.Add(1)
	}
	s.askClaimant, s.claimUnconfirmed = !s.askClaimant, true
	s.transition(lifecycle.SessionFail, err.Error())
	s.withdrawQueued()
	s.probePause = min(max(s.probePause*2, probeMin), probeMax)
	s.nextProbe = at + s.probePause
}

// reconcileAnswered handles the answer to the status request of reconcile.
func (s *session) reconcileAnswered(reply StatusReply, began, at time.Duration) {
	if reply.Verdict != Accepted {
		s.probeRefused(reply.Verdict, at)
		return
	}
	if reply.Born != 0 && reply.Born != s.u.GetBorn() {
		s.otherIncarnation(reply)
		return
	}
	if s.statusUnanswered {
		// The upstream answers, so that only an answer was lost; others may get lost as well.
		s.statusUnanswered = false
		s.e.lossyUntil = at + lossyMemory
	}
	s.probePause, s.reconciledAt = 0, began
	s.nextProbe = at + probeMin
	s.knownIncarnationAnswered(reply, began)
	s.olderReport = nil
	s.transition(lifecycle.SessionReconcile, "a status request was answered")
	s.reportNoCrash(at)
	s.resolveUnanswered(reply)
	s.reconcileRuns(reply, began, at)
	s.runDueWork(at)
}

// probeRefused handles a status request that the upstream refused.
func (s *session) probeRefused(v OrderVerdict, at time.Duration) {
	ordersRefused.Add(string(v), 1)
	err := errors.New(string(v))
	if v == OtherIncarnation {
		err = errOtherIncarnation
	}
	s.probeFailed(at, err)
}

// otherIncarnation handles an answer of another incarnation: it proposes the new incarnation if
// its heartbeat was received, and otherwise waits for the heartbeat.
func (s *session) otherIncarnation(reply StatusReply) {
	if s.olderIncarnationAnswered(reply) {
		return
	}
	if s.newIncarnation == nil || s.newIncarnation.GetBorn() != reply.Born {
		if s.otherBorn != reply.Born {
			s.otherBorn = reply.Born
			s.leaseOfOtherIncarnation(s.e.now())
		}
		s.probeFailed(s.e.now(), errors.New("another incarnation answered; waiting for its heartbeat"))
		return
	}
	seen := &pipelinev1.UpstreamSeen{Upstream: s.newIncarnation}
	listed := reply.listed()
	for key := range listed {
		if run := s.u.Runs[key]; run != nil {
			seen.Kept = append(seen.Kept, run.Proto())
		}
	}
	s.logger(zerolog.InfoLevel).Int64("new_born", reply.Born).Int("kept", len(seen.Kept)).Int("runs", len(s.u.Runs)).Msg("upstream restarted")
	s.proposeEnds(s.goneEnds(listed))
	s.lastSequence = 0
	s.restarted(s.e.now())
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: seen}}, nil)
	s.nextProbe = s.e.now() + probeMin
}

// listed returns the runs that the upstream lists as running or ended.
func (r *StatusReply) listed() map[pipeline.RunKey]bool {
	out := make(map[pipeline.RunKey]bool)
	for _, run := range r.Running {
		out[run.Run] = true
	}
	for _, run := range r.Ended {
		out[run.Run] = true
	}
	return out
}

// resolveUnanswered ends the runs of unanswered starts that the upstream does not list. Where it lists only a part of its
// ends, those that are not in it are unresolved until the rest is listed.
func (s *session) resolveUnanswered(reply StatusReply) {
	listed := reply.listed()
	var ends []*pipelinev1.End
	clear(s.unresolved)
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		_, answered := s.answeredAt[key]
		if s.sent[key] && listed[key] {
			unansweredCarriedOut.Add(1)
		}
		switch {
		case answered || listed[key] || s.startQueued(key):
		case len(reply.Ended) >= maxEndsListed:
			s.unresolved[key] = true
		default:
			ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
		}
	}
	if len(s.unresolved) > 0 {
		s.logger(zerolog.WarnLevel).Int("ends", len(reply.Ended)).Int("runs", len(s.unresolved)).
			Msg("upstream lists only a part of its ends; whether it has started some runs is not known yet")
	}
	s.proposeEnds(ends)
	clear(s.sent)
}

// resolveRest removes the unresolved runs that the answer to a status request with the token of reconcile lists. Once it lists
// all ends that are left, the others were never started, and no older order can start them any more.
func (s *session) resolveRest(reply StatusReply) {
	if len(s.unresolved) == 0 {
		return
	}
	for key := range reply.listed() {
		delete(s.unresolved, key)
	}
	if len(reply.Ended) >= maxEndsListed {
		return
	}
	var ends []*pipelinev1.End
	for key := range s.unresolved {
		if r := s.u.Runs[key]; r != nil {
			ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
		}
	}
	s.logger(zerolog.InfoLevel).Int("never_started", len(ends)).Msg("upstream has listed the rest of its ends")
	clear(s.unresolved)
	s.proposeEnds(ends)
}
