package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Cell is the leader's view of its cell. Decide changes nothing but the Reserved fields of the
// upstreams and the Work.
type Cell struct {
	// Now is the time of the leader's clock, WallNS that of the log in Unix nanoseconds.
	Now    time.Duration
	WallNS int64
	// State is the replicated state.
	State *pipeline.State
	// Upstreams are all upstreams, in the order of their identities. AddUpstream and RemoveUpstream
	// change them.
	Upstreams []*Upstream
	// Steps holds the ready steps that have tasks without a result, Prefetched those that are not
	// ready yet but whose permits are already requested.
	Steps, Prefetched map[*pipeline.Step]*Work
	// Learner predicts run times.
	Learner *Learner
	// RecentUse is what teams used lately; nil where only what runs now counts for their shares.
	RecentUse *RecentUse
	// Rand varies choices among equals.
	Rand *rand.Rand
	// Askers says how many more permit questions can be put soon.
	Askers Askers

	byID map[string]*Upstream
}

// AddUpstream adds an upstream, or replaces the one of its identity.
func (c *Cell) AddUpstream(u *Upstream) {
	c.RemoveUpstream(u.GetId())
	if c.byID == nil {
		c.byID = make(map[string]*Upstream)
	}
	c.byID[u.GetId()] = u
	c.Upstreams = slices.Insert(c.Upstreams, c.position(u.GetId()), u)
}

// RemoveUpstream removes an upstream if it is there.
func (c *Cell) RemoveUpstream(id string) {
	if c.byID[id] == nil {
		return
	}
	delete(c.byID, id)
	at := c.position(id)
	c.Upstreams = slices.Delete(c.Upstreams, at, at+1)
}

// position returns where an identity stands, or belongs, among the upstreams.
func (c *Cell) position(id string) int {
	at, _ := slices.BinarySearchFunc(c.Upstreams, id, func(u *Upstream, id string) int { return cmp.Compare(u.GetId(), id) })
	return at
}

// Upstream is an upstream as the leader sees it. The leader keeps one for each session; the round's
// own fields are valid during one call of Decide.
type Upstream struct {
	*pipeline.Upstream
	// Usable is set if new work may be placed on the upstream now.
	Usable bool
	// Answers is set while the upstream answers, so that its runs can be stopped; Silent is set while
	// it does not, which is not known of an upstream that was not asked yet.
	Answers, Silent bool
	// Stopping holds the runs whose stop was ordered and whose end is not known yet.
	Stopping map[pipeline.RunKey]bool
	// Answered holds when the upstream confirmed that it has a run, or listed one whose start this leader has not
	// seen.
	Answered map[pipeline.RunKey]time.Duration
	// NoFillersUntil is the time until which no filler task is placed beside tasks with a latency target there.
	NoFillersUntil time.Duration
	// Reserved keeps other steps off the upstream.
	Reserved Reservation

	// free is what is left of the capacity after the round's placements so far.
	free pipeline.Resources
	// whenIdle is what is free once all runs but those of lasting steps have ended; it is computed at
	// most once in a round.
	whenIdle      pipeline.Resources
	knowsWhenIdle bool
	// ends are the expected ends of the upstream's runs, once knowsEnds is set in a round.
	ends      []runEnd
	knowsEnds bool
	// slowness is the expected run time relative to an upstream of average speed. speed is what it is
	// computed from; nil until the first run on the upstream has ended.
	slowness float64
	speed    *speed
	// kind is the kind of the upstream, composed from the description kindFrom.
	kind     string
	kindFrom *pipelinev1.Upstream
	// fitting and fittingWhenIdle are the capacity for members of the gang that is being considered.
	fitting, fittingWhenIdle int
	// placed counts the round's placements of the step that is being placed.
	placed int
	// suspect is the job of the round's last placement there of a task that may have crashed an upstream.
	suspect *pipeline.Job
	// yields holds, for a priority, what the runs that it may preempt would free.
	yields map[int32]pipeline.Resources
}

