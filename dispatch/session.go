package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
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

	lastBeat  time.Duration
	silentAt  time.Duration
	nextProbe time.Duration
	pause     time.Duration
	ackAt     time.Duration
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

// workerClock bounds a worker's clock from below.
type workerClock struct {
	ms      int64
	heardAt time.Duration
}

func (c *workerClock) hear(ms int64, now time.Duration) {
	if ms > 0 && ms >= c.at(now) {
		c.ms, c.heardAt = ms, now
	}
}

// at returns the least that the worker's clock can show now; zero if it was never heard.
func (c *workerClock) at(now time.Duration) int64 {
	if c.ms == 0 {
		return 0
	}
	return c.ms + (now-c.heardAt).Milliseconds()*(100-slowClockPercent)/100
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

// extend returns a new deadline by the worker's clock, or zero if the lease may not be extended.
func (s *session) extend(now time.Duration) int64 {
	at := s.clock.at(now)
	if at == 0 || !s.e.mayOrder(now) {
		return 0
	}
	s.deadlineMS = max(s.deadlineMS, at+s.e.cfg.MaxHold.Milliseconds())
	return s.deadlineMS
}

// settle looks without a wait. Its answer says which runs the worker has; as it is sent under
// a token above that of all unanswered orders, those that it does not list never start.
func (s *session) settle(now time.Duration) {
	if s.settling || s.ordering {
		return
	}
	s.settling = true
	s.epoch++
	req := LookRequest{Token: s.token(), LastEnd: s.w.LastEnd}
	if s.reborn != nil {
		req.LastEnd = 0
	}
	s.look(now, req, orderTimeout, func(l Look, err error, at time.Duration) {
		s.settling = false
		if err != nil {
			s.probeFailed(at, err)
			return
		}
		s.settled(l, now, at)
	})
}

func (s *session) probeFailed(at time.Duration, err error) {
	if s.left {
		s.logger(zerolog.InfoLevel).Err(err).Int("runs", len(s.w.Runs)).Msg("worker that left does not answer any more; it is gone")
		s.nextProbe = at + probeMax
		s.e.gone(s.w)
		return
	}
	if s.phase != phaseSilent {
		s.silentAt = at
		workersSilent.Add(1)
	}
	s.setPhase(phaseSilent, err.Error())
	s.pause = min(max(s.pause*2, probeMin), probeMax)
	s.nextProbe = at + s.pause
}

func (s *session) settled(l Look, began, at time.Duration) {
	if l.Verdict != Obeyed {
		s.refused(l.Verdict, at)
		return
	}
	if l.Born != 0 && l.Born != s.w.GetBorn() {
		s.otherIncarnation(l)
		return
	}
	if s.lookLost {
		// The worker answers: what was lost was one answer, and others may be.
		s.lookLost = false
		s.e.lossyUntil = at + lossyMemory
	}
	s.pause = 0
	s.nextProbe = at + probeMin
	s.setPhase(phaseOpen, "a look was answered")
	s.resolve(l)
	s.take(l, began, at)
}

// refused handles an answer that isn't about the runs.
func (s *session) refused(v OrderVerdict, at time.Duration) {
	ordersRefused.Add(string(v), 1)
	s.probeFailed(at, errors.New(string(v)))
}

// otherIncarnation waits for the new incarnation's heartbeat, or commits it if it came.
func (s *session) otherIncarnation(l Look) {
	if s.reborn == nil || s.reborn.GetBorn() != l.Born {
		s.probeFailed(s.e.now(), errors.New("another incarnation answered; waiting for its heartbeat"))
		return
	}
	seen := &pipelinev1.WorkerSeen{Worker: s.reborn}
	for _, r := range l.Running {
		if run := s.w.Runs[r.Run]; run != nil {
			seen.Kept = append(seen.Kept, run.Proto())
		}
	}
	for _, ended := range l.Ended {
		if run := s.w.Runs[ended.Run]; run != nil {
			seen.Kept = append(seen.Kept, run.Proto())
		}
	}
	s.logger(zerolog.InfoLevel).Int64("new_born", l.Born).Int("kept", len(seen.Kept)).Int("runs", len(s.w.Runs)).Msg("worker was born again")
	s.clock, s.deadlineMS = workerClock{}, 0
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_WorkerSeen{WorkerSeen: seen}}, nil)
	s.nextProbe = s.e.now() + probeMin
}

