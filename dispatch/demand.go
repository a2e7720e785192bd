package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// stepWork is the engine's state of a step that is ready, or will be soon, and has tasks without
// a result.
type stepWork struct {
	step *pipeline.Step
	// readyAt is when the step became ready.
	readyAt time.Duration
	// permits and denied hold the answers of the permit service by upstream. Answers never
	// change; only tickets expire.
	permits map[string]permit
	denied  map[string]bool
	// question is the pending permit question, or nil. awaitsCaller is set while there is none
	// because enough other questions wait for a caller.
	question     *question
	awaitsCaller bool
	// rack is the rack chosen for tasks that should run together; it is kept until rackUntil.
	rack      string
	rackUntil time.Duration
	// avoided holds, by upstream, the time until which it gets no task of the step, after one
	// failed or stalled there.
	avoided map[string]time.Duration
	// meanRunTime is the mean run time of the step's finished tasks, converted to an upstream of
	// average speed, in nanoseconds.
	meanRunTime average
	// nextPreempt is when the step may preempt other work again.
	nextPreempt time.Duration
	// nextExplain is when the reason for the step's wait may be logged again.
	nextExplain time.Duration
}

func newStepWork(st *pipeline.Step, now time.Duration) *stepWork {
	return &stepWork{step: st, readyAt: now, permits: make(map[string]permit), denied: make(map[string]bool), avoided: make(map[string]time.Duration)}
}

// work returns the state kept for a step, or nil.
func (e *Engine) work(st *pipeline.Step) *stepWork {
	if w := e.steps[st]; w != nil {
		return w
	}
	return e.prefetched[st]
}

// avoid keeps tasks of the step off an upstream until the given time.
func (w *stepWork) avoid(upstream string, until time.Duration) { w.avoided[upstream] = until }

// key identifies the step; its task index is zero.
func (w *stepWork) key() pipeline.TaskKey {
	return pipeline.TaskKey{Job: w.step.Job().Spec.GetId(), Occurrence: w.step.Occurrence.Index, Step: w.step.Index}
}

// waiting returns the tasks that need a run. The tasks of a gang are returned only if all of them
// need one.
func (w *stepWork) waiting() []*pipeline.Task {
	var out []*pipeline.Task
	for _, t := range w.step.Tasks {
		if t.Waiting() {
			out = append(out, t)
		}
	}
	if w.step.Spec.GetGang() && len(out) < len(w.step.Tasks) {
		return nil
	}
	return out
}

// demand is a step together with its tasks that are to be placed.
type demand struct {
	work    *stepWork
	tasks   []*pipeline.Task
	queue   *pipelinev1.Queue
	urgency urgency
	// copies is set when the tasks are stragglers: each has one run, and gets a second one.
	copies bool
	// overShare is set while the team uses far more than its share.
	overShare bool
}

// demands returns the steps with tasks to place in scheduling order: by the queue's priority;
// copies after first runs; teams that are over their share after the others; then jobs that can
// still meet their objective, and among these the least slack first.
func (r *round) demands() []demand {
	var out []demand
	for _, w := range r.e.steps {
		if w.step.Occurrence.DueNS > r.wall {
			continue
		}
		tasks, copies := w.waiting(), false
		if len(tasks) == 0 && w.step.Spec.GetCopies() {
			tasks, copies = r.stragglers(w), true
		}
		if len(tasks) > 0 {
			q := r.e.state.JobQueue(w.step.Job())
			out = append(out, demand{work: w, tasks: tasks, queue: q, copies: copies, urgency: r.urgency(w.step)})
		}
	}
	r.markOverShare(out)
	slices.SortFunc(out, compareDemands)
	return out
}

// compareDemands orders demands for scheduling; see demands.
func compareDemands(a, b demand) int {
	return cmp.Or(cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), compareBools(a.copies, b.copies), compareBools(a.overShare, b.overShare),
		cmp.Compare(a.urgency.prospect, b.urgency.prospect), cmp.Compare(a.urgency.slack, b.urgency.slack),
		cmp.Compare(a.work.step.Job().SubmittedNS, b.work.step.Job().SubmittedNS), compareKeys(a.work.key(), b.work.key()))
}

// stragglers returns the tasks whose only run takes much longer than expected or is on an
// upstream that does not answer.
func (r *round) stragglers(w *stepWork) []*pipeline.Task {
	var out []*pipeline.Task
	bound := time.Duration(stragglerFactor*float64(r.e.learner.expected(w.step))) + stragglerSlack
	for _, t := range w.step.Tasks {
		if t.Done || len(t.Live) != 1 || r.e.state.Exhausted(t) {
			continue
		}
		s := r.e.sessions[t.Live[0].Upstream.GetId()]
		if time.Duration(r.wall-t.Live[0].PlacedNS) > bound || s == nil || s.phase == lifecycle.SessionSilent {
			out = append(out, t)
		}
	}
	return out
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markOverShare marks the demands of teams whose weighted use exceeds overShareFactor times the
// mean of all teams that have demands.
func (r *round) markOverShare(demands []demand) {
	shares := make(map[string]float64)
	sum := 0.0
	for _, d := range demands {
		team := d.work.step.Job().Team
		if _, known := shares[team]; !known {
			shares[team] = r.share(team)
			sum += shares[team]
		}
	}
	bound := overShareFactor * sum / float64(max(1, len(shares)))
	for i := range demands {
		demands[i].overShare = shares[demands[i].work.step.Job().Team] > bound
	}
}

// compareKeys orders by job, occurrence and step.
func compareKeys(a, b pipeline.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// share returns the cores that a team uses, in thousandths, divided by its weight.
func (r *round) share(team string) float64 {
	weight := int64(1)
	if t := r.e.state.Config().Team(team); t != nil {
		weight = max(1, t.GetWeight())
	}
	return float64(r.e.state.Used(team).MilliCores) / float64(weight)
}
