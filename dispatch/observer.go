package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

// observer updates the engine after changes of the replicated state.
type observer Engine

// ConfigChanged implements pipeline.Observer.
func (o *observer) ConfigChanged(before *pipeline.Config) {
	o.dirty = true
	(*Engine)(o).logConfig(before)
}

// DomainChanged implements pipeline.Observer.
func (o *observer) DomainChanged(name string, out bool) {
	o.dirty = true
	o.log.Info().Str("failure_domain", name).Bool("out", out).Msg("failure domain changed")
}

// UpstreamChanged implements pipeline.Observer.
func (o *observer) UpstreamChanged(u *pipeline.Upstream) {
	e := (*Engine)(o)
	e.dirty = true
	if s := e.sessions[u.GetId()]; s != nil {
		s.upstreamChanged(u)
		return
	}
	e.openSession(u)
}

// UpstreamGone implements pipeline.Observer.
func (o *observer) UpstreamGone(u *pipeline.Upstream) {
	if s := o.sessions[u.GetId()]; s != nil {
		o.epochs[u.GetId()] = s.epoch
	}
	delete(o.sessions, u.GetId())
	o.cell.RemoveUpstream(u.GetId())
	o.dirty = true
	o.log.Info().Str("upstream", u.GetId()).Int64("born", u.GetBorn()).Msg("upstream removed")
}

// JobAdded implements pipeline.Observer.
func (o *observer) JobAdded(j *pipeline.Job) {
	jobsAccepted.Add(1)
	o.admission.JobAdmitted(j.Team, (*Engine)(o).now())
	o.flow.Admitted(j.Spec, o.state.JobQueue(j), o.cell.Learner, (*Engine)(o).now())
	(*Engine)(o).addJob(j)
}

// JobGiven implements pipeline.Observer.
func (o *observer) JobGiven(j *pipeline.Job, from string) {
	o.given[teamChange{from, j.Team}]++
	if !j.Ended() {
		o.admission.JobGiven(from, j.Team)
	}
}

// JobEnded implements pipeline.Observer.
func (o *observer) JobEnded(j *pipeline.Job) {
	e := (*Engine)(o)
	delete(e.unstarted, j)
	for _, oc := range j.Occurrences {
		for _, st := range oc.Steps {
			e.removeStep(st)
		}
	}
	e.stopRuns(j.LiveRuns(), "the job has ended")
	e.admission.JobEnded(j.Team, e.now())
	jobsEnded.Add(string(j.State), 1)
	if j.State == pipeline.Failed {
		e.logFailure(j)
	}
	e.log.Info().Str("request", j.Spec.GetId()).Str("queue", e.state.JobQueue(j).GetName()).Str("route", string(j.Route())).Str("state", string(j.State)).
		Int64("after_ms", (j.EndedNS-j.SubmittedNS)/int64(time.Millisecond)).Msg("job ended")
}

// removeStep removes the state kept for a step and cancels its permit question.
func (e *Engine) removeStep(st *pipeline.Step) {
	for _, list := range []map[*pipeline.Step]*placement.Work{e.cell.Steps, e.cell.Prefetched} {
		if w := list[st]; w != nil {
			e.permits.cancel(w)
			delete(list, st)
		}
	}
}

// StepDone implements pipeline.Observer.
func (o *observer) StepDone(st *pipeline.Step) {
	e := (*Engine)(o)
	e.removeStep(st)
	for _, next := range st.Occurrence.Steps {
		if next.Undone > 0 && next.Ready() && !st.Job().Ended() {
			e.addStep(next)
		}
	}
}

// RunPlaced implements pipeline.Observer.
func (o *observer) RunPlaced(r *pipeline.Run) {
	e := (*Engine)(o)
	if _, known := e.unstarted[r.Task.Step.Job()]; !known {
		e.unstarted[r.Task.Step.Job()] = true
	}
	if s := e.sessions[r.Upstream.GetId()]; s != nil {
		s.enqueueStart(r, e.tickets[r.Key()])
	}
	delete(e.tickets, r.Key())
	if isCopy(r) {
		copiesStarted.Add(1)
	}
}

// RunEnded implements pipeline.Observer.
func (o *observer) RunEnded(r *pipeline.Run, kind pipelinev1.EndKind) {
	e := (*Engine)(o)
	e.dirty = true
	if j := r.Task.Step.Job(); j.Begun && !j.Ended() {
		e.unstarted[j] = false
	}
	runsEnded.Add(endNames[kind], 1)
	if kind == pipelinev1.EndKind_END_KIND_DONE {
		e.flow.RunDone(r, e.state.JobQueue(r.Task.Step.Job()), e.cell.Learner, e.now())
	}
	if s := e.sessions[r.Upstream.GetId()]; s != nil {
		s.learnRunTime(r, kind)
		s.forgetRun(r.Key())
	}
	e.recordCopyEnd(r, kind)
	if kind == pipelinev1.EndKind_END_KIND_DONE || kind == pipelinev1.EndKind_END_KIND_FAILED {
		e.recordEnd(r, kind == pipelinev1.EndKind_END_KIND_FAILED)
	}
	if !r.Task.Done {
		e.log.Info().Str("request", r.Task.Step.Job().Spec.GetId()).Int32("step", r.Task.Step.Index).Int32("task", r.Task.Index).
			Int32("run", r.Number).Str("upstream", r.Upstream.GetId()).Str("end", endNames[kind]).Msg("run ended without result")
	}
	e.logHeld(r)
	if r.Task.Done || r.Task.Step.Job().Ended() {
		delete(e.checkpoints, r.Task)
	}
	switch {
	case r.Task.Step.Spec.GetGang() && kind != pipelinev1.EndKind_END_KIND_DONE:
		e.stopRuns(r.Task.Step.LiveRuns(), "another member of the gang ended")
	case r.Task.Done && !r.Task.Step.Spec.GetGang():
		e.stopRuns(append([]*pipeline.Run(nil), r.Task.Live...), "another copy is done")
	}
}

// stopRuns stops runs that are no longer needed.
func (e *Engine) stopRuns(runs []*pipeline.Run, reason string) {
	for _, r := range runs {
		if s := e.sessions[r.Upstream.GetId()]; s != nil {
			s.enqueueStop(r, reason)
		}
	}
}

// recordEnd distinguishes upstreams that fail their runs from jobs that fail on any upstream: a
// failed task tries another upstream, and an upstream with many failures is avoided altogether.
func (e *Engine) recordEnd(r *pipeline.Run, failed bool) {
	upstream := r.Upstream.GetId()
	if failed && !r.Task.Step.Spec.GetLasting() {
		if w := e.cell.Steps[r.Task.Step]; w != nil {
			w.Avoided[upstream] = e.now() + stepAvoidTime
		}
	}
	if e.cell.Learner.RecordEnd(upstream, failed, e.now()) {
		upstreamsAvoided.Add(1)
		e.log.Warn().Str("upstream", upstream).Dur("for", placement.FailPause).Msg("upstream fails most of its runs; no new work is placed on it for a while")
	}
}
