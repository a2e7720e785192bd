package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// A heartbeat may come from another writer and claim what is not so. Claims against the known incarnation are settled
// by status requests: whichever incarnation answers is there.

// incarnationClaimed takes note of a heartbeat of a newer incarnation.
func (s *session) incarnationClaimed(reported *pipelinev1.Upstream, now time.Duration) {
	if s.newIncarnation != nil && s.newIncarnation.GetBorn() >= reported.GetBorn() {
		return
	}
	s.newIncarnation, s.claimedAt, s.askClaimant, s.nextProbe = reported, now, true, now
	s.transition(lifecycle.SessionSuspect, "received a heartbeat from a newer incarnation")
}

// statusAddress returns where status requests go. While there is a claim they alternate between the address of
// the claimant and that of the known incarnation.
func (s *session) statusAddress() string {
	if s.newIncarnation != nil && s.askClaimant {
		return s.newIncarnation.GetAddress()
	}
	return s.u.GetAddress()
}

// knownIncarnationAnswered settles a claim that came before a status request to which the known incarnation has
// answered.
func (s *session) knownIncarnationAnswered(reply StatusReply, began time.Duration) {
	if s.newIncarnation == nil || reply.Born == 0 || began < s.claimedAt {
		return
	}
	s.logger(zerolog.WarnLevel).Int64("claimed_born", s.newIncarnation.GetBorn()).Str("address", s.newIncarnation.GetAddress()).
		Msg("the known incarnation answers; a heartbeat of a newer one was false")
	claimsRefuted.Add(1)
	s.newIncarnation = nil
}
