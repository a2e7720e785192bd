package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
)

const (
	// crashWindow is the time from the start of an attempt to the last poll of its upstream within
	// which the attempt may have crashed the upstream by being started.
	crashWindow = 30 * time.Second
	// maxPollAge is the longest time from the sending of a poll to its handling: by default an
	// upstream gives a poll up after that time.
	maxPollAge = 3 * time.Second
)

// reportCrash proposes, ahead of an announcement that replaces the incarnation of a session, that
// the suspected attempts have failed if the announcement proves a crash.
func (c *Controller) reportCrash(s *session, cmd *peerv1.Announce) {
	now := c.clock.Now()
	if !c.crashed(s, cmd, now) {
		return
	}
	report := &peerv1.Report{Upstream: s.upstream, Incarnation: s.incarnation}
	for _, t := range c.crashSuspects(s) {
		report.Tasks = append(report.Tasks, s.crashedAttempt(t, now))
	}
	upstreamCrashes.Add(1)
	attemptsCrashed.Add(int64(len(report.Tasks)))
	c.event(&apiv1.Event{Kind: "upstream-crashed", Upstream: s.upstream,
		Detail: fmt.Sprintf("incarnation %d ended without notice; %d attempts count as failed", s.incarnation, len(report.Tasks))})
	if len(report.Tasks) > 0 {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Report{Report: report}}, nil)
	}
}

// crashedAttempt returns the report of a task's current attempt as failed because its upstream
// crashed.
func (s *session) crashedAttempt(t *state.Task, now time.Duration) *apiv1.TaskReport {
	ran := now - s.attempts[t.Ref()].startSentAt
	return &apiv1.TaskReport{Task: t.Ref().Proto(), State: apiv1.ReportState_REPORT_STATE_FAILED, RunMs: ran.Milliseconds(),
		Detail: fmt.Sprintf("upstream %q crashed: it came back without notice %s after the start was sent", s.upstream, ran.Round(time.Millisecond))}
}

// crashed reports whether an announcement proves that the incarnation of a session ended without
// notice: its lease surely still ran, so that it was not cut off, and no leader can have told it to
// announce itself again. One that leaves or whose failure domain is out may end at any time.
func (c *Controller) crashed(s *session, cmd *peerv1.Announce, now time.Duration) bool {
	heard := s.first != 0 && (s.fenced || s.announced)
	return heard && s.replacing == 0 && now-s.lastPollAt < c.cfg.Terms.Duration-maxPollAge &&
		c.state.Replaces(cmd) && c.mayStart(c.state.Upstream(s.upstream))
}

// crashSuspects returns the tasks whose attempts may have crashed the upstream. Nothing tells apart
// those that were started at one time; of these it returns the one that failed most often before,
// whose next attempt is delayed and so starts apart from the others.
func (c *Controller) crashSuspects(s *session) []*state.Task {
	u := c.state.Upstream(s.upstream)
	var suspects []*state.Task
	for _, ref := range slices.SortedFunc(maps.Keys(u.Tasks), state.CompareRefs) {
		t := u.Tasks[ref]
		if !s.suspected(t) {
			continue
		}
		same := slices.IndexFunc(suspects, func(o *state.Task) bool {
			return s.attempts[o.Ref()].startSentAt == s.attempts[ref].startSentAt
		})
		switch {
		case same < 0:
			suspects = append(suspects, t)
		case t.Failures > suspects[same].Failures:
			suspects[same] = t
		}
	}
	return suspects
}

// suspected reports whether the current attempt of a repeatable task was started soon before the
// last poll of the upstream, or in answer to it, and has not ended.
func (s *session) suspected(t *state.Task) bool {
	a := s.attempts[t.Ref()]
	live := t.State == lifecycle.TaskPlaced || t.State == lifecycle.TaskRunning
	return live && t.Job.Spec.GetRepeatable() && t.Job.State != lifecycle.JobCancelling && a.startSentAt != 0 &&
		s.lastPollAt-a.startSentAt <= crashWindow && !state.Ended(a.listed) && !s.absent(t.Ref())
}
