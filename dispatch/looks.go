package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

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
