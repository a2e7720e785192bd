package state

import (
	"slices"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// A request on an open queue is identified by the queue's team and the request ID, and its sender may have no key. When
// the queue gets another team, asks for a key, or is deleted and put again, the team that it had is remembered, so that the
// request is known at the queue as before.

// rememberOwner records the team of an open queue that is replaced or deleted.
func (s *State) rememberOwner(before, after *apiv1.Queue) {
	if before.GetOpen() && (!after.GetOpen() || after.GetTeam() != before.GetTeam()) && !s.ownedBefore(before.GetName(), before.GetTeam()) {
		s.formerOwners[before.GetName()] = append(s.formerOwners[before.GetName()], before.GetTeam())
	}
}

// ownedBefore reports whether a queue was open and counted its work for a team.
func (s *State) ownedBefore(queue, team string) bool {
	return slices.Contains(s.formerOwners[queue], team)
}

// RequestAt returns the retained decision on a request that a call at a queue names, which acts for a team, or nil. It is the
// team's, or one that was made while the queue was open and counted its work for another team.
func (s *State) RequestAt(queue, team, id string) *Request {
	if known := s.Request(RequestKey{team, id}); known != nil {
		return known
	}
	for _, former := range s.formerOwners[queue] {
		if known := s.Request(RequestKey{former, id}); known != nil && s.queueOf(known) == queue {
			return known
		}
	}
	return nil
}

// queueOf returns the queue of a request; it is not known of all refusals.
func (s *State) queueOf(r *Request) string {
	if r.Job == 0 {
		return r.Queue
	}
	return s.jobs.get(r.Job).Queue
}

// mayAccess reports whether a call at a queue that acts for a team may access a job.
func (s *State) mayAccess(queue, team string, j *Job) bool {
	return j.Team == team || j.Queue == queue && s.ownedBefore(queue, j.Team)
}

// MayAccess reports whether the holder of a key, or anyone if its queue is open, may access a job at its queue.
func (s *State) MayAccess(keyHash []byte, j *Job) bool {
	team, refusal := s.Authorize(keyHash, j.Queue)
	return refusal == nil && s.mayAccess(j.Queue, team, j)
}
