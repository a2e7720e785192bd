package raft

// Step processes one message from another replica. Messages to other IDs are ignored. Replies appear
// in the next Ready.
func (r *Raft) Step(m Message) {
	if m.To != r.cfg.ID {
		return
	}
	switch {
	case m.Term > r.term:
		if !r.stepHigherTerm(m) {
			return
		}
	case m.Term < r.term:
		r.stepLowerTerm(m)
		return
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		r.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		r.handleVoteReply(m)
	case MsgAppend:
		r.followLeader(m)
		r.handleAppend(m)
	case MsgHeartbeat:
		r.followLeader(m)
		r.handleHeartbeat(m)
	case MsgSnapshot:
		r.followLeader(m)
		r.handleSnapshot(m)
	case MsgAppendReply:
		r.handleAppendReply(m)
	case MsgHeartbeatReply:
		r.handleHeartbeatReply(m)
	case MsgTimeoutNow:
		r.handleTimeoutNow()
	}
}

// stepHigherTerm handles the term of a message whose term is higher than the current one. It adopts
// that term, except from a pre-vote request or grant, which leave the current term as it is. It returns
// false if the message needs no further processing. That is the case for a rejected pre-vote, and for
// a request for a vote or pre-vote while the leader is alive, unless the leader asked for the election.
// Such a request does not change the term.
func (r *Raft) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		forced := m.Context != 0
		leaderAlive := r.leader != None && r.electionElapsed < r.cfg.ElectionTicks
		if leaderAlive && !forced {
			return false
		}
		if m.Type == MsgVote {
			r.becomeFollower(m.Term, None)
		}
		return true
	case MsgPreVoteReply:
		if m.Reject {
			r.becomeFollower(m.Term, None)
			return false
		}
		return true
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, None)
	}
	return true
}

// stepLowerTerm handles a message of an older term. It rejects a pre-vote and what a former leader
// sends, so that the sender learns the current term, and ignores all else.
func (r *Raft) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		r.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

// followLeader accepts the sender as the leader of the current term.
func (r *Raft) followLeader(m Message) {
	if r.role == Leader {
		panic("raft: two leaders in one term")
	}
	if r.role != Follower {
		r.becomeFollower(r.term, m.From)
	}
	r.leader = m.From
	r.electionElapsed = 0
}
