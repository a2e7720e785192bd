package state

import (
	"slices"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
)

// sweep removes ended jobs, refused requests, operations and lost upstreams whose retention has
// passed, and reports whether there were any. The identity of a job is retained as long as the
// job itself.
func (s *State) sweep() bool {
	horizon := s.nowNS - int64(s.settings.Retention)
	changed := s.sweepJobs(horizon)
	changed = s.sweepRequests(horizon) || changed
	changed = s.sweepOperations(horizon) || changed
	return s.sweepUpstreams(horizon) || changed
}

func (s *State) sweepJobs(horizon int64) bool {
	n := 0
	for _, id := range s.endedJobs {
		j := s.jobs.get(id)
		if j.EndedNS > horizon {
			break
		}
		delete(s.identities, RequestKey{j.Team, j.RequestID})
		s.addStoredBytes(j, -j.stored)
		s.jobs.remove(id)
		n++
	}
	s.endedJobs = s.endedJobs[n:]
	return n > 0
}

func (s *State) sweepRequests(horizon int64) bool {
	n := countUntil(s.requestOrder, func(r *Request) bool { return r.DecidedNS > horizon })
	for _, r := range s.requestOrder[:n] {
		delete(s.identities, r.Key)
	}
	s.requestOrder = s.requestOrder[n:]
	return n > 0
}

func (s *State) sweepOperations(horizon int64) bool {
	n := countUntil(s.operationOrder, func(o *Operation) bool { return o.DecidedNS > horizon })
	for _, o := range s.operationOrder[:n] {
		delete(s.operations, o.ID)
	}
	s.operationOrder = s.operationOrder[n:]
	return n > 0
}

// countUntil returns the number of elements before the first one for which stop returns true.
func countUntil[T any](list []T, stop func(T) bool) int {
	if n := slices.IndexFunc(list, stop); n >= 0 {
		return n
	}
	return len(list)
}

func (s *State) sweepUpstreams(horizon int64) bool {
	before := len(s.upstreamList)
	s.upstreamList = slices.DeleteFunc(s.upstreamList, func(u *Upstream) bool {
		if u.State != lifecycle.UpstreamLost || u.LostNS > horizon {
			return false
		}
		delete(s.upstreams, u.Name)
		if s.vmOwner[u.VM] == u.Name {
			delete(s.vmOwner, u.VM)
		}
		return true
	})
	return len(s.upstreamList) < before
}
