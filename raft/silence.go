package raft

// MemberSilence tells for how long a member has not replied to the leader.
type MemberSilence struct {
	// ID is the member.
	ID ID
	// Ticks is the number of ticks since its last reply.
	Ticks int
}

// leaderContact is what a replica knows from the last leader about members that do not reply. It goes
// on counting from there if it becomes the next leader.
type leaderContact struct {
	leader ID
	silent []MemberSilence
	// age is the number of ticks since the leader told.
	age int
}

// silentMembers returns the members that have not replied to this leader for an election timeout, in the
// order of the membership.
func (r *Raft) silentMembers() (out []MemberSilence) {
	for _, id := range r.others() {
		if p := r.progress[id]; p != nil && p.ticksSinceReply >= r.cfg.ElectionTicks {
			out = append(out, MemberSilence{ID: id, Ticks: p.ticksSinceReply})
		}
	}
	return out
}

// continueSilences makes a new leader count the silence of members from where the last leader stopped.
// That leader itself has been silent since its last heartbeat.
func (r *Raft) continueSilences() {
	known := r.lastContact
	if p := r.progress[known.leader]; p != nil {
		p.ticksSinceReply = known.age
	}
	for _, s := range known.silent {
		if p := r.progress[s.ID]; p != nil {
			p.ticksSinceReply = s.Ticks + known.age
		}
	}
}
