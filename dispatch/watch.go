package dispatch

import "time"

// watch keeps one status request with a wait pending at an upstream that has runs, and
// acknowledges the ends of an idle upstream.
func (s *session) watch(now time.Duration) {
	if s.watching || s.reconciling || s.endsProposed > s.u.LastEnd || now < s.nextStatus || !s.e.leadershipConfirmed(now) {
		return
	}
	wait := s.watchWaitTime()
	if now < s.e.lossyUntil {
		wait = lossyWait
	}
	if !s.mayHaveRuns() {
		if s.ackedEnds >= s.u.LastEnd {
			return
		}
		if s.ackDue == 0 {
			s.ackDue = now + ackDelay
		}
		if now < s.ackDue {
			return
		}
		wait = 0
	}
	lastEnd, ready := s.acknowledgement(now)
	if !ready {
		return
	}
	s.ackDue = 0
	s.watching = true
	req := StatusRequest{Token: s.token(), LastEnd: lastEnd, DeadlineMS: s.extendLease(now), Wait: wait}
	s.requestStatus(now, req, wait+s.e.roundTrip.timeout(), func(reply StatusReply, err error, at time.Duration) {
		s.watching = false
		switch {
		case err != nil:
			s.probePause, s.statusUnanswered = 0, true
			s.probeFailed(at, err)
			s.nextProbe = at
		case reply.Verdict != Accepted:
			s.probeRefused(reply.Verdict, at)
		case reply.Born != 0 && reply.Born != s.u.GetBorn():
			s.otherIncarnation(reply)
		default:
			s.ackedEnds = max(s.ackedEnds, req.LastEnd)
			known := s.endsProposed
			s.reconcileRuns(reply, now, at)
			if req.Token == s.token() {
				s.resolveRest(reply)
			}
			// What is listed although it was acknowledged has the upstream answer at once, each time.
			onlyKnown := len(reply.Ended) > 0 && s.endsProposed == known
			if onlyKnown || !s.mayCompleteStep() {
				s.nextStatus = at + statusPause
			}
		}
		s.runDueWork(at)
	})
}

// acknowledgement returns the number up to which a status request acknowledges ends, zero for none. Ends are only
// acknowledged to an upstream that has answered all starts: should it have restarted, the answers show that, and its own
// ends, which it numbers anew, must not be acknowledged. The request is not ready while these answers may come soon.
func (s *session) acknowledgement(now time.Duration) (lastEnd int64, ready bool) {
	switch {
	case s.ackedEnds >= s.u.LastEnd:
		return 0, true
	case len(s.sent) == 0:
		return s.u.LastEnd, true
	}
	return 0, now >= s.startsSince+startAnswerWait
}

// watchWaitTime returns how long a status request may wait for an end. Where nothing urgent runs,
// an unresponsive upstream may be detected later.
func (s *session) watchWaitTime() time.Duration {
	wait := nonUrgentWait
	if len(s.fillersBesideTargets()) > 0 {
		return startupWait
	}
	for key, r := range s.u.Runs {
		switch _, working := s.workingAt[key]; {
		case s.e.maintenance.waveOpen && isProtected(r) && !working:
			return startupWait
		case s.e.isUrgent(r.Task.Step):
			wait = watchWait
		}
	}
	return wait
}

// mayCompleteStep reports whether one of the next ends may complete an urgent step, for which the
// next step or the caller waits.
func (s *session) mayCompleteStep() bool {
	for _, r := range s.u.Runs {
		if st := r.Task.Step; st.Undone <= lastTasks && s.e.isUrgent(st) {
			return true
		}
	}
	return false
}

// mayHaveRuns reports whether the upstream may have a run.
func (s *session) mayHaveRuns() bool {
	return len(s.answeredAt) > 0 || len(s.sent) > 0 || len(s.unresolved) > 0
}
