package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// settle looks without a wait. Its answer says which runs the upstream has; as it is sent under
// a token above that of all unanswered orders, those that it does not list never start.
func (s *session) settle(now time.Duration) {
	if s.settling || s.ordering > 0 {
		return
	}
	s.settling = true
	s.epoch++
	req := LookRequest{Token: s.token(), LastEnd: s.u.LastEnd}
	if s.reborn != nil {
		req.LastEnd = 0
	}
	s.look(now, req, orderTimeout, func(l Look, err error, at time.Duration) {
		s.settling = false
		s.e.timed(at-now, err)
		if err != nil {
			s.probeFailed(at, err)
			return
		}
		s.settled(l, now, at)
	})
}

func (s *session) probeFailed(at time.Duration, err error) {
	if s.left {
		s.logger(zerolog.InfoLevel).Err(err).Int("runs", len(s.u.Runs)).Msg("upstream that left does not answer any more; it is gone")
		s.nextProbe = at + probeMax
		s.e.gone(s.u)
		return
	}
	if s.phase != lifecycle.SessionSilent {
		s.silentAt = at
		upstreamsSilent.Add(1)
	}
	s.fire(lifecycle.SessionLose, err.Error())
	s.withdrawQueued()
	s.pause = min(max(s.pause*2, probeMin), probeMax)
	s.nextProbe = at + s.pause
}

func (s *session) settled(l Look, began, at time.Duration) {
	if l.Verdict != Obeyed {
		s.refused(l.Verdict, at)
		return
	}
	if l.Born != 0 && l.Born != s.u.GetBorn() {
		s.otherIncarnation(l)
		return
	}
	if s.lookLost {
		// The upstream answers: what was lost was one answer, and others may be.
		s.lookLost = false
		s.e.lossyUntil = at + lossyMemory
	}
	s.pause = 0
	s.nextProbe = at + probeMin
	s.fire(lifecycle.SessionSettle, "a look was answered")
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
	seen := &pipelinev1.UpstreamSeen{Upstream: s.reborn}
	for _, r := range l.Running {
		if run := s.u.Runs[r.Run]; run != nil {
			seen.Kept = append(seen.Kept, run.Proto())
		}
	}
	for _, ended := range l.Ended {
		if run := s.u.Runs[ended.Run]; run != nil {
			seen.Kept = append(seen.Kept, run.Proto())
		}
	}
	s.logger(zerolog.InfoLevel).Int64("new_born", l.Born).Int("kept", len(seen.Kept)).Int("runs", len(s.u.Runs)).Msg("upstream was born again")
	s.clock, s.deadlineMS, s.lastSequence = upstreamClock{}, 0, 0
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: seen}}, nil)
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
		r := s.u.Runs[key]
		_, answered := s.answeredAt[key]
		if answered || listed[key] || s.queued(key) || len(l.Ended) >= maxEndsListed {
			continue
		}
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
	}
	s.proposeEnds(ends)
	clear(s.sent)
}

// watch keeps one waiting look at an upstream that has runs or ends to acknowledge.
func (s *session) watch(now time.Duration) {
	if s.watching || s.settling || s.endsProposed > s.u.LastEnd || now < s.nextLook || !s.e.mayOrder(now) {
		return
	}
	wait := s.patience()
	if now < s.e.lossyUntil {
		wait = lossyWait
	}
	if !s.hasOrdered() {
		if s.ackedEnds >= s.u.LastEnd {
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
	req := LookRequest{Token: s.token(), LastEnd: s.u.LastEnd, DeadlineMS: s.extend(now), Wait: wait}
	s.look(now, req, wait+s.e.roundTrip.timeout(), func(l Look, err error, at time.Duration) {
		s.watching = false
		switch {
		case err != nil:
			s.pause, s.lookLost = 0, true
			s.probeFailed(at, err)
			s.nextProbe = at
		case l.Verdict != Obeyed:
			s.refused(l.Verdict, at)
		case l.Born != 0 && l.Born != s.u.GetBorn():
			s.otherIncarnation(l)
		default:
			s.ackedEnds = max(s.ackedEnds, req.LastEnd)
			s.take(l, now, at)
			if !s.closesStep() {
				s.nextLook = at + lookPause
			}
		}
		s.pump(at)
	})
}

// patience is how long a look may wait for an end. Where nothing urgent runs, a silent upstream may
// be noticed later.
func (s *session) patience() time.Duration {
	for _, r := range s.u.Runs {
		if s.e.isUrgent(r.Task.Step) {
			return watchWait
		}
	}
	return calmWait
}

// closesStep reports whether one of the next ends may be the last of an urgent step, for which
// the next step or the caller waits.
func (s *session) closesStep() bool {
	for _, r := range s.u.Runs {
		if st := r.Task.Step; st.Undone <= closingTasks && s.e.isUrgent(st) {
			return true
		}
	}
	return false
}

// isUrgent reports whether a step is of the most urgent queues and ends by itself.
func (e *Engine) isUrgent(st *pipeline.Step) bool {
	return !st.Spec.GetLasting() && e.state.Terms(st.Job()).GetPriority() == 0
}

// hasOrdered reports whether the upstream may have a run.
func (s *session) hasOrdered() bool {
	return len(s.answeredAt) > 0 || len(s.sent) > 0
}

// look sends a look and hands the answer to done on the control goroutine.
func (s *session) look(began time.Duration, req LookRequest, timeout time.Duration, done func(Look, error, time.Duration)) {
	looksSent.Add(1)
	to, born := s.target(), s.u.GetBorn()
	if s.reborn != nil {
		to.Address = s.reborn.GetAddress()
	}
	s.e.async(timeout, func(ctx context.Context) func() {
		l, err := s.e.upstreams.Look(ctx, to, req)
		return func() {
			now := s.e.now()
			if err == nil && (l.Born == 0 || l.Born == born) && born == s.u.GetBorn() {
				s.clock.hear(l.ClockMS, now)
			}
			if s.e.sessions[s.u.GetId()] == s {
				done(l, err, now)
			}
		}
	})
}

// take records what a look showed.
func (s *session) take(l Look, began, now time.Duration) {
	if s.left && !s.u.GetDraining() && now-s.leftAt > leaveLife {
		s.left = false
		s.logger(zerolog.InfoLevel).Msg("upstream answers and does not drain; the word that it leaves was an older incarnation's")
	}
	running := make(map[pipeline.RunKey]bool, len(l.Running))
	for _, r := range l.Running {
		running[r.Run] = true
		run := s.u.Runs[r.Run]
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
			Run: &pipelinev1.Run{Task: x.Run.Proto(), Number: x.Run.Number, Upstream: s.u.GetId(), Born: s.u.GetBorn()}}
		if run := s.u.Runs[x.Run]; run != nil && e.Checkpoint == "" {
			e.Checkpoint = s.e.saved[run.Task]
		}
		ends = append(ends, e)
		s.endsProposed = x.Number
	}
	return ends, ended
}

// vanished returns lost ends of runs that the upstream had before the look began and that it
// lists nowhere.
func (s *session) vanished(running, ended map[pipeline.RunKey]bool, began time.Duration) (ends []*pipelinev1.End) {
	for key, at := range s.answeredAt {
		r := s.u.Runs[key]
		if r == nil || at >= began || running[key] || ended[key] {
			continue
		}
		s.logger(zerolog.WarnLevel).Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
			Msg("upstream lists a run neither as running nor as ended; it counts as lost")
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
