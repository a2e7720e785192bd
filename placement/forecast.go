package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// forecast is what a new job can expect.
type forecast struct {
	// work is the job's own, backlog the work before it in core-milliseconds, rate how much of it is done a second.
	work, backlog, rate float64
	// start is when the job's work is expected to begin, chain the length of its longest chain of steps.
	start, chain time.Duration
	// objective is when the result is wanted; until lateFactor times as long it is of value.
	objective time.Duration
}

// end returns when the result is expected.
func (f forecast) end() time.Duration { return f.start + f.chain }

// lateBound returns the time from which on the result is of no value.
func (f forecast) lateBound() time.Duration { return lateFactor * f.objective }

// forecast returns what a new job of a team can expect of the backlog.
func (b *Backlog) forecast(team string, spec *pipelinev1.JobSpec, q *pipelinev1.Queue) forecast {
	f := forecast{}
	f.work, f.chain = ownWork(spec, q, b.learner)
	// A single estimate may be a tenth of the truth; a job that looks short is taken for an average one.
	if known := b.flow.queues[pipeline.RouteOf(q)]; known != nil {
		f.chain = max(f.chain, time.Duration(known.chain.value))
	}
	f.objective = time.Duration(q.GetStretch()*float64(f.chain)) + time.Duration(q.GetTargetLatencyMs())*time.Millisecond
	if s := b.services[q.GetService()]; s != nil && s.capacity > 0 {
		f.backlog, f.rate = s.ahead(q.GetPriority(), team, f.work)
		f.start = time.Duration(f.backlog / f.rate * float64(time.Second))
	}
	return f
}

// ownWork returns the work of a job in core-milliseconds and the length of its longest chain of steps.
func ownWork(spec *pipelinev1.JobSpec, q *pipelinev1.Queue, l *Learner) (work float64, chain time.Duration) {
	permit := permitTime(q)
	to := make([]time.Duration, len(spec.GetSteps()))
	for i, st := range spec.GetSteps() {
		each := l.expectedOf(pipeline.RouteOf(q), st)
		for _, d := range st.GetDependsOn() {
			to[i] = max(to[i], to[d])
		}
		to[i] += each + permit
		chain = max(chain, to[i])
		work += workOf(st.GetNeed().GetMilliCores(), int(st.GetCount()), each)
	}
	return work, chain
}
