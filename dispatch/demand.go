package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// stepWork is a step that has tasks without a result and whose turn has come.
type stepWork struct {
	step    *pipeline.Step
	readyAt time.Duration
	// permits and denied hold the answers of the permit service by upstream; they never change
	// but for the tickets' life.
	permits  map[string]permit
	denied   map[string]bool
	question *question
	// home is the rack chosen for tasks that belong together, until homeUntil.
	home      string
	homeUntil time.Duration
	// avoided holds until when an upstream gets no task of the step, after one failed or stalled there.
	avoided map[string]time.Duration
	// typical is the run time of the step's finished tasks on a common upstream.
	typical average
	// preemptAgain is when the step may take room from other work again.
	preemptAgain time.Duration
	// explainAgain is when the log may say again why the step waits.
	explainAgain time.Duration
}

func newStepWork(st *pipeline.Step, now time.Duration) *stepWork {
	return &stepWork{step: st, readyAt: now, permits: make(map[string]permit), denied: make(map[string]bool), avoided: make(map[string]time.Duration)}
}

// work returns what is kept of a step, or nil.
func (e *Engine) work(st *pipeline.Step) *stepWork {
	if w := e.steps[st]; w != nil {
		return w
	}
	return e.ahead[st]
}

func (w *stepWork) avoid(upstream string, until time.Duration) { w.avoided[upstream] = until }

// key names the step; the index of a task is zero in it.
func (w *stepWork) key() pipeline.TaskKey {
	return pipeline.TaskKey{Job: w.step.Job().Spec.GetId(), Occurrence: w.step.Occurrence.Index, Step: w.step.Index}
}

// waiting returns the tasks that need a run. A gang waits as a whole.
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

// demand is a step with the tasks that have no place yet.
type demand struct {
	work    *stepWork
	tasks   []*pipeline.Task
	queue   *pipelinev1.Queue
	urgency urgency
	// copies is set when the tasks have a run each that takes long, and get another one.
	copies bool
	// overShare is set while the team uses far more than its share.
	overShare bool
}

// demands returns the steps with waiting tasks: by the queue's priority; teams that use far
// more than their share come later; then jobs that can still meet their objective, those
// with the least time to spare first.
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
			q := r.e.state.Terms(w.step.Job())
			out = append(out, demand{work: w, tasks: tasks, queue: q, copies: copies, urgency: r.urgency(w.step)})
		}
	}
	r.markOverShare(out)
	slices.SortFunc(out, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), compareBools(a.copies, b.copies), compareBools(a.overShare, b.overShare),
			cmp.Compare(a.urgency.hope, b.urgency.hope), cmp.Compare(a.urgency.slack, b.urgency.slack),
			cmp.Compare(a.work.step.Job().SubmittedNS, b.work.step.Job().SubmittedNS), compareKeys(a.work.key(), b.work.key()))
	})
	return out
}

// stragglers returns the tasks whose only run takes much longer than expected, or is on an
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

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markOverShare marks the demands of teams that use over overShareFactor times the mean of
// all teams that want work, by weight.
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

func compareKeys(a, b pipeline.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// share returns the processor time that a team uses over its weight.
func (r *round) share(team string) float64 {
	weight := int64(1)
	if t := r.e.state.Config().Team(team); t != nil {
		weight = max(1, t.GetWeight())
	}
	return float64(r.e.state.Used(team).MilliCores) / float64(weight)
}
