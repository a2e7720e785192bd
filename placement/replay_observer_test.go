package placement

import (
	"math"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// RunPlaced implements pipeline.Observer: the run begins.
func (r *replay) RunPlaced(run *pipeline.Run) {
	if run.Task.Step.Spec.GetLasting() {
		r.lastingPlaced(run.Task.Step)
		return
	}
	length := time.Duration(float64(r.left[run.Task]) * r.speed[run.Upstream.GetId()])
	kind := pipelinev1.EndKind_END_KIND_DONE
	for _, c := range r.classes {
		if c.queue == run.Task.Step.Job().Spec.GetQueue() && r.outcome(run, 0) < c.fails {
			kind, length = pipelinev1.EndKind_END_KIND_FAILED, time.Duration(r.outcome(run, 1)*float64(length))
		}
	}
	r.pending = append(r.pending, event{r.begin(run) + length + replayDelay, func() { r.end(run, kind) }})
}

// RunEnded implements pipeline.Observer.
func (r *replay) RunEnded(run *pipeline.Run, kind pipelinev1.EndKind) {
	delete(r.upstream(run.Upstream.GetId()).Stopping, run.Key())
	st := run.Task.Step
	r.copyEnded(run, kind)
	if kind == pipelinev1.EndKind_END_KIND_DONE {
		r.admission.runDone(r, run)
		r.cell.Learner.RecordRun(run, r.ran(run), r.cell.Steps[st])
		return
	}
	if st.Spec.GetGang() {
		for _, other := range st.LiveRuns() {
			r.stop(other, r.cell.Now)
		}
	}
}

// StepDone implements pipeline.Observer.
func (r *replay) StepDone(st *pipeline.Step) {
	delete(r.cell.Steps, st)
	for _, next := range st.Occurrence.Steps {
		if next.Undone > 0 && next.Ready() && r.cell.Steps[next] == nil {
			w := r.cell.Prefetched[next]
			delete(r.cell.Prefetched, next)
			if w == nil {
				w = NewWork(next, r.cell.Now)
			}
			w.ReadyAt = r.cell.Now
			r.cell.Steps[next] = w
		}
	}
}

// JobGiven implements pipeline.Observer.
func (r *replay) JobGiven(*pipeline.Job, string) {}

// JobEnded implements pipeline.Observer: the job earns by the time that it took.
func (r *replay) JobEnded(j *pipeline.Job) {
	for _, st := range j.Occurrences[0].Steps {
		delete(r.cell.Steps, st)
		delete(r.cell.Prefetched, st)
	}
	r.admission.jobEnded(r, j)
	job := r.jobs[j.Spec.GetId()]
	delete(r.jobs, j.Spec.GetId())
	if job == nil || j.State == pipeline.Failed {
		return
	}
	if j.HasLastingStep() {
		r.count(job, math.MaxInt64)
		return
	}
	r.count(job, r.cell.Now-job.at)
}

// The other methods of pipeline.Observer.
func (r *replay) ConfigChanged(*pipeline.Config)     {}
func (r *replay) DomainChanged(string, bool)         {}
func (r *replay) UpstreamChanged(*pipeline.Upstream) {}
func (r *replay) UpstreamGone(*pipeline.Upstream)    {}
func (r *replay) JobAdded(*pipeline.Job)             {}