// resolve decides what became of orders without an answer.
func (s *session) resolve(l Look) {
	listed := make(map[pipeline.RunKey]bool)
	for _, r := range l.Running {
		listed[r.Run] = true
	}
	for _, r := range l.Ended {
		listed[r.Run] = true
	}
	var ends []*pipelinev1.End
	for _, key := range s.runKeys() {
		r := s.w.Runs[key]
		_, answered := s.answeredAt[key]
		if answered || listed[key] || s.queued(key) || len(l.Ended) >= maxEndsListed {
			continue
		}
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
	}
	s.proposeEnds(ends)
	clear(s.sent)
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

// watch keeps one waiting look at a worker that has runs or ends to acknowledge.
func (s *session) watch(now time.Duration) {
	if s.watching || s.settling || s.endsProposed > s.w.LastEnd || !s.e.mayOrder(now) {
		return
	}
	wait, timeout := watchWait, orderTimeout
	if now < s.e.lossyUntil {
		wait, timeout = lossyWait, lossyTimeout
	}
	if !s.hasOrdered() {
		if s.ackedEnds >= s.w.LastEnd {
			return
		}
		if s.ackAt == 0 {
			s.ackAt = now + ackDelay
		}
		if now < s.ackAt {
			return
		}
		wait = 0
	}
	s.ackAt = 0
	s.watching = true
	req := LookRequest{Token: s.token(), LastEnd: s.w.LastEnd, DeadlineMS: s.extend(now), Wait: wait}
	s.look(now, req, wait+timeout, func(l Look, err error, at time.Duration) {
		s.watching = false
		switch {
		case err != nil:
			s.pause, s.lookLost = 0, true
			s.probeFailed(at, err)
			s.nextProbe = at
		case l.Verdict != Obeyed:
			s.refused(l.Verdict, at)
		case l.Born != 0 && l.Born != s.w.GetBorn():
			s.otherIncarnation(l)
		default:
			s.ackedEnds = max(s.ackedEnds, req.LastEnd)
			s.take(l, now, at)
		}
		s.pump(at)
	})
}

// hasOrdered reports whether the worker may have a run.
func (s *session) hasOrdered() bool {
	return len(s.answeredAt) > 0 || len(s.sent) > 0
}

// look sends a look and hands the answer to done on the control goroutine.
func (s *session) look(began time.Duration, req LookRequest, timeout time.Duration, done func(Look, error, time.Duration)) {
	looksSent.Add(1)
	to, born := s.target(), s.w.GetBorn()
	if s.reborn != nil {
		to.Address = s.reborn.GetAddress()
	}
	s.e.async(timeout, func(ctx context.Context) func() {
		l, err := s.e.workers.Look(ctx, to, req)
		return func() {
			now := s.e.now()
			if err == nil && (l.Born == 0 || l.Born == born) && born == s.w.GetBorn() {
				s.clock.hear(l.ClockMS, now)
			}
			if s.e.sessions[s.w.GetId()] == s {
				done(l, err, now)
			}
		}
	})
}

// take records what a look showed.
func (s *session) take(l Look, began, now time.Duration) {
	running := make(map[pipeline.RunKey]bool, len(l.Running))
	for _, r := range l.Running {
		running[r.Run] = true
		run := s.w.Runs[r.Run]
		if run == nil {
			s.stopUnknown(r.Run)
			continue
		}
		if _, known := s.answeredAt[r.Run]; !known && !s.queued(r.Run) {
			s.answeredAt[r.Run] = now
		}
		if r.Checkpoint != "" {
			s.e.saved[run.Task] = r.Checkpoint
		}
		s.checkProgress(run, r, now)
		if run.Task.Step.Job().Ended() {
			s.enqueueStop(run, "the job has ended")
		}
	}
	ends, ended := s.listedEnds(l)
	if len(l.Ended) < maxEndsListed {
		ends = append(ends, s.vanished(running, ended, began)...)
	}
	s.proposeEnds(ends)
}

// listedEnds converts the ends that are not in the log's queue yet.
func (s *session) listedEnds(l Look) (ends []*pipelinev1.End, ended map[pipeline.RunKey]bool) {
	ended = make(map[pipeline.RunKey]bool, len(l.Ended))
	for _, x := range l.Ended {
		ended[x.Run] = true
		if x.Number <= s.endsProposed {
			continue
		}
		e := &pipelinev1.End{Kind: x.Kind, Listed: x.Number, Checkpoint: x.Checkpoint,
			Run: &pipelinev1.Run{Task: x.Run.Proto(), Number: x.Run.Number, Worker: s.w.GetId(), Born: s.w.GetBorn()}}
		if run := s.w.Runs[x.Run]; run != nil && e.Checkpoint == "" {
			e.Checkpoint = s.e.saved[run.Task]
		}
		ends = append(ends, e)
		s.endsProposed = x.Number
	}
	return ends, ended
}

// vanished returns lost ends of runs that the worker had before the look began and that it
// lists nowhere.
func (s *session) vanished(running, ended map[pipeline.RunKey]bool, began time.Duration) (ends []*pipelinev1.End) {
	for key, at := range s.answeredAt {
		r := s.w.Runs[key]
		if r == nil || at >= began || running[key] || ended[key] {
			continue
		}
		s.logger(zerolog.WarnLevel).Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
			Msg("worker lists a run neither as running nor as ended; it counts as lost")
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_LOST, Checkpoint: s.e.saved[r.Task]})
	}
	return ends
}

