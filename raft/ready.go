package raft

// Ready returns the work that has gathered since the last Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		HardState: HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed},
		Snapshot:  r.pendSnap,
		Reads:     r.readStates,
		Role:      r.role,
		Term:      r.term,
		Leader:    r.leader,
	}
	rd.Entries = r.log.unwritten()
	if r.log.applied < r.log.committed {
		rd.Committed = r.log.slice(r.log.applied, r.log.committed, 1<<62)
	}
	newTerm := rd.HardState.Term != r.savedHard.Term || rd.HardState.Vote != r.savedHard.Vote
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || newTerm
	rd.Early, rd.Messages = r.splitMessages(newTerm)
	rd.Overlaps = r.role == Leader && !newTerm && rd.Snapshot == nil && len(rd.Entries) > 0
	return rd
}

// splitMessages parts the messages that may be sent before this Ready is durable. A leader
// whose term and vote are durable can't lead the same term again after a crash, so that its
// entries may travel before it holds them itself; it counts itself only after its sync.
func (r *Raft) splitMessages(newTerm bool) (early, late []Message) {
	if r.role != Leader || newTerm {
		return nil, r.msgs
	}
	for _, m := range r.msgs {
		switch m.Type {
		case MsgAppend, MsgHeartbeat, MsgSnapshot:
			early = append(early, m)
		default:
			late = append(late, m)
		}
	}
	return early, late
}

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	hard := HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
	return len(r.msgs) > 0 || len(r.readStates) > 0 || r.pendSnap != nil || hard != r.savedHard ||
		len(r.log.unwritten()) > 0 || r.log.applied < r.log.committed
}

// Advance tells that everything in rd is durable, sent and applied.
// The replica must not be stepped between Ready and Advance.
func (r *Raft) Advance(rd Ready) {
	if n := len(rd.Entries); n > 0 {
		r.log.stable, r.log.written = rd.Entries[n-1].Index, rd.Entries[n-1].Index
	}
	r.advance(rd)
}

// AdvanceWriting is Advance for a Ready that overlaps: its entries are still being made durable.
// Until Written, no further Ready has entries.
func (r *Raft) AdvanceWriting(rd Ready) {
	r.log.written = rd.Entries[len(rd.Entries)-1].Index
	r.advance(rd)
}

// Written tells that the entries of the last AdvanceWriting are durable, as far as they were not
// replaced in the meantime.
func (r *Raft) Written() {
	r.log.stable = r.log.written
	if r.role == Leader && r.advanceCommit() {
		r.broadcastCommit()
	}
	r.stepDownIfRemoved()
}

func (r *Raft) advance(rd Ready) {
	r.savedHard = rd.HardState
	r.msgs, r.readStates, r.pendSnap = nil, nil, nil
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	r.dropHistory()
	if r.role == Leader && r.advanceCommit() {
		r.broadcastCommit()
	}
	r.stepDownIfRemoved()
}

// dropHistory forgets memberships that no truncation can bring back.
func (r *Raft) dropHistory() {
	for len(r.history) > 1 && r.history[1].index <= r.log.snapIndex {
		r.history = r.history[1:]
	}
}

// stepDownIfRemoved ends the leadership of a replica whose removal is committed.
func (r *Raft) stepDownIfRemoved() {
	if r.role != Leader || r.memberIndex > r.log.committed || r.isVoter(r.cfg.ID) {
		return
	}
	if next := r.mostCurrentVoter(); next != None {
		r.send(Message{Type: MsgTimeoutNow, To: next})
	}
	r.becomeFollower(r.term, None)
}

// mostCurrentVoter returns the other voter whose log is the longest, or None.
func (r *Raft) mostCurrentVoter() ID {
	best, match := None, uint64(0)
	for _, m := range r.members {
		if p := r.progress[m.ID]; m.Voter && p != nil && p.match > match {
			best, match = m.ID, p.match
		}
	}
	return best
}

// Bootstrap returns the durable state of a new group with a single voter.
func Bootstrap(first Member) Restored {
	first.Voter = true
	return BootstrapGroup([]Member{first})
}

// BootstrapGroup returns the durable state of a new group. All its voters must start from
// an equal list.
func BootstrapGroup(members []Member) Restored {
	return Restored{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members},
	}
}
