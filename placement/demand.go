package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// meanFactor is the multiple of the teams' mean weighted use above which a team is over its share where a service is
	// not overloaded.
	meanFactor = 2.0
	// overShareFactor is the multiple of its share by weight above which a team's recent use is over its
	// share. Several teams that fill the cell between them can't exceed it by much; with 1.0, teams at their
	// usual are over it by chance. smallExcess is the part of what all use that a team may exceed its share by: for
	// small teams it is a job or two, which cost the others little.
	overShareFactor = 1.2
	smallExcess     = 0.03
)

// demand is a step together with its tasks that are to be placed.
type demand struct {
	work    *Work
	tasks   []*pipeline.Task
	queue   *pipelinev1.Queue
	urgency urgency
	// copies is set when the tasks are stragglers: each has one run, and gets a second one.
	copies bool
	// overShare is set while the team is over its share.
	overShare bool
	// assessment is what waiting costs the demand if its service is overloaded.
	assessment
}

// atOnce returns how many tasks have to be placed at once: all members of a gang, else one.
func (d demand) atOnce() int {
	if d.work.Step.Spec.GetGang() {
		return len(d.tasks)
	}
	return 1
}

// demands returns the steps with tasks to place in scheduling order: by the queue's priority;
// copies after first runs; teams that are over their share after the others; then by what would be lost
// by waiting, and among equals the least slack first. Under overload, work past its use comes after all other work, and
// what is not urgent is ordered by assessment.
func (r *round) demands() []demand {
	out := make([]demand, 0, len(r.Steps))
	for _, w := range r.Steps {
		if w.Step.Occurrence.DueNS > r.WallNS {
			continue
		}
		tasks, copies := w.Waiting(), false
		if w.Step.Spec.GetCopies() {
			r.countCopies(w)
			if len(tasks) == 0 {
				tasks, copies = r.stragglers(w), true
			}
		}
		if len(tasks) > 0 {
			q := r.State.JobQueue(w.Step.Job())
			out = append(out, demand{work: w, tasks: tasks, queue: q, copies: copies, urgency: r.urgencyOf(w.Step)})
		}
	}
	r.measureLoads(out)
	r.markOverShare(out)
	r.assess(out)
	slices.SortFunc(out, compareDemands)
	return out
}

// compareDemands orders demands for scheduling; see demands.
func compareDemands(a, b demand) int {
	return cmp.Or(compareBools(a.pastUse, b.pastUse), cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), compareBools(a.copies, b.copies), compareBools(a.overShare, b.overShare),
		compareTriaged(a.assessment, b.assessment), cmp.Compare(a.urgency.loss(), b.urgency.loss()), cmp.Compare(a.urgency.slack, b.urgency.slack),
		cmp.Compare(a.work.Step.Job().SubmittedNS, b.work.Step.Job().SubmittedNS), compareSteps(a.work.Step, b.work.Step))
}

// compareSteps orders by job, occurrence and step.
func compareSteps(a, b *pipeline.Step) int {
	return cmp.Or(cmp.Compare(a.Job().Spec.GetId(), b.Job().Spec.GetId()), cmp.Compare(a.Occurrence.Index, b.Occurrence.Index), cmp.Compare(a.Index, b.Index))
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

// markOverShare marks the demands of teams that are over their share. In an overloaded service that is decided by what
// work of the demand's priority and more urgent work used lately; large jobs of a less urgent queue don't count against a
// team's urgent ones, which come first anyway. Elsewhere all can be done in time, and only teams that use far more than
// others now come later.
func (r *round) markOverShare(demands []demand) {
	overMean := r.teamsOverMean(demands)
	uses := make(map[int32]shares)
	for i, d := range demands {
		team, priority := d.work.Step.Job().Team, d.queue.GetPriority()
		if !r.overloaded(d.queue.GetService()) {
			demands[i].overShare = overMean[team]
			continue
		}
		s, known := uses[priority]
		if !known {
			inUse := r.usesUpTo(priority)
			for _, other := range demands {
				if other.queue.GetPriority() <= priority {
					inUse[other.work.Step.Job().Team] += 0
				}
			}
			s = r.sharesOf(inUse)
			uses[priority] = s
		}
		demands[i].overShare = r.overShare(s, team)
	}
}

// teamsOverMean returns the teams whose weighted use exceeds meanFactor times the mean of all teams that have demands.
func (r *round) teamsOverMean(demands []demand) map[string]bool {
	uses, sum := make(map[string]float64), 0.0
	for _, d := range demands {
		team := d.work.Step.Job().Team
		if _, known := uses[team]; !known {
			uses[team] = float64(r.State.Used(team).MilliCores) / r.weight(team)
			sum += uses[team]
		}
	}
	out := make(map[string]bool)
	for team, use := range uses {
		out[team] = use > meanFactor*sum/float64(len(uses))
	}
	return out
}

// shares are the uses of teams in thousandths of a core, their sum, and what use a weight of one gives a right to.
type shares struct {
	byTeam      map[string]float64
	total, fair float64
}

// sharesOf returns the shares of teams in some uses, which they may have of zero. A mean that counts each team alike
// would rise with several teams at many times their usual, so that none of them is over it.
func (r *round) sharesOf(uses map[string]float64) shares {
	s, weights := shares{byTeam: uses}, 0.0
	for team, use := range uses {
		s.total, weights = s.total+use, weights+r.weight(team)
	}
	s.fair = s.total / max(1, weights)
	return s
}

// overShare reports whether a team's use is over its share.
func (r *round) overShare(s shares, team string) bool {
	part := s.fair * r.weight(team)
	return s.byTeam[team] > max(overShareFactor*part, part+smallExcess*s.total)
}

// usesUpTo returns, by team, what work of a priority and more urgent work used lately.
func (r *round) usesUpTo(priority int32) map[string]float64 {
	if r.RecentUse == nil {
		now := NewRecentUse()
		now.Sample(r.State, r.Now)
		return now.upTo(priority)
	}
	return r.RecentUse.upTo(priority)
}

// weight returns the weight of a team, at least one.
func (r *round) weight(team string) float64 {
	return float64(max(1, r.State.Config().Team(team).GetWeight()))
}
