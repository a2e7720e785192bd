package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// A heartbeat may come from another writer and claim what is not so. Claims against the known incarnation are settled
// by status requests: whichever incarnation answers is there.

const (
	// staleBeats is the number of heartbeats in a row, with rising numbers and over staleTime at least, that show that
	// their sender is there: a higher number that was known before counts as false. Late heartbeats come at once, after a
	// disruption.
	staleBeats = 4
	staleTime  = 4 * time.Second
)

// beatStreak is a row of heartbeats with rising numbers.
type beatStreak struct {
	beats int
	last  int64
	since time.Duration
}

// add adds a heartbeat and reports whether the row shows that its sender is there.
func (r *beatStreak) add(sequence int64, now time.Duration) bool {
	if r.beats == 0 || sequence <= r.last {
		*r = beatStreak{since: now}
	}
	r.beats++
	r.last = sequence
	return r.beats >= staleBeats && now-r.since >= staleTime
}

// sequenceStale reports whether a heartbeat of the known incarnation is older than another one.
func (s *session) sequenceStale(sequence int64, now time.Duration) bool {
	if sequence >= s.lastSequence {
		s.stale = beatStreak{}
		return false
	}
	if !s.stale.add(sequence, now) {
		return true
	}
	s.logger(zerolog.WarnLevel).Int64("sequence", sequence).Int64("known_sequence", s.lastSequence).
		Msg("heartbeats go on with lower numbers; the highest one was false")
	claimsRefuted.Add(1)
	s.stale = beatStreak{}
	return false
}

// drains reports whether the upstream drains although a heartbeat of the known incarnation says that it doesn't. An upstream that
// drains is never ready again: where it is, for a row of heartbeats with higher numbers than the one that said so, and none that
// drains is between them, that one was false.
func (s *session) drains(reported *pipelinev1.Upstream, sequence int64, now time.Duration) bool {
	if !s.u.GetDraining() || reported.GetDraining() {
		s.ready = beatStreak{}
		return false
	}
	if s.u.Sequence == 0 || sequence <= s.u.Sequence || !s.ready.add(sequence, now) {
		return true
	}
	s.ready = beatStreak{}
	s.logger(zerolog.WarnLevel).Int64("sequence", sequence).Int64("known_sequence", s.u.Sequence).
		Msg("upstream is ready after a heartbeat that said it drains; that one was false")
	claimsRefuted.Add(1)
	return false
}

// incarnationClaimed takes note of a heartbeat of a newer incarnation. The known one is asked first if it has answered
// lately. Further claims don't change whose turn it is. An older one than the last counts once that one was asked about in vain.
func (s *session) incarnationClaimed(reported *pipelinev1.Upstream, now time.Duration) {
	if c := s.newIncarnation; c != nil && (c.GetBorn() == reported.GetBorn() || c.GetBorn() > reported.GetBorn() && !s.claimUnconfirmed) {
		return
	}
	if s.newIncarnation == nil {
		s.askClaimant, s.nextProbe = !s.answers(), now
	}
	s.newIncarnation, s.claimedAt, s.claimUnconfirmed = reported, now, false
	s.transition(lifecycle.SessionSuspect, "received a heartbeat from a newer incarnation")
}

// olderReported takes note of a heartbeat of an older incarnation than the known one, if the known one may be the false
// one: it does not answer and has no runs.
func (s *session) olderReported(reported *pipelinev1.Upstream, now time.Duration) {
	if s.phase == lifecycle.SessionOpen || len(s.u.Runs) > 0 {
		return
	}
	if s.olderReport == nil {
		s.nextProbe = now
	}
	s.olderReport = reported
}

// olderIncarnationAnswered reports whether the answer to a status request shows that the known incarnation is a
// false one, and if so replaces it by the older one that answered.
func (s *session) olderIncarnationAnswered(reply StatusReply) bool {
	older := s.olderReport
	if older == nil || s.newIncarnation != nil || older.GetBorn() != reply.Born || reply.Born >= s.u.GetBorn() || len(s.u.Runs) > 0 {
		return false
	}
	s.logger(zerolog.WarnLevel).Int64("answered_born", reply.Born).Str("address", older.GetAddress()).
		Msg("an older incarnation answers; the heartbeat of the known one was false")
	claimsRefuted.Add(1)
	s.olderReport = nil
	s.e.proposeUpstreamGone(s.u)
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: older}}}, nil)
	return true
}

// replacementClaimed takes note of a heartbeat of another upstream with this one's address or VM.
func (s *session) replacementClaimed(c *pipelinev1.HeartbeatCall, now time.Duration) {
	if s.replacement == nil || s.replacement.GetUpstream().GetId() != c.GetUpstream().GetId() {
		s.logger(zerolog.InfoLevel).Str("other_upstream", c.GetUpstream().GetId()).Msg("another upstream reports the same address or VM; asking whether this one is still there")
	}
	s.replacement, s.replacementAt, s.probePause = c, now, 0
	s.suspect(now, "another upstream reports the same address or VM")
	s.runDueWork(now)
}

// certainlyEnded reports whether the error of a status request shows that the upstream's process has ended.
func certainlyEnded(err error) bool {
	return errors.Is(err, ErrNothingListens) || errors.Is(err, errOtherIncarnation)
}

// addReplacement adds the upstream that has taken the place of this one, once this one is removed.
func (s *session) addReplacement() {
	if replacement := s.replacement; replacement != nil && s.e.leading && s.e.sessions[replacement.GetUpstream().GetId()] == nil {
		s.replacement = nil
		s.e.addUpstream(replacement, func(*pipelinev1.Reply, error) {}, nil)
	}
}

// statusAddress returns where status requests go. While another incarnation is reported they alternate between its
// address and that of the known one.
func (s *session) statusAddress() string {
	switch {
	case !s.askClaimant:
		return s.u.GetAddress()
	case s.newIncarnation != nil:
		return s.newIncarnation.GetAddress()
	case s.olderReport != nil:
		return s.olderReport.GetAddress()
	}
	return s.u.GetAddress()
}

// errOtherIncarnation is the error of a status request that another incarnation or upstream refused.
var errOtherIncarnation = errors.New(string(OtherIncarnation))

// errorAtClaimant returns the error of a status request to the address of another incarnation than the known one. It
// does not say whether the known one has ended.
func errorAtClaimant(reply StatusReply, err error) error {
	switch {
	case err != nil:
		return errors.New(err.Error())
	case reply.Verdict != Accepted:
		return errors.New(string(reply.Verdict))
	}
	return nil
}

// knownIncarnationAnswered settles claims that came before a status request to which the known incarnation has
// answered.
func (s *session) knownIncarnationAnswered(reply StatusReply, began time.Duration) {
	if s.replacement != nil && reply.Born != 0 && began >= s.replacementAt {
		s.logger(zerolog.WarnLevel).Str("other_upstream", s.replacement.GetUpstream().GetId()).Msg("the upstream is still there; the heartbeat of the other one was false")
		claimsRefuted.Add(1)
		s.replacement = nil
	}
	if s.newIncarnation == nil || reply.Born == 0 || began < s.claimedAt {
		return
	}
	s.logger(zerolog.WarnLevel).Int64("claimed_born", s.newIncarnation.GetBorn()).Str("address", s.newIncarnation.GetAddress()).
		Msg("the known incarnation answers; a heartbeat of a newer one was false")
	claimsRefuted.Add(1)
	s.newIncarnation = nil
}
