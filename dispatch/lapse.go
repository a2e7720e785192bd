package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// upstreamClock bounds an upstream's clock from below.
type upstreamClock struct {
	ms      int64
	heardAt time.Duration
}

func (c *upstreamClock) hear(ms int64, now time.Duration) {
	if ms > 0 && ms >= c.at(now) {
		c.ms, c.heardAt = ms, now
	}
}

// at returns the least that the upstream's clock can show now; zero if it was never heard.
func (c *upstreamClock) at(now time.Duration) int64 {
	if c.ms == 0 {
		return 0
	}
	return c.ms + (now-c.heardAt).Milliseconds()*(100-slowClockPercent)/100
}

// extend returns a new deadline by the upstream's clock, or zero if the lease may not be extended.
func (s *session) extend(now time.Duration) int64 {
	at := s.clock.at(now)
	if at == 0 || !s.e.mayOrder(now) {
		return 0
	}
	s.deadlineMS = max(s.deadlineMS, at+s.e.cfg.MaxHold.Milliseconds())
	return s.deadlineMS
}

// checkLapse declares the runs of a silent upstream lost once its lease has surely ended.
func (s *session) checkLapse(now time.Duration) {
	if s.phase == lifecycle.SessionOpen || len(s.u.Runs) == 0 || now-s.lapsedAt < orderTimeout || !s.leaseOver(now) {
		return
	}
	var ends []*pipelinev1.End
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		if s.queued(key) && !s.sent[key] {
			ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
			continue
		}
		ends = append(ends, &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_LOST, Checkpoint: s.e.saved[r.Task]})
	}
	upstreamsLapsed.Add(1)
	s.logger(zerolog.WarnLevel).Int("runs", len(ends)).Int64("upstream_clock_ms", s.clock.at(now)).Int64("deadline_ms", s.deadlineMS).
		Dur("silent", now-s.silentAt).Msg("lease of a silent upstream has ended; its runs are lost")
	s.proposeEnds(ends)
	s.lapsedAt = now
}

// leaseOver reports whether neither this leader's nor an older one's lease can still hold.
func (s *session) leaseOver(now time.Duration) bool {
	grace := s.e.cfg.StopGrace + lapseMargin
	older := confirmLife + s.e.cfg.MaxHold + s.e.cfg.MaxHold*(slowClockPercent+1)/100 + grace
	if now-s.e.leadAt < older {
		return false
	}
	if s.deadlineMS == 0 {
		return true
	}
	return s.clock.at(now) > s.deadlineMS+grace.Milliseconds()
}
