package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// requestStatus sends a status request and passes the answer to done on the control goroutine,
// with the time of its arrival.
func (s *session) requestStatus(began time.Duration, req StatusRequest, timeout time.Duration, done func(StatusReply, error, time.Duration)) {
	statusRequestsSent.Add(1)
	to, born := s.target(began, timeout), s.u.GetBorn()
	to.Address = s.statusAddress()
	s.e.async(timeout, func(ctx context.Context) func() {
		reply, err := s.e.upstreams.Status(ctx, to, req)
		return func() {
			now := s.e.now()
			if err == nil && (reply.Born == 0 || reply.Born == born) && born == s.u.GetBorn() {
				s.clock.observe(reply.ClockMS, now)
			}
			if s.e.sessions[s.u.GetId()] == s {
				if err != nil {
					s.wayFailed(to.Via, now)
				} else {
					err = s.checkReply(reply)
				}
				if to.Address != s.u.GetAddress() {
					err = errorAtClaimant(reply, err)
				}
				done(reply, err, now)
			}
		}
	})
}

// reconcileRuns applies an answered status request: it records checkpoints, stops runs that
// should not go on, and proposes the ends of runs.
func (s *session) reconcileRuns(reply StatusReply, began, now time.Duration) {
	if s.leaveAnnounced && !s.u.GetDraining() && now-s.leaveAnnouncedAt > leaveValidity {
		s.leaveAnnounced = false
		s.logger(zerolog.InfoLevel).Msg("upstream answers and is not draining; its leave notice came from an older incarnation")
	}
	running := make(map[pipeline.RunKey]bool, len(reply.Running))
	var unknown []pipeline.RunKey
	for _, r := range reply.Running {
		running[r.Run] = true
		run := s.u.Runs[r.Run]
		if run == nil {
			unknown = append(unknown, r.Run)
			continue
		}
		if _, known := s.answeredAt[r.Run]; !known && !s.startQueued(r.Run) {
			s.adopted[r.Run] = true
			s.confirmRun(run, now)
		}
		if r.Checkpoint != "" {
			s.e.checkpoints[run.Task] = r.Checkpoint
		}
		s.recordWorking(run, r, now)
		s.checkTarget(run, r, now)
		s.checkProgress(run, r, now)
		if run.Task.Step.Job().Ended() {
			s.enqueueStop(run, "the job has ended")
		}
	}
	s.stopUnknown(unknown...)
	s.acknowledgeAgain(reply)
	ends, ended := s.newEnds(reply)
	if len(reply.Ended) < maxEndsListed {
		ends = append(ends, s.missingRuns(running, ended, began)...)
	}
	s.proposeEnds(ends)
}

const (
	// maxEndGap is how far the number of an end may be ahead of the last one. Once a number is acknowledged, the
	// upstream forgets all ends up to it.
	maxEndGap = 1 << 20
	// maxCheckpointBytes bounds a checkpoint, which is replicated. Users' have 16 bytes.
	maxCheckpointBytes = 64 << 10
)

var errLongText = errors.New("the upstream lists a name or a checkpoint that is too long")

// checkReply returns an error if an answer lists what the upstream can't have, or what is too long to be replicated.
func (s *session) checkReply(reply StatusReply) error {
	for _, x := range reply.Running {
		if len(x.Run.Job) > pipeline.MaxNameBytes || len(x.Checkpoint) > maxCheckpointBytes {
			return errLongText
		}
	}
	known := reply.Born == 0 || reply.Born == s.u.GetBorn()
	for _, x := range reply.Ended {
		if len(x.Run.Job) > pipeline.MaxNameBytes || len(x.Checkpoint) > maxCheckpointBytes {
			return errLongText
		}
		if known && (x.Number < 1 || x.Number-maxEndGap > s.endsProposed) {
			return errors.Errorf("the upstream lists an end with the number %d after %d", x.Number, s.endsProposed)
		}
	}
	return nil
}

// acknowledgeAgain has ends acknowledged that this incarnation lists although they count as acknowledged: an older leader may
// have committed them, and been lost before it acknowledged them.
func (s *session) acknowledgeAgain(reply StatusReply) {
	if reply.Born != s.u.GetBorn() {
		return
	}
	for _, x := range reply.Ended {
		s.ackedEnds = min(s.ackedEnds, x.Number-1)
	}
}

// newEnds converts the listed ends that were not proposed yet. It also returns the set of all
// runs that are listed as ended.
func (s *session) newEnds(reply StatusReply) (ends []*pipelinev1.End, ended map[pipeline.RunKey]bool) {
	ended = make(map[pipeline.RunKey]bool, len(reply.Ended))
	proposed := s.endsProposed
	for _, x := range reply.Ended {
		ended[x.Run] = true
		if x.Number <= proposed {
			continue
		}
		e := &pipelinev1.End{Kind: x.Kind, Listed: x.Number, Checkpoint: x.Checkpoint,
			Run: &pipelinev1.Run{Task: x.Run.Proto(), Number: x.Run.Number, Upstream: s.u.GetId(), Born: s.u.GetBorn()}}
		if run := s.u.Runs[x.Run]; run != nil && e.Checkpoint == "" {
			e.Checkpoint = s.e.checkpoints[run.Task]
		}
		ends = append(ends, e)
		s.endsProposed = max(s.endsProposed, x.Number)
	}
	return ends, ended
}

// missingRuns returns lost ends for the runs that the upstream had before the request was sent
// and that it lists neither as running nor as ended.
func (s *session) missingRuns(running, ended map[pipeline.RunKey]bool, began time.Duration) (ends []*pipelinev1.End) {
	for key, at := range s.answeredAt {
		r := s.u.Runs[key]
		if r == nil || at >= began || running[key] || ended[key] {
			continue
		}
		s.logger(zerolog.WarnLevel).Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
			Msg("upstream lists a run neither as running nor as ended; it counts as lost")
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_LOST, Checkpoint: s.e.checkpoints[r.Task]})
	}
	return ends
}

// confirmRun records that the upstream has a run.
func (s *session) confirmRun(r *pipeline.Run, now time.Duration) {
	s.answeredAt[r.Key()] = now
	if j := r.Task.Step.Job(); !j.Ended() {
		s.e.unstarted[j] = false
	}
}

// markStarted marks the ends of runs that the upstream is known to have started.
func (s *session) markStarted(ends []*pipelinev1.End) {
	for _, e := range ends {
		_, e.Started = s.answeredAt[runKeyOf(e.GetRun())]
	}
}

// proposeEnds proposes ends of runs.
func (s *session) proposeEnds(ends []*pipelinev1.End) {
	if len(ends) == 0 {
		return
	}
	s.markStarted(ends)
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: ends}}},
		func(_ *pipeline.Result, err error) {
			if !s.e.leading || s.e.sessions[s.u.GetId()] != s {
				return
			}
			if err != nil {
				s.endsNotCommitted(err)
			}
			s.runDueWork(s.e.now())
		})
}

// endsNotCommitted handles ends that were not committed although the leadership goes on, as during a
// transfer that fails: another status request determines all of them again.
func (s *session) endsNotCommitted(err error) {
	s.logger(zerolog.InfoLevel).Err(err).Msg("ends of runs were not committed; they are determined again")
	s.endsProposed = s.u.LastEnd
	s.suspect(s.e.now(), "ends of runs were not committed")
	s.nextProbe = s.e.now() + probeMin
}
