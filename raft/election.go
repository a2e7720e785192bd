package raft

// mayCampaign reports whether this replica may ask for votes. One whose own removal is not
// committed yet still may, without counting itself: it can be the only one whose log is
// long enough to win.
func (r *Raft) mayCampaign() bool {
	if r.isVoter(r.cfg.ID) {
		return true
	}
	if r.memberIndex <= r.log.committed || len(r.history) == 0 {
		return false
	}
	before := r.history[len(r.history)-1].members
	return isVoterIn(before, r.cfg.ID)
}

// campaign starts a pre-vote, or an election when pre is false.
// A forced election is one that the leader asked for; voters take it despite a live leader.
func (r *Raft) campaign(pre, forced bool) {
	r.resetTimeout()
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

func (r *Raft) handleVote(m Message) {
	reply := MsgVoteReply
	free := r.vote == None && r.leader == None || r.vote == m.From
	if m.Type == MsgPreVote {
		reply = MsgPreVoteReply
		free = m.Term > r.term && !r.goesFirst(m)
	}
	grant := free && r.log.upToDate(m.LogIndex, m.LogTerm)
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

// goesFirst decides between two replicas that ask for pre-votes at the same time with
// equal logs: the lower ID goes first, so that they don't split the votes.
func (r *Raft) goesFirst(m Message) bool {
	equal := m.LogIndex == r.log.lastIndex() && m.LogTerm == r.log.lastTerm()
	return r.role == PreCandidate && equal && r.cfg.ID < m.From
}

func (r *Raft) handleVoteReply(m Message) {
	waiting := r.role == PreCandidate && m.Type == MsgPreVoteReply && m.Term == r.term+1 ||
		r.role == PreCandidate && m.Type == MsgPreVoteReply && m.Reject ||
		r.role == Candidate && m.Type == MsgVoteReply
	if !waiting {
		return
	}
	r.votes[m.From] = !m.Reject
	r.countVotes()
}

func (r *Raft) countVotes() {
	won := r.quorum(func(id ID) bool { return r.votes[id] })
	lost := r.quorum(func(id ID) bool { granted, seen := r.votes[id]; return seen && !granted })
	switch {
	case won && r.role == PreCandidate:
		r.campaign(false, false)
	case won:
		r.becomeLeader()
	case lost:
		r.becomeFollower(r.term, None)
	}
}

// TransferLeadership asks a voter to take over once its log is complete.
func (r *Raft) TransferLeadership(to ID) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if to == r.cfg.ID || !r.isVoter(to) {
		return ErrBadChange
	}
	r.transferTo, r.transferElapsed = to, 0
	r.sendTimeoutNow()
	return nil
}

// HandOver asks the other voter whose log is the longest to take over.
func (r *Raft) HandOver() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	next := r.mostCurrentVoter()
	if next == None {
		return ErrBadChange
	}
	return r.TransferLeadership(next)
}

// sendTimeoutNow completes a transfer when its target has the whole log.
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
