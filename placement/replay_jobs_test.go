package placement

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// hotTeams returns the teams whose rate a pressure multiplies.
func (p pressure) hotTeams() []int {
	if p.teams == nil {
		return []int{0}
	}
	return p.teams
}

// poisson draws a number of arrivals with some mean.
func (r *replay) poisson(mean float64) int {
	n, p, least := 0, r.rng.Float64(), math.Exp(-mean)
	for p > least {
		n, p = n+1, p*r.rng.Float64()
	}
	return n
}

// vary returns a value around a mean.
func (r *replay) vary(mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most*mean, mean*math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2))
}

// cancelAfter cancels a job with lasting tasks after some time, which ends their runs.
func (r *replay) cancelAfter(j *pipeline.Job, after time.Duration) {
	id, queue := j.Spec.GetId(), j.Spec.GetQueue()
	r.pending = append(r.pending, event{r.cell.Now + after, func() {
		live := j.Occurrences[0].Steps[0].LiveRuns()
		r.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: id, Queue: queue}}})
		for _, run := range live {
			r.stop(run, r.cell.Now)
		}
	}})
}

// lastingPlaced counts a job with lasting tasks as served once all of them run.
func (r *replay) lastingPlaced(st *pipeline.Step) {
	id := st.Job().Spec.GetId()
	job := r.jobs[id]
	if job == nil || len(st.LiveRuns()) < len(st.Tasks) {
		return
	}
	delete(r.jobs, id)
	r.count(job, r.cell.Now-job.at)
}

// count counts a job that took some time.
func (r *replay) count(j *replayedJob, took time.Duration) {
	r.credit[j.class].add(j, took)
	if j.team >= r.largest {
		r.others.add(j, took)
	}
	if r.finished != nil {
		r.finished(j, took)
	}
}

// outcome draws a number that decides how a run ends.
func (r *replay) outcome(run *pipeline.Run, nth int) float64 {
	if !r.fixedOutcomes {
		return r.outcomes.Float64()
	}
	return drawn(run.Task.Key(), run.Key(), nth)
}

// drawn returns a number from 0 to 1 that depends on some values alone.
func drawn(values ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, values...)
	return rand.New(rand.NewPCG(h.Sum64(), 0)).Float64()
}
