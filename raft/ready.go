package raft

// Ready returns the work that is pending since the last Advance. It does not change the replica.
func (r *Raft) Ready() Ready {
	rd := Ready{
		HardState: HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed},
		Snapshot:  r.pendingSnapshot,
		Reads:     r.readStates,
		Role:      r.role,
		Term:      r.term,
		Leader:    r.leader,
	}
	rd.Entries = r.log.entriesToWrite()
	if r.log.applied < r.log.committed {
		rd.Committed = r.log.slice(r.log.applied, r.log.committed, 1<<62)
	}
	newTerm := rd.HardState.Term != r.savedHardState.Term || rd.HardState.Vote != r.savedHardState.Vote
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || newTerm
	rd.Early, rd.Messages = r.splitMessages(newTerm)
	rd.AllowsAsyncWrite = r.role == Leader && !newTerm && rd.Snapshot == nil && len(rd.Entries) > 0
	return rd
}

// splitMessages separates the messages that may be sent before this Ready is durable (early) from the
// others (late). A leader whose term and vote are durable can't become the leader of the same term
// again after a crash. Therefore it may send entries before they are durable on itself; it counts
// itself towards their quorum only after its own sync.
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
	return len(r.msgs) > 0 || len(r.readStates) > 0 || r.pendingSnapshot != nil || hard != r.savedHardState ||
		len(r.log.entriesToWrite()) > 0 || r.log.applied < r.log.committed
}

// Advance reports that everything in rd is durable, sent and applied. No other method that changes the
// replica may be called between Ready and Advance.
func (r *Raft) Advance(rd Ready) {
	if n := len(rd.Entries); n > 0 {
		r.log.stable, r.log.writeIssued = rd.Entries[n-1].Index, rd.Entries[n-1].Index
	}
	r.advance(rd)
}

// AdvanceAsync is like Advance, but for a Ready that allows its entries to be made durable
// asynchronously, and whose write has started. No further Ready has entries until the end of the write
// is reported with ReportEntriesDurable.
func (r *Raft) AdvanceAsync(rd Ready) {
	r.log.writeIssued = rd.Entries[len(rd.Entries)-1].Index
	r.advance(rd)
}

// ReportEntriesDurable reports that the entries of the last AdvanceAsync are durable, except for those
// that were replaced in the meantime.
func (r *Raft) ReportEntriesDurable() {
	r.log.stable = r.log.writeIssued
	if r.role == Leader && r.advanceCommit() {
		r.broadcastCommit()
	}
	r.stepDownIfRemoved()
}

func (r *Raft) advance(rd Ready) {
	r.savedHardState = rd.HardState
	r.msgs, r.readStates, r.pendingSnapshot = nil, nil, nil
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	r.pruneMemberHistory()
	if r.role == Leader && r.advanceCommit() {
		r.broadcastCommit()
	}
	r.stepDownIfRemoved()
}

// pruneMemberHistory removes memberships that no truncation can bring back, since the log is compacted
// beyond the entry of their successor.
func (r *Raft) pruneMemberHistory() {
	for len(r.memberHistory) > 1 && r.memberHistory[1].index <= r.log.snapIndex {
		r.memberHistory = r.memberHistory[1:]
	}
}

// stepDownIfRemoved ends the leadership of this replica if it is no longer a voter and that change is
// committed. It first tells the most up-to-date voter to start an election.
func (r *Raft) stepDownIfRemoved() {
	if r.role != Leader || r.memberIndex > r.log.committed || r.isVoter(r.cfg.ID) {
		return
	}
	if next := r.mostUpToDateVoter(); next != None {
		r.send(Message{Type: MsgTimeoutNow, To: next})
	}
	r.becomeFollower(r.term, None)
}

// mostUpToDateVoter returns the other voter with the highest acknowledged index, or None.
func (r *Raft) mostUpToDateVoter() ID {
	best, match := None, uint64(0)
	for _, m := range r.members {
		if p := r.progress[m.ID]; m.Voter && p != nil && p.match > match {
			best, match = m.ID, p.match
		}
	}
	return best
}

// Bootstrap returns the durable state from which the first replica of a new group starts, as its only
// voter.
func Bootstrap(first Member) DurableState {
	first.Voter = true
	return BootstrapGroup([]Member{first})
}

// BootstrapGroup returns the durable state from which each initial member of a new group starts. All
// of them must pass an equal list of members.
func BootstrapGroup(members []Member) DurableState {
	return DurableState{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members},
	}
}
