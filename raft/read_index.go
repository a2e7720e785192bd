package raft

// pendingRead waits for a quorum to confirm the leadership.
type pendingRead struct {
	context uint64
	// round is the heartbeat context that confirms this read.
	round uint64
	acks  map[ID]bool
}

// ReadIndex asks for confirmation that this replica still leads. The answer appears in
// Ready.Reads under the same context; none appears if leadership is lost first.
func (r *Raft) ReadIndex(context uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	r.readCounter++
	r.reads = append(r.reads, pendingRead{
		context: context, round: r.readCounter,
		acks: map[ID]bool{r.cfg.ID: true},
	})
	r.broadcastHeartbeat(r.readCounter)
	r.releaseReads()
	return nil
}

// confirmReads counts an acknowledgement for every read up to the heartbeat's round.
func (r *Raft) confirmReads(from ID, round uint64) {
	for i := range r.reads {
		if r.reads[i].round <= round {
			r.reads[i].acks[from] = true
		}
	}
	r.releaseReads()
}

// releaseReads answers confirmed reads once an entry of this term is committed.
func (r *Raft) releaseReads() {
	if t, _ := r.log.term(r.log.committed); t != r.term {
		return
	}
	n := 0
	for n < len(r.reads) && r.quorum(func(id ID) bool { return r.reads[n].acks[id] }) {
		r.readStates = append(r.readStates, ReadState{Context: r.reads[n].context, Index: r.log.committed})
		n++
	}
	r.reads = r.reads[n:]
}
