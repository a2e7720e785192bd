package state

// sweep forgets jobs, identities and operations past their retention.
func (s *State) sweep() bool {
	horizon := s.nowNS - int64(s.settings.Retention)
	changed := s.sweepJobs(horizon)
	for len(s.requestOrder) > 0 {
		r := s.requests[s.requestOrder[0]]
		if r != nil && (r.DecidedNS > horizon || s.jobs[r.Job] != nil) {
			break
		}
		delete(s.requests, s.requestOrder[0])
		s.requestOrder = s.requestOrder[1:]
		changed = true
	}
	for len(s.operationOrder) > 0 {
		o := s.operations[s.operationOrder[0]]
		if o != nil && o.DecidedNS > horizon {
			break
		}
		delete(s.operations, s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
		changed = true
	}
	return changed
}

func (s *State) sweepJobs(horizon int64) bool {
	changed := false
	for len(s.endedJobs) > 0 {
		j := s.jobs[s.endedJobs[0]]
		if j != nil && j.EndedNS > horizon {
			break
		}
		delete(s.jobs, s.endedJobs[0])
		s.endedJobs = s.endedJobs[1:]
		changed = true
	}
	return changed
}