// Permit allows a step to run on one incarnation of an upstream until the ticket expires.
type Permit struct {
	Ticket  string
	Born    int64
	Expires time.Duration
}

// Work is what the leader knows of a step besides the replicated state: a step that is ready, or
// will be soon, and has tasks without a result.
type Work struct {
	Step *pipeline.Step
	// ReadyAt is when the step became ready.
	ReadyAt time.Duration
	// Permits and Denied hold the answers of the permit service by upstream. Answers never change;
	// only tickets expire.
	Permits map[string]Permit
	Denied  map[string]bool
	// Pending are the permit questions that were not answered yet: at most one, but for gangs.
	Pending []*Question
	// Avoided holds, by upstream, the time until which it gets no task of the step, after one failed
	// or stalled there.
	Avoided map[string]time.Duration

	// ticketless is set once all tickets have expired, until the next question is composed.
	ticketless bool
	// awaitsCaller is set while there is no question because enough others wait for a caller.
	awaitsCaller bool
	// rack is the rack chosen for tasks that should run together; it is kept until rackUntil.
	rack      string
	rackUntil time.Duration
	// meanRunTime is the mean run time of the step's finished tasks, converted to an upstream of
	// average speed, in nanoseconds.
	meanRunTime average
	// nextPlan is when the start of the step, a gang, may be planned again.
	nextPlan time.Duration
	// plannedStart is the start of the last plan, zero if there was no plan.
	plannedStart time.Duration
	// awaited is the planned start for which the step, a gang, waits; zero if it waits for none.
	awaited time.Duration
	// limitAwaited is the time until which the step, a gang, may keep its team's other steps waiting.
	limitAwaited time.Duration
	// holdRefused is set while the step, a gang, can't hold the upstreams of its plan because too much is reserved.
	holdRefused bool
	// copyRefused holds the tasks whose copy was refused by the budget.
	copyRefused map[int32]bool
	// nextPreempt is when the step may preempt other work again.
	nextPreempt time.Duration
	// nextReport is when the reason for the step's wait may be reported again.
	nextReport time.Duration
}

// NewWork returns what is known of a step that becomes ready now: nothing.
func NewWork(st *pipeline.Step, now time.Duration) *Work {
	return &Work{Step: st, ReadyAt: now, Permits: make(map[string]Permit), Denied: make(map[string]bool), Avoided: make(map[string]time.Duration)}
}

// Forget removes a question that was answered, or will not be.
func (w *Work) Forget(q *Question) {
	w.Pending = slices.DeleteFunc(w.Pending, func(p *Question) bool { return p == q })
}

// Key identifies the step; its task index is zero.
func (w *Work) Key() pipeline.TaskKey {
	return pipeline.TaskKey{Job: w.Step.Job().Spec.GetId(), Occurrence: w.Step.Occurrence.Index, Step: w.Step.Index}
}

// Waiting returns the tasks that need a run. The tasks of a gang are returned only if all of them
// need one.
func (w *Work) Waiting() []*pipeline.Task {
	var out []*pipeline.Task
	for _, t := range w.Step.Tasks {
		if t.Waiting() {
			out = append(out, t)
		}
	}
	if w.Step.Spec.GetGang() && len(out) < len(w.Step.Tasks) {
		return nil
	}
	return out
}

// hasPermit reports whether the step has a valid ticket for the upstream's current incarnation.
func (w *Work) hasPermit(u *Upstream, now time.Duration) bool {
	p, known := w.Permits[u.GetId()]
	return known && p.Born == u.GetBorn() && now < p.Expires
}

// hasTicket reports whether any ticket of the step is still valid.
func (w *Work) hasTicket(now time.Duration) bool {
	for _, p := range w.Permits {
		if now < p.Expires {
			return true
		}
	}
	return false
}
