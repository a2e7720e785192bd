package daemon

// sourceSelector chooses which process to ask for a view next. It stays with one that answers and
// follows hints to the leader, but never two hints in a row, so that outdated hints can't keep it
// from the rest of the list.
type sourceSelector struct {
	self string
	list []string
	next int
	hint string
	// hinted is set while the last pick came from a hint.
	hinted bool
}

// setHint records the leader that the replica in this process names; an empty address is ignored.
func (s *sourceSelector) setHint(leader string) {
	if leader != "" {
		s.hint = leader
	}
}

// pick returns the address to ask, or an empty one if the list has none but this process.
func (s *sourceSelector) pick() string {
	if s.hint != "" && s.hint != s.self && !s.hinted {
		s.hinted = true
		return s.hint
	}
	s.hinted = false
	for range s.list {
		if address := s.list[s.next%len(s.list)]; address != s.self {
			return address
		}
		s.next++
	}
	return ""
}

// succeeded makes the next pick use the same source again.
func (s *sourceSelector) succeeded() { s.hinted = false }

// failed moves on from the last pick. The leader is the one that its response named, or empty.
func (s *sourceSelector) failed(leader string) {
	s.hint = leader
	if !s.hinted {
		s.next++
	}
}
