package raft

// mayCampaign reports whether this replica may ask for votes. A replica whose own removal as a voter
// is uncommitted may still do so, without counting its own vote: it may be the only one whose log is
// up-to-date enough to win.
func (r *Raft) mayCampaign() bool {
	if r.isVoter(r.cfg.ID) {
		return true
	}
	if r.memberIndex <= r.log.committed || len(r.memberHistory) == 0 {
		return false
	}
	previous := r.memberHistory[len(r.memberHistory)-1].members
	return isVoterIn(previous, r.cfg.ID)
}

// campaign starts a pre-vote, or an election if pre is false. A forced election is one that the leader
// asked for in a transfer; voters take part in it although the leader is alive.
func (r *Raft) campaign(pre, forced bool) {
	r.leader = None
	r.votes = map[ID]bool{r.cfg.ID: true}
	term, kind := r.term+1, MsgPreVote
	if pre {
		r.role = PreCandidate
	} else {
		kind = MsgVote
		r.role = Candidate
		r.term++
		r.vote = r.cfg.ID
		term = r.term
	}
	r.resetTimeout()
	var context uint64
	if forced {
		context = 1
	}
	for _, m := range r.members {
		if m.Voter && m.ID != r.cfg.ID {
			r.send(Message{Type: kind, To: m.ID, Term: term, Context: context,
				LogIndex: r.log.lastIndex(), LogTerm: r.log.lastTerm()})
		}
	}
	r.countVotes()
}

// handleVote grants or rejects a vote or a pre-vote.
func (r *Raft) handleVote(m Message) {
	reply := MsgVoteReply
	canGrant := r.vote == None && r.leader == None || r.vote == m.From
	if m.Type == MsgPreVote {
		reply = MsgPreVoteReply
		canGrant = m.Term > r.term && !r.hasPreVotePriority(m)
	}
	grant := canGrant && r.log.upToDate(m.LogIndex, m.LogTerm)
	if grant && m.Type == MsgVote {
		r.vote = m.From
		r.electionElapsed = 0
	}
	term := r.term
	if grant {
		term = m.Term
	}
	r.send(Message{Type: reply, To: m.From, Term: term, Reject: !grant})
}

// hasPreVotePriority reports whether this replica takes precedence over the sender of a pre-vote. Of
// two replicas that ask for pre-votes at the same time with equal logs, the one with the lower ID
// does, so that they don't split the votes.
func (r *Raft) hasPreVotePriority(m Message) bool {
	equal := m.LogIndex == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
	return r.role == PreCandidate && equal && r.cfg.ID < m.From
}

func (r *Raft) handleVoteReply(m Message) {
	expected := r.role == PreCandidate && m.Type == MsgPreVoteReply && m.Term == r.term+1 ||
		r.role == PreCandidate && m.Type == MsgPreVoteReply && m.Reject ||
		r.role == Candidate && m.Type == MsgVoteReply
	if !expected {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

// countVotes ends the pre-vote or the election once a majority has granted or rejected it.
func (r *Raft) countVotes() {
	won := r.quorum(func(id ID) bool { return r.votes[id] })
	lost := r.quorum(func(id ID) bool { granted, replied := r.votes[id]; return replied && !granted })
	switch {
	case won && r.role == PreCandidate:
		r.campaign(false, false)
	case won:
		r.becomeLeader()
	case lost:
		r.becomeFollower(r.term, None)
	}
}

// TransferLeadership starts to transfer the leadership to another voter, which is told to start an
// election once its log is complete. Until the transfer ends, proposals fail with ErrTransferring; it
// is abandoned after Config.ElectionTicks. Errors are ErrNotLeader, and ErrInvalidChange for a target
// that is not another voter.
func (r *Raft) TransferLeadership(to ID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == r.cfg.ID || !r.isVoter(to) {
		return ErrInvalidChange
	}
	r.transferTo, r.transferElapsed = to, 0
	r.sendTimeoutNow()
	return nil
}

// TransferToMostUpToDate starts to transfer the leadership to the other voter with the highest
// acknowledged index; see TransferLeadership. Errors are ErrNotLeader, and ErrInvalidChange if no other
// voter has acknowledged any entry.
func (r *Raft) TransferToMostUpToDate() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	next := r.mostUpToDateVoter()
	if next == None {
		return ErrInvalidChange
	}
	return r.TransferLeadership(next)
}

// Resign ends the leadership of this replica without a successor, in the same term. Without leadership it
// does nothing.
func (r *Raft) Resign() {
	if r.role == Leader {
		r.becomeFollower(r.term, None)
	}
}

// sendTimeoutNow tells the target of a transfer to start an election if it has the whole log.
func (r *Raft) sendTimeoutNow() {
	p := r.progress[r.transferTo]
	if p != nil && p.match == r.log.lastIndex() {
		r.send(Message{Type: MsgTimeoutNow, To: r.transferTo})
	}
}

func (r *Raft) handleTimeoutNow() {
	if r.role == Follower && r.mayCampaign() {
		r.campaign(false, true)
	}
}
