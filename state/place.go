package state

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// place accepts each placement that passes every check. The placements of a gang are accepted
// or refused together.
func (s *State) place(c *peerv1.Place) *PlaceResult {
	result := &PlaceResult{}
	for rest := c.GetPlacements(); len(rest) > 0; {
		n := s.atomicPrefixLength(rest)
		if reason := s.placeAtomically(rest[:n]); reason != "" {
			for _, p := range rest[:n] {
				result.Refused = append(result.Refused, PlaceRefusal{placementRef(p), reason})
			}
		} else {
			for _, p := range rest[:n] {
				result.Accepted = append(result.Accepted, placementRef(p))
			}
		}
		rest = rest[n:]
	}
	return result
}

func placementRef(p *peerv1.Placement) TaskRef {
	return TaskRef{JobID(p.GetJobId()), p.GetTask(), p.GetAttempt()}
}

// atomicPrefixLength returns how many leading placements must be accepted or refused together:
// those of the same gang, or one.
func (s *State) atomicPrefixLength(list []*peerv1.Placement) int {
	j := s.jobs.get(JobID(list[0].GetJobId()))
	if j == nil || !j.Gang() {
		return 1
	}
	n := 1
	for n < len(list) && list[n].GetJobId() == list[0].GetJobId() {
		n++
	}
	return n
}

// placeAtomically accepts all placements and returns "", or accepts none and returns the reason
// why the first failed. The placements of a gang must cover all its tasks that have not ended.
func (s *State) placeAtomically(placements []*peerv1.Placement) PlaceReason {
	first := s.jobs.get(JobID(placements[0].GetJobId()))
	if first != nil && first.Gang() && len(placements) != first.unended {
		return PlaceGangPartial
	}
	for i, p := range placements {
		if reason := s.placeOne(p); reason != "" {
			s.undoPlacements(placements[:i])
			return reason
		}
	}
	for _, p := range placements {
		t := s.task(placementRef(p))
		s.observer.TaskChanged(t, lifecycle.TaskWaiting)
	}
	return ""
}

// placeOne validates one placement and reserves its amounts, or returns why it is refused.
func (s *State) placeOne(p *peerv1.Placement) PlaceReason {
	t := s.task(placementRef(p))
	reserved := resource.FromProto(p.GetReserved())
	switch {
	case t == nil || t.State != lifecycle.TaskWaiting || t.Job.State == lifecycle.JobCancelling:
		return PlaceTaskGone
	case t.NotBeforeNS > s.nowNS:
		return PlaceTooEarly
	case reserved[resource.Slots] < 1 || reserved.HasNegative():
		return PlaceInvalidReservation
	}
	u := s.upstreams[p.GetUpstream()]
	if u == nil || u.Incarnation != p.GetIncarnation() || u.State != lifecycle.UpstreamActive {
		return PlaceUpstreamGone
	}
	if d := s.domains[u.Domain]; d == nil || d.Out {
		return PlaceDomainOut
	}
	if !u.Used.Add(reserved).Fits(u.Capacity) {
		return PlaceOverCapacity
	}
	team := s.teams[t.Job.Team]
	if team == nil {
		return PlaceTeamGone
	}
	if !team.Used.Add(reserved).Fits(s.limits.Allowed(team)) {
		return PlaceOverLimit
	}
	s.attach(t, u, reserved)
	return ""
}

// undoPlacements reverses the placements that placeOne made in this call of placeAtomically.
func (s *State) undoPlacements(placements []*peerv1.Placement) {
	for _, p := range placements {
		t := s.task(placementRef(p))
		s.detach(t)
		s.fire(t, lifecycle.TaskWithdraw)
		s.fireJob(t.Job, lifecycle.JobIdle)
	}
}

// attach places a waiting task on an upstream and reserves capacity for it.
func (s *State) attach(t *Task, u *Upstream, reserved resource.Vector) {
	s.preserveForCapture(t.Job)
	s.fire(t, lifecycle.TaskPlace)
	t.Upstream, t.Reserved = u, reserved
	u.Used = u.Used.Add(reserved)
	u.Tasks[t.Ref()] = t
	team := s.teams[t.Job.Team]
	team.Used = team.Used.Add(reserved)
	team.Waiting--
	team.Running++
	t.Job.placed++
	s.fireJob(t.Job, lifecycle.JobPlaced)
	s.checkUpstream(u)
}

// detach releases a live task's capacity. The caller must then requeue or finish the task.
func (s *State) detach(t *Task) {
	s.preserveForCapture(t.Job)
	u, team := t.Upstream, s.teams[t.Job.Team]
	u.Used = u.Used.Sub(t.Reserved)
	delete(u.Tasks, t.Ref())
	team.Used = team.Used.Sub(t.Reserved)
	team.Running--
	team.Waiting++
	t.Job.placed--
	t.Upstream, t.Reserved = nil, resource.Vector{}
	t.Checkpointing, t.Started = false, false
	s.checkUpstream(u)
}

// fire applies a trigger to a task's state machine. It panics if the state doesn't permit it,
// which violates an invariant.
func (s *State) fire(t *Task, trigger lifecycle.TaskTrigger) {
	s.preserveForCapture(t.Job)
	if err := lifecycle.Task.Fire(&t.State, trigger); err != nil {
		panic("state: task: " + err.Error())
	}
}

// fireJob applies a trigger to a job's state machine. It panics if the state doesn't permit it.
func (s *State) fireJob(j *Job, trigger lifecycle.JobTrigger) {
	s.preserveForCapture(j)
	if err := lifecycle.Job.Fire(&j.State, trigger); err != nil {
		panic("state: job: " + err.Error())
	}
}

// checkUpstream panics if the amounts reserved on an upstream are negative, which violates an
// invariant.
func (s *State) checkUpstream(u *Upstream) {
	if u.Used.HasNegative() {
		panic("state: negative reserved amount on upstream " + u.Name)
	}
}
