package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// handleHeartbeat handles an upstream's description of itself. Only changes are proposed to the
// log, and these are acknowledged after their commit.
func (e *Engine) handleHeartbeat(c *pipelinev1.HeartbeatCall, done replyFunc) {
	reported, now := c.GetUpstream(), e.now()
	if problem := pipeline.CheckUpstream(reported); problem != "" {
		done(verdict(pipelinev1.Verdict_VERDICT_INVALID, problem), nil)
		return
	}
	s := e.sessions[reported.GetId()]
	ok := verdict(pipelinev1.Verdict_VERDICT_OK, "")
	switch {
	case s == nil && e.awaitRegistration(reported.GetId(), done, func() { e.handleHeartbeat(c, done) }):
		return
	case s == nil:
		e.addUpstream(c, done, ok)
		return
	case reported.GetBorn() < s.u.GetBorn():
		e.log.Info().Str("upstream", reported.GetId()).Int64("born", reported.GetBorn()).Int64("known_born", s.u.GetBorn()).
			Msg("heartbeat of an older incarnation ignored")
		s.olderReported(reported, now)
		done(ok, nil)
		return
	}
	s.lastHeartbeat = now
	if reported.GetBorn() == s.u.GetBorn() && (s.sequenceStale(c.GetSequence(), now) || s.drains(reported, c.GetSequence(), now)) {
		// A delayed heartbeat must not make a draining upstream available again.
		e.log.Info().Str("upstream", reported.GetId()).Int64("sequence", c.GetSequence()).Int64("known_sequence", s.lastSequence).
			Bool("draining", s.u.GetDraining()).Msg("stale heartbeat ignored")
		done(ok, nil)
		return
	}
	if reported.GetBorn() == s.u.GetBorn() {
		s.lastSequence = c.GetSequence()
		s.heardAfterExpiry(c.GetSequence(), now)
	}
	if s.phase != lifecycle.SessionOpen && s.probePause > probeMin {
		s.probePause, s.nextProbe = 0, now
	}
	if reported.GetBorn() > s.u.GetBorn() {
		s.incarnationClaimed(reported, now)
		s.runDueWork(now)
		done(ok, nil)
		return
	}
	if pipeline.SameUpstream(s.u.Upstream, reported) {
		done(ok, nil)
		s.runDueWork(now)
		return
	}
	e.log.Info().Str("upstream", reported.GetId()).Bool("draining", reported.GetDraining()).Str("address", reported.GetAddress()).
		Msg("upstream description changed")
	e.proposeUpstreamSeen(c, done, ok)
}

// addUpstream adds an unknown upstream, after removing older upstreams at its address or on its VM. An upstream that
// may still be there is asked first.
func (e *Engine) addUpstream(c *pipelinev1.HeartbeatCall, done replyFunc, ok *pipelinev1.Reply) {
	reported, disputed := c.GetUpstream(), false
	for _, u := range e.state.Upstreams() {
		if u.GetId() == reported.GetId() || u.GetAddress() != reported.GetAddress() && (reported.GetVm() == "" || u.GetVm() != reported.GetVm()) {
			continue
		}
		s := e.sessions[u.GetId()]
		switch {
		case s.silent() && len(u.Runs) == 0:
			e.log.Info().Str("upstream", u.GetId()).Str("newer_upstream", reported.GetId()).Msg("upstream replaced by another one with the same address or VM")
			e.proposeUpstreamGone(u)
		case u.GetBorn() > reported.GetBorn():
			e.log.Info().Str("upstream", reported.GetId()).Str("newer_upstream", u.GetId()).Msg("heartbeat ignored: a newer upstream has the same address or VM")
			done(ok, nil)
			return
		default:
			s.replacementClaimed(c, e.now())
			disputed = true
		}
	}
	if disputed {
		done(ok, nil)
		return
	}
	e.proposeUpstreamSeen(c, done, ok)
}

// awaitRegistration reports whether the description of an upstream that has no session yet is proposed and
// not committed. It then calls resume after the commit, or ends the call if the commit fails.
func (e *Engine) awaitRegistration(id string, done replyFunc, resume func()) bool {
	return e.registering.wait(id, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		resume()
	})
}

