package placement

import (
	"maps"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// WaitRound is the reason of a preview for a step that a round does not reach, since other work fills the round.
const WaitRound WaitReason = "other work fills this round; its turn is in a later one"

// hasRoom counts, in Preview.Upstreams, the upstreams that can take a task of the step.
const hasRoom = "can take a task now"

// Preview says what a round would decide on a step.
type Preview struct {
	Step *pipeline.Step
	// Due is unset if the step's occurrence is not due; nothing else is set then.
	Due bool
	// Turn is the step's position among the Of steps with tasks to place, from 1 on.
	Turn, Of int
	// Upstreams counts the upstreams of the step's service by what keeps its tasks off them.
	Upstreams map[string]int
	// Rack is the rack on which the step's tasks should run; empty if any will do.
	Rack string
	// Runs are the runs that the round places.
	Runs []*pipelinev1.Run
	// Asks are the identities of the upstreams that the permit service is asked about.
	Asks []string
	// Stops are the runs that give way to the step.
	Stops []*pipeline.Run
	// Reserved is the number of upstreams that are reserved for the step, a gang.
	Reserved int
	// Wait says why tasks wait, and gives the figures behind it. Its Reason is empty if all tasks are placed.
	Wait Wait
	// Remaining is the expected run time of the job; InTime is set if it can meet its objective, and Useful if
	// its result can still be of value.
	Remaining      time.Duration
	InTime, Useful bool
}

// PreviewSteps runs a round on a copy of the cell, and returns what it decides on some steps: those that wait in the
// cell, or those of a job that is not known, as if they were ready now. No known job may have that one's identity. The
// next previews are for the steps of which tasks wait, once they have waited long enough to preempt other work and if
// all the upstreams that they ask about are allowed.
func PreviewSteps(c *Cell, steps []*pipeline.Step) (now, next []Preview) {
	first, second := make([]*Work, len(steps)), make([]*Work, len(steps))
	waits := false
	for i, st := range steps {
		first[i] = c.workOf(st)
	}
	now = preview(c, first)
	for i, f := range now {
		second[i] = c.workIfAllowed(steps[i], f.Asks)
		waits = waits || f.Wait.Reason != ""
	}
	if !waits {
		return now, nil
	}
	for _, f := range preview(c, second) {
		if at := stepIndex(steps, f.Step); now[at].Wait.Reason != "" {
			next = append(next, f)
		}
	}
	return now, next
}

// workOf returns a copy of what is known of a step; nothing is of one that does not wait in the cell.
func (c *Cell) workOf(st *pipeline.Step) *Work {
	if w := c.Steps[st]; w != nil {
		return w.copy()
	}
	return NewWork(st, c.Now)
}

// workIfAllowed is like workOf once some upstreams are allowed and the step may preempt.
func (c *Cell) workIfAllowed(st *pipeline.Step, asked []string) *Work {
	w := c.workOf(st)
	w.ReadyAt, w.nextPreempt, w.nextPlan = min(w.ReadyAt, c.Now-preemptAfter), 0, 0
	w.Pending, w.Permits = nil, maps.Clone(w.Permits)
	for _, id := range asked {
		if u := c.byID[id]; u != nil {
			w.Permits[id] = Permit{Born: u.GetBorn(), Expires: c.Now + ticketLife(c.State.JobQueue(st.Job()))}
		}
	}
	return w
}

func stepIndex(steps []*pipeline.Step, st *pipeline.Step) int {
	for i := range steps {
		if steps[i] == st {
			return i
		}
	}
	return -1
}

// preview runs one round on a copy of the cell with more work.
func preview(c *Cell, works []*Work) []Preview {
	own := c.Copy()
	for _, w := range works {
		own.Steps[w.Step] = w
	}
	r := newRound(own)
	demands := r.demands()
	out := make([]Preview, len(works))
	for i, w := range works {
		out[i] = r.beforeRound(w, demands)
	}
	r.decide(demands)
	for i, w := range works {
		r.afterRound(&out[i], w)
	}
	return out
}

// beforeRound returns a step's turn among the demands of a round, and its figures before the round.
func (r *round) beforeRound(w *Work, demands []demand) Preview {
	f := Preview{Step: w.Step, Of: len(demands)}
	for i, d := range demands {
		if d.work != w {
			continue
		}
		f.Due, f.Turn, f.Upstreams, f.Wait, f.Remaining = true, i+1, r.countObstacles(d), r.figuresOf(d), d.urgency.remaining
		f.Wait.Reason = WaitRound
		f.InTime, f.Useful = d.urgency.prospect == inTime, d.urgency.prospect != tooLate
	}
	return f
}

// countObstacles counts the upstreams of a demand's service by the first reason that keeps its tasks off them.
func (r *round) countObstacles(d demand) map[string]int {
	out := make(map[string]int)
	for _, u := range r.Upstreams {
		if u.GetService() == d.queue.GetService() {
			out[r.obstacle(d, u)]++
		}
	}
	return out
}

// obstacle returns the first reason that keeps tasks of a demand off an upstream.
func (r *round) obstacle(d demand, u *Upstream) string {
	reason := r.State.CheckUpstream(d.work.Step, u.Upstream)
	switch {
	case reason != "" && reason != pipeline.PlaceNoCapacity:
		return string(reason)
	case !d.work.Step.Need.Fits(u.Capacity):
		return "is too small for a task of the step"
	case !u.Usable:
		return "does not take new work"
	case reason != "":
		return string(reason)
	case r.reservedForOther(d.work, u):
		return "is reserved for a gang"
	}
	return hasRoom
}

// afterRound adds what the round has decided on a step.
func (r *round) afterRound(f *Preview, w *Work) {
	for _, run := range r.out.Runs {
		key := pipeline.TaskKeyOf(run.GetTask())
		if key.Index = 0; key == w.Key() {
			f.Runs = append(f.Runs, run)
		}
	}
	for _, q := range w.Pending {
		f.Asks = append(f.Asks, q.Upstreams...)
	}
	for _, s := range r.out.Stops {
		if s.For == w.Step {
			f.Stops = append(f.Stops, s.Run)
		}
	}
	for _, u := range r.Upstreams {
		if u.Reserved.For == w.Step {
			f.Reserved++
		}
	}
	if f.Due {
		f.Rack = r.preferredRack(w)
	}
	if len(f.Runs) == f.Wait.Tasks {
		f.Wait.Reason, f.Wait.Tasks = "", 0
	}
	for _, d := range r.unplaced {
		if d.work == w {
			f.Wait = r.waitOf(d)
		}
	}
}

// Slowness returns the expected run time on an upstream relative to one of average speed.
func (l *Learner) Slowness(upstream string) float64 { return l.slowness(upstream) }
