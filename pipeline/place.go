package pipeline

import (
	"slices"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// PlaceReason is why a run was refused; empty means that it was not refused.
type PlaceReason string

// Reasons to refuse a run.
const (
	// PlaceNoTask means that the task is unknown or done, or that its job has ended.
	PlaceNoTask PlaceReason = "the task does not wait"
	// PlaceWrongNumber means that the run number is not the last one plus one.
	PlaceWrongNumber PlaceReason = "the run's number isn't the next one"
	// PlaceDependency means that a step on which this one depends is not done.
	PlaceDependency PlaceReason = "an earlier step is not done"
	// PlaceNotDue means that the occurrence's start time is in the future.
	PlaceNotDue PlaceReason = "the occurrence is not due"
	// PlaceNoUpstream means that the upstream is unknown or draining, or that the incarnation is not its
	// current one.
	PlaceNoUpstream PlaceReason = "the upstream's incarnation is not known or drains"
	// PlaceDomainOut means that the upstream's failure domain accepts no new runs.
	PlaceDomainOut PlaceReason = "the failure domain is out"
	// PlaceService means that the upstream belongs to another service than the job's queue.
	PlaceService PlaceReason = "the queue does not send to the upstream's service"
	// PlaceLabel means that the upstream lacks the label that the step requires.
	PlaceLabel PlaceReason = "the upstream lacks the label"
	// PlaceSpread means that the upstream has as many tasks of the step as the step allows.
	PlaceSpread PlaceReason = "too many tasks of the step on one upstream"
	// PlaceNoCapacity means that the upstream has too little free capacity.
	PlaceNoCapacity PlaceReason = "the upstream's capacity would be exceeded"
	// PlaceOverLimit means that the team would use more than its limit.
	PlaceOverLimit PlaceReason = "the team's limit would be exceeded"
	// PlaceIncompleteGang means that the command does not place each member of the gang exactly once.
	PlaceIncompleteGang PlaceReason = "the gang is not placed as a whole"
	// PlaceInterference means that a filler task would share an upstream with a task that has a latency
	// target. Place may allow it; see Step.MayShare.
	PlaceInterference PlaceReason = "a task that fills would run beside one that serves under a target"
	// PlaceExhausted means that the task has used up its attempts.
	PlaceExhausted PlaceReason = "the task has failed as often as it may"
	// PlaceAlreadyRunning means that the task already has a run and its step allows no copies.
	PlaceAlreadyRunning PlaceReason = "another run of the task may exist"
	// PlaceHeld means that as many runs of the task as are allowed have, or may have, crashed their
	// upstreams.
	PlaceHeld PlaceReason = "the task's runs may have crashed their upstreams"
)

// PlaceRefusal is a proposed run that was refused.
type PlaceRefusal struct {
	// Run is the run as it was proposed.
	Run *pipelinev1.Run
	// Reason is the reason; all members of a refused gang have the same.
	Reason PlaceReason
}

// place places runs. The members of a gang are adjacent in the command and are placed together or
// not at all.
func (s *State) place(c *pipelinev1.Place) *Result {
	out := &Result{}
	for i := 0; i < len(c.GetRuns()); {
		n := s.gangLength(c.GetRuns()[i:])
		s.placeGroup(c.GetRuns()[i:i+n], c.GetShares(), out)
		i += n
	}
	return out
}

// gangLength returns how many leading runs belong to the gang of the first one; 1 if it is not in a
// gang.
func (s *State) gangLength(runs []*pipelinev1.Run) int {
	st := s.Step(TaskKeyOf(runs[0].GetTask()))
	if st == nil || !st.Spec.GetGang() {
		return 1
	}
	n := 1
	for n < len(runs) && s.Step(TaskKeyOf(runs[n].GetTask())) == st {
		n++
	}
	return n
}

// placeGroup places all runs of a group or none.
func (s *State) placeGroup(group []*pipelinev1.Run, shares bool, out *Result) {
	reason := s.checkGang(group)
	var accepted []*Run
	for _, p := range group {
		if reason != "" {
			break
		}
		var r *Run
		if r, reason = s.reserveRun(p, shares); reason == "" {
			accepted = append(accepted, r)
		}
	}
	if reason != "" {
		for _, r := range accepted {
			s.release(r)
		}
		for _, p := range group {
			out.Refused = append(out.Refused, PlaceRefusal{p, reason})
		}
		return
	}
	for _, r := range accepted {
		s.commitRun(r)
	}
	out.Accepted = append(out.Accepted, accepted...)
}

// checkGang checks that the runs of a gang have the next number and cover each member once. It
// accepts runs that aren't part of a gang.
func (s *State) checkGang(group []*pipelinev1.Run) PlaceReason {
	st := s.Step(TaskKeyOf(group[0].GetTask()))
	if st == nil || !st.Spec.GetGang() {
		return ""
	}
	seen := make(map[int32]bool)
	for _, p := range group {
		if p.GetNumber() != st.LastRun+1 {
			return PlaceWrongNumber
		}
		seen[p.GetTask().GetIndex()] = true
	}
	if len(seen) != len(st.Tasks) || len(group) != len(st.Tasks) {
		return PlaceIncompleteGang
	}
	return ""
}

// reserveRun checks a run and reserves its resources; nothing else is changed.
func (s *State) reserveRun(p *pipelinev1.Run, shares bool) (*Run, PlaceReason) {
	t := s.Task(TaskKeyOf(p.GetTask()))
	if t == nil || t.Done || t.Step.Job().Ended() {
		return nil, PlaceNoTask
	}
	if reason := s.checkTask(t, p); reason != "" {
		return nil, reason
	}
	u := s.upstreams[p.GetUpstream()]
	if u == nil || u.GetBorn() != p.GetBorn() || u.GetDraining() {
		return nil, PlaceNoUpstream
	}
	if reason := s.CheckUpstream(t.Step, u); reason != "" && !(reason == PlaceInterference && shares && t.Step.MayShare(u)) {
		return nil, reason
	}
	if team := s.config.Team(t.Step.Job().Team); team != nil {
		if !s.usedByTeam[team.GetName()].Plus(t.Step.Need).WithinLimit(ResourcesFromProto(team.GetLimit())) {
			return nil, PlaceOverLimit
		}
	}
	r := &Run{Task: t, Number: p.GetNumber(), Upstream: u, Born: u.GetBorn(), PlacedNS: s.nowNS}
	s.reserve(r)
	return r, ""
}

// checkTask checks what depends on the task alone, not on the upstream.
func (s *State) checkTask(t *Task, p *pipelinev1.Run) PlaceReason {
	st := t.Step
	switch {
	case !st.Spec.GetGang() && p.GetNumber() != t.LastRun+1:
		return PlaceWrongNumber
	case len(t.Live) > 0 && !st.Spec.GetCopies():
		return PlaceAlreadyRunning
	case s.Exhausted(t):
		return PlaceExhausted
	case t.Held():
		return PlaceHeld
	case !st.Ready():
		return PlaceDependency
	case st.Occurrence.DueNS > s.nowNS:
		return PlaceNotDue
	}
	return ""
}

// CheckUpstream returns why an upstream can't accept one more task of a step now, or an empty
// reason if it can. It does not check the incarnation, whether the upstream is draining, or the team's
// limit; Apply checks these as well.
func (s *State) CheckUpstream(st *Step, u *Upstream) PlaceReason {
	switch {
	case s.domainsOut[u.GetFailureDomain()]:
		return PlaceDomainOut
	case u.GetService() != s.JobQueue(st.Job()).GetService():
		return PlaceService
	case !u.HasLabel(st.Spec.GetConstraint()):
		return PlaceLabel
	case !u.Used.Plus(st.Need).Fits(u.Capacity):
		return PlaceNoCapacity
	case st.Spec.GetMaxPerUpstream() > 0 && u.CountRunsOf(st) >= int(st.Spec.GetMaxPerUpstream()):
		return PlaceSpread
	case st.interferesWith(u):
		return PlaceInterference
	}
	return ""
}

// interferesWith reports whether a task of the step may disturb one that runs on the upstream, or be disturbed: a filler
// task and one with a latency target are kept apart while there is another place, because how much the filler
// slows the other differs by image and changes within seconds.
func (s *Step) interferesWith(u *Upstream) bool {
	return s.interferes(u, func(*pipelinev1.Step) bool { return true })
}

// MayShare reports whether a task of the step may run on an upstream beside tasks that it interferes with: the filler
// task of each such pair may be stopped, whatever maintenance may end.
func (s *Step) MayShare(u *Upstream) bool {
	return !s.interferes(u, func(filler *pipelinev1.Step) bool { return filler.GetLasting() && filler.GetMissAllowed() > 0 })
}

// interferes reports whether the step and one of the upstream's runs are a filler task that meets a condition and one with
// a latency target.
func (s *Step) interferes(u *Upstream, condition func(filler *pipelinev1.Step) bool) bool {
	if !s.Spec.GetFills() && s.Spec.GetTargetMs() == 0 {
		return false
	}
	for _, r := range u.Runs {
		other := r.Task.Step.Spec
		if s.Spec.GetFills() && other.GetTargetMs() > 0 && condition(s.Spec) || s.Spec.GetTargetMs() > 0 && other.GetFills() && condition(other) {
			return true
		}
	}
	return false
}

// reserve adds a run to its task and upstream and counts its resources.
func (s *State) reserve(r *Run) {
	r.Upstream.Used = r.Upstream.Used.Plus(r.Task.Step.Need)
	r.Upstream.Runs[r.Key()] = r
	s.addUse(r, 1)
	r.Task.Live = append(r.Task.Live, r)
}

// release undoes reserve.
func (s *State) release(r *Run) {
	r.Upstream.Used = r.Upstream.Used.Minus(r.Task.Step.Need)
	delete(r.Upstream.Runs, r.Key())
	s.addUse(r, -1)
	r.Task.Live = without(r.Task.Live, r)
}

// without returns a list without a run, in new memory: others may still read the old one. An empty list is nil, as it
// would keep the run in memory otherwise, for as long as the job is remembered.
func without(list []*Run, r *Run) []*Run {
	i := slices.Index(list, r)
	switch {
	case i < 0:
		return list
	case len(list) == 1:
		return nil
	}
	return append(list[:i:i], list[i+1:]...)
}

// commitRun records the number of a reserved run and moves its job to Running.
func (s *State) commitRun(r *Run) {
	t, j := r.Task, r.Task.Step.Job()
	t.LastRun = max(t.LastRun, r.Number)
	t.Step.LastRun = max(t.Step.LastRun, r.Number)
	if j.State == Queued {
		s.addPending(j, -1)
	}
	j.transition(lifecycle.PipelinePlace)
	s.observer.RunPlaced(r)
}
