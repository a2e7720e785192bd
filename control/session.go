package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// session is the leader's soft state about one incarnation of an upstream.
type session struct {
	upstream    string
	incarnation uint64
	// leaseEnd is when the leader may rely on the upstream's tasks having stopped.
	leaseEnd time.Duration
	// highest is the highest poll number seen in this term, first the lowest; 0 before the first.
	highest uint64
	first   uint64
	// handed holds, per task attempt, the poll in whose answer a start was last sent.
	handed map[state.TaskRef]uint64
	// inherited holds attempts that an earlier leader may have handed out.
	inherited map[state.TaskRef]bool
	// listed holds the attempts in the highest poll.
	listed map[state.TaskRef]apiv1.ReportState
	// signalled holds attempts whose stop, release or throttle was sent in a held poll's answer.
	signalled    map[state.TaskRef]bool
	acknowledged []state.TaskRef
	throttles    []state.TaskRef
	poll         *heldPoll
	expiring     bool
	// leaving is set once a poll carried the wish to leave, before it is committed.
	leaving bool
}

// heldPoll is a poll that has not been answered yet.
type heldPoll struct {
	sequence uint64
	until    time.Duration
	reply    func(*apiv1.PollResponse, error)
}

func newSession(u *state.Upstream, leaseEnd time.Duration) *session {
	return &session{upstream: u.Name, incarnation: u.Incarnation, leaseEnd: leaseEnd,
		handed: make(map[state.TaskRef]uint64), inherited: make(map[state.TaskRef]bool),
		listed: make(map[state.TaskRef]apiv1.ReportState), signalled: make(map[state.TaskRef]bool)}
}

// drop answers a held poll with an error.
func (s *session) drop(err error) {
	if s.poll != nil {
		p := s.poll
		s.poll = nil
		p.reply(nil, err)
	}
}

// openSessions begins a leadership: every lease may have been renewed up to now.
func (c *Controller) openSessions() {
	end := c.cfg.Terms.GrantorEnd(c.clock.Now())
	for _, u := range c.state.Upstreams() {
		if u.State == lifecycle.UpstreamLost {
			continue
		}
		s := newSession(u, end)
		for ref := range u.Tasks {
			s.inherited[ref] = true
		}
		c.sessions[u.Name] = s
	}
}

// syncSession follows a change of an upstream in the state.
func (c *Controller) syncSession(u *state.Upstream) {
	s := c.sessions[u.Name]
	if s != nil && (s.incarnation != u.Incarnation || u.State == lifecycle.UpstreamLost) {
		s.drop(errAnnounceAgain)
		delete(c.sessions, u.Name)
		s = nil
	}
	if s == nil && u.State != lifecycle.UpstreamLost {
		c.sessions[u.Name] = newSession(u, c.cfg.Terms.GrantorEnd(c.clock.Now()))
	}
}

// expireLeases declares upstreams lost whose lease has surely run out.
func (c *Controller) expireLeases(now time.Duration) {
	for _, s := range c.sessions {
		if s.expiring || now < s.leaseEnd {
			continue
		}
		s.expiring = true
		s.drop(errAnnounceAgain)
		cmd := &peerv1.UpstreamLost{Upstream: s.upstream, Incarnation: s.incarnation}
		if u := c.state.Upstream(s.upstream); u != nil {
			for ref := range u.Tasks {
				if s.neverHanded(ref) {
					cmd.NeverStarted = append(cmd.NeverStarted, ref.Proto())
				}
			}
		}
		c.propose(&peerv1.Command{Command: &peerv1.Command_UpstreamLost{UpstreamLost: cmd}}, nil)
	}
}

// neverHanded reports whether no leader can have sent a start for the attempt.
func (s *session) neverHanded(ref state.TaskRef) bool {
	_, handed := s.handed[ref]
	return !handed && !s.inherited[ref]
}

// neverStarted reports whether the highest poll proves that the attempt did not start:
// it does not list the attempt, and the upstream drops answers to older polls.
func (s *session) neverStarted(ref state.TaskRef) bool {
	if _, listed := s.listed[ref]; listed {
		return false
	}
	if poll, ok := s.handed[ref]; ok {
		return poll < s.highest
	}
	return !s.inherited[ref] || s.first != 0 && s.first < s.highest
}

