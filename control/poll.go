package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// spareAttempts is how many attempts a session may keep beyond those of its upstream.
const spareAttempts = 16

// handlePoll serves a poll: it renews the lease, records what the poll reports, and holds the
// poll until there is something to send.
func (c *Controller) handlePoll(req *apiv1.PollRequest, reply func(*apiv1.PollResponse, error)) {
	polls.Add(1)
	s := c.sessions[req.GetUpstream()]
	if s == nil || s.incarnation != req.GetIncarnation() || s.expiring {
		c.replyAnnounceAgain(reply)
		return
	}
	if req.GetSequence() <= s.highest || s.replacing > 0 {
		stalePolls.Add(1)
		reply(nil, errStalePoll)
		return
	}
	s.failPoll(errStalePoll)
	now := c.clock.Now()
	overdue := s.first == 0 || now-s.lastPollAt > overduePolls*c.cfg.PollHold
	if s.first == 0 {
		s.first = req.GetSequence()
	}
	s.highest, s.lastPollAt, s.fenced = req.GetSequence(), now, c.fences(s, req)
	s.leaseEnd = c.cfg.Terms.GrantorExpiry(now)
	s.poll = &heldPoll{sequence: s.highest, until: now + c.cfg.PollHold, reply: reply}
	c.setTimer(s)
	c.processReports(s, req)
	c.updateLeaving(s, req)
	c.resolveAbsent(s)
	if overdue {
		s.signalAgain()
		c.answerPoll(s)
		return
	}
	c.queueCheck(s)
}

// fences reports whether a poll was sent after the upstream had taken an answer of this term. The
// first polls that a new leader sees may be copies of polls from before its term, so their numbers
// don't tell it; they have to do for an upstream that does not send the term.
func (c *Controller) fences(s *session, req *apiv1.PollRequest) bool {
	if req.Term == nil {
		return s.first < req.GetSequence()
	}
	return req.GetTerm() == c.term
}

// overduePolls is how long an upstream may be silent, in multiples of PollHold, before its next
// poll is answered immediately: a leader or a message was lost, and the upstream's lease may
// be about to end.
const overduePolls = 2

// replyAnnounceAgain tells an upstream to begin a new incarnation, which ends its tasks. A
// deposed leader must not do so, so the leadership is confirmed first.
func (c *Controller) replyAnnounceAgain(reply func(*apiv1.PollResponse, error)) {
	c.whenConfirmed(func(ok bool) {
		if ok {
			reply(nil, errAnnounceAgain)
			return
		}
		reply(nil, ErrNotLeader)
	})
}

// processReports records the attempts that a poll lists and proposes what is new.
func (c *Controller) processReports(s *session, req *apiv1.PollRequest) {
	u := c.state.Upstream(s.upstream)
	s.orphans = s.orphans[:0]
	report := &peerv1.Report{Upstream: s.upstream, Incarnation: s.incarnation}
	for _, r := range req.GetTasks() {
		ref := state.RefFromProto(r.GetTask())
		s.update(ref, func(a *attempt) { a.listedIn, a.listed = s.highest, r.GetState() })
		t := u.Tasks[ref]
		if t == nil {
			s.recordUnknown(ref, r.GetState())
			continue
		}
		if c.processReport(s, t, r) {
			report.Tasks = append(report.Tasks, r)
		}
	}
	s.pruneAttempts(u)
	c.proposeReport(s, report)
}

// recordUnknown records an attempt that the state does not have on this upstream: if it has
// ended, the end needs no further report; otherwise it has to be stopped.
func (s *session) recordUnknown(ref state.TaskRef, reported apiv1.ReportState) {
	if state.Ended(reported) {
		s.acknowledged = append(s.acknowledged, ref)
		return
	}
	s.orphans = append(s.orphans, ref)
}

