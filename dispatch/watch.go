package dispatch

import "time"

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

// hasOrdered reports whether the upstream may have a run.
func (s *session) hasOrdered() bool {
	return len(s.answeredAt) > 0 || len(s.sent) > 0
}
