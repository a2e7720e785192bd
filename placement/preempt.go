package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// preemptPause is the time between two preemptions for one step: stopping a run takes up to
	// the stop grace, and its end becomes known after a status request and a commit.
	preemptPause = 400 * time.Millisecond
	// preemptAfter is how long a step waits for free capacity before it preempts other work.
	preemptAfter = 100 * time.Millisecond
)

// preempt stops checkpointed work of less urgent queues on upstreams that may run the step, as
// much as its waiting tasks need. The capacity is available once the ends are committed.
func (r *round) preempt(d demand) {
	w := d.work
	if !r.mayPreempt(d) || r.Now-w.ReadyAt < preemptAfter || r.Now < w.nextPreempt {
		return
	}
	gang := w.Step.Spec.GetGang()
	if !r.withinLimit(d) {
		if !gang || r.hasTicketsForAll(d) {
			r.preemptWithinTeam(d)
		}
		return
	}
	if gang {
		// The start of a gang is planned; see holdUpstreams.
		return
	}
	missing := len(d.tasks)
	for _, u := range r.permitted(d) {
		if missing <= 0 {
			break
		}
		victims, freed := r.victims(d, u, missing)
		for _, v := range victims {
			r.stop(v, w)
		}
		missing -= freed
		if freed > 0 {
			w.nextPreempt = r.Now + preemptPause
		}
	}
}

// teamYield is what a team's runs can give to the team's demands of some priority.
type teamYield struct {
	priority int32
	// stopping is what runs hold whose stop was ordered, or is by this round.
	stopping pipeline.Resources
	// victims are the runs that may be stopped, in the order of compareVictims, and given what they hold.
	victims []*pipeline.Run
	given   pipeline.Resources
}

// preemptWithinTeam stops less urgent work of the demand's own team, for the case that the team's
// limit prevents the placement.
func (r *round) preemptWithinTeam(d demand) {
	y := r.yieldOf(d.work.Step.Job().Team, d.queue.GetPriority())
	limit, wanted := r.teamLimit(d), r.teamUse(d, len(d.tasks)).Minus(y.stopping)
	for len(y.victims) > 0 && !wanted.WithinLimit(limit) {
		victim := y.victims[0]
		y.victims, y.given = y.victims[1:], y.given.Minus(victim.Task.Step.Need)
		if r.stopped[victim] {
			continue
		}
		wanted = wanted.Minus(victim.Task.Step.Need)
		r.stop(victim, d.work)
		d.work.nextPreempt = r.Now + preemptPause
	}
}

// yieldOf returns what a team's runs can give to demands of a priority. It is collected once in a round:
// in a burst most steps that wait belong to a few teams at their limit, each with hundreds of runs.
func (r *round) yieldOf(team string, priority int32) *teamYield {
	for _, y := range r.teamYields[team] {
		if y.priority == priority {
			return y
		}
	}
	y := &teamYield{priority: priority}
	r.out.Inspected += len(r.liveRunsOf(team))
	for _, run := range r.liveRunsOf(team) {
		u := r.byID[run.Upstream.GetId()]
		switch {
		case u == nil:
		case r.stopping(u, run):
			y.stopping = y.stopping.Plus(run.Task.Step.Need)
		case u.Answers && r.preemptible(run, priority):
			y.victims, y.given = append(y.victims, run), y.given.Plus(run.Task.Step.Need)
		}
	}
	r.teamYields[team] = append(r.teamYields[team], y)
	return y
}

