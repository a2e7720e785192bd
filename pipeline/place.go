package pipeline

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// PlaceReason is the check that refused a run.
type PlaceReason string

// Reasons to refuse a run.
const (
	PlaceNoTask     PlaceReason = "the task does not wait"
	PlaceNumber     PlaceReason = "the run's number isn't the next one"
	PlaceOrder      PlaceReason = "an earlier step is not done"
	PlaceEarly      PlaceReason = "the occurrence is not due"
	PlaceNoUpstream PlaceReason = "the upstream's incarnation is not known or drains"
	PlaceDomainOut  PlaceReason = "the failure domain is out"
	PlaceService    PlaceReason = "the queue does not send to the upstream's service"
	PlaceLabel      PlaceReason = "the upstream lacks the label"
	PlaceSpread     PlaceReason = "too many tasks of the step on one upstream"
	PlaceNoRoom     PlaceReason = "the upstream's capacity would be exceeded"
	PlaceOverLimit  PlaceReason = "the team's limit would be exceeded"
	PlaceNotWhole   PlaceReason = "the gang is not placed as a whole"
	PlaceDisturbs   PlaceReason = "a task that fills would run beside one that serves under a target"
	PlaceExhausted  PlaceReason = "the task has failed as often as it may"
	PlaceNotAllowed PlaceReason = "another run of the task may exist"
)

// PlaceRefusal is a run that a check refused.
type PlaceRefusal struct {
	Run *pipelinev1.Run
	Why PlaceReason
}

// place starts runs. The members of a gang come one after the other and are taken together.
func (s *State) place(c *pipelinev1.Place) *Result {
	out := &Result{}
	for i := 0; i < len(c.GetRuns()); {
		n := s.gangLength(c.GetRuns()[i:])
		s.placeGroup(c.GetRuns()[i:i+n], out)
		i += n
	}
	return out
}

// gangLength returns how many runs from the first on belong to one gang.
func (s *State) gangLength(runs []*pipelinev1.Run) int {
	st := s.Step(KeyOf(runs[0].GetTask()))
	if st == nil || !st.Spec.GetGang() {
		return 1
	}
	n := 1
	for n < len(runs) && s.Step(KeyOf(runs[n].GetTask())) == st {
		n++
	}
	return n
}

// placeGroup takes all runs of a group or none.
func (s *State) placeGroup(group []*pipelinev1.Run, out *Result) {
	why := s.checkGang(group)
	var taken []*Run
	for _, p := range group {
		if why != "" {
			break
		}
		var r *Run
		if r, why = s.reserveRun(p); why == "" {
			taken = append(taken, r)
		}
	}
	if why != "" {
		for _, r := range taken {
			s.release(r)
		}
		for _, p := range group {
			out.Refused = append(out.Refused, PlaceRefusal{p, why})
		}
		return
	}
	for _, r := range taken {
		s.commitRun(r)
	}
	out.Taken = append(out.Taken, taken...)
}

func (s *State) checkGang(group []*pipelinev1.Run) PlaceReason {
	st := s.Step(KeyOf(group[0].GetTask()))
	if st == nil || !st.Spec.GetGang() {
		return ""
	}
	seen := make(map[int32]bool)
	for _, p := range group {
		if p.GetNumber() != st.LastRun+1 {
			return PlaceNumber
		}
		seen[p.GetTask().GetIndex()] = true
	}
	if len(seen) != len(st.Tasks) || len(group) != len(st.Tasks) {
		return PlaceNotWhole
	}
	return ""
}

