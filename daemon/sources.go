package daemon

// sourceSelector chooses which process to ask for a view next. It stays with one that answers
// and follows hints at the leader, but never two in a row, so that hints that are out
// of date can't keep it from the rest of the list.
type sourceSelector struct {
	self string
	list []string
	next int
	hint string
	// hinted is set while the last pick came from a hint.
	hinted bool
}

// setHint takes a hint of the replica in this process; an empty one says nothing.
func (s *sourceSelector) setHint(leader string) {
	if leader != "" {
		s.hint = leader
	}
}

// pick returns the address to ask, or an empty one if there is none but this process.
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

// succeeded lets the next pick be the same.
func (s *sourceSelector) succeeded() { s.hinted = false }

// failed passes over the last pick, which may have named the leader.
func (s *sourceSelector) failed(leader string) {
	s.hint = leader
	if !s.hinted {
		s.next++
	}
}