// processReport records one listed attempt and reports whether it has to go into the log.
func (c *Controller) processReport(s *session, t *state.Task, r *apiv1.TaskReport) bool {
	if r.GetUsage() != nil {
		c.cell.ObserveUsage(sched.Usage{Ref: schedRef(t.Ref()), Used: resource.FromProto(r.GetUsage())})
	}
	switch {
	case state.Ended(r.GetState()):
		s.update(t.Ref(), func(a *attempt) {
			if !a.ended {
				c.observeAttemptEnd(s, t, r)
			}
			a.ended = true
		})
		return true
	case r.GetState() == apiv1.ReportState_REPORT_STATE_PREPARED:
		c.recordPrepared(t)
	case r.GetState() == apiv1.ReportState_REPORT_STATE_RUNNING:
		return !t.Started
	}
	return false
}

// pruneAttempts removes attempts that neither the state nor the highest poll has on the
// upstream, once the session keeps more than spareAttempts beyond those of the state.
func (s *session) pruneAttempts(u *state.Upstream) {
	if len(s.attempts) <= len(u.Tasks)+spareAttempts {
		return
	}
	for ref, a := range s.attempts {
		if u.Tasks[ref] == nil && a.listedIn != s.highest {
			delete(s.attempts, ref)
		}
	}
}

// proposeReport proposes a report and acknowledges the ends in it once it is applied.
func (c *Controller) proposeReport(s *session, report *peerv1.Report) {
	if len(report.Tasks) == 0 {
		return
	}
	c.propose(&peerv1.Command{Command: &peerv1.Command_Report{Report: report}}, func(r state.Result, err error) {
		if err == nil && c.sessions[s.upstream] == s {
			s.acknowledged = append(s.acknowledged, r.Acknowledged...)
			c.queueCheck(s)
		}
	})
}

// updateLeaving records whether the upstream wants to leave, and proposes it if that is new.
func (c *Controller) updateLeaving(s *session, req *apiv1.PollRequest) {
	s.leaving = req.GetLeaving()
	u := c.state.Upstream(s.upstream)
	if req.GetLeaving() && u.State == lifecycle.UpstreamActive {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Leaving{Leaving: &peerv1.Leaving{
			Upstream: s.upstream, Incarnation: s.incarnation}}}, nil)
	}
}

// resolveAbsent resolves attempts that the upstream certainly does not have. One that ran is
// reported as lost. One that was to be stopped is withdrawn. One that may no longer start,
// because the upstream leaves or its failure domain is out, is stopped first, so that no start
// can be sent after its withdrawal.
func (c *Controller) resolveAbsent(s *session) {
	u := c.state.Upstream(s.upstream)
	missing := &peerv1.Report{Upstream: s.upstream, Incarnation: s.incarnation}
	stop := &peerv1.Stop{Why: "the upstream takes no new work"}
	var unstarted []*apiv1.TaskRef
	for ref, t := range u.Tasks {
		if !s.absent(ref) {
			continue
		}
		switch {
		case t.Started || s.attempts[ref].listedIn != 0:
			missing.Missing = append(missing.Missing, ref.Proto())
		case t.State == lifecycle.TaskStopping:
			unstarted = append(unstarted, ref.Proto())
		case t.State == lifecycle.TaskPlaced && !c.mayStart(u):
			stop.Tasks = append(stop.Tasks, ref.Proto())
		}
	}
	if len(missing.Missing) > 0 {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Report{Report: missing}}, nil)
	}
	if len(unstarted) > 0 {
		c.withdraw(unstarted)
	}
	if len(stop.Tasks) > 0 {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Stop{Stop: stop}}, nil)
	}
}

// observeAttemptEnd passes the end of an attempt to the scheduler, which learns from it.
func (c *Controller) observeAttemptEnd(s *session, t *state.Task, r *apiv1.TaskReport) {
	kind := sched.Interrupted
	switch r.GetState() {
	case apiv1.ReportState_REPORT_STATE_SUCCEEDED:
		kind = sched.Succeeded
	case apiv1.ReportState_REPORT_STATE_FAILED:
		kind = sched.Failed
	}
	c.cell.AttemptEnded(sched.AttemptEnd{Ref: schedRef(t.Ref()), Upstream: s.upstream, Kind: kind,
		RunTime: time.Duration(r.GetRunMs()) * time.Millisecond})
}
