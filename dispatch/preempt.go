package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
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
	if !r.mayPreempt(d) || r.now-w.readyAt < preemptAfter || r.now < w.nextPreempt {
		return
	}
	if !r.withinLimit(w.step) {
		r.preemptWithinTeam(d)
		return
	}
	missing := len(d.tasks)
	for _, s := range r.permitted(d) {
		if missing <= 0 {
			break
		}
		victims, freed := r.victims(d, s, missing)
		for _, v := range victims {
			s.stopVictim(v, w)
		}
		missing -= freed
		if freed > 0 {
			w.nextPreempt = r.now + preemptPause
		}
	}
}

// preemptWithinTeam stops less urgent work of the demand's own team, for the case that the team's
// limit prevents the placement.
func (r *round) preemptWithinTeam(d demand) {
	team := d.work.step.Job().Team
	limit := pipeline.ResourcesFromProto(r.e.state.Config().Team(team).GetLimit())
	wanted := r.e.state.Used(team).Plus(r.used[team]).Plus(d.work.step.Need.Times(int64(len(d.tasks))))
	var list []*pipeline.Run
	for _, s := range r.e.sessions {
		for key, run := range s.u.Runs {
			switch {
			case run.Task.Step.Job().Team != team:
			case s.stopping[key]:
				wanted = wanted.Minus(run.Task.Step.Need)
			case s.phase == lifecycle.SessionOpen && r.preemptible(run, d.queue.GetPriority()):
				list = append(list, run)
			}
		}
	}
	slices.SortFunc(list, func(a, b *pipeline.Run) int {
		return cmp.Or(cmp.Compare(b.PlacedNS, a.PlacedNS), compareKeys(a.Key().TaskKey, b.Key().TaskKey))
	})
	for _, run := range list {
		if wanted.WithinLimit(limit) {
			break
		}
		wanted = wanted.Minus(run.Task.Step.Need)
		r.e.sessions[run.Upstream.GetId()].stopVictim(run, d.work)
		d.work.nextPreempt = r.now + preemptPause
	}
}

// stopVictim stops a run to free capacity for another step.
func (s *session) stopVictim(v *pipeline.Run, w *stepWork) {
	runsPreempted.Add(1)
	key := v.Key()
	s.e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
		Str("upstream", s.u.GetId()).Str("for_request", w.step.Job().Spec.GetId()).Msg("run is preempted; it resumes from its checkpoint")
	s.enqueueStop(v, "a more urgent queue needs the capacity")
}

// mayPreempt reports whether a demand justifies stopping other work.
func (r *round) mayPreempt(d demand) bool {
	return d.queue.GetPriority() == urgentPriority && !d.copies && !d.overShare && d.urgency.prospect != tooLate && !d.work.step.Spec.GetGang()
}

// permitted returns the upstreams for which the step has a ticket that outlasts a preemption,
// sorted by identity.
func (r *round) permitted(d demand) []*session {
	var out []*session
	for id, p := range d.work.permits {
		s := r.e.sessions[id]
		if s != nil && s.usable(r.now) && p.born == s.u.GetBorn() && r.now+preemptPause < p.expires && !r.e.state.DomainOut(s.u.GetFailureDomain()) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *session) int { return cmp.Compare(a.u.GetId(), b.u.GetId()) })
	return out
}

// victims returns runs of an upstream that can be stopped to make room for up to `most` more
// tasks, and the number of tasks that then fit. Runs that are already being stopped count as free
// capacity.
func (r *round) victims(d demand, s *session, most int) (out []*pipeline.Run, freed int) {
	room := r.free(s)
	need := d.work.step.Need
	var list []*pipeline.Run
	for _, run := range s.u.Runs {
		switch {
		case s.stopping[run.Key()]:
			room = room.Plus(run.Task.Step.Need)
		case r.preemptible(run, d.queue.GetPriority()):
			list = append(list, run)
		}
	}
	slices.SortFunc(list, func(a, b *pipeline.Run) int {
		return cmp.Or(cmp.Compare(b.PlacedNS, a.PlacedNS), cmp.Compare(a.Key().Index, b.Key().Index))
	})
	for _, run := range list {
		if room.FitCount(need, most) >= most {
			break
		}
		before := room.FitCount(need, most)
		grown := room.Plus(run.Task.Step.Need)
		if grown.FitCount(need, most) > before {
			out = append(out, run)
			room = grown
		}
	}
	return out, room.FitCount(need, most)
}

// preemptible reports whether a run may be stopped for a more urgent queue: it can resume from a
// checkpoint, and its job either has time to spare or can no longer meet its objective.
func (r *round) preemptible(run *pipeline.Run, priority int32) bool {
	spec := run.Task.Step.Spec
	if !spec.GetCheckpointing() || spec.GetGang() || spec.GetLasting() {
		return false
	}
	if r.e.state.JobQueue(run.Task.Step.Job()).GetPriority() <= priority {
		return false
	}
	u := r.urgency(run.Task.Step)
	return u.prospect != inTime || float64(u.slack) > spareSlack*float64(u.remaining)
}

// urgency returns the step's urgency, which is computed once in a round.
func (r *round) urgency(st *pipeline.Step) urgency {
	u, known := r.urgencies[st]
	if !known {
		u = r.e.urgencyOf(st, r.e.state.JobQueue(st.Job()), r.wall)
		r.urgencies[st] = u
	}
	return u
}

// freeAfterPreemption returns the resources that would be free on an upstream without the work
// that the most urgent queues may preempt. The preemptible part is computed once in a round.
func (r *round) freeAfterPreemption(s *session) pipeline.Resources {
	given, known := r.preemptibleResources[s]
	if !known {
		for _, run := range s.u.Runs {
			if s.stopping[run.Key()] || r.preemptible(run, urgentPriority) {
				given = given.Plus(run.Task.Step.Need)
			}
		}
		r.preemptibleResources[s] = given
	}
	return r.free(s).Plus(given)
}
