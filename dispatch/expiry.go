package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

const (
	// maxClockMS is the highest value of an upstream's clock that counts, in milliseconds. Deadlines are computed from
	// it and must not overflow.
	maxClockMS = 1 << 53
	// maxClockLead is how far a clock may be ahead of the time since its last value. No clock runs faster than
	// this replica's, but that value may have come late.
	maxClockLead = time.Minute
	// clockSettleTime is how long a clock that is further ahead must advance as a clock does before it counts: this
	// replica's own clock may have stood still.
	clockSettleTime = 5 * time.Second
)

// upstreamClock keeps a lower bound of an upstream's clock.
type upstreamClock struct {
	ms         int64
	observedAt time.Duration
	// leadMS is the first value that was too far ahead, at leadAt; zero if the last one was not.
	leadMS int64
	leadAt time.Duration
}

// observe records a clock value from an answer, in milliseconds; zero means unknown. Values below
// the current bound are ignored, and those that the clock can't have reached.
func (c *upstreamClock) observe(ms int64, now time.Duration) {
	if ms <= 0 || ms > maxClockMS || c.tooFarAhead(ms, now) {
		return
	}
	c.leadMS = 0
	if ms >= c.lowerBound(now) {
		c.ms, c.observedAt = ms, now
	}
}

// tooFarAhead reports whether the clock can't have reached a value.
func (c *upstreamClock) tooFarAhead(ms int64, now time.Duration) bool {
	if c.ms == 0 || ms <= c.ms+(now-c.observedAt+maxClockLead).Milliseconds() {
		return false
	}
	lead := upstreamClock{ms: c.leadMS, observedAt: c.leadAt}
	if c.leadMS == 0 || ms < lead.lowerBound(now) {
		c.leadMS, c.leadAt = ms, now
		return true
	}
	return now-c.leadAt < clockSettleTime
}

// lowerBound returns the least value in milliseconds that the upstream's clock can have now; zero
// if no value was ever observed.
func (c *upstreamClock) lowerBound(now time.Duration) int64 {
	if c.ms == 0 {
		return 0
	}
	return c.ms + (now-c.observedAt).Milliseconds()*(100-slowClockPercent)/100
}

// canHaveRead reports whether the clock can have had a value between the time when its lower bound was earliest and now.
// Zero, an unknown value, is always possible. The clock of another incarnation begins anew and is elsewhere.
func (c *upstreamClock) canHaveRead(ms, earliest int64, now time.Duration) bool {
	return ms <= 0 || c.ms == 0 || ms >= earliest && ms <= c.ms+(now-c.observedAt+maxClockLead).Milliseconds()
}

// extendLease returns a new lease deadline by the upstream's clock in milliseconds, or zero if
// the lease may not be extended.
func (s *session) extendLease(now time.Duration) int64 {
	at := s.clock.lowerBound(now)
	if at == 0 || !s.e.leadershipConfirmed(now) {
		return 0
	}
	s.deadlineMS = max(s.deadlineMS, at+s.e.cfg.MaxHold.Milliseconds())
	return s.deadlineMS
}

// checkLeaseExpiry declares the runs of an unresponsive upstream lost once its lease has
// certainly expired. Runs whose orders were never sent end as never started.
func (s *session) checkLeaseExpiry(now time.Duration) {
	if s.phase == lifecycle.SessionOpen || len(s.u.Runs) == 0 || now-s.expiryProposedAt < orderTimeout || !s.leaseExpired(now) {
		return
	}
	kind := pipelinev1.EndKind_END_KIND_EXPIRED
	if s.endedWithNotice() {
		kind = pipelinev1.EndKind_END_KIND_LOST
	}
	var ends []*pipelinev1.End
	for _, key := range s.runKeys() {
		ends = append(ends, s.unheardEnd(key, kind))
	}
	leasesExpired.Add(1)
	s.logger(zerolog.WarnLevel).Int("runs", len(ends)).Int64("upstream_clock_ms", s.clock.lowerBound(now)).Int64("deadline_ms", s.deadlineMS).
		Dur("silent", now-s.unresponsiveSince).Msg("lease of an unresponsive upstream has expired; its runs are lost")
	s.proposeEnds(ends)
	s.expiryProposedAt = now
}

// restarted resets what is known of the lease for a newer incarnation, which answered. Its clock has begun anew. An order
// that was meant for the older one may have given it the longest lease, from a deadline by the older one's clock.
func (s *session) restarted(now time.Duration) {
	s.clock, s.deadlineMS = upstreamClock{}, 0
	s.leaseOfOtherIncarnation(now)
}

// leaseOfOtherIncarnation records that another incarnation than the known one has answered, which may have the longest
// lease.
func (s *session) leaseOfOtherIncarnation(now time.Duration) {
	longest := s.e.longestGrant
	s.restartLeaseEnd = now + longest + longest*(slowClockPercent+1)/100 + s.e.cfg.StopGrace + expiryMargin
}

// leaseExpired reports whether every lease that this leader or an older one granted has certainly
// expired, including the time that the upstream needs to stop its runs.
func (s *session) leaseExpired(now time.Duration) bool {
	grace := s.e.cfg.StopGrace + expiryMargin
	older := confirmValidity + s.e.cfg.MaxHold + s.e.cfg.MaxHold*(slowClockPercent+1)/100 + grace
	if now-s.e.leadingSince < older || now < s.restartLeaseEnd {
		return false
	}
	if s.deadlineMS == 0 {
		return true
	}
	return s.clock.lowerBound(now) > s.deadlineMS+grace.Milliseconds()
}
