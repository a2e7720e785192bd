package dispatch

import (
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
