package raft

// Ready returns the work that has gathered since the last Advance.
func (r *Raft) Ready() Ready {
	rd := Ready{
		HardState: HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed},
		Snapshot:  r.pendSnap,
		Messages:  r.msgs,
		Reads:     r.readStates,
		Role:      r.role,
		Term:      r.term,
		Leader:    r.leader,
	}
	if r.log.stable < r.log.lastIndex() {
		rd.Entries = r.log.slice(r.log.stable, r.log.lastIndex(), 1<<62)
	}
	if r.log.applied < r.log.committed {
		rd.Committed = r.log.slice(r.log.applied, r.log.committed, 1<<62)
	}
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil ||
		rd.HardState.Term != r.savedHard.Term || rd.HardState.Vote != r.savedHard.Vote
	return rd
}

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	hard := HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
	return len(r.msgs) > 0 || len(r.readStates) > 0 || r.pendSnap != nil || hard != r.savedHard ||
		r.log.stable < r.log.lastIndex() || r.log.applied < r.log.committed
}

// Advance tells that everything in rd is durable, sent and applied.
// The replica must not be stepped between Ready and Advance.
func (r *Raft) Advance(rd Ready) {
	r.savedHard = rd.HardState
	r.msgs, r.readStates, r.pendSnap = nil, nil, nil
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
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
	if r.role == Leader && r.memberIndex <= r.log.committed && !r.isVoter(r.cfg.ID) {
		r.becomeFollower(r.term, None)
	}
}

// Bootstrap returns the durable state of a new group with a single voter.
func Bootstrap(first Member) Restored {
	first.Voter = true
	return Restored{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: []Member{first}},
	}
}
