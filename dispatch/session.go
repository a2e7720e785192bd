package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"github.com/rs/zerolog"
)

// session is the leader's connection state for one upstream: its lease, queued orders and known
// runs.
type session struct {
	e *Engine
	u *pipeline.Upstream
	// view is the upstream in the view of the cell that rounds decide upon.
	view *placement.Upstream
	// newIncarnation is a newer incarnation that a heartbeat announced at claimedAt; nil if there is none. It
	// is queried before any order is sent, in turn with the known one while neither answers: askClaimant is set
	// if it is next.
	newIncarnation *pipelinev1.Upstream
	claimedAt      time.Duration
	askClaimant    bool
	// claimUnconfirmed is set once a status request has failed since newIncarnation was announced.
	claimUnconfirmed bool
	// replacement is another upstream that reported this one's address or VM, last at replacementAt, while it was not known which
	// of them is there; nil if there is none.
	replacement   *pipelinev1.HeartbeatCall
	replacementAt time.Duration
	// olderReport is the last heartbeat of an older incarnation than the known one, received while that one did
	// not answer; nil if there is none.
	olderReport *pipelinev1.Upstream
	phase       lifecycle.SessionState
	// epoch is the low part of the fencing token; each status request that reconciles the session
	// increments it.
	epoch int64
	clock upstreamClock
	// deadlineMS is the latest lease deadline that was ever sent, by the upstream's clock in
	// milliseconds.
	deadlineMS int64

	// restartLeaseEnd is until when the upstream's present incarnation may have a lease that was given before its restart was noticed.
	restartLeaseEnd time.Duration

	// otherBorn identifies the last incarnation that answered and that no heartbeat had announced.
	otherBorn int64

	orders []order
	// ordersInFlight is the number of sent orders that are not answered. reconciling is set while
	// the status request of reconcile is pending, watching while that of watch is.
	ordersInFlight        int
	reconciling, watching bool
	// reconciledAt is when the last status request of reconcile that was answered was sent.
	reconciledAt time.Duration
	// answeredAt holds when the upstream confirmed that it has a run.
	answeredAt map[pipeline.RunKey]time.Duration
	// workingAt holds when the upstream last listed a lasting run as at work.
	workingAt map[pipeline.RunKey]time.Duration
	// adopted holds the runs of answeredAt whose beginning this leader has not seen, so that their run
	// time is not known.
	adopted map[pipeline.RunKey]bool
	// sent holds runs whose start order was sent and is not answered; startsSince is when the first of them was.
	sent        map[pipeline.RunKey]bool
	startsSince time.Duration
	// unresolved holds placed runs of which it is not known whether the upstream has started them, as it lists only a part
	// of its ends.
	unresolved map[pipeline.RunKey]bool
	// stopping holds runs whose stop is queued, sent or answered.
	stopping map[pipeline.RunKey]bool
	// idleSince holds, for runs that use no CPU, when that was first reported.
	idleSince map[pipeline.RunKey]time.Duration
	// endsProposed is the highest number of an end that was proposed; ackedEnds is the highest
	// that was acknowledged to the upstream.
	endsProposed, ackedEnds int64

	// nextStatus is the earliest time of the next status request with a wait.
	nextStatus time.Duration
	// lastHeartbeat is when the last heartbeat was received.
	lastHeartbeat time.Duration
	// lastSequence is the highest sequence number of a heartbeat of this incarnation.
	lastSequence int64
	// stale are the heartbeats below lastSequence that came last.
	stale beatStreak
	// ready are the heartbeats of a draining upstream that say it is ready.
	ready beatStreak
	// heardSinceExpiry are the heartbeats of this incarnation since its lease expired.
	heardSinceExpiry beatStreak
	// unresponsiveSince is when the upstream became unresponsive or suspected.
	unresponsiveSince time.Duration
	// openUntil is when the session left the open state last.
	openUntil time.Duration
	// nextProbe is the earliest time of the next status request without a wait; probePause is the
	// pause between such requests.
	nextProbe  time.Duration
	probePause time.Duration
	// ackDue is when the ends of an idle upstream are acknowledged; zero if none wait for it.
	ackDue time.Duration
	// avoidUntil is the time until which no new work is placed, after the upstream refused some
	// or a run stalled on it.
	avoidUntil time.Duration
	// expiryProposedAt is when the runs were last declared lost because the lease had expired.
	expiryProposedAt time.Duration
	// nextNoCrashReport is the earliest time of the next proposal that the upstream did not crash.
	nextNoCrashReport time.Duration
	// statusUnanswered is set after an unanswered status request until another one is answered.
	statusUnanswered bool
	// removing is set while the removal of the upstream is being committed. No order is sent
	// meanwhile: the removal would end its run although it exists.
	removing bool
	// way is the number of the way that calls take, 0 for the best one; others are used until
	// wayUntil. hash spreads upstreams over relays.
	way      int
	wayUntil time.Duration
	// waysTried counts the ways on which the last status request was not sent.
	waysTried int
	hash      uint32
	// leaveAnnounced is set once the upstream has announced that it is shutting down, at
	// leaveAnnouncedAt.
	leaveAnnounced   bool
	leaveAnnouncedAt time.Duration
	// nextLeaveCheck is when an idle upstream that has announced its shutdown is asked whether it still
	// runs.
	nextLeaveCheck time.Duration
}

// order is a start or a stop to be sent to the upstream.
type order struct {
	run    *pipeline.Run
	key    pipeline.RunKey
	stop   bool
	ticket string
	// queuedAt is when a start was queued.
	queuedAt time.Duration
}