// handlePoll takes a poll: it renews the lease, reports ends and starts, and holds
// the poll until there is something to hand out.
func (c *Controller) handlePoll(req *apiv1.PollRequest, reply func(*apiv1.PollResponse, error)) {
	s := c.sessions[req.GetUpstream()]
	if s == nil || s.incarnation != req.GetIncarnation() || s.expiring {
		reply(nil, errAnnounceAgain)
		return
	}
	if req.GetSequence() <= s.highest {
		reply(nil, errStalePoll)
		return
	}
	s.drop(errStalePoll)
	now := c.clock.Now()
	if s.first == 0 {
		s.first = req.GetSequence()
	}
	s.highest = req.GetSequence()
	s.leaseEnd = c.cfg.Terms.GrantorEnd(now)
	s.poll = &heldPoll{sequence: s.highest, until: now + c.cfg.PollHold, reply: reply}
	c.takeReports(s, req)
	c.takeLeaving(s, req)
	c.withdrawUnstarted(s)
	c.answerIfUrgent(s)
}

// takeReports records the poll's listing and proposes what is new in it.
func (c *Controller) takeReports(s *session, req *apiv1.PollRequest) {
	u := c.state.Upstream(s.upstream)
	clear(s.listed)
	report := &peerv1.Report{Upstream: s.upstream, Incarnation: s.incarnation}
	for _, r := range req.GetTasks() {
		ref := state.RefFromProto(r.GetTask())
		s.listed[ref] = r.GetState()
		t := u.Tasks[ref]
		switch {
		case t == nil && state.Ended(r.GetState()):
			s.acknowledged = append(s.acknowledged, ref)
		case t == nil:
		case state.Ended(r.GetState()):
			report.Tasks = append(report.Tasks, r)
			c.learn(s, t, r)
		case r.GetState() == apiv1.ReportState_REPORT_STATE_PREPARED:
			c.notePrepared(t)
		case r.GetState() == apiv1.ReportState_REPORT_STATE_RUNNING && t.State == lifecycle.TaskPlaced:
			report.Tasks = append(report.Tasks, r)
		}
		if t != nil && r.GetUsage() != nil {
			c.observeUsage(t, r)
		}
	}
	if len(report.Tasks) == 0 {
		return
	}
	sequence := s.highest
	c.propose(&peerv1.Command{Command: &peerv1.Command_Report{Report: report}}, func(r state.Result, err error) {
		if err == nil && c.sessions[s.upstream] == s {
			s.acknowledged = append(s.acknowledged, r.Acknowledged...)
			if s.highest == sequence {
				c.answerIfUrgent(s)
			}
		}
	})
}

func (c *Controller) takeLeaving(s *session, req *apiv1.PollRequest) {
	s.leaving = req.GetLeaving()
	u := c.state.Upstream(s.upstream)
	if req.GetLeaving() && u.State == lifecycle.UpstreamActive {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Leaving{Leaving: &peerv1.Leaving{
			Upstream: s.upstream, Incarnation: s.incarnation}}}, nil)
	}
}

// withdrawUnstarted takes back attempts that are to stop and surely never started.
func (c *Controller) withdrawUnstarted(s *session) {
	cmd := &peerv1.Withdraw{}
	for ref, t := range c.state.Upstream(s.upstream).Tasks {
		if t.State == lifecycle.TaskStopping && s.neverStarted(ref) {
			cmd.Tasks = append(cmd.Tasks, ref.Proto())
		}
	}
	if len(cmd.Tasks) > 0 {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Withdraw{Withdraw: cmd}}, nil)
	}
}

// taskChanged keeps sessions in step with a task and wakes a held poll.
func (c *Controller) taskChanged(t *state.Task, from lifecycle.TaskState) {
	c.restartGang(t)
	if t.Upstream == nil {
		return
	}
	s := c.sessions[t.Upstream.Name]
	if s == nil {
		return
	}
	if t.State == lifecycle.TaskStopping && s.neverHanded(t.Ref()) {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Withdraw{Withdraw: &peerv1.Withdraw{
			Tasks: []*apiv1.TaskRef{t.Ref().Proto()}}}}, nil)
		return
	}
	if t.State != from {
		c.answerIfUrgent(s)
	}
}

// learn tells the scheduler how an attempt ended.
func (c *Controller) learn(s *session, t *state.Task, r *apiv1.TaskReport) {
	kind := sched.Interrupted
	switch r.GetState() {
	case apiv1.ReportState_REPORT_STATE_SUCCEEDED:
		kind = sched.Succeeded
	case apiv1.ReportState_REPORT_STATE_FAILED:
		kind = sched.Failed
	}
	c.cell.AttemptEnded(sched.AttemptEnd{Ref: refFact(t.Ref()), Upstream: s.upstream, Kind: kind,
		RunTime: time.Duration(r.GetRunMs()) * time.Millisecond})
}
