package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// session is what the leader knows of one incarnation of an upstream. It is not replicated; a
// new leader starts without it.
type session struct {
	upstream    string
	incarnation uint64
	// leaseEnd is when the upstream's tasks have certainly stopped if no further poll arrives, on
	// the controller's clock.
	leaseEnd time.Duration
	// highest is the highest sequence number of a poll in this term, first that of the first
	// poll; both are 0 before it.
	highest uint64
	first   uint64
	// fenced is set if the highest poll was sent after the upstream had taken an answer of this
	// term. From then on the upstream drops answers of earlier leaders.
	fenced bool
	// lastPollAt is when the poll with number highest was handled.
	lastPollAt time.Duration
	// attempts holds what is known of each attempt.
	attempts map[state.TaskRef]attempt
	// orphans are attempts that the highest poll lists and that the state does not have on this
	// upstream.
	orphans []state.TaskRef
	// acknowledged and throttles are sent with the next answer: ends that need no further
	// report, and tasks to limit to their reservation.
	acknowledged []state.TaskRef
	throttles    []state.TaskRef
	// poll is the held poll, or nil.
	poll *heldPoll
	// timer fires at the end of the held poll's time or of the lease.
	timer timer
	// announced is set if this leader committed the announcement of the incarnation.
	announced bool
	// leaving is set while the last poll asks to leave, whether or not that is committed.
	leaving bool
	// checkQueued is set while the session is in the controller's checkQueue.
	checkQueued bool
	// expiring is set once the loss of the incarnation is proposed.
	expiring bool
	// replacing counts announcements of newer incarnations that are being committed;
	// nothing is sent meanwhile.
	replacing int
}

// attempt is what the leader knows of one attempt on an upstream.
type attempt struct {
	// sentIn is the number of the last poll whose answer carried a start or prepare, or 0.
	sentIn uint64
	// listedIn is the number of the last poll that listed the attempt, or 0; listed is the state
	// that it reported.
	listedIn uint64
	listed   apiv1.ReportState
	// startSentAt is when this leader last sent what lets the attempt run, a start or the release
	// of a gang's task, or 0.
	startSentAt time.Duration
	// inherited is set for attempts whose start an earlier leader may have sent.
	inherited bool
	// signalled is set once a stop, checkpoint or release was sent. It is cleared, so that the
	// command is repeated, when a poll was held for its whole time or came after a silence.
	signalled bool
	// ended is set once the attempt's end was passed to the scheduler.
	ended bool
}

// heldPoll is a poll that has not been answered yet.
type heldPoll struct {
	// sequence is the number of the poll.
	sequence uint64
	// until is when the poll is answered at the latest, on the controller's clock.
	until time.Duration
	reply func(*apiv1.PollResponse, error)
}

// newSession adds a session for the incarnation of an upstream that the state has.
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

// failPoll answers the held poll, if there is one, with an error.
func (s *session) failPoll(err error) {
	if s.poll != nil {
		p := s.poll
		s.poll = nil
		p.reply(nil, err)
	}
}

// openSessions adds the sessions of a new leadership. An earlier leader may have renewed every
// lease up to now.
func (c *Controller) openSessions() {
	end := c.cfg.Terms.GrantorExpiry(c.clock.Now())
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

// syncSession adapts the session to a changed upstream: it ends that of an older or lost
// incarnation and adds that of a new one.
func (c *Controller) syncSession(u *state.Upstream) {
	s := c.sessions[u.Name]
	if s != nil && (s.incarnation != u.Incarnation || u.State == lifecycle.UpstreamLost) {
		s.failPoll(errAnnounceAgain)
		c.timers.clear(&s.timer)
		delete(c.sessions, u.Name)
		s = nil
	}
	if s == nil && u.State != lifecycle.UpstreamLost {
		c.newSession(u, c.cfg.Terms.GrantorExpiry(c.clock.Now())).announced = true
	}
}

// sessionDue answers a poll that was held for its whole time, and declares an upstream lost
// whose lease has certainly ended.
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

// signalAgain lets stops, checkpoints and releases be sent again, in case an answer was lost.
func (s *session) signalAgain() {
	for ref, a := range s.attempts {
		if a.signalled {
			a.signalled = false
			s.attempts[ref] = a
		}
	}
}

// setTimer sets the timer to the end of the held poll's time or of the lease, whichever is first.
func (c *Controller) setTimer(s *session) {
	at := s.leaseEnd
	if s.poll != nil {
		at = min(at, s.poll.until)
	}
	c.timers.set(&s.timer, at)
}

// expire proposes that an upstream is lost.
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

// conclusive reports whether the highest poll shows for certain if the upstream has an attempt or
// not: the upstream drops answers to older polls and of older terms, so a start in one of them can
// no longer arrive.
func (s *session) conclusive(ref state.TaskRef) bool {
	a := s.attempts[ref]
	if a.sentIn != 0 && a.sentIn == s.highest {
		return false
	}
	return !a.inherited || s.fenced
}

// absent reports whether the upstream certainly does not have the attempt.
func (s *session) absent(ref state.TaskRef) bool {
	_, listed := s.current(ref)
	return !listed && s.conclusive(ref)
}

// taskChanged follows a change of a task: it records the waiting time of a first start,
// withdraws a task that is to stop and was never sent, and otherwise has a held poll checked
// for updates.
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

// withdraw proposes to cancel placements that never started.
func (c *Controller) withdraw(refs []*apiv1.TaskRef) {
	withdrawals.Add(int64(len(refs)))
	c.propose(&peerv1.Command{Command: &peerv1.Command_Withdraw{Withdraw: &peerv1.Withdraw{Tasks: refs}}}, nil)
}