// openSession opens a session with an upstream; no order is sent before a status request is
// answered.
func (e *Engine) openSession(u *pipeline.Upstream) *session {
	s := &session{e: e, u: u, phase: lifecycle.SessionOpening, hash: hashOf(u.GetId()), epoch: e.epochs[u.GetId()], ackedEnds: u.LastEnd, endsProposed: u.LastEnd, lastHeartbeat: e.now(), lastSequence: u.Sequence,
		answeredAt: make(map[pipeline.RunKey]time.Duration), adopted: make(map[pipeline.RunKey]bool), sent: make(map[pipeline.RunKey]bool), stopping: make(map[pipeline.RunKey]bool), unresolved: make(map[pipeline.RunKey]bool),
		idleSince: make(map[pipeline.RunKey]time.Duration), workingAt: make(map[pipeline.RunKey]time.Duration)}
	e.sessions[u.GetId()] = s
	s.view = &placement.Upstream{Upstream: u, Stopping: s.stopping, Answered: s.answeredAt}
	e.cell.AddUpstream(s.view)
	s.logger(zerolog.InfoLevel).Str("service", u.GetService()).Str("failure_domain", u.GetFailureDomain()).
		Int("runs", len(u.Runs)).Msg("upstream session opened")
	s.runDueWork(e.now())
	return s
}

// logger starts a log line about the upstream.
func (s *session) logger(level zerolog.Level) *zerolog.Event {
	return s.e.log.WithLevel(level).Str("upstream", s.u.GetId()).Int64("born", s.u.GetBorn())
}

// target returns where to call the known incarnation, and the way that calls take now.
func (s *session) target(now, timeout time.Duration) Target {
	return Target{Upstream: s.u.GetId(), Address: s.u.GetAddress(), Via: s.via(now), Timeout: timeout}
}

// token returns the fencing token, made of the term and the epoch.
func (s *session) token() int64 { return s.e.term<<epochBits | s.epoch }

// usable reports whether new work may be placed on the upstream.
func (s *session) usable(now time.Duration) bool {
	return !s.cordoned() && s.phase == lifecycle.SessionOpen && !s.removing && s.newIncarnation == nil && !s.u.GetDraining() && now >= s.avoidUntil &&
		!s.e.cell.Learner.Failing(s.u.GetId(), now)
}

// answers reports whether the upstream answers, so that its runs can be stopped.
func (s *session) answers() bool { return s.phase == lifecycle.SessionOpen }

// silent reports whether the upstream does not answer.
func (s *session) silent() bool { return s.phase == lifecycle.SessionSilent }

// transition changes the session's state. It panics if the state does not allow the trigger.
func (s *session) transition(trigger lifecycle.SessionTrigger, reason string) {
	to, err := lifecycle.Session.Next(s.phase, trigger)
	if err != nil {
		panic("dispatch: session of " + s.u.GetId() + ": " + err.Error())
	}
	if s.phase == to {
		return
	}
	s.logger(zerolog.InfoLevel).Str("from", string(s.phase)).Str("to", string(to)).Str("why", reason).
		Int64("upstream_clock_ms", s.clock.lowerBound(s.e.now())).Int64("deadline_ms", s.deadlineMS).Msg("upstream session changed")
	s.leftOpen(s.e.now())
	s.phase = to
	s.e.dirty = true
}

// upstreamChanged handles a committed change of the upstream's description.
func (s *session) upstreamChanged(u *pipeline.Upstream) {
	if u.GetDraining() {
		s.stopMovableRuns()
	}
	if s.newIncarnation != nil && u.GetBorn() >= s.newIncarnation.GetBorn() {
		s.newIncarnation = nil
		s.endsProposed, s.ackedEnds = u.LastEnd, u.LastEnd
	}
}

// runDueWork sends the orders and status requests that are due, and checks the lease.
func (s *session) runDueWork(now time.Duration) {
	if s.leaveAnnounced && !s.mayHaveRuns() && now >= s.nextLeaveCheck {
		// An idle upstream gets no calls that would show its end.
		s.nextLeaveCheck = now + leaveValidity
		s.suspect(now, "the upstream announced its shutdown")
	}
	switch {
	case s.removing:
		return
	case s.phase == lifecycle.SessionOpen && s.newIncarnation == nil:
		s.reportNoCrash(now)
		s.sendOrders(now)
		s.watch(now)
	case now >= s.nextProbe:
		s.reconcile(now)
	}
	s.checkLeaseExpiry(now)
}

// runKeys returns the runs on the upstream in the replicated state, in no particular order.
func (s *session) runKeys() []pipeline.RunKey {
	out := make([]pipeline.RunKey, 0, len(s.u.Runs))
	for key := range s.u.Runs {
		out = append(out, key)
	}
	return out
}

// startQueued reports whether a run's start order is queued and not sent.
func (s *session) startQueued(key pipeline.RunKey) bool {
	return slices.ContainsFunc(s.orders, func(o order) bool { return o.key == key && !o.stop })
}

// forgetRun removes everything kept for a run that has ended.
func (s *session) forgetRun(key pipeline.RunKey) {
	delete(s.answeredAt, key)
	delete(s.workingAt, key)
	delete(s.adopted, key)
	delete(s.sent, key)
	delete(s.unresolved, key)
	delete(s.stopping, key)
	delete(s.idleSince, key)
	s.orders = slices.DeleteFunc(s.orders, func(o order) bool { return o.key == key })
}
