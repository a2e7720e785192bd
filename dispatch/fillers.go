package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	"github.com/rs/zerolog"
)

const (
	// targetMargin is the share of its latency target above which a task counts as disturbed by filler tasks beside it, so that
	// these are gone before it has been over the target for long.
	targetMargin = 0.9
	// noFillersTime is how long no filler task is placed beside tasks with a target where one was stopped. How much it
	// disturbs them changes within seconds.
	noFillersTime = 10 * time.Second
)

// checkTarget stops the filler tasks on the upstream if a task beside them comes near its latency target: it may be
// disturbed by them, and has no other remedy. The upstream reports the tail of its response times as its usage.
func (s *session) checkTarget(run *pipeline.Run, shown RunningTask, now time.Duration) {
	target := run.Task.Step.Spec.GetTargetMs()
	if target == 0 || !shown.UsageKnown || float64(shown.Usage) <= targetMargin*float64(target) {
		return
	}
	for _, r := range s.fillersBesideTargets() {
		if s.stopping[r.Key()] || isProtected(r) {
			continue
		}
		fillersStopped.Add(1)
		key := r.Key()
		s.logger(zerolog.InfoLevel).Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
			Str("for_request", run.Task.Step.Job().Spec.GetId()).Int64("tail_ms", shown.Usage).Int64("target_ms", target).
			Msg("task that fills is stopped: one beside it comes near its target")
		s.view.NoFillersUntil = now + noFillersTime
		s.enqueueStop(r, "a task beside it comes near its target")
	}
}

// fillersBesideTargets returns the runs of filler tasks on the upstream if a task with a latency target runs there too.
func (s *session) fillersBesideTargets() (fillers []*pipeline.Run) {
	serves := false
	for _, r := range s.u.Runs {
		switch spec := r.Task.Step.Spec; {
		case spec.GetFills():
			fillers = append(fillers, r)
		case spec.GetTargetMs() > 0:
			serves = true
		}
	}
	if !serves {
		return nil
	}
	return fillers
}
