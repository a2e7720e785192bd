package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// phase is what the leader knows of a worker.
type phase string

const (
	// phaseOpening means that a look has to settle what the worker has before any order.
	phaseOpening phase = "opening"
	phaseOpen    phase = "open"
	// phaseSilent means that calls failed: the lease is not extended any more.
	phaseSilent phase = "silent"
)

// session is the leader's dealings with one worker.
type session struct {
	e *Engine
	w *pipeline.Worker
	// reborn is a newer incarnation that a heartbeat announced; it is looked at first.
	reborn *pipelinev1.Worker
	phase  phase
	epoch  int64
	clock  workerClock
	// deadlineMS is the highest deadline that was ever sent, by the worker's clock.
	deadlineMS int64

	orders []order
	// ordering, settling and watching are set while a call of that kind is under way.
	ordering, settling, watching bool
	// answeredAt holds when the worker confirmed that it has a run.
	answeredAt map[pipeline.RunKey]time.Duration
	// sent holds runs whose order has left and isn't answered.
	sent map[pipeline.RunKey]bool
	// stopping holds runs with a stop on its way or answered.
	stopping map[pipeline.RunKey]bool
	// idleSince holds since when the worker has shown a run without any use of its cores.
	idleSince map[pipeline.RunKey]time.Duration
	// endsProposed is the highest number of an end in the log's queue; ackedEnds the highest
	// that the worker was told.
	endsProposed, ackedEnds int64

	lastBeat time.Duration
	// lastSequence is the highest number of a heartbeat of this incarnation.
	lastSequence int64
	silentAt     time.Duration
	nextProbe    time.Duration
	pause        time.Duration
	ackAt        time.Duration
	// avoidUntil keeps new work away after the worker refused some.
	avoidUntil time.Duration
	lapsedAt   time.Duration
	// lookLost is set after a look without an answer, until another one is answered.
	lookLost bool
	// left is set once the worker said that it ends.
	left bool
}

// order is a start or a stop that has to be sent.
type order struct {
	run    *pipeline.Run
	key    pipeline.RunKey
	stop   bool
	ticket string
}

// openSession begins the dealings with a worker; nothing is ordered before a look.
func (e *Engine) openSession(w *pipeline.Worker) *session {
	s := &session{e: e, w: w, phase: phaseOpening, ackedEnds: w.LastEnd, endsProposed: w.LastEnd, lastBeat: e.now(),
		answeredAt: make(map[pipeline.RunKey]time.Duration), sent: make(map[pipeline.RunKey]bool), stopping: make(map[pipeline.RunKey]bool),
		idleSince: make(map[pipeline.RunKey]time.Duration)}
	e.sessions[w.GetId()] = s
	s.logger(zerolog.InfoLevel).Str("service", w.GetService()).Str("failure_domain", w.GetFailureDomain()).
		Int("runs", len(w.Runs)).Msg("worker session opened")
	s.pump(e.now())
	return s
}

func (s *session) logger(level zerolog.Level) *zerolog.Event {
	return s.e.log.WithLevel(level).Str("worker", s.w.GetId()).Int64("born", s.w.GetBorn())
}

func (s *session) target() Target { return Target{s.w.GetId(), s.w.GetAddress()} }

func (s *session) token() int64 { return s.e.term<<epochBits | s.epoch }

// usable reports whether new work may be placed on the worker.
func (s *session) usable(now time.Duration) bool {
	return s.phase == phaseOpen && s.reborn == nil && !s.w.GetDraining() && now >= s.avoidUntil && !s.e.upkeep.cordoned[s.w.GetId()] &&
		!s.e.learner.failing(s.w.GetId(), now)
}

func (s *session) setPhase(p phase, why string) {
	if s.phase == p {
		return
	}
	s.logger(zerolog.InfoLevel).Str("from", string(s.phase)).Str("to", string(p)).Str("why", why).
		Int64("worker_clock_ms", s.clock.at(s.e.now())).Int64("deadline_ms", s.deadlineMS).Msg("worker session changed")
	s.phase = p
	s.e.dirty = true
}

// workerChanged follows a commit on what the worker says of itself.
func (s *session) workerChanged(w *pipeline.Worker) {
	if w.GetDraining() {
		s.moveWork()
	}
	if s.reborn != nil && w.GetBorn() >= s.reborn.GetBorn() {
		s.reborn = nil
		s.endsProposed, s.ackedEnds = w.LastEnd, w.LastEnd
	}
}

// pump starts whatever is due.
func (s *session) pump(now time.Duration) {
	switch {
	case s.phase == phaseOpen && s.reborn == nil:
		s.sendOrder(now)
		s.watch(now)
	case now >= s.nextProbe:
		s.settle(now)
	}
	s.checkLapse(now)
}

func (s *session) runKeys() []pipeline.RunKey {
	out := make([]pipeline.RunKey, 0, len(s.w.Runs))
	for key := range s.w.Runs {
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