// proposeUpstreamSeen proposes an upstream's new description and answers its heartbeat after the
// commit.
func (e *Engine) proposeUpstreamSeen(c *pipelinev1.HeartbeatCall, done replyFunc, ok *pipelinev1.Reply) {
	registered := e.registering.begin(c.GetUpstream().GetId())
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: c.GetUpstream(), Sequence: c.GetSequence()}}},
		func(r *pipelinev1.Reply, err error) {
			if err == nil && r.GetVerdict() == pipelinev1.Verdict_VERDICT_NOT_NOW {
				done(r, nil)
			} else {
				done(ok, err)
			}
			registered(err)
		})
}

// proposeUpstreamGone proposes the end of all runs of an upstream that certainly no longer
// exists, with their last checkpoints, and the removal of the upstream.
func (e *Engine) proposeUpstreamGone(u *pipeline.Upstream) {
	s := e.sessions[u.GetId()]
	if ends := s.goneEnds(nil); len(ends) > 0 {
		s.markStarted(ends)
		e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: ends}}}, nil)
	}
	s.removing = true
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamGone{
		UpstreamGone: &pipelinev1.UpstreamGone{Id: u.GetId(), Born: u.GetBorn(), Crashed: !s.endedWithNotice()}}}, func(_ *pipeline.Result, err error) {
		if e.sessions[u.GetId()] == s {
			s.removing = false
		}
		if err != nil {
			e.log.Info().Err(err).Str("upstream", u.GetId()).Int64("born", u.GetBorn()).Msg("removal of the upstream was not committed")
			return
		}
		s.addReplacement()
	})
}

// handleLeave handles an upstream's notice that it is shutting down (a leave notice). The
// upstream is removed as soon as nothing listens at its address; until then it may still finish its
// runs.
func (e *Engine) handleLeave(c *pipelinev1.LeaveCall, done replyFunc) {
	s := e.sessions[c.GetUpstream()]
	if s == nil && e.awaitRegistration(c.GetUpstream(), done, func() { e.handleLeave(c, done) }) {
		return
	}
	if s == nil || c.GetBorn() != 0 && c.GetBorn() != s.u.GetBorn() {
		done(verdict(pipelinev1.Verdict_VERDICT_OK, "the upstream is not known"), nil)
		return
	}
	s.logger(zerolog.InfoLevel).Bool("draining", s.u.GetDraining()).Int("runs", len(s.u.Runs)).Msg("upstream announced its shutdown")
	// The notice may be a delayed one from an older incarnation with the same identity.
	s.leaveAnnounced, s.leaveAnnouncedAt, s.nextLeaveCheck = true, e.now(), e.now()+leaveValidity/2
	s.suspect(e.now(), "the upstream announced its shutdown")
	s.runDueWork(e.now())
	done(verdict(pipelinev1.Verdict_VERDICT_OK, ""), nil)
}

// stopMovableRuns stops the runs on a draining upstream that can continue elsewhere: those of
// lasting steps, and those with checkpoints. Short tasks are left to finish. Members of a gang
// are left as well, as stopping one would end the whole gang.
func (s *session) stopMovableRuns() {
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		spec := r.Task.Step.Spec
		if spec.GetLasting() || spec.GetCheckpointing() && !spec.GetGang() {
			s.enqueueStop(r, "the upstream is draining")
		}
	}
}

// removeUnresponsiveUpstreams removes upstreams without runs that have been unresponsive, and have
// sent no heartbeat, for removeUnresponsiveAfter. The heartbeats of responsive upstreams are answered
// by other replicas as well, so that their age alone means nothing.
func (e *Engine) removeUnresponsiveUpstreams(now time.Duration) {
	for _, s := range e.sessions {
		if s.phase != lifecycle.SessionOpen && !s.removing && len(s.u.Runs) == 0 && now-max(s.lastHeartbeat, s.unresponsiveSince) > removeUnresponsiveAfter {
			e.proposeUpstreamGone(s.u)
		}
	}
}
