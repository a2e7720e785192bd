package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
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
	// lastPollAt is when the highest poll was handled.
	lastPollAt time.Duration
	attempts   map[state.TaskRef]attempt
	// orphans are attempts in the highest poll that the state does not have here.
	orphans      []state.TaskRef
	acknowledged []state.TaskRef
	throttles    []state.TaskRef
	poll         *heldPoll
	// timer fires at the end of the held poll or of the lease.
	timer timer
	// leaving is set once a poll carried the wish to leave, before it is committed.
	leaving bool
	// checkQueued is set while the session waits to be looked at in the next flush.
	checkQueued bool
	// expiring is set once the loss of the incarnation was proposed.
	expiring bool
	// replacing counts announcements of newer incarnations that are being committed;
	// nothing is handed out meanwhile.
	replacing int
}

// attempt is what the leader knows of one attempt on an upstream.
type attempt struct {
	// sentIn is the poll in whose answer a start was last sent, or zero.
	sentIn uint64
	// listedIn is the last poll that listed the attempt, as listed.
	listedIn uint64
	listed   apiv1.ReportState
	// inherited is set for attempts that an earlier leader may have handed out.
	inherited bool
	// signalled is set once a stop or release was sent, until the next poll that is held
	// for its whole time.
	signalled bool
	// ended is set once the attempt's end was passed to the scheduler.
	ended bool
}

// heldPoll is a poll that has not been answered yet.
type heldPoll struct {
	sequence uint64
	until    time.Duration
	reply    func(*apiv1.PollResponse, error)
}

func (c *Controller) newSession(u *state.Upstream, leaseEnd time.Duration) *session {
	s := &session{upstream: u.Name, incarnation: u.Incarnation, leaseEnd: leaseEnd, attempts: make(map[state.TaskRef]attempt, len(u.Tasks))}
	s.timer.due = func(now time.Duration) { c.sessionDue(s, now) }
	c.timers.set(&s.timer, leaseEnd)
	c.sessions[u.Name] = s
	return s
}

// update changes what is known of an attempt.
func (s *session) update(ref state.TaskRef, f func(*attempt)) {
	a := s.attempts[ref]
	f(&a)
	s.attempts[ref] = a
}

// current returns what is known of an attempt, and whether the highest poll lists it.
func (s *session) current(ref state.TaskRef) (a attempt, listed bool) {
	a = s.attempts[ref]
	return a, a.listedIn != 0 && a.listedIn == s.highest
}

// failPoll answers a held poll with an error.
func (s *session) failPoll(err error) {
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
		s := c.newSession(u, end)
		for ref := range u.Tasks {
			s.attempts[ref] = attempt{inherited: true}
		}
	}
}

// syncSession follows a change of an upstream in the state.
func (c *Controller) syncSession(u *state.Upstream) {
	s := c.sessions[u.Name]
	if s != nil && (s.incarnation != u.Incarnation || u.State == lifecycle.UpstreamLost) {
		s.failPoll(errAnnounceAgain)
		c.timers.clear(&s.timer)
		delete(c.sessions, u.Name)
		s = nil
	}
	if s == nil && u.State != lifecycle.UpstreamLost {
		c.newSession(u, c.cfg.Terms.GrantorEnd(c.clock.Now()))
	}
}

// sessionDue answers a poll that was held long enough and declares an upstream lost whose
// lease has surely run out.
func (c *Controller) sessionDue(s *session, now time.Duration) {
	if c.sessions[s.upstream] != s || s.expiring {
		return
	}
	if s.poll != nil && now >= s.poll.until {
		s.signalAgain()
		c.answerPoll(s)
	}
	if now >= s.leaseEnd {
		c.expire(s)
		return
	}
	c.setTimer(s)
}

// signalAgain lets stops and releases be sent again, in case that an answer was lost.
func (s *session) signalAgain() {
	for ref, a := range s.attempts {
		if a.signalled {
			a.signalled = false
			s.attempts[ref] = a
		}
	}
}

// setTimer sets the timer to the next event of the session.
func (c *Controller) setTimer(s *session) {
	at := s.leaseEnd
	if s.poll != nil {
		at = min(at, s.poll.until)
	}
	c.timers.set(&s.timer, at)
}

// expire proposes the loss of an upstream.
func (c *Controller) expire(s *session) {
	s.expiring = true
	s.failPoll(ErrNotLeader)
	leaseExpiries.Add(1)
	cmd := &peerv1.UpstreamLost{Upstream: s.upstream, Incarnation: s.incarnation, NeverStarted: c.attemptsNeverSent(s)}
	c.propose(&peerv1.Command{Command: &peerv1.Command_UpstreamLost{UpstreamLost: cmd}}, func(_ state.Result, err error) {
		if err != nil && c.sessions[s.upstream] == s {
			s.expiring = false
			c.setTimer(s)
		}
	})
}

// attemptsNeverSent lists the attempts for which no leader can have sent a start.
func (c *Controller) attemptsNeverSent(s *session) []*apiv1.TaskRef {
	var refs []*apiv1.TaskRef
	if u := c.state.Upstream(s.upstream); u != nil {
		for ref := range u.Tasks {
			if s.neverSent(ref) {
				refs = append(refs, ref.Proto())
			}
		}
	}
	return refs
}

// neverSent reports whether no leader can have sent a start for the attempt.
func (s *session) neverSent(ref state.TaskRef) bool {
	a := s.attempts[ref]
	return a.sentIn == 0 && a.listedIn == 0 && !a.inherited
}

// settled reports whether the highest poll tells all about an attempt: the upstream drops
// answers to older polls, so that a start sent before it can no longer arrive.
func (s *session) settled(ref state.TaskRef) bool {
	a := s.attempts[ref]
	switch {
	case a.sentIn != 0:
		return a.sentIn < s.highest
	case a.inherited:
		// An earlier leader may have answered the first poll of this term.
		return s.first != 0 && s.first < s.highest
	}
	return true
}

// absent reports whether the upstream surely does not have the attempt.
func (s *session) absent(ref state.TaskRef) bool {
	_, listed := s.current(ref)
	return !listed && s.settled(ref)
}

// taskChanged keeps sessions in step with a task and wakes a held poll.
func (c *Controller) taskChanged(t *state.Task, from lifecycle.TaskState) {
	if from == lifecycle.TaskPlaced && t.State == lifecycle.TaskRunning && t.Attempt == 1 {
		waitingTime.Record(c.state.Now().Sub(time.Unix(0, t.Job.SubmittedNS)))
	}
	if t.Upstream == nil {
		return
	}
	s := c.sessions[t.Upstream.Name]
	if s == nil {
		return
	}
	if t.State == lifecycle.TaskStopping && s.neverSent(t.Ref()) {
		c.withdraw([]*apiv1.TaskRef{t.Ref().Proto()})
		return
	}
	if t.State != from {
		c.queueCheck(s)
	}
}

func (c *Controller) withdraw(refs []*apiv1.TaskRef) {
	withdrawals.Add(int64(len(refs)))
	c.propose(&peerv1.Command{Command: &peerv1.Command_Withdraw{Withdraw: &peerv1.Withdraw{Tasks: refs}}}, nil)
}
