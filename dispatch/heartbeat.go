package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// heartbeat takes what an upstream says of itself. Only what is new goes into the log, and is
// acknowledged after its commit.
func (e *Engine) heartbeat(c *pipelinev1.HeartbeatCall, done finish) {
	said, now := c.GetUpstream(), e.now()
	s := e.sessions[said.GetId()]
	ok := verdict(pipelinev1.Verdict_VERDICT_OK, "")
	switch {
	case s == nil:
		e.newUpstream(said, done, ok)
		return
	case said.GetBorn() < s.u.GetBorn():
		e.log.Info().Str("upstream", said.GetId()).Int64("born", said.GetBorn()).Int64("known_born", s.u.GetBorn()).
			Msg("heartbeat of an older incarnation ignored")
		done(ok, nil)
		return
	}
	s.lastBeat = now
	if said.GetBorn() == s.u.GetBorn() && (c.GetSequence() < s.lastSequence || s.u.GetDraining() && !said.GetDraining()) {
		// A heartbeat that was held up must not bring a draining upstream back.
		e.log.Info().Str("upstream", said.GetId()).Int64("sequence", c.GetSequence()).Int64("known_sequence", s.lastSequence).
			Bool("draining", s.u.GetDraining()).Msg("heartbeat is older than what is known; ignored")
		done(ok, nil)
		return
	}
	if said.GetBorn() == s.u.GetBorn() {
		s.lastSequence = c.GetSequence()
	}
	if s.phase != lifecycle.SessionOpen && s.pause > probeMin {
		s.pause, s.nextProbe = 0, now
	}
	if said.GetBorn() > s.u.GetBorn() {
		if s.reborn == nil || s.reborn.GetBorn() < said.GetBorn() {
			s.reborn, s.nextProbe = said, now
			s.fire(lifecycle.SessionDoubt, "a heartbeat of a newer incarnation came")
		}
		s.pump(now)
		done(ok, nil)
		return
	}
	if pipeline.SameUpstream(s.u.Upstream, said) {
		done(ok, nil)
		s.pump(now)
		return
	}
	e.log.Info().Str("upstream", said.GetId()).Bool("draining", said.GetDraining()).Str("address", said.GetAddress()).
		Msg("upstream describes itself anew")
	e.seen(said, done, ok)
}

// newUpstream takes an unknown upstream, after older upstreams at its address are gone.
func (e *Engine) newUpstream(said *pipelinev1.Upstream, done finish, ok *pipelinev1.Reply) {
	for _, w := range e.state.Upstreams() {
		if w.GetAddress() != said.GetAddress() && (said.GetVm() == "" || w.GetVm() != said.GetVm()) {
			continue
		}
		if w.GetBorn() > said.GetBorn() {
			e.log.Info().Str("upstream", said.GetId()).Str("newer_upstream", w.GetId()).Msg("heartbeat from an address that a newer upstream has; ignored")
			done(ok, nil)
			return
		}
		e.log.Info().Str("upstream", w.GetId()).Str("newer_upstream", said.GetId()).Msg("a newer upstream has this upstream's place")
		e.gone(w)
	}
	e.seen(said, done, ok)
}

func (e *Engine) seen(said *pipelinev1.Upstream, done finish, ok *pipelinev1.Reply) {
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: said}}},
		func(r *pipelinev1.Reply, err error) {
			if err == nil && r.GetVerdict() == pipelinev1.Verdict_VERDICT_NOT_NOW {
				done(r, nil)
				return
			}
			done(ok, err)
		})
}

// gone ends the runs of an upstream that is surely gone, with their last checkpoints, and
// forgets it.
func (e *Engine) gone(w *pipeline.Upstream) {
	var ends []*pipelinev1.End
	for _, r := range w.Runs {
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_LOST, Checkpoint: e.saved[r.Task]})
	}
	if len(ends) > 0 {
		e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: ends}}}, nil)
	}
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamGone{
		UpstreamGone: &pipelinev1.UpstreamGone{Id: w.GetId(), Born: w.GetBorn()}}}, nil)
}

// leave takes an upstream's word that it ends now. It counts as gone as soon as it does not
// answer any more; until then it may still finish what it has.
func (e *Engine) leave(c *pipelinev1.LeaveCall, done finish) {
	s := e.sessions[c.GetUpstream()]
	if s == nil || c.GetBorn() != 0 && c.GetBorn() != s.u.GetBorn() {
		done(verdict(pipelinev1.Verdict_VERDICT_OK, "the upstream is not known"), nil)
		return
	}
	s.logger(zerolog.InfoLevel).Bool("draining", s.u.GetDraining()).Int("runs", len(s.u.Runs)).Msg("upstream leaves")
	// The word may be a late one of an older incarnation under the same identity.
	s.left, s.leftAt = true, e.now()
	s.suspect(e.now(), "the upstream said that it leaves")
	s.pump(e.now())
	done(verdict(pipelinev1.Verdict_VERDICT_OK, ""), nil)
}

// moveWork takes the work that can go on elsewhere off an upstream that drains: what lasts, and
// what has a checkpoint. Short tasks are left to finish. A gang would break as a whole.
func (s *session) moveWork() {
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		spec := r.Task.Step.Spec
		if spec.GetLasting() || spec.GetCheckpointing() && !spec.GetGang() {
			s.enqueueStop(r, "the upstream drains")
		}
	}
}

// forgetUpstreams drops upstreams that are silent for good and have no runs.
func (e *Engine) forgetUpstreams(now time.Duration) {
	for _, s := range e.sessions {
		if s.phase != lifecycle.SessionOpen && len(s.u.Runs) == 0 && now-s.lastBeat > forgetAfter {
			e.gone(s.u)
		}
	}
}