func (s *session) proposeEnds(ends []*pipelinev1.End) {
	if len(ends) == 0 {
		return
	}
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: ends}}},
		func(_ *pipeline.Result, err error) {
			if err == nil && s.e.leading {
				s.pump(s.e.now())
			}
		})
}

// forgetRun drops what belongs to a run that has ended.
func (s *session) forgetRun(key pipeline.RunKey) {
	delete(s.answeredAt, key)
	delete(s.sent, key)
	delete(s.stopping, key)
	delete(s.idleSince, key)
	s.orders = slices.DeleteFunc(s.orders, func(o order) bool { return o.key == key })
}

// checkLapse declares the runs of a silent worker lost once its lease has surely ended.
func (s *session) checkLapse(now time.Duration) {
	if s.phase == phaseOpen || len(s.w.Runs) == 0 || now-s.lapsedAt < orderTimeout || !s.leaseOver(now) {
		return
	}
	var ends []*pipelinev1.End
	for _, key := range s.runKeys() {
		r := s.w.Runs[key]
		if s.queued(key) && !s.sent[key] {
			ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
			continue
		}
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_LOST, Checkpoint: s.e.saved[r.Task]})
	}
	workersLapsed.Add(1)
	s.logger(zerolog.WarnLevel).Int("runs", len(ends)).Int64("worker_clock_ms", s.clock.at(now)).Int64("deadline_ms", s.deadlineMS).
		Dur("silent", now-s.silentAt).Msg("lease of a silent worker has ended; its runs are lost")
	s.proposeEnds(ends)
	s.lapsedAt = now
}

// leaseOver reports whether neither this leader's nor an older one's lease can still hold.
func (s *session) leaseOver(now time.Duration) bool {
	grace := s.e.cfg.StopGrace + lapseMargin
	older := confirmLife + s.e.cfg.MaxHold + s.e.cfg.MaxHold*(slowClockPercent+1)/100 + grace
	if now-s.e.leadAt < older {
		return false
	}
	if s.deadlineMS == 0 {
		return true
	}
	return s.clock.at(now) > s.deadlineMS+grace.Milliseconds()
}

// checkProgress stops a run that uses no core at all while its task should be at work, so
// that it can go on elsewhere.
func (s *session) checkProgress(run *pipeline.Run, shown RunningTask, now time.Duration) {
	at, answered := s.answeredAt[shown.Run]
	st := run.Task.Step
	if st.Spec.GetLasting() || st.Spec.GetGang() || !shown.UsageKnown || shown.Usage > 0 || !answered || now-at < stallAfter {
		delete(s.idleSince, shown.Run)
		return
	}
	since, idle := s.idleSince[shown.Run]
	if !idle {
		s.idleSince[shown.Run] = now
		return
	}
	if now-since < stallAfter || s.stopping[shown.Run] {
		return
	}
	runsStalled.Add(1)
	s.logger(zerolog.WarnLevel).Str("request", shown.Run.Job).Int32("step", shown.Run.Step).Int32("task", shown.Run.Index).Int32("run", shown.Run.Number).
		Dur("idle", now-since).Msg("run stands still; it is stopped and goes on elsewhere")
	s.avoidUntil = now + stallPause
	if w := s.e.steps[st]; w != nil {
		w.avoid(s.w.GetId(), now+retryElsewhere)
	}
	s.enqueueStop(run, "the run stands still")
}