// reserveRun checks a run and reserves its room; nothing else is changed.
func (s *State) reserveRun(p *pipelinev1.Run) (*Run, PlaceReason) {
	t := s.Task(KeyOf(p.GetTask()))
	if t == nil || t.Done || t.Step.Job().Ended() {
		return nil, PlaceNoTask
	}
	if why := s.checkTask(t, p); why != "" {
		return nil, why
	}
	u := s.upstreams[p.GetUpstream()]
	if u == nil || u.GetBorn() != p.GetBorn() || u.GetDraining() {
		return nil, PlaceNoUpstream
	}
	if why := s.CheckUpstream(t.Step, u); why != "" {
		return nil, why
	}
	if team := s.config.Team(t.Step.Job().Team); team != nil {
		if !s.usedByTeam[team.GetName()].Plus(t.Step.Need).Within(ResourcesFromProto(team.GetLimit())) {
			return nil, PlaceOverLimit
		}
	}
	r := &Run{Task: t, Number: p.GetNumber(), Upstream: u, Born: u.GetBorn(), PlacedNS: s.nowNS}
	s.reserve(r)
	return r, ""
}

func (s *State) checkTask(t *Task, p *pipelinev1.Run) PlaceReason {
	st := t.Step
	switch {
	case !st.Spec.GetGang() && p.GetNumber() != t.LastRun+1:
		return PlaceNumber
	case len(t.Live) > 0 && !st.Spec.GetCopies():
		return PlaceNotAllowed
	case s.Exhausted(t):
		return PlaceExhausted
	case !st.Ready():
		return PlaceOrder
	case st.Occurrence.DueNS > s.nowNS:
		return PlaceEarly
	}
	return ""
}

// CheckUpstream returns why an upstream can't take one more task of a step now, or an empty reason.
func (s *State) CheckUpstream(st *Step, u *Upstream) PlaceReason {
	switch {
	case s.domainsOut[u.GetFailureDomain()]:
		return PlaceDomainOut
	case u.GetService() != s.Terms(st.Job()).GetService():
		return PlaceService
	case !u.HasLabel(st.Spec.GetConstraint()):
		return PlaceLabel
	case !u.Used.Plus(st.Need).Fits(u.Capacity):
		return PlaceNoRoom
	case st.Spec.GetMaxPerUpstream() > 0 && u.RunsOf(st) >= int(st.Spec.GetMaxPerUpstream()):
		return PlaceSpread
	case st.interferesWith(u):
		return PlaceDisturbs
	}
	return ""
}

// interferesWith reports whether a task of the step and one on the upstream share badly: how much a
// filling task slows a serving one differs by image and changes within seconds.
func (s *Step) interferesWith(u *Upstream) bool {
	if !s.Spec.GetFills() && s.Spec.GetTargetMs() == 0 {
		return false
	}
	for _, r := range u.Runs {
		other := r.Task.Step.Spec
		if s.Spec.GetFills() && other.GetTargetMs() > 0 || s.Spec.GetTargetMs() > 0 && other.GetFills() {
			return true
		}
	}
	return false
}

func (s *State) reserve(r *Run) {
	r.Upstream.Used = r.Upstream.Used.Plus(r.Task.Step.Need)
	r.Upstream.Runs[r.Key()] = r
	team := r.Task.Step.Job().Team
	s.usedByTeam[team] = s.usedByTeam[team].Plus(r.Task.Step.Need)
	r.Task.Live = append(r.Task.Live, r)
}

func (s *State) release(r *Run) {
	r.Upstream.Used = r.Upstream.Used.Minus(r.Task.Step.Need)
	delete(r.Upstream.Runs, r.Key())
	team := r.Task.Step.Job().Team
	s.usedByTeam[team] = s.usedByTeam[team].Minus(r.Task.Step.Need)
	for i, l := range r.Task.Live {
		if l == r {
			r.Task.Live = append(r.Task.Live[:i:i], r.Task.Live[i+1:]...)
			break
		}
	}
}

// commitRun makes a reserved run count.
func (s *State) commitRun(r *Run) {
	t, j := r.Task, r.Task.Step.Job()
	t.LastRun = max(t.LastRun, r.Number)
	t.Step.LastRun = max(t.Step.LastRun, r.Number)
	if j.State == Queued {
		s.addPending(j, -1)
	}
	j.transition(lifecycle.PipelinePlace)
	j.Begun = true
	s.observer.RunPlaced(r)
}
