package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// session is the leader's dealings with one upstream.
type session struct {
	e *Engine
	u *pipeline.Upstream
	// reborn is a newer incarnation that a heartbeat announced; it is looked at first.
	reborn *pipelinev1.Upstream
	phase  lifecycle.SessionState
	epoch  int64
	clock  upstreamClock
	// deadlineMS is the highest deadline that was ever sent, by the upstream's clock.
	deadlineMS int64

	orders []order
	// ordering is the number of orders under way; settling and watching are set while a look
	// of that kind is.
	ordering           int
	settling, watching bool
	// answeredAt holds when the upstream confirmed that it has a run.
	answeredAt map[pipeline.RunKey]time.Duration
	// sent holds runs whose order has left and isn't answered.
	sent map[pipeline.RunKey]bool
	// stopping holds runs with a stop on its way or answered.
	stopping map[pipeline.RunKey]bool
	// idleSince holds since when the upstream has shown a run without any use of its cores.
	idleSince map[pipeline.RunKey]time.Duration
	// endsProposed is the highest number of an end in the log's queue; ackedEnds the highest
	// that the upstream was told.
	endsProposed, ackedEnds int64

	// nextLook is when the upstream may be looked at again.
	nextLook time.Duration
	lastBeat time.Duration
	// lastSequence is the highest number of a heartbeat of this incarnation.
	lastSequence int64
	silentAt     time.Duration
	nextProbe    time.Duration
	pause        time.Duration
	ackAt        time.Duration
	// avoidUntil keeps new work away after the upstream refused some.
	avoidUntil time.Duration
	lapsedAt   time.Duration
	// heldFor is the gang whose tickets are on their way, heldUntil when the hold ends.
	heldFor   *pipeline.Step
	heldUntil time.Duration
	// lookLost is set after a look without an answer, until another one is answered.
	lookLost bool
	// left is set once the upstream said that it ends, at leftAt.
	left   bool
	leftAt time.Duration
}

// order is a start or a stop that has to be sent.
type order struct {
	run    *pipeline.Run
	key    pipeline.RunKey
	stop   bool
	ticket string
}

// openSession begins the dealings with an upstream; nothing is ordered before a look.
func (e *Engine) openSession(u *pipeline.Upstream) *session {
	s := &session{e: e, u: u, phase: lifecycle.SessionOpening, ackedEnds: u.LastEnd, endsProposed: u.LastEnd, lastBeat: e.now(),
		answeredAt: make(map[pipeline.RunKey]time.Duration), sent: make(map[pipeline.RunKey]bool), stopping: make(map[pipeline.RunKey]bool),
		idleSince: make(map[pipeline.RunKey]time.Duration)}
	e.sessions[u.GetId()] = s
	s.logger(zerolog.InfoLevel).Str("service", u.GetService()).Str("failure_domain", u.GetFailureDomain()).
		Int("runs", len(u.Runs)).Msg("upstream session opened")
	s.pump(e.now())
	return s
}

func (s *session) logger(level zerolog.Level) *zerolog.Event {
	return s.e.log.WithLevel(level).Str("upstream", s.u.GetId()).Int64("born", s.u.GetBorn())
}

func (s *session) target() Target { return Target{s.u.GetId(), s.u.GetAddress()} }

func (s *session) token() int64 { return s.e.term<<epochBits | s.epoch }

// usable reports whether new work may be placed on the upstream.
func (s *session) usable(now time.Duration) bool {
	return s.phase == lifecycle.SessionOpen && s.reborn == nil && !s.u.GetDraining() && now >= s.avoidUntil && !s.e.upkeep.cordoned[s.u.GetId()] &&
		!s.e.learner.failing(s.u.GetId(), now)
}

// fire moves the session between its states.
func (s *session) fire(trigger lifecycle.SessionTrigger, why string) {
	to, err := lifecycle.Session.Next(s.phase, trigger)
	if err != nil {
		panic("dispatch: session of " + s.u.GetId() + ": " + err.Error())
	}
	if s.phase == to {
		return
	}
	s.logger(zerolog.InfoLevel).Str("from", string(s.phase)).Str("to", string(to)).Str("why", why).
		Int64("upstream_clock_ms", s.clock.at(s.e.now())).Int64("deadline_ms", s.deadlineMS).Msg("upstream session changed")
	s.phase = to
	s.e.dirty = true
}

// upstreamChanged follows a commit on what the upstream says of itself.
func (s *session) upstreamChanged(u *pipeline.Upstream) {
	if u.GetDraining() {
		s.moveWork()
	}
	if s.reborn != nil && u.GetBorn() >= s.reborn.GetBorn() {
		s.reborn = nil
		s.endsProposed, s.ackedEnds = u.LastEnd, u.LastEnd
	}
}

// pump starts whatever is due.
func (s *session) pump(now time.Duration) {
	switch {
	case s.phase == lifecycle.SessionOpen && s.reborn == nil:
		s.sendOrders(now)
		s.watch(now)
	case now >= s.nextProbe:
		s.settle(now)
	}
	s.checkLapse(now)
}

func (s *session) runKeys() []pipeline.RunKey {
	out := make([]pipeline.RunKey, 0, len(s.u.Runs))
	for key := range s.u.Runs {
		out = append(out, key)
	}
	return out
}

func (s *session) queued(key pipeline.RunKey) bool {
	return slices.ContainsFunc(s.orders, func(o order) bool { return o.key == key && !o.stop })
}

// forgetRun drops what belongs to a run that has ended.
func (s *session) forgetRun(key pipeline.RunKey) {
	delete(s.answeredAt, key)
	delete(s.sent, key)
	delete(s.stopping, key)
	delete(s.idleSince, key)
	s.orders = slices.DeleteFunc(s.orders, func(o order) bool { return o.key == key })
}