// compareVictims orders runs by how little work their stop would repeat: the last placed first.
func compareVictims(a, b *pipeline.Run) int {
	return cmp.Or(cmp.Compare(b.PlacedNS, a.PlacedNS), compareSteps(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
}

// stop stops a run to free capacity for another step.
func (r *round) stop(v *pipeline.Run, w *Work) {
	r.stopped[v] = true
	r.out.Stops = append(r.out.Stops, Stop{v, w.Step})
	if u := r.byID[v.Upstream.GetId()]; u != nil {
		u.knowsEnds = false
	}
	for _, y := range r.teamYields[v.Task.Step.Job().Team] {
		y.stopping = y.stopping.Plus(v.Task.Step.Need)
	}
}

// stopping reports whether the stop of a run was ordered, or is by this round.
func (r *round) stopping(u *Upstream, run *pipeline.Run) bool {
	return r.stopped[run] || len(u.Stopping) > 0 && u.Stopping[run.Key()]
}

// mayPreempt reports whether a demand justifies stopping work of less urgent queues: that of an
// urgent queue, a gang, which would otherwise wait until its upstreams are free by chance, or a
// lasting step, whose users have nothing until it runs.
func (r *round) mayPreempt(d demand) bool {
	spec := d.work.Step.Spec
	return (d.queue.GetPriority() == urgentPriority || spec.GetGang() || spec.GetLasting()) && !d.copies && !d.overShare && d.urgency.prospect != tooLate
}

// permitted returns the upstreams for which the step has a ticket that outlasts a preemption,
// sorted by identity.
func (r *round) permitted(d demand) []*Upstream {
	var out []*Upstream
	for id, p := range d.work.Permits {
		if u := r.byID[id]; u != nil && u.Usable && p.Born == u.GetBorn() && r.Now+preemptPause < p.Expires {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return out
}

// hasTicketsForAll reports whether all members of a gang would fit on the upstreams for which it has tickets,
// once less urgent work has given way there. Before that its start is too far ahead to stop anything for it.
func (r *round) hasTicketsForAll(d demand) bool {
	if d.queue.GetPermits() == nil {
		return true
	}
	fitting := 0
	for _, u := range r.permitted(d) {
		if r.fitsAfter(d.work, u) {
			fitting += r.countFitting(d.work.Step, u, r.freeAfterPreemption(u, d.queue.GetPriority()), len(d.tasks))
		}
	}
	return fitting >= len(d.tasks)
}

// victims returns runs of an upstream that can be stopped to make room for up to `most` more
// tasks, and the number of tasks that then fit. Runs that are already being stopped count as free
// capacity.
func (r *round) victims(d demand, u *Upstream, most int) (out []*pipeline.Run, freed int) {
	room := u.free
	fitting := func(room pipeline.Resources) int { return r.countFitting(d.work.Step, u, room, most) }
	var list []*pipeline.Run
	r.out.Inspected += len(u.Runs)
	for _, run := range u.Runs {
		switch {
		case r.stopping(u, run):
			room = room.Plus(run.Task.Step.Need)
		case r.preemptible(run, d.queue.GetPriority()):
			list = append(list, run)
		}
	}
	slices.SortFunc(list, compareVictims)
	for _, run := range list {
		before := fitting(room)
		if before >= most {
			break
		}
		if grown := room.Plus(run.Task.Step.Need); fitting(grown) > before {
			out = append(out, run)
			room = grown
		}
	}
	return out, fitting(room)
}

// resumes reports whether a run can resume from a checkpoint after a stop.
func resumes(run *pipeline.Run) bool {
	spec := run.Task.Step.Spec
	return spec.GetCheckpointing() && !spec.GetGang() && !spec.GetLasting()
}

// preemptible reports whether a run may be stopped for a more urgent queue: it can resume from a
// checkpoint, and its job either has time to spare or would be too late anyway.
func (r *round) preemptible(run *pipeline.Run, priority int32) bool {
	if !resumes(run) || r.State.JobQueue(run.Task.Step.Job()).GetPriority() <= priority {
		return false
	}
	return r.urgencyOf(run.Task.Step).canWait(spareSlack)
}

// freeAfterPreemption returns the resources that would be free on an upstream without the work
// that a queue of the given priority may preempt. What that work holds is computed once in a round.
func (r *round) freeAfterPreemption(u *Upstream, priority int32) pipeline.Resources {
	given, known := u.yields[priority]
	if !known {
		r.out.Inspected += len(u.Runs)
		for _, run := range u.Runs {
			if r.stopping(u, run) || r.preemptible(run, priority) {
				given = given.Plus(run.Task.Step.Need)
			}
		}
		if u.yields == nil {
			u.yields = make(map[int32]pipeline.Resources)
		}
		u.yields[priority] = given
	}
	return u.free.Plus(given)
}
