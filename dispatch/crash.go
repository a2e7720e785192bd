package dispatch

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// earlyCrashTime is the time from the start of a run to the upstream's crash within which the run is
// suspected to be its cause.
const earlyCrashTime = 250 * time.Millisecond

// endedWithNotice reports whether an end of the incarnation is not a crash: it has announced it, or it is
// the end that its maintenance brings.
func (s *session) endedWithNotice() bool {
	return s.u.GetDraining() || s.leaveAnnounced || s.cordoned()
}

// goneEnds returns the ends of the runs of an incarnation that certainly no longer exists, but for those
// that are kept.
func (s *session) goneEnds(kept map[pipeline.RunKey]bool) []*pipelinev1.End {
	s.leftOpen(s.e.now())
	kind := pipelinev1.EndKind_END_KIND_CRASHED
	if s.endedWithNotice() {
		kind = pipelinev1.EndKind_END_KIND_LOST
	}
	var ends []*pipelinev1.End
	for _, key := range s.runKeys() {
		if !kept[key] {
			ends = append(ends, s.unheardEnd(key, kind))
		}
	}
	s.markEarlyCrashes(ends)
	return ends
}

// markEarlyCrashes marks the ends of the runs that had started soon before the crash. If an upstream crashed
// under several jobs among them before, nothing tells which of these is the cause, and they are not marked.
func (s *session) markEarlyCrashes(ends []*pipelinev1.End) {
	before := make(map[string]bool)
	for _, e := range ends {
		key := runKeyOf(e.GetRun())
		e.Early = e.GetKind() == pipelinev1.EndKind_END_KIND_CRASHED && s.crashedEarly(key)
		if e.Early && s.u.Runs[key].Task.Crashes > 0 {
			before[key.Job] = true
		}
	}
	for _, e := range ends {
		if len(before) > 1 && before[e.GetRun().GetTask().GetJob()] {
			e.Early = false
		}
	}
}

func runKeyOf(r *pipelinev1.Run) pipeline.RunKey {
	return pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(r.GetTask()), Number: r.GetNumber()}
}

// unheardEnd returns the end of a run that the upstream did not list. A run whose order was not sent has
// never started.
func (s *session) unheardEnd(key pipeline.RunKey, kind pipelinev1.EndKind) *pipelinev1.End {
	r := s.u.Runs[key]
	if s.startQueued(key) && !s.sent[key] {
		return &pipelinev1.End{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}
	}
	return &pipelinev1.End{Run: r.Proto(), Kind: kind, Checkpoint: s.e.checkpoints[r.Task]}
}

// crashedEarly reports whether the upstream, which has crashed, did so soon after it had started a run.
func (s *session) crashedEarly(key pipeline.RunKey) bool {
	at, answered := s.answeredAt[key]
	return answered && !s.adopted[key] && s.openUntil-at < earlyCrashTime
}

// needsConfirmation reports whether a start waits until the upstream has answered a status request. A start that
// is sent to an upstream which has crashed already is not told from one that crashes it. Each task may get one
// such start; from then on its runs are started only where something answers.
func (s *session) needsConfirmation(o order) bool {
	return !o.stop && s.reconciledAt < o.queuedAt && (o.run.Task.Suspect() || s.e.hasUnheardRun(o.run.Task))
}

// hasUnheardRun reports whether a run of the task is on an upstream that does not answer.
func (e *Engine) hasUnheardRun(t *pipeline.Task) bool {
	return slices.ContainsFunc(t.Live, func(r *pipeline.Run) bool {
		s := e.sessions[r.Upstream.GetId()]
		return s == nil || !s.answers()
	})
}

// reportNoCrash proposes that the upstream did not crash under the runs whose lease expired, as it has
// answered. Their end may be committed after the answer. A replica of an older version takes the command for a
// heartbeat, so that it has the whole description.
func (s *session) reportNoCrash(now time.Duration) {
	if len(s.u.Expired) == 0 || now < s.nextNoCrashReport {
		return
	}
	s.nextNoCrashReport = now + orderTimeout
	s.e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{
		UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: s.u.Upstream, Alive: true}}}, nil)
}

// heardAfterExpiry clears an upstream whose heartbeats go on arriving although it can't be called.
func (s *session) heardAfterExpiry(sequence int64, now time.Duration) {
	if len(s.u.Expired) == 0 {
		s.heardSinceExpiry = beatStreak{}
	} else if s.heardSinceExpiry.add(sequence, now) {
		s.reportNoCrash(now)
	}
}

// leftOpen records when the upstream was last known to be in order.
func (s *session) leftOpen(now time.Duration) {
	if s.phase == lifecycle.SessionOpen {
		s.openUntil = now
	}
}

// logHeld reports a task that waits because upstreams have crashed, or may have, under its runs.
func (e *Engine) logHeld(r *pipeline.Run) {
	t := r.Task
	if t.Done || !t.Held() || e.state.Exhausted(t) {
		return
	}
	tasksHeld.Add(1)
	key := t.Key()
	e.log.Warn().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("crashes", t.Crashes).
		Int("fate_unknown", len(t.Expired)).Msg("task waits until it is known whether upstreams crashed under its runs")
}

// failureOf returns why a job has failed, and the task that failed it.
func (e *Engine) failureOf(j *pipeline.Job) (reason string, at *pipeline.Task) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				if t.CrashesUpstreams() {
					return "upstreams crashed under a task", t
				}
				if at == nil && !t.Done && e.state.Exhausted(t) {
					at = t
				}
			}
		}
	}
	return "a task has failed as often as it may", at
}

// logFailure reports why a job has failed.
func (e *Engine) logFailure(j *pipeline.Job) {
	reason, t := e.failureOf(j)
	jobsFailed.Add(reason, 1)
	if t == nil {
		return
	}
	key := t.Key()
	e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("runs", t.LastRun).Int32("crashes", t.Crashes).
		Int32("early_crashes", t.EarlyCrashes).Str("why", reason).Msg("job is given up")
}
